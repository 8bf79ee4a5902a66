//! Pauses of long lower-class work for work that can't wait.

use std::cmp::Reverse;

use types::{RequestId, TimeMs};

use super::{
    lane::Lane,
    table::{Held, Running},
    Action, Discipline, Scheduler,
};

impl Scheduler {
    /// Pauses that each request may take before it has generated a token.
    const PAUSES_FREE: u32 = 2;
    /// Tokens that pay for one more pause, so that a request that is paused
    /// often still gets on and ends.
    const TOKENS_PER_PAUSE: u32 = 64;
    /// Shortest run between two pauses, in milliseconds.
    const RUN_MIN_MS: u64 = 200;

    /// Pauses lower work while requests wait that can't wait longer.
    pub(super) fn pause_for_waiting(&mut self, now: TimeMs, actions: &mut Vec<Action>) {
        if self.settings.discipline == Discipline::Fifo {
            return;
        }
        let mut pressing = 0;
        for class in 0..self.classes.len() {
            pressing += self.pressing(now, class);
            while self.slots_coming() < pressing && self.may_pause_more() {
                let Some(victim) = self.victim(now, class) else {
                    break;
                };
                self.table.stop(&victim);
                actions.push(Action::Pause { request_id: victim });
            }
        }
    }

    /// Requests of the class that lower work is paused for: all of the urgent
    /// class and of one that is being shed, and one that has waited for half
    /// of its target.
    fn pressing(&self, now: TimeMs, class: usize) -> usize {
        let queue = &self.classes[class];
        let waiting = queue.len() - queue.alone_len();
        if waiting == 0 || self.is_urgent(class) || self.is_shed(now, queue) {
            return waiting;
        }
        usize::from(self.oldest_is_late(now, class))
    }

    fn oldest_is_late(&self, now: TimeMs, class: usize) -> bool {
        let queue = &self.classes[class];
        let oldest = queue.oldest().and_then(|id| self.table.queued_get(id));
        let target_ms = queue.rules.first_token_target_ms;
        oldest.is_some_and(|held| now.since(held.arrived) * 2 >= target_ms)
    }

    /// Slots that are free or will be once the engine has stopped requests.
    fn slots_coming(&self) -> usize {
        let stopping = self.table.stopping_len();
        if self.runs_alone() {
            return stopping;
        }
        let limit = self.limit.limit();
        (limit + stopping).saturating_sub(self.table.slots_used())
    }

    fn may_pause_more(&self) -> bool {
        let held_back = self.table.paused_len() + self.table.stopping_len();
        held_back < self.settings.running_max as usize
    }

    /// The running request that waiting ones of `class` may push aside: of the
    /// lowest class, with the fewest pauses, with the most tokens.
    fn victim(&self, now: TimeMs, class: usize) -> Option<RequestId> {
        let priority = self.classes[class].rules.priority;
        let lower = |held: &&Held<Running>| self.classes[held.class].rules.priority < priority;
        let same_but_long = |held: &&Held<Running>| held.class == class && held.lane().is_last();
        let pausable = || self.table.running().filter(|held| can_pause(now, held));
        let order = |held: &&Held<Running>| {
            let priority = self.classes[held.class].rules.priority;
            let longest = Reverse(held.tokens);
            (priority, held.pauses, longest, Reverse(held.sequence))
        };
        let mut victim = pausable().filter(lower).min_by_key(order);
        if victim.is_none() && self.short_one_is_late(now, class) {
            victim = pausable().filter(same_but_long).min_by_key(order);
        }
        victim.map(|held| held.job.request_id.clone())
    }

    /// Whether a request that is expected to be short has waited for half of
    /// the target of its class.
    fn short_one_is_late(&self, now: TimeMs, class: usize) -> bool {
        let oldest = self.classes[class].oldest();
        let oldest = oldest.and_then(|id| self.table.queued_get(id));
        let short = oldest.is_some_and(|held| held.expected_tokens <= Lane::FIRST_QUANTUM_TOKENS);
        short && self.oldest_is_late(now, class)
    }
}

/// Whether a pause would not keep the request from getting on.
fn can_pause(now: TimeMs, held: &Held<Running>) -> bool {
    let allowed = Scheduler::PAUSES_FREE + held.tokens / Scheduler::TOKENS_PER_PAUSE;
    let ran_enough = held.pauses == 0 || now.since(held.state.started) >= Scheduler::RUN_MIN_MS;
    held.job.resumable && held.pauses < allowed && ran_enough
}
