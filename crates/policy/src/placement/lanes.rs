//! Instances that short prompts have for themselves.
//!
//! Load pattern: long prompts and short questions come together, at some
//! moments more of the long ones than all instances can read. While an engine
//! reads a long prompt, each of its steps takes ten times as long, so every
//! stream there pauses for longer than a question's class allows, however
//! urgent it is. Some instances therefore take no long prompts. How many
//! follows from the share that short prompts have in the tokens to be read;
//! which ones follows from a hash of their names, so all entries agree but for
//! the last one or two.

use rapidhash::v3::rapidhash_v3;
use types::{InstanceId, TimeMs};

use super::{lateness::left_of, Demand};

/// Longest prompt that counts as short, in tokens: two of the chunks in which
/// engines read, so it holds up other streams for less than 100 ms, half of
/// the shortest pause that a class allows.
const SHORT_MAX_TOKENS: u32 = 4_096;

/// Weight of the short prompts' work while their streams pause for
/// [`PAUSE_SHARE`] of what their class allows. Their instances may read for a
/// third of the time, those of long prompts all the time.
const SHORT_WEIGHT: f64 = 4.0;

/// Pause within streams of short prompts at which their instances count as
/// full, as a share of the pause that the class allows. A neighbour on the
/// machine makes it two and a half times as long for a moment, and the prompts
/// read in between add to it.
const PAUSE_SHARE: f64 = 0.22;

/// The smallest and the largest factor by which pauses change the weight.
const PAUSE_FACTOR: std::ops::RangeInclusive<f64> = 0.3..=2.0;

/// Weight of one pause in their average: some forty of them set it.
const PAUSE_WEIGHT: f64 = 0.025;

/// Share of the shared parts that has to be read, about.
const READ_SHARE: f64 = 0.2;

/// Time after which work counts half, in milliseconds: long enough for an
/// entry with a few requests a second to agree with the others, short enough
/// to follow bursts of five to ten seconds.
const WORK_HALF_LIFE_MS: f64 = 3_000.0;

/// Work that a new process assumes, in tokens, so that the first prompts of
/// a fleet that starts find the lanes where they will be: some ten requests of
/// the mix on the users' sheets.
const ASSUMED_SHORT_TOKENS: f64 = 4_000.0;
/// See [`ASSUMED_SHORT_TOKENS`].
const ASSUMED_LONG_TOKENS: f64 = 46_000.0;

/// The border moves only by more than this many instances, and by more than
/// this part of all of them, so that homes near it do not change to and fro.
const BORDER_HYSTERESIS: f64 = 0.7;
/// See [`BORDER_HYSTERESIS`].
const BORDER_HYSTERESIS_SHARE: f64 = 0.035;

/// Disadvantage of an instance with long prompts for a short one, in
/// milliseconds: its pauses make the answer late, so it is taken only if the
/// wait elsewhere does so as well.
const SHORT_AMONG_LONG_MS: f64 = 300.0;

/// Disadvantage of an instance with short prompts for a long one, in
/// milliseconds: it would hold up all streams there.
const LONG_AMONG_SHORT_MS: f64 = 6_000.0;

/// How many instances short prompts have for themselves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LaneSplit {
    /// Instances without long prompts.
    pub short_instances: usize,
    /// All instances.
    pub instances: usize,
    /// Pauses within streams of short prompts as a share of what their class
    /// allows, lately.
    pub pause_share: f64,
}

/// What a prompt does to the streams beside it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Lane {
    /// It is read before anyone notices.
    #[default]
    Short,
    /// All streams pause while it is read.
    Long,
}

impl Lane {
    pub(super) fn of(demand: &Demand) -> Self {
        match demand.prompt_tokens <= SHORT_MAX_TOKENS {
            true => Self::Short,
            false => Self::Long,
        }
    }
}

/// A value for each lane.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ByLane<T> {
    short: T,
    long: T,
}

impl<T> ByLane<T> {
    pub(super) fn get(&self, lane: Lane) -> &T {
        match lane {
            Lane::Short => &self.short,
            Lane::Long => &self.long,
        }
    }

    pub(super) fn get_mut(&mut self, lane: Lane) -> &mut T {
        match lane {
            Lane::Short => &mut self.short,
            Lane::Long => &mut self.long,
        }
    }
}

/// Tokens to be read, which age.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    tokens: f64,
    at: TimeMs,
}

