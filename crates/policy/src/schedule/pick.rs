//! Selection of the request that gets the next free slot.

use types::{RequestId, TimeMs};

use super::{lane::FeedbackLane, Action, Discipline, Job, Scheduler};

/// The request selected for a free slot.
enum Pick {
    Start(RequestId),
    Resume(RequestId),
}

impl Scheduler {
    /// Time after which a queued request that must run alone blocks further
    /// starts of its own class and lower ones, in milliseconds.
    const RUN_ALONE_MAX_WAIT_MS: u64 = 1_000;

    /// Starts and resumes requests until no free slot can be used.
    pub(super) fn fill_slots(&mut self, now: TimeMs, actions: &mut Vec<Action>) {
        while let Some(pick) = self.pick(now) {
            match pick {
                Pick::Start(id) => self.start(now, &id, actions),
                Pick::Resume(id) => self.resume(now, &id, actions),
            }
        }
        if self.table.slots_used() >= self.limit.limit() {
            self.limit.on_limit_reached();
        }
    }

    /// Returns whether a request of `class` may take a slot, given the running
    /// limit, the reserved slots and any request that runs alone. Reserved
    /// slots are open only to urgent requests and those expected to be short.
    pub(super) fn has_slot_for(&self, class: usize, job: &Job, expected_tokens: u32) -> bool {
        if self.is_run_alone_active() {
            return false;
        }
        if self.must_run_alone(job) {
            return self.table.slots_used() == 0;
        }
        let free = self.free_slots();
        if free > self.reserved_slots() {
            return true;
        }
        let short = expected_tokens <= FeedbackLane::FIRST_QUANTUM_TOKENS;
        free > 0 && (short || self.is_urgent(class))
    }

    /// Returns whether the class has the highest priority and a configured
    /// class with a lower priority exists.
    pub(super) fn is_urgent(&self, class: usize) -> bool {
        let priority = self.classes[class].rules.priority;
        let top = self.classes[0].rules.priority;
        priority == top
            && self
                .configured_queues()
                .any(|queue| queue.rules.priority < top)
    }

    pub(super) fn free_slots(&self) -> usize {
        let limit = self.limit.limit();
        limit.saturating_sub(self.table.slots_used())
    }

    /// Returns whether a request that must run alone occupies the upstream.
    pub(super) fn is_run_alone_active(&self) -> bool {
        let running = self.table.running().map(|request| &request.job);
        let stopping = self.table.stopping().map(|request| &request.job);
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
        if self.free_slots() == 0 || self.is_run_alone_active() {
            return None;
        }
        if let Some(class) = self.share_due(now) {
            if let Some(pick) = self.pick_from_class(class) {
                return Some(pick);
            }
        }
        for class in 0..self.classes.len() {
            if self.is_blocked_for_run_alone(now, class) {
                return self.pick_run_alone(class);
            }
            if let Some(pick) = self.pick_from_class(class) {
                return Some(pick);
            }
        }
        None
    }

    /// Selects the next request of one class. Paused requests come before queued
    /// ones.
    fn pick_from_class(&self, class: usize) -> Option<Pick> {
        let paused = self
            .table
            .paused()
            .filter(|request| request.class == class)
            .filter(|request| self.has_slot_for(class, &request.job, request.expected_tokens))
            .min_by_key(|request| (request.state.since, request.sequence));
        if let Some(request) = paused {
            return Some(Pick::Resume(request.job.request_id.clone()));
        }
        let next = self.classes[class].next(|id| {
            let request = self.table.queued_get(id);
            request.is_some_and(|request| {
                self.has_slot_for(class, &request.job, request.expected_tokens)
            })
        });
        next.cloned().map(Pick::Start)
    }

    /// Selects the oldest request that must run alone, once no slot is in use.
    fn pick_run_alone(&self, class: usize) -> Option<Pick> {
        if self.table.slots_used() > 0 {
            return None;
        }
        let id = self.classes[class].oldest_run_alone()?;
        Some(Pick::Start(id.clone()))
    }

    /// Returns whether a queued request that must run alone has waited long
    /// enough to block other starts of the class.
    fn is_blocked_for_run_alone(&self, now: TimeMs, class: usize) -> bool {
        let Some(id) = self.classes[class].oldest_run_alone() else {
            return false;
        };
        let request = self.table.queued_get(id);
        request.is_some_and(|request| now.since(request.arrived) >= Self::RUN_ALONE_MAX_WAIT_MS)
    }

    fn start(&mut self, now: TimeMs, id: &RequestId, actions: &mut Vec<Action>) {
        let request = self.table.queued_get(id);
        if request.is_some_and(|request| request.job.deadline <= now) {
            self.expire(now, id, actions);
            return;
        }
        self.charge_share_credit(now, self.table.queued_get(id).map(|request| request.class));
        let Some(request) = self.table.start(id, now) else {
            return;
        };
        let (sequence, class, expected) =
            (request.sequence, request.class, request.expected_tokens);
        let (lane, job) = (request.lane(), request.job.clone());
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
        let class = self
            .table
            .paused()
            .find(|request| request.job.request_id == *id);
        self.charge_share_credit(now, class.map(|request| request.class));
        let Some(request) = self.table.resume(id, now) else {
            return;
        };
        let (class, lane, resume_from) = (request.class, request.lane(), request.tokens);
        let engine_priority = self.engine_priority(class, lane);
        actions.push(Action::Start {
            request_id: id.clone(),
            engine_priority,
            resume_from,
        });
    }

    fn engine_priority(&self, class: usize, lane: FeedbackLane) -> u8 {
        if self.settings.discipline == Discipline::Fifo {
            return 0;
        }
        lane.engine_priority(self.classes[class].rank)
    }
}
