//! Instances kept free of long prompts.
//!
//! Load pattern: long prompts and short questions come together. While an
//! engine reads a long prompt each of its steps takes ten times as long, so
//! the streams beside it pause for longer than a question's class allows,
//! however few they are. Where long prompts come all the time, some instances
//! take none of them, in proportion to the work of the short ones. Which those
//! are is alike in all entries, but for one or two at the border, since all
//! entries see the same mix.

use rapidhash::v3::rapidhash_v3;
use types::{InstanceId, TimeMs};

use super::Demand;

/// Longest prompt that counts as short, in tokens: about two of the chunks in
/// which engines read, which hold up other streams for less than 100 ms.
const SHORT_TOKENS: u32 = 4_500;

/// Time after which work counts half, in milliseconds: long against a wave's
/// crest, so that the border does not move with each, and short against the
/// bursts of ten seconds that it is to follow.
const WORK_HALF_LIFE_MS: f64 = 15_000.0;

/// Requests of a process before which no instance is kept free.
const WARM_UP_REQUESTS: u32 = 24;

/// Instances below which none is kept free: one would be too large a part.
const INSTANCES_MIN: usize = 6;

/// The border moves only by more than this part of an instance, so that homes
/// near it do not change to and fro.
const BORDER_HYSTERESIS: f64 = 0.8;

/// Share of requests whose shared parts have to be read.
const READ_SHARE: f64 = 0.15;

/// Time of one prompt token and of one output token beside some twenty other
/// streams, in milliseconds.
const PROMPT_TOKEN_MS: f64 = 1.0 / 56.0;
/// See [`PROMPT_TOKEN_MS`].
const OUTPUT_TOKEN_MS: f64 = 0.08;

/// Work of one kind of prompts, which ages.
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

    fn add(&mut self, now: TimeMs, ms: f64) {
        self.ms = self.get(now) + ms;
        self.at = now;
    }
}

/// Whether an instance is for a request of this kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Side {
    /// It is.
    Own,
    /// It takes long prompts, and the request is short.
    AmongLong,
    /// It is kept free of long prompts, and the request is one.
    AmongShort,
}

/// Which instances take long prompts.
#[derive(Debug, Default)]
pub(super) struct Lanes {
    short: Work,
    long: Work,
    /// Instances kept free of long prompts: those at the first places.
    kept_free: usize,
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
        if self.places.len() < INSTANCES_MIN {
            self.kept_free = 0;
        }
    }

    /// Notes a request that was placed.
    pub(super) fn note(&mut self, now: TimeMs, demand: &Demand) {
        if demand.parts.is_empty() {
            return;
        }
        let shared: u32 = demand.shared().iter().map(|part| part.tokens).sum();
        let own = demand.prompt_tokens.saturating_sub(shared);
        let to_read = f64::from(own) + READ_SHARE * f64::from(shared);
        let work_ms = to_read * PROMPT_TOKEN_MS + f64::from(demand.output_tokens) * OUTPUT_TOKEN_MS;
        match is_short(demand) {
            true => self.short.add(now, work_ms),
            false => self.long.add(now, work_ms),
        }
        self.requests = self.requests.saturating_add(1);
        if self.requests >= WARM_UP_REQUESTS {
            self.move_border(now);
        }
    }

    /// On which side the instance lies that has the place `index` among the
    /// placer's instances.
    pub(super) fn side(&self, index: usize, demand: &Demand) -> Side {
        let is_free = self.places[index] < self.kept_free;
        match (is_free, is_short(demand)) {
            _ if self.kept_free == 0 => Side::Own,
            (true, false) => Side::AmongShort,
            (false, true) => Side::AmongLong,
            (true, true) | (false, false) => Side::Own,
        }
    }

    fn move_border(&mut self, now: TimeMs) {
        let instances = self.places.len();
        let (short_ms, long_ms) = (self.short.get(now), self.long.get(now));
        if instances < INSTANCES_MIN || short_ms + long_ms <= 0.0 {
            return;
        }
        let ideal = short_ms / (short_ms + long_ms) * instances as f64;
        if (ideal - self.kept_free as f64).abs() > BORDER_HYSTERESIS {
            // Either kind keeps half of the instances at least.
            self.kept_free = (ideal.round() as usize).min(instances / 2);
        }
    }
}

fn is_short(demand: &Demand) -> bool {
    demand.prompt_tokens <= SHORT_TOKENS
}
