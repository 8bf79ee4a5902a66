//! A budget that keeps retries and hedges a small fraction of the requests.

use std::collections::VecDeque;

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

/// Bounds the attempts beyond the first of one upstream's requests over a
/// sliding window, where the bound is set for all entries together and they
/// do not talk about it.
///
/// Load pattern: instances fail many requests at once, every entry wants to
/// repeat its own, and the repeats would keep the instances from recovering.
///
/// # Invariants
///
/// The entries' shares add up to less than the bound: each takes
/// [`WindowedRetryBudget::RATIO_SAFETY_FACTOR`] of the ratio from its own requests, which
/// sum up to all requests, and one part in
/// [`WindowedRetryBudget::ENTRIES_ASSUMED`] of the fixed allowance.
#[derive(Debug)]
pub struct WindowedRetryBudget {
    ratio: f64,
    allowance: f64,
    span_ms: u64,
    spans: VecDeque<Span>,
}

/// Requests and repeats of one part of the window.
#[derive(Clone, Copy, Debug)]
struct Span {
    number: u64,
    requests: u32,
    repeats: u32,
}

impl WindowedRetryBudget {
    /// Part of the ratio that is used; the rest is left for requests that are
    /// counted in another window by those who set the bound.
    pub const RATIO_SAFETY_FACTOR: f64 = 0.75;
    /// Entries among which the fixed allowance is shared out. Fleets in use
    /// have up to 24; a larger one sets a smaller allowance.
    pub const ENTRIES_ASSUMED: f64 = 24.0;
    /// Parts of the window that are counted one by one.
    const SPANS: u64 = 20;

    /// Makes a budget from the bound for all entries: `ratio` repeats for each
    /// request and `allowance` more, within `window_ms`.
    pub fn new(ratio: f64, allowance: f64, window_ms: u64) -> Self {
        let mut budget = Self {
            ratio: 0.0,
            allowance: 0.0,
            span_ms: 1,
            spans: VecDeque::new(),
        };
        budget.set_bound(ratio, allowance, window_ms);
        budget
    }

    /// Changes the bound. Attempts stay counted unless the window's length has
    /// changed, which starts a new count.
    pub fn set_bound(&mut self, ratio: f64, allowance: f64, window_ms: u64) {
        self.ratio = ratio * Self::RATIO_SAFETY_FACTOR;
        self.allowance = allowance / Self::ENTRIES_ASSUMED;
        let span_ms = (window_ms / Self::SPANS).max(1);
        if span_ms != self.span_ms {
            self.span_ms = span_ms;
            self.spans.clear();
        }
    }

    /// Notes a first attempt.
    pub fn on_request(&mut self, now: TimeMs) {
        self.span(now).requests += 1;
    }

    /// Takes one more attempt from the budget, if it allows one.
    pub fn try_take(&mut self, now: TimeMs) -> bool {
        self.span(now);
        let requests: u32 = self.spans.iter().map(|span| span.requests).sum();
        let repeats: u32 = self.spans.iter().map(|span| span.repeats).sum();
        let allowed = self.ratio * f64::from(requests) + self.allowance;
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        self.span(now).repeats += 1;
        true
    }

    /// The span of now, after dropping those that left the window.
    fn span(&mut self, now: TimeMs) -> &mut Span {
        let number = now.0 / self.span_ms;
        while self
            .spans
            .front()
            .is_some_and(|span| span.number + Self::SPANS < number)
        {
            self.spans.pop_front();
        }
        if self.spans.back().is_none_or(|span| span.number < number) {
            self.spans.push_back(Span {
                number,
                requests: 0,
                repeats: 0,
            });
        }
        let last = self.spans.len() - 1;
        &mut self.spans[last]
    }
}
