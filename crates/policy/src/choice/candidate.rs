//! Statistics that one entry keeps about one instance.

use std::sync::{
    atomic::{AtomicU32, AtomicU64, Ordering},
    Arc,
};

use types::TimeMs;

use super::{
    average::{FirstTokenStats, MovingAverage},
    Member,
};
use crate::schedule::LoadReport;

/// An instance with the statistics of this entry.
#[derive(Debug)]
pub struct Candidate {
    /// Instance and zone of the candidate.
    pub member: Member,
    first_token_stats: Arc<FirstTokenStats>,
    in_flight: AtomicU32,
    /// Number of requests sent whose first token has not arrived.
    awaiting_first_token: AtomicU32,
    /// Start of the current wait for first tokens.
    awaiting_since: AtomicU64,
    /// Time of the last token of any request.
    last_token_at: AtomicU64,
    /// Send time of the last request that had to wait for a slot.
    queued_at: AtomicU64,
    first_token: MovingAverage,
    token_gap: MovingAverage,
    in_flight_history: InFlightHistory,
    report: LastReport,
    failures: AtomicU32,
    backoff_until: AtomicU64,
    full_until: AtomicU64,
}

/// Content of the last load report.
#[derive(Debug, Default)]
struct LastReport {
    /// Time of the measurement; 0 before the first report.
    measured_at: AtomicU64,
    requests: AtomicU32,
    running_limit: AtomicU32,
    first_token_ms: AtomicU32,
    /// Requests of other entries at the time of the measurement.
    other_requests: AtomicU32,
}

/// Number of this entry's requests in flight over the last 8 s. Used to
/// subtract the entry's own requests from the total in a delayed report.
#[derive(Debug, Default)]
struct InFlightHistory {
    /// Each bucket has its number in the upper 32 bits and the requests in
    /// flight in the lower 32 bits.
    buckets: [AtomicU64; Self::BUCKETS],
}

impl InFlightHistory {
    const BUCKETS: usize = 32;
    const BUCKET_MS: u64 = 250;

    fn record(&self, now: TimeMs, in_flight: u32) {
        let bucket = now.0 / Self::BUCKET_MS;
        let value = (bucket << 32) | u64::from(in_flight);
        self.buckets[bucket as usize % Self::BUCKETS].store(value, Ordering::Relaxed);
    }

    /// Returns the requests in flight at `then`; `now_in_flight` if no bucket
    /// covers that time.
    fn at(&self, then: TimeMs, now_in_flight: u32) -> u32 {
        let bucket = then.0 / Self::BUCKET_MS;
        for offset in 0..Self::BUCKETS as u64 {
            let Some(bucket) = bucket.checked_sub(offset) else {
                break;
            };
            let value = self.buckets[bucket as usize % Self::BUCKETS].load(Ordering::Relaxed);
            if value != 0 && value >> 32 == bucket & u64::from(u32::MAX) {
                return value as u32;
            }
        }
        now_in_flight
    }
}

impl Candidate {
    /// Weight of a first-token time above the average, so high that one slow
    /// answer makes the instance a straggler.
    const FIRST_TOKEN_WEIGHT_UP: f32 = 0.5;
    /// Weight of a first-token time below the average, so high that one fast
    /// probe ends the straggler state.
    const FIRST_TOKEN_WEIGHT_DOWN: f32 = 0.7;
    /// Weight of a new token gap in the moving average.
    const TOKEN_GAP_WEIGHT: f32 = 0.2;
    /// A token gap counts as at most this multiple of the average, so that the
    /// gap of a paused stream does not make the instance a straggler.
    const TOKEN_GAP_OUTLIER_FACTOR: u64 = 6;
    /// Back-off after the first failure; doubles with each further failure.
    const BACKOFF_MS: u64 = 250;
    /// Maximum back-off after repeated failures.
    const BACKOFF_MAX_MS: u64 = 8_000;
    /// Back-off after a refusal for lack of capacity.
    const FULL_BACKOFF_MS: u64 = 50;
    /// Running limit assumed before the first report, in requests.
    const ASSUMED_RUNNING_LIMIT: u32 = 16;
    /// Age at which a report has half its weight.
    const REPORT_HALF_AGE_MS: f64 = 2_000.0;
    /// Hedge delay before the first observation.
    const HEDGE_DEFAULT_MS: u64 = 1_000;
    /// Minimum and maximum hedge delay, in milliseconds, once there are
    /// observations.
    const HEDGE_RANGE_MS: (u64, u64) = (10, 10_000);

    /// Creates a candidate without observations.
    pub fn new(member: Member) -> Self {
        Self::with_first_token_stats(member, Arc::default())
    }

