//! Instances set apart for streams that bear short pauses only.
//!
//! Load pattern: long prompts and short questions come together. While an
//! engine reads a long prompt, each of its steps takes ten times as long, so
//! every stream beside it pauses for longer than its class allows, however
//! few streams there are. Requests are therefore told apart by the pause that
//! they bear, and each kind gets instances in proportion to its work. The
//! order of the instances is the same in all entries, and so are the borders,
//! but for an instance or two, since all entries see the same mix.

use indexmap::IndexMap;
use rapidhash::v3::rapidhash_v3;
use types::{InstanceId, TimeMs};

/// Time after which work counts half, in milliseconds: long against a burst's
/// first second, so that borders do not move with every wave, and short
/// against the bursts of ten seconds and more that they are to follow.
const WORK_HALF_LIFE_MS: f64 = 4_000.0;

/// Requests of a process before which there is one lane for all.
const WARM_UP_REQUESTS: u32 = 24;

/// Instances for each lane at least, on average; with fewer there is one lane.
const INSTANCES_PER_LANE_MIN: usize = 2;

/// A border moves only by more than this part of an instance, so that homes
/// near it do not change to and fro.
const BORDER_HYSTERESIS: f64 = 0.8;

/// Work of one kind of requests.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    ms: f64,
    at: TimeMs,
}

impl Work {
    fn get(&self, now: TimeMs) -> f64 {
        let age_ms = now.since(self.at) as f64;
        self.ms * 0.5_f64.powf(age_ms / WORK_HALF_LIFE_MS)
    }
}

/// Where an instance lies for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Side {
    /// Among the instances for requests of its kind.
    Own,
    /// Among those for requests that bear shorter pauses.
    Tighter,
    /// Among those for requests that bear longer pauses.
    Looser,
}

/// The lanes of one upstream.
///
/// # Invariants
///
/// Lanes lie in the order of the pauses they bear, the shortest first, and
/// each has an instance at least.
#[derive(Debug, Default)]
pub(super) struct Lanes {
    /// Work by the longest pause, in milliseconds, sorted.
    work: IndexMap<u32, Work>,
    /// First place after each lane, in the order of `work`.
    borders: Vec<usize>,
    /// Place of each instance, in the order of the placer's instances.
    places: Vec<usize>,
    requests: u32,
}

impl Lanes {
    /// Takes over the instances.
    pub(super) fn set_instances<'a>(&mut self, instances: impl Iterator<Item = &'a InstanceId>) {
        let draws: Vec<u64> = instances
            .map(|instance| rapidhash_v3(instance.as_str().as_bytes()))
            .collect();
        self.places = draws
            .iter()
            .map(|draw| draws.iter().filter(|other| *other < draw).count())
            .collect();
        self.borders.clear();
    }

    /// Notes the work of a request that bears pauses of `pause_ms`.
    pub(super) fn note(&mut self, now: TimeMs, pause_ms: u32, work_ms: f64) {
        self.requests = self.requests.saturating_add(1);
        let is_new = !self.work.contains_key(&pause_ms);
        let work = self.work.entry(pause_ms).or_default();
        *work = Work {
            ms: work.get(now) + work_ms,
            at: now,
        };
        if is_new {
            self.work.sort_keys();
            self.borders.clear();
        }
        if self.requests >= WARM_UP_REQUESTS {
            self.move_borders(now);
        }
    }

    /// On which side an instance lies; `index` is its place among the placer's
    /// instances.
    pub(super) fn side(&self, index: usize, pause_ms: Option<u32>) -> Side {
        let lane = pause_ms.and_then(|pause_ms| self.work.get_index_of(&pause_ms));
        let (Some(lane), Some(place)) = (lane, self.places.get(index)) else {
            return Side::Own;
        };
        let Some(end) = self.borders.get(lane) else {
            return Side::Own;
        };
        let start = match lane {
            0 => 0,
            lane => self.borders[lane - 1],
        };
        match *place {
            place if place < start => Side::Tighter,
            place if place >= *end => Side::Looser,
            _ => Side::Own,
        }
    }

    fn move_borders(&mut self, now: TimeMs) {
        let instances = self.places.len();
        let lanes = self.work.len();
        if lanes < 2 || instances < lanes * INSTANCES_PER_LANE_MIN {
            self.borders.clear();
            return;
        }
        let work: Vec<f64> = self.work.values().map(|work| work.get(now)).collect();
        let total: f64 = work.iter().sum();
        if total <= 0.0 {
            return;
        }
        let is_first = self.borders.len() != lanes;
        if is_first {
            self.borders = vec![0; lanes];
        }
        let mut done = 0.0;
        for lane in 0..lanes {
            done += work[lane];
            let ideal = done / total * instances as f64;
            let border = self.borders[lane];
            if is_first || (ideal - border as f64).abs() > BORDER_HYSTERESIS {
                self.borders[lane] = ideal.round() as usize;
            }
        }
        // Each lane keeps an instance.
        for lane in 0..lanes {
            let least = lane + 1;
            let most = instances - (lanes - 1 - lane);
            let after = match lane {
                0 => 0,
                lane => self.borders[lane - 1],
            };
            self.borders[lane] = self.borders[lane].clamp(least.max(after + 1), most);
        }
        self.borders[lanes - 1] = instances;
    }
}
