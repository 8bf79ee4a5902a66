//! Admission to the queue: queue limits, displacement and deadlines.
//!
//! Queue limits are nested: a class may use its own limit and those of all
//! lower classes. A higher class is therefore refused only when no lower class
//! has queued requests, and a lower class never uses the limit of a higher one.

use types::{ErrorCode, RequestId, TimeMs};

use super::{
    table::{Queued, TrackedRequest},
    Action, Discipline, Job, Scheduler,
};
use crate::retry::retry_after_ms;

/// Whether the queue can accept one more request.
enum QueueSpace {
    /// The queue accepts the request.
    Free,
    /// The queue is full, but this queued request may be removed in favour of
    /// the new one.
    Displace(RequestId),
    /// The queue is full and no queued request may be removed.
    Full,
}

impl Scheduler {
    /// Maximum number of queued requests whose class is not configured. They
    /// only use capacity that the configured classes leave free.
    const UNCONFIGURED_QUEUE_MAX: usize = 64;

    /// Queues the request or refuses it. Returns whether it was queued.
    pub(super) fn admit(&mut self, now: TimeMs, job: Job, actions: &mut Vec<Action>) -> bool {
        let id = job.request_id.clone();
        if let Some(code) = self.reason_to_refuse(now, &job) {
            actions.push(self.refusal(id, code));
            return false;
        }
        match self.find_queue_space(&job) {
            QueueSpace::Free => (),
            QueueSpace::Displace(victim) => self.displace(now, &victim, actions),
            QueueSpace::Full => {
                let class = self.class_index(&job.class);
                self.classes[class].last_shed = Some(now);
                actions.push(self.refusal(id, ErrorCode::QueueFull));
                return false;
            }
        }
        self.enqueue(now, job);
        true
    }

    /// Removes a request that has not started from its class queue and from
    /// the request table.
    pub(super) fn remove_queued(&mut self, id: &RequestId) -> Option<TrackedRequest<Queued>> {
        let request = self.table.take_queued(id)?;
        self.classes[request.class].remove(request.sequence);
        self.queued_tokens -= u64::from(request.expected_tokens);
        Some(request)
    }

    /// Refuses every queued request whose deadline has passed.
    pub(super) fn expire_queued(&mut self, now: TimeMs, actions: &mut Vec<Action>) {
        if now < self.earliest_deadline {
            return;
        }
        let expired: Vec<RequestId> = self
            .table
            .queued()
            .filter(|request| request.job.deadline <= now)
            .map(|request| request.job.request_id.clone())
            .collect();
        for id in expired {
            self.expire(now, &id, actions);
        }
        let deadlines = self.table.queued().map(|request| request.job.deadline);
        self.earliest_deadline = deadlines.min().unwrap_or(TimeMs(u64::MAX));
    }

    /// Refuses one queued request with `deadline_exceeded`. Does nothing if the
    /// request is not queued.
    pub(super) fn expire(&mut self, now: TimeMs, id: &RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.remove_queued(id) else {
            return;
        };
        self.classes[request.class].last_shed = Some(now);
        actions.push(self.refusal(id.clone(), ErrorCode::DeadlineExceeded));
    }

    fn reason_to_refuse(&mut self, now: TimeMs, job: &Job) -> Option<ErrorCode> {
        if self.table.holds(&job.request_id) {
            return Some(ErrorCode::InProgress);
        }
        if self.history.consume_tombstone(now, &job.request_id) {
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

    fn find_queue_space(&self, job: &Job) -> QueueSpace {
        let class = self.class_index(&job.class);
        if self.has_queue_space(class) || self.can_start_at_once(class, job) {
            return QueueSpace::Free;
        }
        let priority = self.classes[class].rules.priority;
        let lower = self.classes.iter().rev();
        let mut lower = lower.take_while(|queue| queue.rules.priority < priority);
        if let Some((_, victim)) = lower.find_map(|queue| queue.newest()) {
            return QueueSpace::Displace(victim.clone());
        }
        let team = self.team_key(job);
        let weight = |team: &_| self.settings.weight(team);
        match self.classes[class].newest_of_largest_backlog(&team, weight) {
            Some(victim) => QueueSpace::Displace(victim.clone()),
            None => QueueSpace::Full,
        }
    }

    /// Returns whether one more request of the class stays within the nested
    /// limits: for the class and each class above it, the number of requests
    /// queued in that class and all lower ones must be below the sum of their
    /// limits.
    fn has_queue_space(&self, class: usize) -> bool {
        if self.is_unconfigured(class) {
            return self.has_queue_space_unconfigured();
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

    fn has_queue_space_unconfigured(&self) -> bool {
        let unconfigured = self.classes.last().map_or(0, |queue| queue.len());
        let limit = self.settings.queue_limit_total();
        unconfigured < Self::UNCONFIGURED_QUEUE_MAX && (self.table.queued_len() as u64) < limit
    }

    fn is_unconfigured(&self, class: usize) -> bool {
        self.settings.discipline == Discipline::Classes && class == self.classes.len() - 1
    }

    /// Returns whether the request would start immediately, without waiting in
    /// the queue.
    fn can_start_at_once(&self, class: usize, job: &Job) -> bool {
        let none_waiting = self.table.queued_len() == 0 && self.table.paused_len() == 0;
        none_waiting && self.has_slot_for(class, job, self.expected_tokens(job))
    }

    fn displace(&mut self, now: TimeMs, victim: &RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.remove_queued(victim) else {
            return;
        };
        self.classes[request.class].last_shed = Some(now);
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
        self.table.enqueue(TrackedRequest {
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
        self.length_estimator
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
