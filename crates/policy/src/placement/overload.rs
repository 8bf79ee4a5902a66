//! Overload control: refuses long prompts that would miss their target.
//!
//! Load pattern: for some seconds, more long prompts arrive than all instances
//! can prefill. Without a limit, the queues grow until every prompt is late,
//! streams on the same instances slow down, and most prompts that were
//! prefilled exceed their deadlines, so the work is wasted. Limiting the queues
//! to a length that can still meet the targets serves more callers; the others
//! receive a time after which to retry.
//!
//! The wait follows from Little's law: tokens waiting for prefill divided by
//! tokens prefilled per millisecond. Each entry counts its own share
//! of the queues and of the prefill rate, and adds what other entries report of
//! theirs.

use std::collections::VecDeque;

use indexmap::IndexMap;
use types::{Priority, TimeMs};

use super::{
    lateness::decay_factor,
    remote_load::{PeerTotals, QueueTotals},
};

/// Window over which the prefill rate is averaged: several prompts even for an
/// entry that sends only a few long ones per second.
const RATE_WINDOW_MS: u64 = 2_000;

/// Half-life of the best observed rate. When load rises, the current rate
/// follows only after prompts have waited; the best rate of the last load peak
/// shows what the instances can prefill.
const BEST_RATE_HALF_LIFE_MS: f64 = 5_000.0;

/// Number of prompts that an entry may have waiting regardless of the load. An
/// entry that sends nothing cannot detect that the instances have capacity
/// again.
const ALWAYS_ADMITTED_PROMPTS: u32 = 3;

/// Fraction of a prompt's target that it may wait behind other prompts; the
/// rest is for its own prefill.
const WAIT_SHARE: f64 = 0.7;

/// Fraction of a prompt's target that it may wait behind other prompts if its
/// caller was refused before and retries.
const RETRY_WAIT_SHARE: f64 = 1.0;

/// A request counts as a retry if its remaining time is below this fraction of
/// the longest remaining time among requests with the same target. The time
/// that callers allow initially varies by about 15 %.
const RETRY_TIME_SHARE: f64 = 0.8;

/// Time for which an observed priority or remaining time stays valid.
const SEEN_RETENTION_MS: u64 = 10_000;

/// Bounds of the retry delay. The load does not change noticeably in less than
/// the minimum; callers wait for at most a third of their remaining time, which
/// is three seconds for long prompts.
const RETRY_AFTER_RANGE_MS: std::ops::RangeInclusive<u64> = 400..=3_000;

/// Urgency of a request, which decides whom overload control refuses first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Urgency {
    /// Priority of the request; higher values are served first.
    pub priority: Priority,
    /// Time until the caller abandons the request, in milliseconds.
    pub remaining_ms: u64,
}

/// Reason to refuse a prompt: the predicted wait is too long for its target on
/// any instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Overload {
    /// Predicted wait behind the prompts sent before, in milliseconds.
    pub wait_ms: f64,
    /// Part of `wait_ms` beyond the wait that the prompt's target allows, in
    /// milliseconds.
    pub excess_ms: f64,
}

impl Overload {
    /// Returns the time after which the caller should retry, in milliseconds:
    /// the time to prefill the excess, plus a random part of up to the same
    /// length so that callers refused together do not retry together. `random`
    /// is uniform between 0 and 1.
    pub fn retry_after_ms(&self, random: f64) -> u64 {
        let wait_ms = (self.excess_ms * (1.0 + random)) as u64;
        let (min_ms, max_ms) = (*RETRY_AFTER_RANGE_MS.start(), *RETRY_AFTER_RANGE_MS.end());
        // Narrows the bounds by a random amount, so that delays at a bound are
        // spread too.
        let spread_ms = (min_ms as f64 * random) as u64;
        wait_ms.clamp(min_ms + spread_ms, max_ms - spread_ms)
    }
}

/// Tracks the long prompts of one entry that wait for prefill, and decides
/// which new ones to refuse.
#[derive(Debug, Default)]
pub(super) struct OverloadControl {
    waiting: u32,
    waiting_tokens: f64,
    /// Tokens of this entry's prompts prefilled since the start.
    prefilled_tokens: u64,
    rate: PrefillRate,
    /// Time at which each priority was last seen.
    priorities: IndexMap<Priority, TimeMs>,
    /// Longest remaining time seen recently and when it was seen, keyed by the
    /// requests' target, in milliseconds.
    longest_remaining: IndexMap<u32, (u64, TimeMs)>,
}

