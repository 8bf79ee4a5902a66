//! An instance with the statistics that one entry keeps of it.

use std::sync::{
    atomic::{AtomicU32, AtomicU64, Ordering},
    Arc,
};

use types::TimeMs;

use super::{
    average::{Average, Typical},
    Member,
};
use crate::schedule::LoadReport;

/// An instance with the statistics of this entry.
#[derive(Debug)]
pub struct Candidate {
    /// Who it is.
    pub member: Member,
    typical: Arc<Typical>,
    in_flight: AtomicU32,
    /// Requests sent whose first token has not come.
    awaiting: AtomicU32,
    /// Time since when a first token is awaited.
    awaiting_since: AtomicU64,
    /// Last token of any request.
    last_token_at: AtomicU64,
    /// Last time when a request was sent that had to wait for a slot.
    queued_at: AtomicU64,
    first_token: Average,
    token_gap: Average,
    history: History,
    report: Report,
    failures: AtomicU32,
    avoid_until: AtomicU64,
    full_until: AtomicU64,
}

/// The last load report.
#[derive(Debug, Default)]
struct Report {
    /// Time of the measurement; 0 before the first report.
    measured_at: AtomicU64,
    requests: AtomicU32,
    running_limit: AtomicU32,
    first_token_ms: AtomicU32,
    /// Requests of other entries at the time of the measurement.
    others: AtomicU32,
}

/// Own requests in flight over the last seconds, to tell which part of a
/// late report is one's own.
#[derive(Debug, Default)]
struct History {
    /// Number of the span in the upper half, requests in the lower.
    spans: [AtomicU64; Self::SPANS],
}

impl History {
    const SPANS: usize = 32;
    const SPAN_MS: u64 = 250;

    fn note(&self, now: TimeMs, in_flight: u32) {
        let span = now.0 / Self::SPAN_MS;
        let value = (span << 32) | u64::from(in_flight);
        self.spans[span as usize % Self::SPANS].store(value, Ordering::Relaxed);
    }

    /// Requests in flight at `then`; `now_in_flight` if nothing is known.
    fn at(&self, then: TimeMs, now_in_flight: u32) -> u32 {
        let span = then.0 / Self::SPAN_MS;
        for back in 0..Self::SPANS as u64 {
            let Some(span) = span.checked_sub(back) else {
                break;
            };
            let value = self.spans[span as usize % Self::SPANS].load(Ordering::Relaxed);
            if value != 0 && value >> 32 == span & u64::from(u32::MAX) {
                return value as u32;
            }
        }
        now_in_flight
    }
}

impl Candidate {
    /// Weight of a first-token time above the average: one slow answer makes a
    /// straggler.
    const FIRST_TOKEN_WEIGHT_UP: f32 = 0.5;
    /// Weight of one below it: one trial clears a straggler.
    const FIRST_TOKEN_WEIGHT_DOWN: f32 = 0.7;
    /// Weight of a new token gap.
    const TOKEN_GAP_WEIGHT: f32 = 0.2;
    /// A token gap counts as at most this multiple of the average: the gap of
    /// a paused stream does not make a straggler.
    const TOKEN_GAP_OUTLIER: u64 = 6;
    /// Avoidance after the first failure, in milliseconds; doubles with each.
    const AVOID_MS: u64 = 250;
    /// Longest avoidance, in milliseconds.
    const AVOID_MAX_MS: u64 = 8_000;
    /// Avoidance after a refusal for lack of room, in milliseconds.
    const FULL_MS: u64 = 50;
    /// Running limit assumed before the first report, in requests.
    const LIMIT_ASSUMED: u32 = 16;
    /// Age at which a report counts half, in milliseconds.
    const REPORT_HALF_AGE_MS: f64 = 2_000.0;
    /// Hedge delay before anything was observed, in milliseconds.
    const HEDGE_UNKNOWN_MS: u64 = 1_000;
    /// Shortest and longest hedge delay, in milliseconds.
    const HEDGE_RANGE_MS: (u64, u64) = (10, 10_000);

    /// Makes a candidate without history.
    pub fn new(member: Member) -> Self {
        Self::with_typical(member, Arc::default())
    }

