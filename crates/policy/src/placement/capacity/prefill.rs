//! Fits the prefill rate and the fixed time to the first event of an upstream.

use std::collections::VecDeque;

/// Number of first events that a fit covers.
const SAMPLES_MAX: usize = 96;
/// Least number of first events for a fit.
const SAMPLES_MIN: usize = 24;
/// Number of new first events after which the fit is repeated.
const REFIT_SAMPLES: u32 = 16;
/// Quantile of the residuals that counts as undisturbed: most prompts wait
/// behind others, which the gateway may not see.
const UNDISTURBED_QUANTILE: f64 = 0.1;
/// Bounds of the fitted rate, in tokens per millisecond.
const RATE_RANGE: (f64, f64) = (28.0, 112.0);
/// Bounds of the fixed time; the longest specified one is 120 ms.
const FIXED_RANGE_MS: (f64, f64) = (0.0, 150.0);
/// Least ratio of the lengths of long and short prompts from which the rate is
/// fitted. Prompts of one length cannot tell the rate from the fixed time.
const LENGTH_RATIO_MIN: f64 = 1.5;
/// Weight of a fit that shows a shorter time.
const FASTER_WEIGHT: f64 = 0.3;
/// Weight of a fit that shows a longer time, which queues also cause.
const SLOWER_WEIGHT: f64 = 0.02;
/// Number of fits that replace the assumed values entirely.
const INITIAL_FITS: u32 = 2;
/// A fitted rate within this factor of the assumed one does not replace it.
const RATE_TOLERANCE: f64 = 1.2;

/// Line through the lower envelope of times to the first event against tokens
/// prefilled, over all instances of an upstream.
#[derive(Clone, Debug)]
pub(super) struct PrefillFit {
    assumed_rate: f64,
    assumed_fixed_ms: f64,
    /// Tokens, divided by the relative speed of the instance, and times in
    /// milliseconds, oldest first.
    samples: VecDeque<(f64, f64)>,
    unfitted: u32,
    fits: u32,
    rate: f64,
    fixed_ms: f64,
}

impl PrefillFit {
    pub(super) fn new(assumed_rate: f64, assumed_fixed_ms: f64) -> Self {
        Self {
            assumed_rate,
            assumed_fixed_ms,
            samples: VecDeque::new(),
            unfitted: 0,
            fits: 0,
            rate: assumed_rate,
            fixed_ms: assumed_fixed_ms,
        }
    }

    /// Returns the prefill rate of an instance of median speed, in tokens per
    /// millisecond.
    pub(super) fn rate(&self) -> f64 {
        let ratio = self.rate / self.assumed_rate;
        match (1.0 / RATE_TOLERANCE..=RATE_TOLERANCE).contains(&ratio) {
            true => self.assumed_rate,
            false => self.rate,
        }
    }

    /// Returns the time from the end of the prefill to the first event, in
    /// milliseconds.
    pub(super) fn fixed_ms(&self) -> f64 {
        match self.fits {
            0 => self.assumed_fixed_ms,
            _ => self.fixed_ms,
        }
    }

    pub(super) fn add(&mut self, tokens: f64, waited_ms: f64) {
        if self.samples.len() == SAMPLES_MAX {
            self.samples.pop_front();
        }
        self.samples.push_back((tokens, waited_ms));
        self.unfitted += 1;
        if self.unfitted >= REFIT_SAMPLES && self.samples.len() >= SAMPLES_MIN {
            self.unfitted = 0;
            self.fit();
        }
    }

    fn fit(&mut self) {
        let mut sorted: Vec<(f64, f64)> = self.samples.iter().copied().collect();
        sorted.sort_by(|one, other| one.0.total_cmp(&other.0));
        let third = sorted.len() / 3;
        let (short, long) = (&sorted[..third], &sorted[sorted.len() - third..]);
        if long[0].0 >= LENGTH_RATIO_MIN * short[third - 1].0 {
            // The residual of long prompts rises with the rate, so the rate at
            // which both residuals are equal is found by bisection.
            let (mut low, mut high) = RATE_RANGE;
            for _ in 0..12 {
                let middle = (low + high) / 2.0;
                match residual(long, middle) < residual(short, middle) {
                    true => low = middle,
                    false => high = middle,
                }
            }
            self.rate += self.weight(low > self.rate) * (low - self.rate);
        }
        let fixed_ms = residual(&sorted, self.rate).clamp(FIXED_RANGE_MS.0, FIXED_RANGE_MS.1);
        self.fixed_ms += self.weight(fixed_ms < self.fixed_ms) * (fixed_ms - self.fixed_ms);
        self.fits += 1;
    }

    fn weight(&self, is_faster: bool) -> f64 {
        match (self.fits < INITIAL_FITS, is_faster) {
            (true, _) => 1.0,
            (false, true) => FASTER_WEIGHT,
            (false, false) => SLOWER_WEIGHT,
        }
    }
}

/// Returns the undisturbed time beyond the prefill at `rate`.
fn residual(samples: &[(f64, f64)], rate: f64) -> f64 {
    let mut residuals: Vec<f64> = samples
        .iter()
        .map(|(tokens, waited_ms)| waited_ms - tokens / rate)
        .collect();
    residuals.sort_by(f64::total_cmp);
    residuals[(residuals.len() as f64 * UNDISTURBED_QUANTILE) as usize]
}
