//! Windowed best of a duration, such as the pause between two events.

use types::TimeMs;

use super::super::lateness::decay_factor;

/// Observed time of one bin, in milliseconds.
pub(super) const BIN_MS: f64 = 320.0;
/// Number of bins in the window. A neighbour on the machine slows an engine
/// down for 0.6 s at a time; the window of 1.6 s nearly always contains
/// undisturbed time, and a lasting slow-down fills it within 2 s.
const BINS: usize = 5;
/// Excess of the best of a full window over the estimate from which it counts
/// as a slow-down. Smaller excesses are also caused by more running requests.
const SLOW_DOWN_FACTOR: f64 = 1.25;
/// Weight of a window that is slower by less than [`SLOW_DOWN_FACTOR`].
const SLOWER_WEIGHT: f64 = 0.05;
/// Weight of a window that is faster than the estimate.
const FASTER_WEIGHT: f64 = 0.5;
/// Maximum evidence, in bins, so that old observations do not outweigh new ones
/// without bound.
const EVIDENCE_MAX: f64 = 30.0;
/// Half-life of the evidence without observations. The speed of an instance is
/// a long-lived property.
const EVIDENCE_HALF_LIFE_MS: f64 = 180_000.0;

/// Estimates the undisturbed value of a duration from samples that load and
/// neighbours lengthen at times, but never shorten. After BBR's filter of the
/// minimum round-trip time (Cardwell et al., ACM Queue 14(5), 2016).
///
/// # Invariants
///
/// Samples of concurrent streams cover the same time only once, so the length
/// of the window is a time, not a number of samples.
#[derive(Clone, Debug)]
pub(super) struct WindowedBest {
    /// Best of each completed bin, the oldest replaced first.
    bins: [f64; BINS],
    next_bin: usize,
    /// Two smallest samples of the current bin. The second one is used, since
    /// a late read shortens the following sample.
    smallest: [f64; 2],
    bin_ms: f64,
    covered_until: TimeMs,
    value_ms: f64,
    evidence: f64,
    evidence_at: TimeMs,
}

impl Default for WindowedBest {
    fn default() -> Self {
        Self {
            bins: [f64::INFINITY; BINS],
            next_bin: 0,
            smallest: [f64::INFINITY; 2],
            bin_ms: 0.0,
            covered_until: TimeMs(0),
            value_ms: 0.0,
            evidence: 0.0,
            evidence_at: TimeMs(0),
        }
    }
}

impl WindowedBest {
    /// Returns the estimate, in milliseconds; `None` without observations.
    pub(super) fn get(&self) -> Option<f64> {
        (self.evidence > 0.0).then_some(self.value_ms)
    }

    /// Returns the number of bins observed, of which older ones count less.
    pub(super) fn evidence(&self, now: TimeMs) -> f64 {
        self.evidence * evidence_decay(now, self.evidence_at)
    }

    /// Adds a sample that ended now, and covers the last `covers_ms`.
    pub(super) fn add(&mut self, now: TimeMs, sample_ms: f64, covers_ms: f64) {
        let uncovered_ms = now.since(self.covered_until) as f64;
        self.bin_ms += covers_ms.min(uncovered_ms);
        self.covered_until = now;
        if sample_ms < self.smallest[0] {
            self.smallest = [sample_ms, self.smallest[0]];
        } else {
            self.smallest[1] = self.smallest[1].min(sample_ms);
        }
        if self.bin_ms >= BIN_MS && self.smallest[1].is_finite() {
            self.end_bin(now);
        }
    }

    fn end_bin(&mut self, now: TimeMs) {
        self.bins[self.next_bin] = self.smallest[1];
        self.next_bin = (self.next_bin + 1) % BINS;
        self.smallest = [f64::INFINITY; 2];
        self.bin_ms = 0.0;
        let best_ms = self.bins.iter().copied().fold(f64::INFINITY, f64::min);
        let has_window = self.bins.iter().all(|bin| bin.is_finite());
        let weight = if self.evidence == 0.0 {
            1.0
        } else if best_ms <= self.value_ms {
            FASTER_WEIGHT
        } else if best_ms <= SLOW_DOWN_FACTOR * self.value_ms {
            SLOWER_WEIGHT
        } else if has_window {
            1.0
        } else {
            0.0
        };
        self.value_ms += weight * (best_ms - self.value_ms);
        self.evidence = (self.evidence(now) + 1.0).min(EVIDENCE_MAX);
        self.evidence_at = now;
    }
}

/// Returns the factor by which evidence that was last added at `added_at` has
/// decayed.
pub(super) fn evidence_decay(now: TimeMs, added_at: TimeMs) -> f64 {
    decay_factor(now, added_at, EVIDENCE_HALF_LIFE_MS)
}
