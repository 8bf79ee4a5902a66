//! Minimum share of running slots for each class.
//!
//! While requests of a class wait behind a higher class, the class earns credit
//! in slot time at the rate of its share, and pays for the slot time that it
//! uses. With enough credit it gets the next free slot ahead of higher classes,
//! unless requests of a higher class are being shed.

use types::TimeMs;

use super::{class_queue::ClassQueue, Discipline, Scheduler};

impl Scheduler {
    /// Maximum time span credited in one update, in milliseconds.
    const SHARE_SPAN_MAX_MS: u64 = 1_000;
    /// Credit at which a class is due a slot, in thousandths of a slot times
    /// milliseconds.
    const SHARE_DUE_MILLISLOT_MS: i64 = 250_000;
    /// Maximum time, in milliseconds, until a class that waits behind a higher
    /// class is due a slot, if none of its requests is running, its credit is
    /// not negative and no higher class is shedding requests. Credit is the slot
    /// time that a class has earned from its minimum share, less the slot time
    /// that it has used.
    pub const SHARE_DUE_MAX_MS: u64 = 5_000;
    /// Limit on negative credit, which is slot time used in excess of the
    /// minimum share: the time, in milliseconds, in which a waiting class
    /// without running requests earns it back.
    pub const SHARE_DEBT_MAX_MS: u64 = 20_000;
    /// Time after a class was shed during which lower classes get no slot from
    /// their minimum share, in milliseconds.
    pub const SHED_COOLDOWN_MS: u64 = 1_000;

    /// Updates the share credit of each class for the time since the last update.
    pub(super) fn update_share_credits(&mut self, now: TimeMs) {
        let span_ms = now
            .since(self.shares_updated_at)
            .min(Self::SHARE_SPAN_MAX_MS) as i64;
        self.shares_updated_at = self.shares_updated_at.max(now);
        if span_ms == 0 || self.settings.discipline == Discipline::Fifo {
            return;
        }
        let mut higher_waiting = false;
        for class in 0..self.classes.len() {
            let waiting = self.has_waiting(class);
            self.update_share_credit(class, span_ms, waiting && higher_waiting);
            higher_waiting |= waiting;
        }
    }

    /// Returns the waiting class with the most credit among those due a slot.
    /// The first class is excluded, since it is served first anyway.
    pub(super) fn share_due(&self, now: TimeMs) -> Option<usize> {
        if self.settings.discipline == Discipline::Fifo {
            return None;
        }
        let due = |class: &usize| {
            self.classes[*class].share_credit >= self.share_due_credit(*class)
                && self.has_waiting(*class)
                && !self.is_higher_class_shedding(now, *class)
        };
        (1..self.classes.len())
            .filter(due)
            .max_by_key(|class| self.classes[*class].share_credit)
    }

    /// Deducts the credit for a slot if `class` gets it because of its share.
    pub(super) fn charge_share_credit(&mut self, now: TimeMs, class: Option<usize>) {
        let due = self.share_due(now);
        if due.is_some() && due == class {
            let class = class.unwrap_or(0);
            self.classes[class].share_credit -= self.share_due_credit(class);
        }
    }

    /// Returns whether requests of the class were shed recently or its queue is
    /// full.
    pub(super) fn is_shedding(&self, now: TimeMs, queue: &ClassQueue) -> bool {
        let recent = |shed: TimeMs| now.since(shed) < Self::SHED_COOLDOWN_MS;
        let limit = queue.rules.queue_limit as usize;
        let full = limit > 0 && queue.len() >= limit;
        full || queue.last_shed.is_some_and(recent)
    }

    /// Returns the queues of the configured classes: all but the last queue,
    /// which holds requests whose class is not configured.
    pub(super) fn configured_queues(&self) -> impl Iterator<Item = &ClassQueue> {
        let configured = self.classes.len() - 1;
        self.classes.iter().take(configured)
    }

    fn is_higher_class_shedding(&self, now: TimeMs, class: usize) -> bool {
        let priority = self.classes[class].rules.priority;
        let mut higher = self
            .classes
            .iter()
            .filter(|queue| queue.rules.priority > priority);
        higher.any(|queue| self.is_shedding(now, queue))
    }

    fn has_waiting(&self, class: usize) -> bool {
        let mut paused = self.table.paused();
        self.classes[class].len() > 0 || paused.any(|request| request.class == class)
    }

    fn update_share_credit(&mut self, class: usize, span_ms: i64, behind_higher: bool) {
        let rate = self.share_rate(class);
        let running = self
            .table
            .running()
            .filter(|request| request.class == class);
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

    /// Rate at which the class earns credit, in thousandths of a slot.
    fn share_rate(&self, class: usize) -> i64 {
        let share = self.classes[class].rules.share_permille() as i64;
        share * self.limit.limit() as i64
    }

    fn share_due_credit(&self, class: usize) -> i64 {
        let longest = self.share_rate(class) * Self::SHARE_DUE_MAX_MS as i64;
        longest.min(Self::SHARE_DUE_MILLISLOT_MS)
    }
}
