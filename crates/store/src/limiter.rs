//! Limits the rate of a process's calls to the platform.
//!
//! The platform's rates grow more slowly than the fleet, so every process
//! keeps within a share of its own. A waiting watch counts as one read.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use crate::StoreError;

/// Longest wait of a call for its turn.
const TURN_WAIT_MAX: Duration = Duration::from_secs(1);

/// What a call does, for limits and counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Reads an object.
    Get,
    /// Writes an object.
    Put,
    /// Deletes an object.
    Delete,
    /// Lists a kind.
    List,
    /// Waits for changes.
    Watch,
    /// Lists instances, or waits for changes of the list.
    Instances,
}

impl CallKind {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            CallKind::Get => "get",
            CallKind::Put => "put",
            CallKind::Delete => "delete",
            CallKind::List => "list",
            CallKind::Watch => "watch",
            CallKind::Instances => "instances",
        }
    }

    fn is_write(self) -> bool {
        matches!(self, CallKind::Put | CallKind::Delete)
    }
}

/// Calls that one process makes at most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimits {
    /// Reads and watches per second.
    pub reads_per_s: f64,
    /// Writes and deletes per second.
    pub writes_per_s: f64,
    /// Calls of each kind that may be made at once after a quiet time.
    pub burst: f64,
}

impl Default for RateLimits {
    fn default() -> Self {
        Self {
            reads_per_s: 100.0,
            writes_per_s: 100.0,
            burst: 200.0,
        }
    }
}

/// Two token buckets: one for reads, one for writes.
#[derive(Debug)]
pub(crate) struct Limiter {
    reads: Mutex<TokenBucket>,
    writes: Mutex<TokenBucket>,
}

impl Limiter {
    pub(crate) fn new(rates: RateLimits) -> Self {
        let now = Instant::now();
        Self {
            reads: Mutex::new(TokenBucket::new(rates.reads_per_s, rates.burst, now)),
            writes: Mutex::new(TokenBucket::new(rates.writes_per_s, rates.burst, now)),
        }
    }

    /// Waits for the call's turn.
    ///
    /// # Errors
    ///
    /// [`StoreError::Refused`] when the turn is too far away.
    pub(crate) async fn acquire(&self, kind: CallKind) -> Result<(), StoreError> {
        let bucket = if kind.is_write() {
            &self.writes
        } else {
            &self.reads
        };
        let turn = {
            let mut bucket = bucket.lock().unwrap_or_else(|error| error.into_inner());
            bucket.reserve(Instant::now(), TURN_WAIT_MAX)
        };
        match turn {
            Some(wait) if wait.is_zero() => Ok(()),
            Some(wait) => {
                smol::Timer::after(wait).await;
                Ok(())
            }
            None => Err(StoreError::Refused(
                "this process keeps within its own rate of store calls".into(),
            )),
        }
    }
}

/// A token bucket that hands out turns ahead of time.
///
/// # Invariants
///
/// `level` never exceeds `burst`, and never falls below minus what
/// accumulates within the longest wait.
#[derive(Debug)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    level: f64,
    updated: Instant,
}

impl TokenBucket {
    /// Makes a full bucket.
    pub fn new(rate_per_s: f64, burst: f64, now: Instant) -> Self {
        Self {
            rate_per_s,
            burst,
            level: burst,
            updated: now,
        }
    }

    /// Takes a turn and returns the wait until it; `None`, and no turn taken,
    /// if it would exceed `wait_max`.
    pub fn reserve(&mut self, now: Instant, wait_max: Duration) -> Option<Duration> {
        let passed = now.saturating_duration_since(self.updated);
        self.updated = self.updated.max(now);
        self.level = (self.level + passed.as_secs_f64() * self.rate_per_s).min(self.burst);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Some(Duration::ZERO);
        }
        let wait = Duration::from_secs_f64((1.0 - self.level) / self.rate_per_s);
        if wait > wait_max {
            return None;
        }
        self.level -= 1.0;
        Some(wait)
    }
}
