//! Instances reserved for short prompts.
//!
//! Load pattern: long and short prompts arrive together, and at times there are
//! more long prompts than all instances can prefill. While an engine prefills a
//! long prompt, each of its steps takes ten times as long, so every stream on
//! it pauses for longer than the class of a short prompt allows, regardless of
//! priority. Some instances therefore take no long prompts. Their number
//! follows from the share of short prompts in the tokens to prefill; a hash of
//! the instance names decides which ones they are, so the choices of two
//! entries differ by at most one or two instances.

use rapidhash::v3::rapidhash_v3;
use types::{InstanceId, TimeMs};

use super::{lateness::decay_factor, Demand};

/// Longest prompt that counts as short, in tokens: two prefill chunks, which
/// delay other streams by less than 100 ms, half of the shortest pause that a
/// class allows.
const SHORT_MAX_TOKENS: u32 = 4_096;

/// Weight of a token of a short prompt relative to one of a long prompt while
/// pauses are at [`FULL_PAUSE_SHARE`]. Instances for short prompts may spend a
/// third of the time on prefill, those for long prompts all of it.
const SHORT_LANE_WEIGHT: f64 = 4.0;

/// Pause within streams of short prompts at which their instances count as
/// full, as a fraction of the pause that the class allows. The rest is a
/// margin: a noisy neighbour on the machine makes a pause two and a half times
/// as long for a moment, and prompts prefilled in between add to it.
const FULL_PAUSE_SHARE: f64 = 0.22;

/// Bounds of the factor by which pauses change [`SHORT_LANE_WEIGHT`].
const PAUSE_FACTOR_RANGE: std::ops::RangeInclusive<f64> = 0.3..=2.0;

/// Weight of one pause in the moving average, which thus covers some hundred
/// pauses, of several streams even at an entry with few requests.
const PAUSE_SAMPLE_WEIGHT: f64 = 0.004;

/// Approximate fraction of the tokens in shared parts that must be prefilled
/// because they are not cached.
const UNCACHED_SHARE: f64 = 0.2;

/// Half-life of recorded work at an entry with many requests per second: short
/// enough to follow bursts of five to ten seconds.
const WORK_HALF_LIFE_MS: f64 = 3_000.0;

/// Least number of prompts in which recorded work decays by half. Entries that
/// see few prompts each would otherwise compute different splits: an instance on
/// which they disagree gets long prompts beside short ones.
const WORK_HALF_LIFE_PROMPTS: f64 = 100.0;

/// Tokens of short prompts that a new process assumes to have placed, so that
/// the lanes of a starting fleet are close to their final size for the first
/// prompts. Together with [`ASSUMED_LONG_TOKENS`] about thirty requests of the
/// mix that the users specify.
const ASSUMED_SHORT_TOKENS: f64 = 12_000.0;
/// Tokens of long prompts that a new process assumes to have placed; see
/// [`ASSUMED_SHORT_TOKENS`].
const ASSUMED_LONG_TOKENS: f64 = 138_000.0;

/// The split changes only by more than this number of instances and by more
/// than [`SPLIT_HYSTERESIS_SHARE`] of all instances, so that prompts with homes
/// near the boundary do not move back and forth.
const SPLIT_HYSTERESIS_INSTANCES: f64 = 0.7;
/// Minimum change of the split as a fraction of all instances; see
/// [`SPLIT_HYSTERESIS_INSTANCES`].
const SPLIT_HYSTERESIS_SHARE: f64 = 0.035;

/// Cost added for a short prompt on an instance of the long lane. Pauses there
/// make the answer late, so such an instance is used only if the wait on the
/// others would make the answer late too.
const SHORT_ON_LONG_PENALTY_MS: f64 = 300.0;

/// Cost added for a long prompt on an instance of the short lane, where it
/// would delay all streams.
const LONG_ON_SHORT_PENALTY_MS: f64 = 6_000.0;

/// Division of the instances between short and long prompts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LaneSplit {
    /// Number of instances that take no long prompts.
    pub short_instances: usize,
    /// Number of all instances.
    pub instances: usize,
    /// Moving average of the pauses within streams of short prompts, as a
    /// fraction of what their class allows.
    pub pause_share: f64,
}

