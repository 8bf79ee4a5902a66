//! Budgets that limit retries and hedged requests, and the delays between
//! attempts.

use std::collections::VecDeque;

use types::TimeMs;

/// Token bucket for the extra attempts (retries and hedges) of one entry.
///
/// # Invariants
///
/// Any `n` consecutive requests allow at most
/// `n * EARNED_PER_REQUEST_MILLI / 1000 + BURST_MILLI / 1000` extra attempts.
/// Over 1,000 requests, attempts are therefore at most 1.1 times the requests.
#[derive(Debug)]
pub struct RetryBudget {
    tokens_milli: i64,
}

impl RetryBudget {
    /// Extra attempts added to the budget by each request, in thousandths.
    pub const EARNED_PER_REQUEST_MILLI: i64 = 80;
    /// Capacity of the token bucket, in thousandths of an attempt.
    pub const BURST_MILLI: i64 = 20_000;

    /// Creates a budget filled to [`RetryBudget::BURST_MILLI`].
    pub fn new() -> Self {
        Self {
            tokens_milli: Self::BURST_MILLI,
        }
    }

    /// Records the first attempt of a request, which adds to the budget.
    pub fn on_request(&mut self) {
        self.tokens_milli =
            (self.tokens_milli + Self::EARNED_PER_REQUEST_MILLI).min(Self::BURST_MILLI);
    }

    /// Takes one extra attempt from the budget. Returns whether the budget allows
    /// it.
    pub fn try_take(&mut self, _now: TimeMs) -> bool {
        if self.tokens_milli < 1_000 {
            return false;
        }
        self.tokens_milli -= 1_000;
        true
    }

    /// Takes one hedged attempt from the budget. Hedges only use the upper half
    /// of the budget, so that the rest remains for retries of failed requests.
    pub fn try_take_hedge(&mut self, now: TimeMs) -> bool {
        self.tokens_milli > Self::BURST_MILLI / 2 && self.try_take(now)
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

/// Maximum expected answer length of a hedged request, in tokens.
pub const HEDGE_MAX_TOKENS: u32 = 128;

/// Returns whether a request that has waited `waited_ms` without output
/// qualifies for a hedge, a second attempt on another instance. Only retryable
/// requests with a short expected answer qualify. `hedge_after_ms` is the hedge
/// delay of the instance in use. The retry budget is checked separately.
pub fn may_hedge(
    retryable: bool,
    expected_tokens: u32,
    waited_ms: u64,
    hedge_after_ms: u64,
) -> bool {
    retryable && expected_tokens <= HEDGE_MAX_TOKENS && waited_ms >= hedge_after_ms
}

/// Returns the delay before a retry, in milliseconds: exponential backoff with
/// full jitter. `attempt` is 1 for the first retry.
pub fn backoff_ms(attempt: u32, random: u64) -> u64 {
    const BASE_MS: u64 = 2;
    const MAX_MS: u64 = 200;
    let ceiling = (BASE_MS << attempt.min(10)).min(MAX_MS);
    random % (ceiling + 1)
}

/// Returns the jittered delay after which a refused caller may retry, in
/// milliseconds: between 0.5 and 1.5 times the expected wait, which is clamped
/// to 200 to 60,000 ms.
pub fn retry_after_ms(expected_wait_ms: u64, random: u64) -> u64 {
    const MIN_MS: u64 = 200;
    const MAX_MS: u64 = 60_000;
    let wait_ms = expected_wait_ms.clamp(MIN_MS, MAX_MS);
    wait_ms / 2 + random % (wait_ms + 1)
}

/// Bounds the retries of requests to one upstream over a sliding window. The
/// bound applies to all entries together, without coordination between them.
///
/// Load pattern: when instances fail many requests at once, every entry retries
/// its own requests, and the retries would keep the instances from recovering.
///
/// # Invariants
///
/// The budgets of all entries add up to less than the bound. Each entry applies
/// the ratio, multiplied by [`WindowedRetryBudget::RATIO_SAFETY_FACTOR`], to
/// its own requests only, and these add up to all requests. It gets the fixed
/// allowance divided by [`WindowedRetryBudget::ENTRIES_ASSUMED`].
#[derive(Debug)]
pub struct WindowedRetryBudget {
    ratio: f64,
    allowance: f64,
    bucket_ms: u64,
    buckets: VecDeque<Bucket>,
}

/// Counts of one bucket of the sliding window.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    number: u64,
    requests: u32,
    retries: u32,
}

impl WindowedRetryBudget {
    /// Fraction of the ratio that is used. The margin covers requests that are
    /// counted in a different window where the bound is checked.
    pub const RATIO_SAFETY_FACTOR: f64 = 0.75;
    /// Number of entries that share the fixed allowance. Deployments have up to
    /// 24 entries; larger ones configure a smaller allowance.
    pub const ENTRIES_ASSUMED: f64 = 24.0;
    /// Number of buckets that the window is divided into.
    const BUCKETS: u64 = 20;

    /// Creates a budget from the bound for all entries: within `window_ms`,
    /// `ratio` retries for each request plus a fixed `allowance`.
    pub fn new(ratio: f64, allowance: f64, window_ms: u64) -> Self {
        let mut budget = Self {
            ratio: 0.0,
            allowance: 0.0,
            bucket_ms: 1,
            buckets: VecDeque::new(),
        };
        budget.set_bound(ratio, allowance, window_ms);
        budget
    }

    /// Changes the bound. Earlier attempts remain counted unless the length of
    /// the window changes, which resets the counts.
    pub fn set_bound(&mut self, ratio: f64, allowance: f64, window_ms: u64) {
        self.ratio = ratio * Self::RATIO_SAFETY_FACTOR;
        self.allowance = allowance / Self::ENTRIES_ASSUMED;
        let bucket_ms = (window_ms / Self::BUCKETS).max(1);
        if bucket_ms != self.bucket_ms {
            self.bucket_ms = bucket_ms;
            self.buckets.clear();
        }
    }

    /// Records the first attempt of a request, which raises the allowed retries.
    pub fn on_request(&mut self, now: TimeMs) {
        self.bucket(now).requests += 1;
    }

    /// Takes one retry from the budget. Returns whether the budget allows it.
    pub fn try_take(&mut self, now: TimeMs) -> bool {
        self.bucket(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let allowed = self.ratio * f64::from(requests) + self.allowance;
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.bucket(now).retries += 1;
        true
    }

    /// Returns the bucket for `now`, after removing those outside the window.
    fn bucket(&mut self, now: TimeMs) -> &mut Bucket {
        let number = now.0 / self.bucket_ms;
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.number + Self::BUCKETS < number)
        {
            self.buckets.pop_front();
        }
        if self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.number < number)
        {
            self.buckets.push_back(Bucket {
                number,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
