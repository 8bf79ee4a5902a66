//! Estimates of answer lengths from running quantiles per team and class.

use indexmap::IndexMap;
use types::{ClassName, TeamName};

/// Running estimates of the median and the 90th percentile of answer lengths.
///
/// # Invariants
///
/// Both estimates are base-two logarithms of a number of tokens and stay
/// within `0..=LOG_MAX` for any samples.
#[derive(Clone, Copy, Debug)]
struct Quantiles {
    median_log: f32,
    p90_log: f32,
}

impl Quantiles {
    /// Base-two logarithm of the largest estimate, about a million tokens.
    const LOG_MAX: f32 = 20.0;
    /// Estimates before the first sample: a median of 128 tokens and a 90th
    /// percentile of 512 tokens.
    const INITIAL: Self = Self {
        median_log: 7.0,
        p90_log: 9.0,
    };
    /// Upper bound on the change caused by one sample, in octaves.
    const STEP_OCTAVES: f32 = 0.5;

    fn observe(&mut self, tokens: u32) {
        let sample = (tokens.max(1) as f32).log2();
        self.median_log = step(self.median_log, sample, 0.5);
        self.p90_log = step(self.p90_log, sample, 0.9).max(self.median_log);
    }
}

/// Updates a quantile estimate with one sample by stochastic approximation.
fn step(estimate: f32, sample: f32, quantile: f32) -> f32 {
    let moved = if sample > estimate {
        (estimate + Quantiles::STEP_OCTAVES * quantile).min(sample)
    } else {
        (estimate - Quantiles::STEP_OCTAVES * (1.0 - quantile)).max(sample)
    };
    moved.clamp(0.0, Quantiles::LOG_MAX)
}

/// Estimates answer lengths per team and class.
///
/// # Invariants
///
/// Holds at most [`LengthEstimator::KEYS_MAX`] pairs of team and class. When the
/// map is full, a new pair replaces its first one.
#[derive(Debug, Default)]
pub(super) struct LengthEstimator {
    quantiles: IndexMap<(TeamName, ClassName), Quantiles>,
}

impl LengthEstimator {
    /// Maximum number of pairs of team and class.
    pub(super) const KEYS_MAX: usize = 2_048;
    /// Upper bound on every estimate, in tokens: 2 to the power of
    /// [`Quantiles::LOG_MAX`].
    pub(super) const ESTIMATE_MAX_TOKENS: u32 = 1 << 20;

    /// Updates the estimates of the team and class with the length of a complete
    /// answer.
    pub(super) fn observe(&mut self, team: &TeamName, class: &ClassName, tokens: u32) {
        let key = (team.clone(), class.clone());
        if !self.quantiles.contains_key(&key) && self.quantiles.len() >= Self::KEYS_MAX {
            self.quantiles.swap_remove_index(0);
        }
        self.quantiles
            .entry(key)
            .or_insert(Quantiles::INITIAL)
            .observe(tokens);
    }

    /// Returns the expected total length of an answer, in tokens, given the
    /// `attained` tokens generated so far: the median, then the 90th percentile,
    /// then twice the attained tokens. `max_tokens` is the caller's limit, 0 if
    /// there is none.
    pub(super) fn expected(
        &self,
        team: &TeamName,
        class: &ClassName,
        attained: u32,
        max_tokens: u32,
    ) -> u32 {
        let key = (team.clone(), class.clone());
        let quantiles = self.quantiles.get(&key).unwrap_or(&Quantiles::INITIAL);
        let median = tokens_from_log(quantiles.median_log);
        let p90 = tokens_from_log(quantiles.p90_log);
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

fn tokens_from_log(log: f32) -> u32 {
    log.exp2() as u32
}