impl Work {
    fn get(&self, now: TimeMs) -> f64 {
        self.tokens * left_of(now, self.at, WORK_HALF_LIFE_MS)
    }

    fn add(&mut self, now: TimeMs, tokens: f64) {
        self.tokens = self.get(now) + tokens;
        self.at = now;
    }
}

/// Which instances take which prompts.
///
/// # Invariants
///
/// `places` holds a place for each instance of the placer, in its order.
#[derive(Debug)]
pub(super) struct Lanes {
    work: ByLane<Work>,
    /// Pauses within short streams as shares of what their class allows,
    /// averaged over the instances that every entry leaves to short prompts.
    pause_share: f64,
    /// Instances without long prompts: those at the first places.
    short_instances: usize,
    places: Vec<usize>,
}

impl Default for Lanes {
    fn default() -> Self {
        let assumed = |tokens| Work {
            tokens,
            at: TimeMs(0),
        };
        Self {
            work: ByLane {
                short: assumed(ASSUMED_SHORT_TOKENS),
                long: assumed(ASSUMED_LONG_TOKENS),
            },
            pause_share: PAUSE_SHARE / 2.0,
            short_instances: 0,
            places: Vec::new(),
        }
    }
}

impl Lanes {
    /// Takes over the instances.
    pub(super) fn set_instances<'a>(
        &mut self,
        now: TimeMs,
        instances: impl Iterator<Item = &'a InstanceId>,
    ) {
        let draws: Vec<u64> = instances
            .map(|instance| rapidhash_v3(instance.as_str().as_bytes()))
            .collect();
        let mut sorted = draws.clone();
        sorted.sort_unstable();
        let place = |draw: &u64| sorted.partition_point(|other| other < draw);
        self.places = draws.iter().map(place).collect();
        self.move_border(now);
    }

    /// Notes a prompt that was placed.
    pub(super) fn note(&mut self, now: TimeMs, demand: &Demand) {
        let shared = demand.shared_tokens();
        let own = demand.prompt_tokens.saturating_sub(shared);
        let tokens = f64::from(own) + READ_SHARE * f64::from(shared);
        self.work.get_mut(Lane::of(demand)).add(now, tokens);
        self.move_border(now);
    }

    /// Notes a pause within a stream of a short prompt. Only the first half of
    /// the instances counts, which no entry sends long prompts to: entries
    /// whose borders differ then see the same and come together.
    pub(super) fn note_pause(&mut self, index: usize, pause_share: f64) {
        if self.places[index] * 2 <= self.short_instances {
            self.pause_share += PAUSE_WEIGHT * (pause_share.min(1.0) - self.pause_share);
        }
    }

    /// Where the border is and what moved it there.
    pub(super) fn border(&self) -> LaneSplit {
        LaneSplit {
            short_instances: self.short_instances,
            instances: self.places.len(),
            pause_share: self.pause_share,
        }
    }

    /// Whether the instance at `index` is there for prompts of this lane.
    pub(super) fn is_own(&self, index: usize, lane: Lane) -> bool {
        let is_short = self.places[index] < self.short_instances;
        match lane {
            Lane::Short => is_short || self.short_instances == 0,
            Lane::Long => !is_short || self.short_instances == self.places.len(),
        }
    }

    /// Disadvantage of an instance of the other lane, in milliseconds.
    pub(super) fn other_lane_ms(lane: Lane) -> f64 {
        match lane {
            Lane::Short => SHORT_AMONG_LONG_MS,
            Lane::Long => LONG_AMONG_SHORT_MS,
        }
    }

    fn move_border(&mut self, now: TimeMs) {
        let ideal = self.ideal_border(now);
        let share = BORDER_HYSTERESIS_SHARE * self.places.len() as f64;
        if (ideal - self.short_instances as f64).abs() > BORDER_HYSTERESIS.max(share) {
            self.short_instances = ideal.round() as usize;
        }
    }

    fn ideal_border(&self, now: TimeMs) -> f64 {
        let factor =
            (self.pause_share / PAUSE_SHARE).clamp(*PAUSE_FACTOR.start(), *PAUSE_FACTOR.end());
        let short = SHORT_WEIGHT * factor * self.work.get(Lane::Short).get(now);
        let long = self.work.get(Lane::Long).get(now);
        let all = short + long;
        match all > 0.0 {
            true => short / all * self.places.len() as f64,
            false => 0.0,
        }
    }
}
