//! Which request gets the next free slot.

use types::{RequestId, TimeMs};

use super::{lane::Lane, Action, Discipline, Job, Scheduler};

/// A request that may take a slot.
enum Pick {
    Start(RequestId),
    Resume(RequestId),
}

impl Scheduler {
    /// Wait after which a request that must run alone holds back further
    /// starts of its own and lower classes, in milliseconds.
    const ALONE_PATIENCE_MS: u64 = 1_000;

    /// Starts and resumes requests while slots are free.
    pub(super) fn fill(&mut self, now: TimeMs, actions: &mut Vec<Action>) {
        while let Some(pick) = self.pick(now) {
            match pick {
                Pick::Start(id) => self.start(now, &id, actions),
                Pick::Resume(id) => self.resume(now, &id, actions),
            }
        }
        if self.table.slots_used() >= self.limit.limit() {
            self.limit.on_reached();
        }
    }

    /// Whether a slot is free for a request of `class`, as far as the running
    /// limit, the reserved slots and requests that run alone allow.
    pub(super) fn slot_fits(&self, class: usize, job: &Job, expected_tokens: u32) -> bool {
        if self.runs_alone() {
            return false;
        }
        if self.must_run_alone(job) {
            return self.table.slots_used() == 0;
        }
        let free = self.free_slots();
        if free > self.reserved_slots() {
            return true;
        }
        let short = expected_tokens <= Lane::FIRST_QUANTUM_TOKENS;
        free > 0 && (short || self.is_urgent(class))
    }

    /// Whether the class is the highest one and has others below it.
    pub(super) fn is_urgent(&self, class: usize) -> bool {
        let priority = self.classes[class].rules.priority;
        let top = self.classes[0].rules.priority;
        priority == top && self.listed().any(|queue| queue.rules.priority < top)
    }

    pub(super) fn free_slots(&self) -> usize {
        let limit = self.limit.limit();
        limit.saturating_sub(self.table.slots_used())
    }

    /// Whether the request at the upstream has to stay the only one.
    pub(super) fn runs_alone(&self) -> bool {
        let running = self.table.running().map(|held| &held.job);
        let stopping = self.table.stopping().map(|held| &held.job);
        let mut jobs = running.chain(stopping);
        jobs.any(|job| self.must_run_alone(job))
    }

    pub(super) fn must_run_alone(&self, job: &Job) -> bool {
        job.run_alone && self.settings.discipline == Discipline::Classes
    }

    fn reserved_slots(&self) -> usize {
        if self.settings.discipline == Discipline::Fifo {
            return 0;
        }
        (self.settings.reserved_slots as usize).min(self.limit.limit() - 1)
    }

    fn pick(&self, now: TimeMs) -> Option<Pick> {
        if self.free_slots() == 0 || self.runs_alone() {
            return None;
        }
        if let Some(class) = self.share_due(now) {
            if let Some(pick) = self.pick_of(class) {
                return Some(pick);
            }
        }
        for class in 0..self.classes.len() {
            if self.is_held_back(now, class) {
                return self.pick_alone(class);
            }
            if let Some(pick) = self.pick_of(class) {
                return Some(pick);
            }
        }
        None
    }

    /// The request of one class that goes next: a paused one before a new one.
    fn pick_of(&self, class: usize) -> Option<Pick> {
        let paused = self
            .table
            .paused()
            .filter(|held| held.class == class)
            .filter(|held| self.slot_fits(class, &held.job, held.expected_tokens))
            .min_by_key(|held| (held.state.since, held.sequence));
        if let Some(held) = paused {
            return Some(Pick::Resume(held.job.request_id.clone()));
        }
        let next = self.classes[class].next(|id| {
            let held = self.table.queued_get(id);
            held.is_some_and(|held| self.slot_fits(class, &held.job, held.expected_tokens))
        });
        next.cloned().map(Pick::Start)
    }

    /// The request that runs alone, once nothing else is at the upstream.
    fn pick_alone(&self, class: usize) -> Option<Pick> {
        if self.table.slots_used() > 0 {
            return None;
        }
        let id = self.classes[class].oldest_alone()?;
        Some(Pick::Start(id.clone()))
    }

    /// Whether a request of the class has waited long to run alone.
    fn is_held_back(&self, now: TimeMs, class: usize) -> bool {
        let Some(id) = self.classes[class].oldest_alone() else {
            return false;
        };
        let held = self.table.queued_get(id);
        held.is_some_and(|held| now.since(held.arrived) >= Self::ALONE_PATIENCE_MS)
    }

    fn start(&mut self, now: TimeMs, id: &RequestId, actions: &mut Vec<Action>) {
        let held = self.table.queued_get(id);
        if held.is_some_and(|held| held.job.deadline <= now) {
            self.expire(now, id, actions);
            return;
        }
        self.note_share_use(now, self.table.queued_get(id).map(|held| held.class));
        let Some(held) = self.table.start(id, now) else {
            return;
        };
        let (sequence, class, expected) = (held.sequence, held.class, held.expected_tokens);
        let (lane, job) = (held.lane(), held.job.clone());
        let engine_priority = self.engine_priority(class, lane);
        let team = self.team_key(&job);
        let weight = self.settings.weight(&job.team);
        self.queued_tokens -= u64::from(expected);
        self.classes[class].remove(sequence);
        self.classes[class].charge(&team, expected, weight);
        actions.push(Action::Start {
            request_id: job.request_id,
            engine_priority,
            resume_from: 0,
        });
    }

    fn resume(&mut self, now: TimeMs, id: &RequestId, actions: &mut Vec<Action>) {
        let class = self.table.paused().find(|held| held.job.request_id == *id);
        self.note_share_use(now, class.map(|held| held.class));
        let Some(held) = self.table.resume(id, now) else {
            return;
        };
        let (class, lane, resume_from) = (held.class, held.lane(), held.tokens);
        let engine_priority = self.engine_priority(class, lane);
        actions.push(Action::Start {
            request_id: id.clone(),
            engine_priority,
            resume_from,
        });
    }

    fn engine_priority(&self, class: usize, lane: Lane) -> u8 {
        if self.settings.discipline == Discipline::Fifo {
            return 0;
        }
        lane.engine_priority(self.classes[class].rank)
    }
}
