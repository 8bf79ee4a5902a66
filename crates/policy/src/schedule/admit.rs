//! Admission to the queue: bounds, displacement and deadlines.
//!
//! Room is nested: a class has its own room and that of all lower classes.
//! Thus a higher class is refused only when nothing lower is queued, and a
//! lower class never takes the room of a higher one.

use types::{ErrorCode, RequestId, TimeMs};

use super::{
    table::{Held, Queued},
    Action, Discipline, Job, Scheduler,
};
use crate::retry::retry_after_ms;

/// What has to happen for a request to be queued.
enum Room {
    Free,
    /// The request leaves the queue to make room.
    Displace(RequestId),
    Full,
}

impl Scheduler {
    /// Queued requests at most whose class is not configured; they use room
    /// that listed classes leave free.
    const UNLISTED_QUEUE_MAX: usize = 64;

    /// Queues the request or refuses it. Returns whether it was queued.
    pub(super) fn admit(&mut self, now: TimeMs, job: Job, actions: &mut Vec<Action>) -> bool {
        let id = job.request_id.clone();
        if let Some(code) = self.reason_to_refuse(now, &job) {
            actions.push(self.refusal(id, code));
            return false;
        }
        match self.room_for(&job) {
            Room::Free => (),
            Room::Displace(victim) => self.displace(now, &victim, actions),
            Room::Full => {
                let class = self.class_index(&job.class);
                self.classes[class].last_shed = Some(now);
                actions.push(self.refusal(id, ErrorCode::QueueFull));
                return false;
            }
        }
        self.enqueue(now, job);
        true
    }

    /// Removes a request that has not started.
    pub(super) fn remove_queued(&mut self, id: &RequestId) -> Option<Held<Queued>> {
        let held = self.table.take_queued(id)?;
        self.classes[held.class].remove(held.sequence);
        self.queued_tokens -= u64::from(held.expected_tokens);
        Some(held)
    }

    /// Refuses queued requests whose deadline has passed.
    pub(super) fn expire_queued(&mut self, now: TimeMs, actions: &mut Vec<Action>) {
        if now < self.earliest_deadline {
            return;
        }
        let expired: Vec<RequestId> = self
            .table
            .queued()
            .filter(|held| held.job.deadline <= now)
            .map(|held| held.job.request_id.clone())
            .collect();
        for id in expired {
            self.expire(now, &id, actions);
        }
        let deadlines = self.table.queued().map(|held| held.job.deadline);
        self.earliest_deadline = deadlines.min().unwrap_or(TimeMs(u64::MAX));
    }

    /// Refuses a queued request whose deadline has passed.
    pub(super) fn expire(&mut self, now: TimeMs, id: &RequestId, actions: &mut Vec<Action>) {
        let Some(held) = self.remove_queued(id) else {
            return;
        };
        self.classes[held.class].last_shed = Some(now);
        actions.push(self.refusal(id.clone(), ErrorCode::DeadlineExceeded));
    }

    fn reason_to_refuse(&mut self, now: TimeMs, job: &Job) -> Option<ErrorCode> {
        if self.table.holds(&job.request_id) {
            return Some(ErrorCode::InProgress);
        }
        if self.memory.take_tombstone(now, &job.request_id) {
            return Some(ErrorCode::Recalled);
        }
        if self.draining {
            return Some(ErrorCode::Draining);
        }
        if job.deadline <= now {
            return Some(ErrorCode::DeadlineExceeded);
        }
        None
    }

    fn room_for(&self, job: &Job) -> Room {
        let class = self.class_index(&job.class);
        if self.has_room(class) || self.can_start_at_once(class, job) {
            return Room::Free;
        }
        let priority = self.classes[class].rules.priority;
        let lower = self.classes.iter().rev();
        let mut lower = lower.take_while(|queue| queue.rules.priority < priority);
        if let Some((_, victim)) = lower.find_map(|queue| queue.youngest()) {
            return Room::Displace(victim.clone());
        }
        let team = self.team_key(job);
        let weight = |team: &_| self.settings.weight(team);
        match self.classes[class].youngest_of_longest(&team, weight) {
            Some(victim) => Room::Displace(victim.clone()),
            None => Room::Full,
        }
    }

    /// Whether one more request of the class fits, in its own room and in
    /// that of each class above it with all below.
    fn has_room(&self, class: usize) -> bool {
        if self.is_unlisted(class) {
            return self.has_room_unlisted();
        }
        let (mut queued, mut limit) = (0, 0);
        for (i, queue) in self.classes.iter().enumerate().rev() {
            queued += queue.len();
            limit += queue.rules.queue_limit as usize;
            if i <= class && queued >= limit {
                return false;
            }
        }
        true
    }

    fn has_room_unlisted(&self) -> bool {
        let unlisted = self.classes.last().map_or(0, |queue| queue.len());
        let limit = self.settings.queue_limit_total();
        unlisted < Self::UNLISTED_QUEUE_MAX && (self.table.queued_len() as u64) < limit
    }

    fn is_unlisted(&self, class: usize) -> bool {
        self.settings.discipline == Discipline::Classes && class == self.classes.len() - 1
    }

    /// Whether the request would only pass through the queue.
    fn can_start_at_once(&self, class: usize, job: &Job) -> bool {
        let none_waits = self.table.queued_len() == 0 && self.table.paused_len() == 0;
        none_waits && self.slot_fits(class, job, self.expected_tokens(job))
    }

    fn displace(&mut self, now: TimeMs, victim: &RequestId, actions: &mut Vec<Action>) {
        let Some(held) = self.remove_queued(victim) else {
            return;
        };
        self.classes[held.class].last_shed = Some(now);
        actions.push(self.refusal(victim.clone(), ErrorCode::Displaced));
    }

    fn enqueue(&mut self, now: TimeMs, job: Job) {
        let class = self.class_index(&job.class);
        let sequence = self.take_sequence();
        let expected_tokens = self.expected_tokens(&job);
        let team = self.team_key(&job);
        self.classes[class].push(sequence, team, job.request_id.clone());
        self.queued_tokens += u64::from(expected_tokens);
        self.earliest_deadline = self.earliest_deadline.min(job.deadline);
        self.table.enqueue(Held {
            job,
            class,
            sequence,
            arrived: now,
            expected_tokens,
            tokens: 0,
            pauses: 0,
            state: Queued,
        });
    }

    fn expected_tokens(&self, job: &Job) -> u32 {
        self.lengths
            .expected(&job.team, &job.class, 0, job.max_tokens)
    }

    fn refusal(&mut self, request_id: RequestId, code: ErrorCode) -> Action {
        let waiting = self.table.queued_len() as f32 + 1.0;
        let wait_ms = waiting * self.service_ms / self.limit.limit() as f32;
        Action::Refuse {
            request_id,
            code,
            retry_after_ms: retry_after_ms(wait_ms as u64, self.next_random()),
        }
    }
}
