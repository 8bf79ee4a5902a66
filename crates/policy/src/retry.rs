//! A budget that keeps retries and hedges a small fraction of the requests.

use types::TimeMs;

/// Extra attempts that one entry may make.
///
/// # Invariants
///
/// Extra attempts over any span of `n` requests are at most
/// `n * EARNED_PER_REQUEST_MILLI / 1000 + BURST_MILLI / 1000`. Thus attempts
/// stay within 1.1 times the requests over any 1,000 requests.
#[derive(Debug)]
pub struct RetryBudget {
    tokens_milli: i64,
}

impl RetryBudget {
    /// Extra attempts earned by each request, in thousandths.
    pub const EARNED_PER_REQUEST_MILLI: i64 = 80;
    /// Largest stored budget, in thousandths of an attempt.
    pub const BURST_MILLI: i64 = 20_000;

    /// Makes a full budget.
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

    /// Takes one attempt for a hedge, which leaves half of the budget for
    /// retries of requests that failed.
    pub fn try_take_hedge(&mut self, now: TimeMs) -> bool {
        self.tokens_milli > Self::BURST_MILLI / 2 && self.try_take(now)
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

/// Longest answer that is hedged, in tokens.
pub const HEDGE_MAX_TOKENS: u32 = 128;

/// Whether a request that has waited `waited_ms` without a sign of life may be
/// sent to a second instance, as far as the request itself decides. Only short
/// repeatable work is; `hedge_after_ms` is that of its candidate.
pub fn may_hedge(
    repeatable: bool,
    expected_tokens: u32,
    waited_ms: u64,
    hedge_after_ms: u64,
) -> bool {
    repeatable && expected_tokens <= HEDGE_MAX_TOKENS && waited_ms >= hedge_after_ms
}

/// Jittered pause before attempt `attempt` (1 is the first retry), in milliseconds.
pub fn backoff_ms(attempt: u32, random: u64) -> u64 {
    const BASE_MS: u64 = 2;
    const MAX_MS: u64 = 200;
    let ceiling = (BASE_MS << attempt.min(10)).min(MAX_MS);
    random % (ceiling + 1)
}

/// Jittered time told to a refused caller, in milliseconds: between half and
/// one and a half times the expected wait, which counts as 200 to 60,000.
pub fn retry_after_ms(expected_wait_ms: u64, random: u64) -> u64 {
    const MIN_MS: u64 = 200;
    const MAX_MS: u64 = 60_000;
    let wait_ms = expected_wait_ms.clamp(MIN_MS, MAX_MS);
    wait_ms / 2 + random % (wait_ms + 1)
}