/// Class of prompts by their effect on other streams of the same instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Lane {
    /// Short prompts, whose prefill does not noticeably delay other streams.
    #[default]
    Short,
    /// Long prompts, during whose prefill all other streams of the instance
    /// pause.
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

/// A pair of values, one for short prompts and one for long ones.
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

/// Tokens to prefill in each lane, of which older ones count less.
#[derive(Debug)]
struct Work {
    tokens: ByLane<f64>,
    recorded_at: TimeMs,
}

impl Work {
    fn add(&mut self, now: TimeMs, prompts: u64, tokens: ByLane<f64>) {
        let decay = decay_factor(now, self.recorded_at, WORK_HALF_LIFE_MS)
            .max(0.5_f64.powf(prompts as f64 / WORK_HALF_LIFE_PROMPTS));
        self.recorded_at = now;
        for lane in [Lane::Short, Lane::Long] {
            let sum = self.tokens.get_mut(lane);
            *sum = *sum * decay + tokens.get(lane);
        }
    }
}

const PERMILLE: f64 = 1_000.0;

/// Sums of what one entry observed, from which the split follows. They only rise
/// within a run, so that a lost report loses nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LaneTotals {
    /// Prompts placed.
    pub prompts: u64,
    /// Tokens to prefill of the short ones.
    pub short_tokens: u64,
    /// Tokens to prefill of the long ones.
    pub long_tokens: u64,
    /// Pauses within streams of short prompts.
    pub pauses: u64,
    /// Sum of these pauses, in thousandths of the pause that the class allows.
    pub pause_permille: u64,
}

impl LaneTotals {
    /// Returns the change since earlier totals of the same run.
    pub(super) fn since(&self, earlier: &Self) -> Self {
        Self {
            prompts: self.prompts.saturating_sub(earlier.prompts),
            short_tokens: self.short_tokens.saturating_sub(earlier.short_tokens),
            long_tokens: self.long_tokens.saturating_sub(earlier.long_tokens),
            pauses: self.pauses.saturating_sub(earlier.pauses),
            pause_permille: self.pause_permille.saturating_sub(earlier.pause_permille),
        }
    }
}

/// Assignment of instances to lanes.
///
/// # Invariants
///
/// `positions` holds one entry for each instance of the placer, in the same
/// order: the rank of the instance, from 0, by the hash of its name.
#[derive(Debug)]
pub(super) struct Lanes {
    work: Work,
    /// Moving average of pauses within short streams, as a fraction of what
    /// their class allows, over the instances that every entry reserves for
    /// short prompts.
    pause_share: f64,
    /// Number of instances that take no long prompts: those at the first
    /// positions.
    short_instances: usize,
    positions: Vec<usize>,
    /// Prompts and pauses that this entry observed, since the start.
    own: LaneTotals,
}

impl Default for Lanes {
    fn default() -> Self {
        Self {
            work: Work {
                tokens: ByLane {
                    short: ASSUMED_SHORT_TOKENS,
                    long: ASSUMED_LONG_TOKENS,
                },
                recorded_at: TimeMs(0),
            },
            pause_share: FULL_PAUSE_SHARE / 2.0,
            short_instances: 0,
            positions: Vec::new(),
            own: LaneTotals::default(),
        }
    }
}

