//! The minimum share of each class.
//!
//! While a class waits behind a higher one it earns slot time at the rate of
//! its share and is charged the slot time that it uses. Once it has earned
//! enough it may take the next free slot before the higher one; not while a
//! higher class is being shed.

use types::TimeMs;

use super::{class_queue::ClassQueue, Discipline, Scheduler};

impl Scheduler {
    /// Longest time over which a share is accounted at once, in milliseconds.
    const SHARE_SPAN_MAX_MS: u64 = 1_000;
    /// Slot time that makes a share due, in thousandths of a slot times
    /// milliseconds.
    const SHARE_DUE_SLOT_MS_MILLI: i64 = 250_000;
    /// Longest wait of a class until its share is due, in milliseconds.
    pub const SHARE_DUE_MAX_MS: u64 = 5_000;
    /// Longest wait for slot time that was taken in advance, in milliseconds.
    pub const SHARE_DEBT_MAX_MS: u64 = 20_000;
    /// Time for which shares of lower classes pause after a class was shed,
    /// in milliseconds.
    pub const SHED_COOLDOWN_MS: u64 = 1_000;

    /// Brings the account of each class up to `now`.
    pub(super) fn account_shares(&mut self, now: TimeMs) {
        let span_ms = now.since(self.shares_at).min(Self::SHARE_SPAN_MAX_MS) as i64;
        self.shares_at = self.shares_at.max(now);
        if span_ms == 0 || self.settings.discipline == Discipline::Fifo {
            return;
        }
        let mut higher_waits = false;
        for class in 0..self.classes.len() {
            let waits = self.waits(class);
            self.account_share(class, span_ms, waits && higher_waits);
            higher_waits |= waits;
        }
    }

    /// The class whose share is due, if it is not the first to be served anyway.
    pub(super) fn share_due(&self, now: TimeMs) -> Option<usize> {
        if self.settings.discipline == Discipline::Fifo {
            return None;
        }
        let due = |class: &usize| {
            self.classes[*class].share_credit >= self.share_due_credit(*class)
                && self.waits(*class)
                && !self.is_higher_shed(now, *class)
        };
        (1..self.classes.len())
            .filter(due)
            .max_by_key(|class| self.classes[*class].share_credit)
    }

    /// Takes the credit that a start by share uses.
    pub(super) fn note_share_use(&mut self, now: TimeMs, class: Option<usize>) {
        let due = self.share_due(now);
        if due.is_some() && due == class {
            let class = class.unwrap_or(0);
            self.classes[class].share_credit -= self.share_due_credit(class);
        }
    }

    /// Whether the class lost requests for lack of room lately or has no room.
    pub(super) fn is_shed(&self, now: TimeMs, queue: &ClassQueue) -> bool {
        let lately = |shed: TimeMs| now.since(shed) < Self::SHED_COOLDOWN_MS;
        let limit = queue.rules.queue_limit as usize;
        let full = limit > 0 && queue.len() >= limit;
        full || queue.last_shed.is_some_and(lately)
    }

    /// Classes of the configuration, without the one for unlisted requests.
    pub(super) fn listed(&self) -> impl Iterator<Item = &ClassQueue> {
        let listed = self.classes.len() - 1;
        self.classes.iter().take(listed)
    }

    fn is_higher_shed(&self, now: TimeMs, class: usize) -> bool {
        let priority = self.classes[class].rules.priority;
        let mut higher = self
            .classes
            .iter()
            .filter(|queue| queue.rules.priority > priority);
        higher.any(|queue| self.is_shed(now, queue))
    }

    fn waits(&self, class: usize) -> bool {
        let mut paused = self.table.paused();
        self.classes[class].len() > 0 || paused.any(|held| held.class == class)
    }

    fn account_share(&mut self, class: usize, span_ms: i64, behind_higher: bool) {
        let rate = self.share_rate(class);
        let running = self.table.running().filter(|held| held.class == class);
        let used = running.count() as i64 * 1_000;
        let due = self.share_due_credit(class);
        let queue = &mut self.classes[class];
        let earned = rate * span_ms;
        queue.share_credit = if behind_higher {
            queue.share_credit + earned - used * span_ms
        } else {
            (queue.share_credit + earned).min(0)
        };
        let floor = -rate * Self::SHARE_DEBT_MAX_MS as i64;
        queue.share_credit = queue.share_credit.clamp(floor, 2 * due);
    }

    /// Slot time that the class earns, in thousandths of a slot.
    fn share_rate(&self, class: usize) -> i64 {
        let share = self.classes[class].rules.share_permille() as i64;
        share * self.limit.limit() as i64
    }

    fn share_due_credit(&self, class: usize) -> i64 {
        let longest = self.share_rate(class) * Self::SHARE_DUE_MAX_MS as i64;
        longest.min(Self::SHARE_DUE_SLOT_MS_MILLI)
    }
}
