//! When a long prompt is refused instead of joining the queues.
//!
//! Load pattern: for some seconds more long prompts come than all instances
//! can read. Queues then grow until every prompt is late, streams beside them
//! slow down, and most of those that were read run into their deadlines: work
//! in vain. Holding the queues at the length that can still be on time serves
//! more callers; the others are told when there will be room.
//!
//! The wait follows from Little's law: tokens that wait to be read, divided by
//! the tokens read in each millisecond. Both are those of this entry, so
//! entries need not know of each other: each sees its share of the queues and
//! its share of the reading.

use std::collections::VecDeque;

use indexmap::IndexMap;
use types::{Priority, TimeMs};

use super::lateness::left_of;

/// Span over which the reading rate is taken, in milliseconds: some prompts
/// long for an entry that sends a few of them a second.
const RATE_SPAN_MS: u64 = 2_000;

/// Time after which the best rate of the past counts half, in milliseconds.
/// When more prompts begin to come, the rate follows only after they have
/// waited; the best one of a wave's last crest tells what can be read.
const BEST_RATE_HALF_LIFE_MS: f64 = 5_000.0;

/// Prompts that an entry may always have waiting. An entry that sends nothing
/// would never learn that there is room again.
const WAITING_MIN: u32 = 3;

/// Part of a prompt's target for which it may wait behind others; the rest is
/// for reading itself.
const WAIT_SHARE: f64 = 0.7;

/// The same for callers who were refused before and have come back.
const RETURNED_WAIT_SHARE: f64 = 1.0;

/// Part of the longest time left of such requests below which a caller has
/// come back. What callers allow at first differs by some 15 %.
const RETURNED_TIME_SHARE: f64 = 0.8;

/// Time for which a rank, or a time left, counts as seen, in milliseconds.
const SEEN_MS: u64 = 10_000;

/// Shortest and longest time told to a refused caller, in milliseconds. Below
/// the first nothing has changed; callers wait for no longer than a third of
/// the time they have left, which is three seconds for long prompts.
const RETRY_AFTER_MS: std::ops::RangeInclusive<u64> = 400..=3_000;

/// What a request has for itself against others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Urgency {
    /// Its rank; a higher value goes first.
    pub priority: Priority,
    /// Time until its caller leaves, in milliseconds.
    pub remaining_ms: u64,
}

/// Why a prompt would be late wherever it goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Overload {
    /// Predicted wait behind the prompts sent before, in milliseconds.
    pub wait_ms: f64,
    /// By how much that is too long, in milliseconds.
    pub excess_ms: f64,
}

impl Overload {
    /// Time after which the caller should come back, in milliseconds: when the
    /// excess has been read, and up to as long again, so that callers refused
    /// together do not come back together. `random` is drawn from 0 to 1.
    pub fn retry_after_ms(&self, random: f64) -> u64 {
        let wait_ms = (self.excess_ms * (1.0 + random)) as u64;
        let (min_ms, max_ms) = (*RETRY_AFTER_MS.start(), *RETRY_AFTER_MS.end());
        // Spread at the bounds as well.
        let spread_ms = (min_ms as f64 * random) as u64;
        wait_ms.clamp(min_ms + spread_ms, max_ms - spread_ms)
    }
}

/// Long prompts of one entry that wait to be read.
#[derive(Debug, Default)]
pub(super) struct Intake {
    waiting: u32,
    waiting_tokens: f64,
    rate: ReadingRate,
    /// When each rank was last seen.
    ranks: IndexMap<Priority, TimeMs>,
    /// Longest time left that was seen lately, by the requests' target.
    longest: IndexMap<u32, (u64, TimeMs)>,
}

impl Intake {
    /// Whether a prompt should not be sent now. Only the least urgent rank is
    /// refused: the engines let the others go first, so their wait is shorter.
    pub(super) fn overload(
        &mut self,
        now: TimeMs,
        urgency: &Urgency,
        target_ms: u32,
    ) -> Option<Overload> {
        let is_least_urgent = self.note_rank(now, urgency.priority);
        let wait_share = match self.has_returned(now, urgency.remaining_ms, target_ms) {
            true => RETURNED_WAIT_SHARE,
            false => WAIT_SHARE,
        };
        if !is_least_urgent || self.waiting < WAITING_MIN {
            return None;
        }
        let wait_ms = self.waiting_tokens / self.rate.tokens_per_ms(now)?;
        let excess_ms = wait_ms - wait_share * f64::from(target_ms);
        (excess_ms > 0.0).then_some(Overload { wait_ms, excess_ms })
    }

    /// Notes that a prompt was sent.
    pub(super) fn on_sent(&mut self, now: TimeMs, tokens: f64) {
        self.rate.begin(now);
        self.waiting += 1;
        self.waiting_tokens += tokens;
    }

    /// Notes that a prompt was read.
    pub(super) fn on_read(&mut self, now: TimeMs, tokens: f64) {
        self.on_left(tokens);
        self.rate.add(now, tokens);
    }

    /// Notes that a prompt does not wait any more.
    pub(super) fn on_left(&mut self, tokens: f64) {
        self.waiting = self.waiting.saturating_sub(1);
        self.waiting_tokens = (self.waiting_tokens - tokens).max(0.0);
    }

    /// Notes a rank; returns whether none below it was seen lately.
    fn note_rank(&mut self, now: TimeMs, rank: Priority) -> bool {
        self.ranks.insert(rank, now);
        self.ranks
            .retain(|_, seen_at| now.since(*seen_at) < SEEN_MS);
        self.ranks.keys().all(|other| *other >= rank)
    }

    fn has_returned(&mut self, now: TimeMs, remaining_ms: u64, target_ms: u32) -> bool {
        let longest = self.longest.entry(target_ms).or_insert((0, now));
        if remaining_ms >= longest.0 || now.since(longest.1) >= SEEN_MS {
            *longest = (remaining_ms, now);
        }
        (remaining_ms as f64) < RETURNED_TIME_SHARE * longest.0 as f64
    }
}

/// Tokens read in a millisecond.
#[derive(Debug, Default)]
struct ReadingRate {
    /// Start of the observation.
    since: Option<TimeMs>,
    /// Prompts read within the span, oldest first.
    read: VecDeque<(TimeMs, f64)>,
    read_tokens: f64,
    best: f64,
    best_at: TimeMs,
}

impl ReadingRate {
    fn begin(&mut self, now: TimeMs) {
        self.since.get_or_insert(now);
    }

    fn add(&mut self, now: TimeMs, tokens: f64) {
        self.read.push_back((now, tokens));
        self.read_tokens += tokens;
    }

    /// The best rate of the last seconds; `None` before anything can be known.
    fn tokens_per_ms(&mut self, now: TimeMs) -> Option<f64> {
        let observed_ms = now.since(self.since?);
        if observed_ms < RATE_SPAN_MS / 2 {
            return None;
        }
        while let Some((at, tokens)) = self.read.front() {
            if now.since(*at) <= RATE_SPAN_MS {
                break;
            }
            self.read_tokens = (self.read_tokens - tokens).max(0.0);
            self.read.pop_front();
        }
        let present = self.read_tokens / observed_ms.min(RATE_SPAN_MS) as f64;
        let faded = self.best * left_of(now, self.best_at, BEST_RATE_HALF_LIFE_MS);
        if present >= faded {
            self.best = present;
            self.best_at = now;
        }
        Some(present.max(faded).max(f64::MIN_POSITIVE))
    }
}