    pub(super) fn with_typical(member: Member, typical: Arc<Typical>) -> Self {
        Self {
            member,
            typical,
            in_flight: AtomicU32::new(0),
            awaiting: AtomicU32::new(0),
            awaiting_since: AtomicU64::new(0),
            last_token_at: AtomicU64::new(0),
            queued_at: AtomicU64::new(0),
            first_token: Average::default(),
            token_gap: Average::default(),
            history: History::default(),
            report: Report::default(),
            failures: AtomicU32::new(0),
            avoid_until: AtomicU64::new(0),
            full_until: AtomicU64::new(0),
        }
    }

    /// Notes a request sent by this entry.
    pub fn on_sent(&self, now: TimeMs, _expected_tokens: u32) {
        let in_flight = self.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
        self.history.note(now, in_flight);
        if self.is_queueing(now) {
            self.queued_at.store(now.0, Ordering::Relaxed);
        }
        if self.awaiting.fetch_add(1, Ordering::Relaxed) == 0 {
            self.awaiting_since.store(now.0, Ordering::Relaxed);
        }
    }

    /// Notes the first token of a request, `wait_ms` after it was sent.
    pub fn on_first_token(&self, now: TimeMs, wait_ms: u64) {
        let queued_at = TimeMs(self.queued_at.load(Ordering::Relaxed));
        if queued_at < now - wait_ms {
            self.note_unqueued(now, wait_ms);
        }
        decrement(&self.awaiting);
        self.awaiting_since.store(now.0, Ordering::Relaxed);
        self.last_token_at.store(now.0, Ordering::Relaxed);
        self.failures.store(0, Ordering::Relaxed);
        self.avoid_until.store(0, Ordering::Relaxed);
    }

    /// Takes in a first-token time that no queue explains.
    fn note_unqueued(&self, now: TimeMs, wait_ms: u64) {
        let average = self.first_token.get().unwrap_or(0.0);
        let weight = match wait_ms as f32 > average {
            true => Self::FIRST_TOKEN_WEIGHT_UP,
            false => Self::FIRST_TOKEN_WEIGHT_DOWN,
        };
        self.first_token.add(now, wait_ms, weight);
        self.typical.add(now, wait_ms);
    }

    /// Notes a later token, `gap_ms` after the one before.
    pub fn on_token_gap(&self, now: TimeMs, gap_ms: u64) {
        self.last_token_at.store(now.0, Ordering::Relaxed);
        let usual_ms = self.token_gap.get().unwrap_or(gap_ms as f32) as u64 + 1;
        let gap_ms = gap_ms.min(usual_ms.saturating_mul(Self::TOKEN_GAP_OUTLIER));
        self.token_gap.add(now, gap_ms, Self::TOKEN_GAP_WEIGHT);
    }

    /// Notes the end of a request sent earlier with the same `expected_tokens`.
    pub fn on_end(&self, now: TimeMs, _expected_tokens: u32) {
        let in_flight = decrement(&self.in_flight);
        self.history.note(now, in_flight);
        // A request that ended without a first token is not awaited any more.
        self.awaiting.fetch_min(in_flight, Ordering::Relaxed);
    }