impl OverloadControl {
    /// Returns the overload if the prompt should be refused. Only prompts of
    /// the lowest priority seen recently are refused: engines serve higher
    /// priorities first, so those wait less than predicted here.
    ///
    /// `peers` holds the prompts of the other entries that wait, and is empty if
    /// they are not known.
    pub(super) fn overload(
        &mut self,
        now: TimeMs,
        urgency: &Urgency,
        target_ms: u32,
        peers: &PeerTotals,
    ) -> Option<Overload> {
        let is_least_urgent = self.record_priority(now, urgency.priority);
        let wait_share = match self.is_retry(now, urgency.remaining_ms, target_ms) {
            true => RETRY_WAIT_SHARE,
            false => WAIT_SHARE,
        };
        if !is_least_urgent {
            return None;
        }
        let waiting = u64::from(self.waiting) + peers.waiting_prompts();
        if waiting < u64::from(ALWAYS_ADMITTED_PROMPTS) {
            return None;
        }
        let waiting_tokens = self.waiting_tokens + peers.waiting_tokens();
        let wait_ms = waiting_tokens / self.rate.tokens_per_ms(now)?;
        let excess_ms = wait_ms - wait_share * f64::from(target_ms);
        (excess_ms > 0.0).then_some(Overload { wait_ms, excess_ms })
    }

    /// Records that a prompt was sent.
    pub(super) fn on_sent(&mut self, now: TimeMs, tokens: f64) {
        self.rate.start(now);
        self.waiting += 1;
        self.waiting_tokens += tokens;
    }

    /// Records that a prompt was prefilled.
    pub(super) fn on_prefilled(&mut self, now: TimeMs, tokens: f64) {
        self.on_removed(tokens);
        self.prefilled_tokens += tokens as u64;
        self.rate.add(now, tokens);
    }

    /// Records that other entries had `tokens` prefilled.
    pub(super) fn on_peer_prefilled(&mut self, now: TimeMs, tokens: u64) {
        if tokens > 0 {
            self.rate.start(now);
            self.rate.add(now, tokens as f64);
        }
    }

    /// Returns the prompts of this entry that wait, and the tokens prefilled since
    /// the start.
    pub(super) fn own_queue(&self) -> QueueTotals {
        QueueTotals {
            waiting_prompts: u64::from(self.waiting),
            waiting_tokens: self.waiting_tokens as u64,
            prefilled_tokens: self.prefilled_tokens,
        }
    }

    /// Stops counting a prompt as waiting, whether or not it was prefilled.
    pub(super) fn on_removed(&mut self, tokens: f64) {
        self.waiting = self.waiting.saturating_sub(1);
        self.waiting_tokens = (self.waiting_tokens - tokens).max(0.0);
    }

    /// Records a priority; returns whether no lower one was seen recently.
    fn record_priority(&mut self, now: TimeMs, priority: Priority) -> bool {
        self.priorities.insert(priority, now);
        self.priorities
            .retain(|_, seen_at| now.since(*seen_at) < SEEN_RETENTION_MS);
        self.priorities.keys().all(|other| *other >= priority)
    }

    fn is_retry(&mut self, now: TimeMs, remaining_ms: u64, target_ms: u32) -> bool {
        let longest_remaining = self.longest_remaining.entry(target_ms).or_insert((0, now));
        if remaining_ms >= longest_remaining.0
            || now.since(longest_remaining.1) >= SEEN_RETENTION_MS
        {
            *longest_remaining = (remaining_ms, now);
        }
        (remaining_ms as f64) < RETRY_TIME_SHARE * longest_remaining.0 as f64
    }
}

/// Prefill rate of the instances for the prompts of this entry, in tokens per
/// millisecond.
#[derive(Debug, Default)]
struct PrefillRate {
    /// Time of the first prompt sent, from which the rate is observed.
    started_at: Option<TimeMs>,
    /// Time and tokens of each prompt prefilled within the window, oldest first.
    prefilled: VecDeque<(TimeMs, f64)>,
    prefilled_tokens: f64,
    best: f64,
    best_at: TimeMs,
}

impl PrefillRate {
    fn start(&mut self, now: TimeMs) {
        self.started_at.get_or_insert(now);
    }

    fn add(&mut self, now: TimeMs, tokens: f64) {
        self.prefilled.push_back((now, tokens));
        self.prefilled_tokens += tokens;
    }

    /// Returns the higher of the current rate and the decayed best rate; `None`
    /// if the observation is shorter than half the window.
    fn tokens_per_ms(&mut self, now: TimeMs) -> Option<f64> {
        let observed_ms = now.since(self.started_at?);
        if observed_ms < RATE_WINDOW_MS / 2 {
            return None;
        }
        while let Some((at, tokens)) = self.prefilled.front() {
            if now.since(*at) <= RATE_WINDOW_MS {
                break;
            }
            self.prefilled_tokens = (self.prefilled_tokens - tokens).max(0.0);
            self.prefilled.pop_front();
        }
        let current_rate = self.prefilled_tokens / observed_ms.min(RATE_WINDOW_MS) as f64;
        let decayed_best = self.best * decay_factor(now, self.best_at, BEST_RATE_HALF_LIFE_MS);
        if current_rate >= decayed_best {
            self.best = current_rate;
            self.best_at = now;
        }
        Some(current_rate.max(decayed_best).max(f64::MIN_POSITIVE))
    }
}
