//! Preemption: pauses running requests so that more urgent ones can start.

use std::cmp::Reverse;

use types::{RequestId, TimeMs};

use super::{
    lane::FeedbackLane,
    table::{Running, TrackedRequest},
    Action, Discipline, Scheduler,
};

impl Scheduler {
    /// Number of pauses allowed for every request, regardless of its tokens.
    const INITIAL_PAUSES_MAX: u32 = 2;
    /// Generated tokens that allow one more pause. This guarantees progress for
    /// requests that are paused often.
    const TOKENS_PER_PAUSE: u32 = 64;
    /// Minimum run time between two pauses, in milliseconds.
    const RUN_MIN_MS: u64 = 200;

    /// Pauses running requests until enough slots are free, or becoming free,
    /// for the queued requests that justify preemption.
    pub(super) fn pause_for_waiting(&mut self, now: TimeMs, actions: &mut Vec<Action>) {
        if self.settings.discipline == Discipline::Fifo {
            return;
        }
        let mut preemption_demand = 0;
        for class in 0..self.classes.len() {
            preemption_demand += self.preemption_demand(now, class);
            while self.slots_becoming_free() < preemption_demand && self.may_pause_more() {
                let Some(victim) = self.victim(now, class) else {
                    break;
                };
                self.table.begin_stop(&victim);
                actions.push(Action::Pause { request_id: victim });
            }
        }
    }

    /// Number of queued requests of the class that justify preemption: all of
    /// them if the class is urgent or is being shed, otherwise one if the oldest
    /// has waited for at least half of its first-token target. Requests that
    /// must run alone don't count.
    fn preemption_demand(&self, now: TimeMs, class: usize) -> usize {
        let queue = &self.classes[class];
        let waiting = queue.len() - queue.run_alone_len();
        if waiting == 0 || self.is_urgent(class) || self.is_shedding(now, queue) {
            return waiting;
        }
        usize::from(self.oldest_is_late(now, class))
    }

    fn oldest_is_late(&self, now: TimeMs, class: usize) -> bool {
        let queue = &self.classes[class];
        let oldest = queue.oldest().and_then(|id| self.table.queued_get(id));
        let target_ms = queue.rules.first_token_target_ms;
        oldest.is_some_and(|request| now.since(request.arrived) * 2 >= target_ms)
    }

    /// Number of slots that are free, or become free once the engine has stopped
    /// the requests being paused.
    fn slots_becoming_free(&self) -> usize {
        let stopping = self.table.stopping_len();
        if self.is_run_alone_active() {
            return stopping;
        }
        let limit = self.limit.limit();
        (limit + stopping).saturating_sub(self.table.slots_used())
    }

    fn may_pause_more(&self) -> bool {
        let suspended = self.table.paused_len() + self.table.stopping_len();
        suspended < self.settings.running_max as usize
    }

    /// Selects the running request to pause for queued ones of `class`: from the
    /// lowest class, then with the fewest pauses, then with the most tokens. If
    /// no lower class has one, a request of the same class in the last lane is
    /// paused for a late request that is expected to be short.
    fn victim(&self, now: TimeMs, class: usize) -> Option<RequestId> {
        let priority = self.classes[class].rules.priority;
        let lower = |request: &&TrackedRequest<Running>| {
            self.classes[request.class].rules.priority < priority
        };
        let same_class_long =
            |request: &&TrackedRequest<Running>| request.class == class && request.lane().is_last();
        let pausable = || {
            self.table
                .running()
                .filter(|request| can_pause(now, request))
        };
        let order = |request: &&TrackedRequest<Running>| {
            let priority = self.classes[request.class].rules.priority;
            let longest = Reverse(request.tokens);
            (priority, request.pauses, longest, Reverse(request.sequence))
        };
        let mut victim = pausable().filter(lower).min_by_key(order);
        if victim.is_none() && self.short_request_is_late(now, class) {
            victim = pausable().filter(same_class_long).min_by_key(order);
        }
        victim.map(|request| request.job.request_id.clone())
    }

    /// Returns whether the oldest request of the class is expected to be short
    /// and has waited for at least half of its first-token target.
    fn short_request_is_late(&self, now: TimeMs, class: usize) -> bool {
        let oldest = self.classes[class].oldest();
        let oldest = oldest.and_then(|id| self.table.queued_get(id));
        let short = oldest
            .is_some_and(|request| request.expected_tokens <= FeedbackLane::FIRST_QUANTUM_TOKENS);
        short && self.oldest_is_late(now, class)
    }
}

/// Returns whether the request is resumable and has made enough progress to be
/// paused again.
fn can_pause(now: TimeMs, request: &TrackedRequest<Running>) -> bool {
    let allowed = Scheduler::INITIAL_PAUSES_MAX + request.tokens / Scheduler::TOKENS_PER_PAUSE;
    let ran_enough =
        request.pauses == 0 || now.since(request.state.started) >= Scheduler::RUN_MIN_MS;
    request.job.resumable && request.pauses < allowed && ran_enough
}