    /// Notes a failure to connect, a broken answer or a timeout.
    pub fn on_failure(&self, now: TimeMs) {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed).min(16);
        let avoid_ms = (Self::AVOID_MS << failures).min(Self::AVOID_MAX_MS);
        let until = now + avoid_ms;
        self.avoid_until.fetch_max(until.0, Ordering::Relaxed);
    }

    /// Notes that the agent refused for lack of room.
    pub fn on_refusal(&self, now: TimeMs) {
        let until = now + Self::FULL_MS;
        self.full_until.fetch_max(until.0, Ordering::Relaxed);
    }

    /// Takes in a load report, measured `age_ms` before `now`. A report older
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
        let own = self.history.at(measured_at, self.in_flight());
        let others = requests.saturating_sub(own);
        let to = &self.report;
        to.requests.store(requests, Ordering::Relaxed);
        to.others.store(others, Ordering::Relaxed);
        to.running_limit
            .store(report.running_limit, Ordering::Relaxed);
        to.first_token_ms
            .store(report.first_token_ms, Ordering::Relaxed);
    }

    /// Requests of this entry in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Time to wait for the first sign of life before another instance is
    /// asked, in milliseconds, from own observation of all instances.
    pub fn hedge_after_ms(&self) -> u64 {
        let (shortest, longest) = Self::HEDGE_RANGE_MS;
        let unusual = self.typical.unusual_ms();
        unusual.map_or(Self::HEDGE_UNKNOWN_MS, |ms| ms.clamp(shortest, longest))
    }

    /// Requests of the last report, 0 before it.
    pub(super) fn reported_requests(&self) -> u32 {
        self.report.requests.load(Ordering::Relaxed)
    }

    /// Requests there now: the own ones exactly, those of others as of the
    /// last report, which counts less as it ages.
    pub(super) fn load(&self, now: TimeMs) -> f64 {
        let measured_at = TimeMs(self.report.measured_at.load(Ordering::Relaxed));
        let age_ms = now.since(measured_at) as f64;
        let weight = Self::REPORT_HALF_AGE_MS / (Self::REPORT_HALF_AGE_MS + age_ms);
        let others = f64::from(self.report.others.load(Ordering::Relaxed));
        f64::from(self.in_flight()) + others * weight
    }

    /// Whether requests have to wait for a slot, so that the time to their
    /// first token tells nothing about the pace of the instance.
    pub(super) fn is_queueing(&self, now: TimeMs) -> bool {
        let limit = self.report.running_limit.load(Ordering::Relaxed);
        self.load(now) > f64::from(limit.max(1))
    }

    /// Running limit, in requests, at least 1.
    pub(super) fn running_limit(&self) -> f64 {
        let limit = match self.report.running_limit.load(Ordering::Relaxed) {
            0 => Self::LIMIT_ASSUMED,
            limit => limit,
        };
        f64::from(limit)
    }

    /// First-token time by own observation, else as reported, in milliseconds.
    pub(super) fn first_token_ms(&self) -> Option<f64> {
        let reported = self.report.first_token_ms.load(Ordering::Relaxed);
        let reported = (reported > 0).then_some(f64::from(reported));
        self.first_token.get().map(f64::from).or(reported)
    }

    /// Time between tokens by own observation, in milliseconds.
    pub(super) fn token_gap_ms(&self) -> Option<f64> {
        self.token_gap.get().map(f64::from)
    }

    /// Time for which a first token has been awaited without any other sign
    /// of life, in milliseconds.
    pub(super) fn silent_ms(&self, now: TimeMs) -> u64 {
        let since = self.awaiting_since.load(Ordering::Relaxed);
        let queued = self.queued_at.load(Ordering::Relaxed) >= since;
        if !self.is_awaited() || queued {
            return 0;
        }
        now.since(TimeMs(since)).min(self.token_gap.idle_ms(now))
    }

    /// Time for which no stream under way has had a token, in milliseconds.
    pub(super) fn stalled_ms(&self, now: TimeMs) -> u64 {
        let awaiting = self.awaiting.load(Ordering::Relaxed);
        if self.in_flight() <= awaiting {
            return 0;
        }
        let last = TimeMs(self.last_token_at.load(Ordering::Relaxed));
        now.since(last)
    }

    /// Whether a first token is awaited.
    pub(super) fn is_awaited(&self) -> bool {
        self.awaiting.load(Ordering::Relaxed) > 0
    }

    /// Time since the last own observation, in milliseconds.
    pub(super) fn unobserved_ms(&self, now: TimeMs) -> u64 {
        let first_token = self.first_token.idle_ms(now);
        first_token.min(self.token_gap.idle_ms(now))
    }

    /// Whether failures keep it out: until a pause has passed, and then while
    /// one request tries it.
    pub(super) fn is_failed(&self, now: TimeMs) -> bool {
        let until = self.avoid_until.load(Ordering::Relaxed);
        let on_trial = self.failures.load(Ordering::Relaxed) > 0 && self.is_awaited();
        now.0 < until || on_trial
    }

    /// Whether it refused for lack of room just now.
    pub(super) fn is_full(&self, now: TimeMs) -> bool {
        now.0 < self.full_until.load(Ordering::Relaxed)
    }
}

/// Lowers a count, not below zero, and returns it.
fn decrement(count: &AtomicU32) -> u32 {
    let lower = |count: u32| count.checked_sub(1);
    let before = count.fetch_update(Ordering::Relaxed, Ordering::Relaxed, lower);
    before.map_or(0, |before| before - 1)
}
