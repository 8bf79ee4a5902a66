//! Instance list whose changes become visible after a configured lag.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use serde_json::Value;

/// A change that is not visible to callers yet.
#[derive(Debug)]
struct Pending {
    visible_at: Instant,
    instance: String,
    /// New record of the instance; `None` removes it.
    record: Option<Value>,
}

/// The visible instance list and its pending changes.
#[derive(Debug)]
pub(crate) struct Instances {
    lag: Duration,
    visible: IndexMap<String, Value>,
    pending: VecDeque<Pending>,
    version: u64,
}

impl Instances {
    pub(crate) fn new(lag: Duration) -> Self {
        Self {
            lag,
            visible: IndexMap::new(),
            pending: VecDeque::new(),
            version: 1,
        }
    }

    /// Schedules the addition, replacement or removal of an instance, which
    /// becomes visible after the lag.
    pub(crate) fn schedule_change(
        &mut self,
        instance: String,
        record: Option<Value>,
        now: Instant,
    ) {
        self.pending.push_back(Pending {
            visible_at: now + self.lag,
            instance,
            record,
        });
    }

    /// Makes due changes visible; returns whether there was any.
    pub(crate) fn apply_due(&mut self, now: Instant) -> bool {
        let mut changed = false;
        while self
            .pending
            .front()
            .is_some_and(|pending| pending.visible_at <= now)
        {
            let Some(pending) = self.pending.pop_front() else {
                break;
            };
            match pending.record {
                Some(record) => {
                    self.visible.insert(pending.instance, record);
                }
                None => {
                    self.visible.shift_remove(&pending.instance);
                }
            }
            self.version += 1;
            changed = true;
        }
        changed
    }

    /// Returns when the next change becomes visible; `None` if none is pending.
    pub(crate) fn next_due(&self) -> Option<Instant> {
        self.pending.front().map(|pending| pending.visible_at)
    }

    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn records(&self) -> Vec<&Value> {
        self.visible.values().collect()
    }
}
