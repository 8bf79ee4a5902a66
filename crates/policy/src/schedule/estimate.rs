//! Expected answer lengths from running quantiles.

use indexmap::IndexMap;
use types::{ClassName, TeamName};

/// Running estimates of two quantiles of the answer length.
///
/// # Invariants
///
/// Both estimates are base-two logarithms within `0..=LOG_MAX`, whatever the
/// samples are.
#[derive(Clone, Copy, Debug)]
struct Quantiles {
    median_log: f32,
    p90_log: f32,
}

impl Quantiles {
    /// Logarithm of the largest estimate: a million tokens.
    const LOG_MAX: f32 = 20.0;
    /// Start: 128 tokens, with a tail to 512.
    const START: Self = Self {
        median_log: 7.0,
        p90_log: 9.0,
    };
    /// Largest change by one sample, in octaves.
    const STEP: f32 = 0.5;

    fn observe(&mut self, tokens: u32) {
        let sample = (tokens.max(1) as f32).log2();
        self.median_log = step(self.median_log, sample, 0.5);
        self.p90_log = step(self.p90_log, sample, 0.9).max(self.median_log);
    }
}

/// Moves a quantile estimate against one sample by stochastic approximation.
fn step(estimate: f32, sample: f32, quantile: f32) -> f32 {
    let moved = if sample > estimate {
        (estimate + Quantiles::STEP * quantile).min(sample)
    } else {
        (estimate - Quantiles::STEP * (1.0 - quantile)).max(sample)
    };
    moved.clamp(0.0, Quantiles::LOG_MAX)
}

/// Answer lengths by team and class.
///
/// # Invariants
///
/// Holds at most [`Lengths::KEYS_MAX`] keys; the one that was added first
/// goes first.
#[derive(Debug, Default)]
pub(super) struct Lengths {
    quantiles: IndexMap<(TeamName, ClassName), Quantiles>,
}

impl Lengths {
    /// Teams and classes remembered at most.
    pub(super) const KEYS_MAX: usize = 2_048;
    /// Largest estimate, in tokens.
    pub(super) const ESTIMATE_MAX_TOKENS: u32 = 1 << 20;

    /// Takes in the length of a whole answer.
    pub(super) fn observe(&mut self, team: &TeamName, class: &ClassName, tokens: u32) {
        let key = (team.clone(), class.clone());
        if !self.quantiles.contains_key(&key) && self.quantiles.len() >= Self::KEYS_MAX {
            self.quantiles.swap_remove_index(0);
        }
        self.quantiles
            .entry(key)
            .or_insert(Quantiles::START)
            .observe(tokens);
    }

    /// Expected length of an answer, in tokens, given those `attained` so far.
    /// `max_tokens` is the caller's bound, 0 for none.
    pub(super) fn expected(
        &self,
        team: &TeamName,
        class: &ClassName,
        attained: u32,
        max_tokens: u32,
    ) -> u32 {
        let key = (team.clone(), class.clone());
        let quantiles = self.quantiles.get(&key).unwrap_or(&Quantiles::START);
        let median = tokens_of(quantiles.median_log);
        let p90 = tokens_of(quantiles.p90_log);
        let expected = if attained < median {
            median
        } else if attained < p90 {
            p90
        } else {
            attained.saturating_mul(2)
        };
        let bound = match max_tokens {
            0 => Self::ESTIMATE_MAX_TOKENS,
            bound => bound.min(Self::ESTIMATE_MAX_TOKENS),
        };
        expected.clamp(1, bound)
    }
}

fn tokens_of(log: f32) -> u32 {
    log.exp2() as u32
}
