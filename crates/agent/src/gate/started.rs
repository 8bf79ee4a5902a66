//! Which requests have started here, so that a late recall is told the truth.

use std::hash::{BuildHasher, RandomState};

use indexmap::IndexSet;
use types::{RequestId, TimeMs};

/// Digests kept in one half of the memory at most.
const HALF_MAX: usize = 200_000;

/// Bounded memory of started requests.
///
/// # Invariants
///
/// Every request that started at or after `complete_since` is remembered. A
/// digest that collides only makes an answer less certain, never wrong.
#[derive(Debug)]
pub(crate) struct StartedMemory {
    hasher: RandomState,
    horizon_ms: u64,
    complete_since: TimeMs,
    newer_since: TimeMs,
    newer: IndexSet<u64>,
    older: IndexSet<u64>,
}

impl StartedMemory {
    /// Makes a memory of a process that started `now`. A recall refers to a
    /// request that was sent at most `horizon_ms` ago.
    pub(crate) fn new(now: TimeMs, horizon_ms: u64) -> Self {
        Self {
            hasher: RandomState::new(),
            horizon_ms,
            complete_since: now,
            newer_since: now,
            newer: IndexSet::new(),
            older: IndexSet::new(),
        }
    }

    /// Changes the age up to which a recall may refer to a request.
    pub(crate) fn set_horizon(&mut self, horizon_ms: u64) {
        self.horizon_ms = horizon_ms;
    }

    /// Remembers that a request has started.
    pub(crate) fn note(&mut self, now: TimeMs, request_id: &RequestId) {
        if self.newer.len() >= HALF_MAX {
            self.turn(now);
        }
        self.newer.insert(self.hasher.hash_one(request_id));
    }

    /// Forgets what no recall can refer to any more.
    pub(crate) fn forget_old(&mut self, now: TimeMs) {
        if now.since(self.newer_since) > self.horizon_ms {
            self.turn(now);
        }
    }

    /// Whether the request may have started here, in this process or in one
    /// before it.
    pub(crate) fn may_have_started(&self, now: TimeMs, request_id: &RequestId) -> bool {
        let digest = self.hasher.hash_one(request_id);
        self.newer.contains(&digest)
            || self.older.contains(&digest)
            || now.since(self.complete_since) < self.horizon_ms
    }

    fn turn(&mut self, now: TimeMs) {
        self.complete_since = self.newer_since;
        self.newer_since = now;
        self.older = std::mem::take(&mut self.newer);
    }
}