    pub(super) fn with_first_token_stats(
        member: Member,
        first_token_stats: Arc<FirstTokenStats>,
    ) -> Self {
        Self {
            member,
            first_token_stats,
            in_flight: AtomicU32::new(0),
            awaiting_first_token: AtomicU32::new(0),
            awaiting_since: AtomicU64::new(0),
            last_token_at: AtomicU64::new(0),
            queued_at: AtomicU64::new(0),
            first_token: MovingAverage::default(),
            token_gap: MovingAverage::default(),
            in_flight_history: InFlightHistory::default(),
            report: LastReport::default(),
            failures: AtomicU32::new(0),
            backoff_until: AtomicU64::new(0),
            full_until: AtomicU64::new(0),
        }
    }

    /// Records a request sent by this entry.
    pub fn on_sent(&self, now: TimeMs, _expected_tokens: u32) {
        let in_flight = self.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
        self.in_flight_history.record(now, in_flight);
        if self.is_queueing(now) {
            self.queued_at.store(now.0, Ordering::Relaxed);
        }
        if self.awaiting_first_token.fetch_add(1, Ordering::Relaxed) == 0 {
            self.awaiting_since.store(now.0, Ordering::Relaxed);
        }
    }

    /// Records the first token of a request, `wait_ms` after it was sent.
    pub fn on_first_token(&self, now: TimeMs, wait_ms: u64) {
        let queued_at = TimeMs(self.queued_at.load(Ordering::Relaxed));
        if queued_at < now - wait_ms {
            self.record_unqueued_first_token(now, wait_ms);
        }
        decrement(&self.awaiting_first_token);
        self.awaiting_since.store(now.0, Ordering::Relaxed);
        self.last_token_at.store(now.0, Ordering::Relaxed);
        self.failures.store(0, Ordering::Relaxed);
        self.backoff_until.store(0, Ordering::Relaxed);
    }

    /// Records a first-token time that was not caused by waiting for a slot.
    fn record_unqueued_first_token(&self, now: TimeMs, wait_ms: u64) {
        let average = self.first_token.get().unwrap_or(0.0);
        let weight = match wait_ms as f32 > average {
            true => Self::FIRST_TOKEN_WEIGHT_UP,
            false => Self::FIRST_TOKEN_WEIGHT_DOWN,
        };
        self.first_token.add(now, wait_ms, weight);
        self.first_token_stats.add(now, wait_ms);
    }

    /// Records a later token, `gap_ms` after the previous one.
    pub fn on_token_gap(&self, now: TimeMs, gap_ms: u64) {
        self.last_token_at.store(now.0, Ordering::Relaxed);
        let average_ms = self.token_gap.get().unwrap_or(gap_ms as f32) as u64 + 1;
        let gap_ms = gap_ms.min(average_ms.saturating_mul(Self::TOKEN_GAP_OUTLIER_FACTOR));
        self.token_gap.add(now, gap_ms, Self::TOKEN_GAP_WEIGHT);
    }

    /// Records the end of a request that was sent with the same
    /// `expected_tokens`.
    pub fn on_end(&self, now: TimeMs, _expected_tokens: u32) {
        let in_flight = decrement(&self.in_flight);
        self.in_flight_history.record(now, in_flight);
        // A request that ended without a first token is no longer awaited.
        self.awaiting_first_token
            .fetch_min(in_flight, Ordering::Relaxed);
    }

