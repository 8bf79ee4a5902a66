//! Lock-free moving averages.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use types::TimeMs;

/// Exponentially weighted moving average with the time of its last sample.
///
/// Of two concurrent samples, one may be lost, which is acceptable for an
/// average.
///
/// # Invariants
///
/// The value is finite and within `0..=SAMPLE_MAX_MS`.
#[derive(Debug, Default)]
pub(super) struct MovingAverage {
    /// Bits of an `f32`; 0 before the first sample.
    value_ms: AtomicU32,
    sampled_at: AtomicU64,
}

impl MovingAverage {
    /// Larger samples are reduced to this value.
    const SAMPLE_MAX_MS: u64 = 3_600_000;

    /// Adds a sample; `weight`, from 0 to 1, is its share in the new average.
    pub(super) fn add(&self, now: TimeMs, sample_ms: u64, weight: f32) {
        let sample = sample_ms.min(Self::SAMPLE_MAX_MS) as f32;
        let value = match self.get() {
            Some(before) => before + weight * (sample - before),
            None => sample,
        };
        // A sample of zero must differ from "no sample".
        let value = value.max(f32::MIN_POSITIVE);
        self.value_ms.store(value.to_bits(), Ordering::Relaxed);
        self.sampled_at.store(now.0, Ordering::Relaxed);
    }

    /// Returns the average in milliseconds, `None` before the first sample.
    pub(super) fn get(&self) -> Option<f32> {
        match self.value_ms.load(Ordering::Relaxed) {
            0 => None,
            bits => Some(f32::from_bits(bits)),
        }
    }

    /// Returns the time since the last sample, in milliseconds.
    pub(super) fn sample_age_ms(&self, now: TimeMs) -> u64 {
        now.since(TimeMs(self.sampled_at.load(Ordering::Relaxed)))
    }
}

/// Mean and deviation of the first-token time over all instances of an
/// upstream.
#[derive(Debug, Default)]
pub(super) struct FirstTokenStats {
    mean: MovingAverage,
    deviation: MovingAverage,
}

impl FirstTokenStats {
    const WEIGHT: f32 = 0.05;
    /// A sample counts as at most this multiple of the mean, so that stragglers
    /// do not raise the threshold that detects them.
    const OUTLIER_FACTOR: u64 = 4;

    pub(super) fn add(&self, now: TimeMs, sample_ms: u64) {
        let Some(mean) = self.mean.get() else {
            self.mean.add(now, sample_ms, 1.0);
            return;
        };
        let bound = (mean as u64 + 1) * Self::OUTLIER_FACTOR;
        let sample_ms = sample_ms.min(bound);
        let sample_deviation = (sample_ms as f32 - mean).abs();
        self.deviation
            .add(now, sample_deviation as u64, Self::WEIGHT);
        self.mean.add(now, sample_ms, Self::WEIGHT);
    }

    /// Returns a first-token time that few requests exceed, in milliseconds;
    /// `None` before the first sample.
    pub(super) fn outlier_threshold_ms(&self) -> Option<u64> {
        const DEVIATIONS: f32 = 4.0;
        let mean = self.mean.get()?;
        let deviation = self.deviation.get().unwrap_or(mean);
        Some((mean + DEVIATIONS * deviation) as u64)
    }
}