impl Lanes {
    /// Replaces the instances and recomputes their positions.
    pub(super) fn set_instances<'a>(&mut self, instances: impl Iterator<Item = &'a InstanceId>) {
        let hashes: Vec<u64> = instances
            .map(|instance| rapidhash_v3(instance.as_str().as_bytes()))
            .collect();
        let mut sorted = hashes.clone();
        sorted.sort_unstable();
        let position = |hash: &u64| sorted.partition_point(|other| other < hash);
        self.positions = hashes.iter().map(position).collect();
        self.update_split();
    }

    /// Records the tokens to prefill of a prompt that was placed, and updates
    /// the split.
    pub(super) fn record_prompt(&mut self, now: TimeMs, demand: &Demand) {
        let shared = demand.shared_tokens();
        let own = demand.prompt_tokens.saturating_sub(shared);
        let tokens = f64::from(own) + UNCACHED_SHARE * f64::from(shared);
        let mut by_lane = ByLane::default();
        *by_lane.get_mut(Lane::of(demand)) = tokens;
        self.own.prompts += 1;
        self.own.short_tokens += by_lane.short as u64;
        self.own.long_tokens += by_lane.long as u64;
        self.work.add(now, 1, by_lane);
        self.update_split();
    }

    /// Returns what this entry observed since its start.
    pub(super) fn own_totals(&self) -> LaneTotals {
        self.own
    }

    /// Records what another entry observed since its last report, as if this one
    /// had observed it, so that all entries compute the same split.
    pub(super) fn record_peer(&mut self, now: TimeMs, observed: &LaneTotals) {
        if observed.prompts > 0 {
            let tokens = ByLane {
                short: observed.short_tokens as f64,
                long: observed.long_tokens as f64,
            };
            self.work.add(now, observed.prompts, tokens);
            self.update_split();
        }
        if observed.pauses > 0 {
            let mean = observed.pause_permille as f64 / observed.pauses as f64 / PERMILLE;
            let kept = (1.0 - PAUSE_SAMPLE_WEIGHT).powf(observed.pauses as f64);
            self.pause_share = mean + (self.pause_share - mean) * kept;
        }
    }

    /// Records a pause within a stream of a short prompt. Only the first half
    /// of the reserved instances counts, to which no entry sends long prompts:
    /// entries with different splits then observe the same pauses and converge.
    pub(super) fn record_pause(&mut self, index: usize, pause_share: f64) {
        if self.positions[index] * 2 <= self.short_instances {
            let pause_share = pause_share.min(1.0);
            self.own.pauses += 1;
            self.own.pause_permille += (pause_share * PERMILLE) as u64;
            self.pause_share += PAUSE_SAMPLE_WEIGHT * (pause_share - self.pause_share);
        }
    }

    /// Returns the current split and the pause average, which determines it
    /// together with the tokens to prefill in each lane.
    pub(super) fn split(&self) -> LaneSplit {
        LaneSplit {
            short_instances: self.short_instances,
            instances: self.positions.len(),
            pause_share: self.pause_share,
        }
    }

    /// Returns whether the instance at `index` serves prompts of this lane. If
    /// a lane has no instances, its prompts may use all of them.
    pub(super) fn is_own_lane(&self, index: usize, lane: Lane) -> bool {
        let is_short = self.positions[index] < self.short_instances;
        match lane {
            Lane::Short => is_short || self.short_instances == 0,
            Lane::Long => !is_short || self.short_instances == self.positions.len(),
        }
    }

    /// Returns the cost added for a prompt of `lane` on an instance of the
    /// other lane, in milliseconds.
    pub(super) fn other_lane_penalty_ms(lane: Lane) -> f64 {
        match lane {
            Lane::Short => SHORT_ON_LONG_PENALTY_MS,
            Lane::Long => LONG_ON_SHORT_PENALTY_MS,
        }
    }

    fn update_split(&mut self) {
        let ideal = self.ideal_short_instances();
        let share = SPLIT_HYSTERESIS_SHARE * self.positions.len() as f64;
        if (ideal - self.short_instances as f64).abs() > SPLIT_HYSTERESIS_INSTANCES.max(share) {
            self.short_instances = ideal.round() as usize;
        }
    }

    fn ideal_short_instances(&self) -> f64 {
        let factor = (self.pause_share / FULL_PAUSE_SHARE)
            .clamp(*PAUSE_FACTOR_RANGE.start(), *PAUSE_FACTOR_RANGE.end());
        let short = SHORT_LANE_WEIGHT * factor * self.work.tokens.get(Lane::Short);
        let long = self.work.tokens.get(Lane::Long);
        let total = short + long;
        match total > 0.0 {
            true => short / total * self.positions.len() as f64,
            false => 0.0,
        }
    }
}
