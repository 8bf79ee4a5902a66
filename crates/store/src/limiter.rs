//! Client-side rate limits for calls to the platform.
//!
//! The rate limits of the platform grow more slowly than the fleet, so every
//! process limits its own calls. A watch counts as one read, however long it
//! waits.

use std::{
    sync::Mutex,
    time::{Duration, Instant},
};

use crate::StoreError;

/// Longest wait of a call for the rate limiter; a call that would have to wait
/// longer is refused.
const RATE_LIMIT_WAIT_MAX: Duration = Duration::from_secs(1);

/// Kind of a call, which determines its rate limit and its metric label.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Reads an object.
    Get,
    /// Writes an object.
    Put,
    /// Deletes an object.
    Delete,
    /// Lists the objects of a kind.
    List,
    /// Waits for changes of objects.
    Watch,
    /// Asks for changes of objects that a replica of the store already has.
    Check,
    /// Reads the instance list, or waits for a change of it.
    Instances,
    /// Performs a duty for all gateways.
    Duty,
}

impl CallKind {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            CallKind::Get => "get",
            CallKind::Put => "put",
            CallKind::Delete => "delete",
            CallKind::List => "list",
            CallKind::Watch => "watch",
            CallKind::Check => "check",
            CallKind::Instances => "instances",
            CallKind::Duty => "duty",
        }
    }

    fn is_write(self) -> bool {
        matches!(self, CallKind::Put | CallKind::Delete | CallKind::Duty)
    }
}

/// Limits on the calls of one process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimits {
    /// Reads, listings and watches per second.
    pub reads_per_s: f64,
    /// Writes and deletes per second.
    pub writes_per_s: f64,
    /// Calls that may be made at once after an idle period; applies to reads
    /// and writes separately.
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

/// Rate limiter with one token bucket for reads and one for writes.
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

    /// Waits until the rate limit allows the call.
    ///
    /// # Errors
    ///
    /// [`StoreError::Refused`] if the wait would exceed
    /// [`RATE_LIMIT_WAIT_MAX`].
    pub(crate) async fn acquire(&self, kind: CallKind) -> Result<(), StoreError> {
        let bucket = if kind.is_write() {
            &self.writes
        } else {
            &self.reads
        };
        let reserved = {
            let mut bucket = bucket.lock().unwrap_or_else(|error| error.into_inner());
            bucket.reserve(Instant::now(), RATE_LIMIT_WAIT_MAX)
        };
        match reserved {
            Some(wait) if wait.is_zero() => Ok(()),
            Some(wait) => {
                smol::Timer::after(wait).await;
                Ok(())
            }
            None => Err(StoreError::Refused(
                "client-side rate limit of store calls exceeded".into(),
            )),
        }
    }
}

/// Token bucket from which tokens can be reserved before they are available.
///
/// # Invariants
///
/// `tokens` never exceeds `burst`. It can be negative by at most the number of
/// tokens that are added within the longest wait.
#[derive(Debug)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    updated_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(rate_per_s: f64, burst: f64, now: Instant) -> Self {
        Self {
            rate_per_s,
            burst,
            tokens: burst,
            updated_at: now,
        }
    }

    /// Reserves one token and returns the wait until it is available. Returns
    /// `None` without reserving one if the wait would exceed `wait_max`.
    pub fn reserve(&mut self, now: Instant, wait_max: Duration) -> Option<Duration> {
        let passed = now.saturating_duration_since(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        self.tokens = (self.tokens + passed.as_secs_f64() * self.rate_per_s).min(self.burst);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Some(Duration::ZERO);
        }
        let wait = Duration::from_secs_f64((1.0 - self.tokens) / self.rate_per_s);
        if wait > wait_max {
            return None;
        }
        self.tokens -= 1.0;
        Some(wait)
    }
}
