//! The instance list, which lags behind what was told to it.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use serde_json::Value;

/// A change that is not visible yet.
#[derive(Debug)]
struct Pending {
    visible_at: Instant,
    instance: String,
    /// The instance's line; `None` removes it.
    line: Option<Value>,
}

/// The list as callers see it, and the changes still to come.
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

    /// Adds, replaces or removes an instance; visible after the lag.
    pub(crate) fn change(&mut self, instance: String, line: Option<Value>, now: Instant) {
        self.pending.push_back(Pending {
            visible_at: now + self.lag,
            instance,
            line,
        });
    }

    /// Makes due changes visible; returns whether there was one.
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
            match pending.line {
                Some(line) => {
                    self.visible.insert(pending.instance, line);
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

    /// When the next change becomes visible.
    pub(crate) fn next_due(&self) -> Option<Instant> {
        self.pending.front().map(|pending| pending.visible_at)
    }

    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn lines(&self) -> Vec<&Value> {
        self.visible.values().collect()
    }
}