    /// Records a connection failure, a malformed answer or a timeout.
    pub fn on_failure(&self, now: TimeMs) {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed).min(16);
        let backoff_ms = (Self::BACKOFF_MS << failures).min(Self::BACKOFF_MAX_MS);
        let until = now + backoff_ms;
        self.backoff_until.fetch_max(until.0, Ordering::Relaxed);
    }

    /// Records that the agent refused a request for lack of capacity.
    pub fn on_refusal(&self, now: TimeMs) {
        let until = now + Self::FULL_BACKOFF_MS;
        self.full_until.fetch_max(until.0, Ordering::Relaxed);
    }

    /// Records a load report measured `age_ms` before `now`. A report older
    /// than the last one is ignored.
    pub fn on_report(&self, now: TimeMs, report: &LoadReport, age_ms: u64) {
        let measured_at = now - age_ms;
        let last = self
            .report
            .measured_at
            .fetch_max(measured_at.0, Ordering::Relaxed);
        if last > measured_at.0 {
            return;
        }
        let requests = report.running.saturating_add(report.queued);
        let own = self.in_flight_history.at(measured_at, self.in_flight());
        let other_requests = requests.saturating_sub(own);
        let last_report = &self.report;
        last_report.requests.store(requests, Ordering::Relaxed);
        last_report
            .other_requests
            .store(other_requests, Ordering::Relaxed);
        last_report
            .running_limit
            .store(report.running_limit, Ordering::Relaxed);
        last_report
            .first_token_ms
            .store(report.first_token_ms, Ordering::Relaxed);
    }

    /// Returns the number of this entry's requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the time to wait for a response before a hedge request is sent
    /// to another instance, in milliseconds, derived from this entry's
    /// observations of all instances.
    pub fn hedge_after_ms(&self) -> u64 {
        let (shortest, longest) = Self::HEDGE_RANGE_MS;
        let threshold_ms = self.first_token_stats.outlier_threshold_ms();
        threshold_ms.map_or(Self::HEDGE_DEFAULT_MS, |ms| ms.clamp(shortest, longest))
    }

    /// Returns the requests in the last report, 0 before the first one.
    pub(super) fn reported_requests(&self) -> u32 {
        self.report.requests.load(Ordering::Relaxed)
    }

    /// Returns the estimated number of requests: this entry's own exactly,
    /// those of other entries from the last report, with a weight that falls as
    /// the report ages.
    pub(super) fn load(&self, now: TimeMs) -> f64 {
        let measured_at = TimeMs(self.report.measured_at.load(Ordering::Relaxed));
        let age_ms = now.since(measured_at) as f64;
        let weight = Self::REPORT_HALF_AGE_MS / (Self::REPORT_HALF_AGE_MS + age_ms);
        let other_requests = f64::from(self.report.other_requests.load(Ordering::Relaxed));
        f64::from(self.in_flight()) + other_requests * weight
    }

    /// Returns whether requests have to wait for a slot, so that the time to
    /// their first token does not reflect the speed of the instance.
    pub(super) fn is_queueing(&self, now: TimeMs) -> bool {
        let limit = self.report.running_limit.load(Ordering::Relaxed);
        self.load(now) > f64::from(limit.max(1))
    }

    /// Returns the running limit, in requests, at least 1.
    pub(super) fn running_limit(&self) -> f64 {
        let limit = match self.report.running_limit.load(Ordering::Relaxed) {
            0 => Self::ASSUMED_RUNNING_LIMIT,
            limit => limit,
        };
        f64::from(limit)
    }

    /// Returns the average first-token time that this entry observed, in
    /// milliseconds, or the reported one before the first observation.
    pub(super) fn first_token_ms(&self) -> Option<f64> {
        let reported = self.report.first_token_ms.load(Ordering::Relaxed);
        let reported = (reported > 0).then_some(f64::from(reported));
        self.first_token.get().map(f64::from).or(reported)
    }

    /// Returns the average time between tokens that this entry observed, in
    /// milliseconds.
    pub(super) fn token_gap_ms(&self) -> Option<f64> {
        self.token_gap.get().map(f64::from)
    }

    /// Returns the time for which a first token has been awaited without any
    /// other token, in milliseconds.
    pub(super) fn silent_ms(&self, now: TimeMs) -> u64 {
        let since = self.awaiting_since.load(Ordering::Relaxed);
        let queued = self.queued_at.load(Ordering::Relaxed) >= since;
        if !self.is_awaiting_first_token() || queued {
            return 0;
        }
        now.since(TimeMs(since))
            .min(self.token_gap.sample_age_ms(now))
    }

    /// Returns the time for which no running stream has had a token, in
    /// milliseconds.
    pub(super) fn stalled_ms(&self, now: TimeMs) -> u64 {
        let awaiting_first_token = self.awaiting_first_token.load(Ordering::Relaxed);
        if self.in_flight() <= awaiting_first_token {
            return 0;
        }
        let last = TimeMs(self.last_token_at.load(Ordering::Relaxed));
        now.since(last)
    }

    /// Returns whether a first token is awaited.
    pub(super) fn is_awaiting_first_token(&self) -> bool {
        self.awaiting_first_token.load(Ordering::Relaxed) > 0
    }

    /// Returns the time since the last observation of this entry, in
    /// milliseconds.
    pub(super) fn observation_age_ms(&self, now: TimeMs) -> u64 {
        let first_token = self.first_token.sample_age_ms(now);
        first_token.min(self.token_gap.sample_age_ms(now))
    }

    /// Returns whether failures exclude the instance: during the back-off, and
    /// afterwards while one request probes it.
    pub(super) fn is_failed(&self, now: TimeMs) -> bool {
        let until = self.backoff_until.load(Ordering::Relaxed);
        let is_probing =
            self.failures.load(Ordering::Relaxed) > 0 && self.is_awaiting_first_token();
        now.0 < until || is_probing
    }

    /// Returns whether the instance refused a request for lack of capacity
    /// within the last [`Self::FULL_BACKOFF_MS`].
    pub(super) fn is_full(&self, now: TimeMs) -> bool {
        now.0 < self.full_until.load(Ordering::Relaxed)
    }
}

/// Decrements a count, saturating at zero, and returns the new value.
fn decrement(count: &AtomicU32) -> u32 {
    let lower = |count: u32| count.checked_sub(1);
    let before = count.fetch_update(Ordering::Relaxed, Ordering::Relaxed, lower);
    before.map_or(0, |before| before - 1)
}
