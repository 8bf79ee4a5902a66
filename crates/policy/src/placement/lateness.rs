//! Smoothed lateness: the delay of first events beyond their prediction.

use types::TimeMs;

/// Moving average of the lateness that decays to a default without new
/// observations.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Lateness {
    value_ms: f64,
    observed_at: TimeMs,
}

impl Lateness {
    /// Returns the current lateness, in milliseconds. The observed value decays
    /// to `default_ms` with a half-life of `half_life_ms`.
    pub(super) fn get(&self, now: TimeMs, half_life_ms: f64, default_ms: f64) -> f64 {
        let weight = decay_factor(now, self.observed_at, half_life_ms);
        default_ms + (self.value_ms - default_ms) * weight
    }

    /// Replaces the lateness by the weighted mean of two values: `sample_ms`,
    /// the new observation, with the given weight, and `before_ms` with the
    /// rest. The caller passes the result of [`Lateness::get`] as `before_ms`.
    pub(super) fn add(&mut self, now: TimeMs, before_ms: f64, sample_ms: f64, weight: f64) {
        self.value_ms = before_ms + weight * (sample_ms - before_ms);
        self.observed_at = now;
    }
}

/// Returns the factor, from 0 to 1, by which an observation made at
/// `observed_at` has decayed.
pub(super) fn decay_factor(now: TimeMs, observed_at: TimeMs, half_life_ms: f64) -> f64 {
    0.5_f64.powf(now.since(observed_at) as f64 / half_life_ms)
}
