//! A budget that keeps retries and hedges a small fraction of the requests.

use types::TimeMs;

/// Extra attempts that one entry may make for one class.
///
/// # Invariants
///
/// Attempts over any span stay within the requests of that span times
/// `1 + share`, plus the burst.
#[derive(Debug)]
pub struct RetryBudget {
    tokens_milli: i64,
}

impl RetryBudget {
    /// Extra attempts earned by each request, in thousandths.
    pub const EARNED_PER_REQUEST_MILLI: i64 = 100;
    /// Largest stored budget, in thousandths of an attempt.
    pub const BURST_MILLI: i64 = 10_000;

    /// Makes a budget that allows a small burst.
    pub fn new() -> Self {
        Self {
            tokens_milli: Self::BURST_MILLI,
        }
    }

    /// Notes a first attempt.
    pub fn on_request(&mut self) {
        self.tokens_milli =
            (self.tokens_milli + Self::EARNED_PER_REQUEST_MILLI).min(Self::BURST_MILLI);
    }

    /// Takes one extra attempt from the budget, if it allows one.
    pub fn try_take(&mut self, _now: TimeMs) -> bool {
        if self.tokens_milli < 1_000 {
            return false;
        }
        self.tokens_milli -= 1_000;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

/// Jittered pause before attempt `attempt` (1 is the first retry), in milliseconds.
pub fn backoff_ms(attempt: u32, random: u64) -> u64 {
    const BASE_MS: u64 = 5;
    const MAX_MS: u64 = 500;
    let ceiling = (BASE_MS << attempt.min(10)).min(MAX_MS);
    random % (ceiling + 1)
}

/// Jittered time told to a refused caller, in milliseconds: between half and
/// one and a half times the expected wait, at least 200.
pub fn retry_after_ms(expected_wait_ms: u64, random: u64) -> u64 {
    const MIN_MS: u64 = 200;
    const MAX_MS: u64 = 60_000;
    let wait_ms = expected_wait_ms.clamp(MIN_MS, MAX_MS);
    wait_ms / 2 + random % (wait_ms + 1)
}
