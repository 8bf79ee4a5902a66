//! Moving averages without locks.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use types::TimeMs;

/// An exponentially weighted average with the time of its last sample.
///
/// Two samples at the same moment may leave only one of them, which an average
/// can bear.
///
/// # Invariants
///
/// The value is finite and within `0..=SAMPLE_MAX_MS`.
#[derive(Debug, Default)]
pub(super) struct Average {
    /// Bits of an `f32`; 0 before the first sample.
    value_ms: AtomicU32,
    sampled_at: AtomicU64,
}

impl Average {
    /// Largest sample, in milliseconds.
    const SAMPLE_MAX_MS: u64 = 3_600_000;

    /// Takes in a sample with a weight of `weight`.
    pub(super) fn add(&self, now: TimeMs, sample_ms: u64, weight: f32) {
        let sample = sample_ms.min(Self::SAMPLE_MAX_MS) as f32;
        let value = match self.get() {
            Some(before) => before + weight * (sample - before),
            None => sample,
        };
        // A measured zero stays apart from "no sample".
        let value = value.max(f32::MIN_POSITIVE);
        self.value_ms.store(value.to_bits(), Ordering::Relaxed);
        self.sampled_at.store(now.0, Ordering::Relaxed);
    }

    /// The average in milliseconds, `None` before the first sample.
    pub(super) fn get(&self) -> Option<f32> {
        match self.value_ms.load(Ordering::Relaxed) {
            0 => None,
            bits => Some(f32::from_bits(bits)),
        }
    }

    /// Time since the last sample, in milliseconds.
    pub(super) fn idle_ms(&self, now: TimeMs) -> u64 {
        now.since(TimeMs(self.sampled_at.load(Ordering::Relaxed)))
    }
}

/// Typical first-token time over all instances of an upstream.
#[derive(Debug, Default)]
pub(super) struct Typical {
    mean: Average,
    deviation: Average,
}

impl Typical {
    const WEIGHT: f32 = 0.05;
    /// A sample counts as at most this multiple of the mean, so that
    /// stragglers do not hide themselves.
    const OUTLIER: u64 = 4;

    pub(super) fn add(&self, now: TimeMs, sample_ms: u64) {
        let Some(mean) = self.mean.get() else {
            self.mean.add(now, sample_ms, 1.0);
            return;
        };
        let bound = (mean as u64 + 1) * Self::OUTLIER;
        let sample_ms = sample_ms.min(bound);
        let distance = (sample_ms as f32 - mean).abs();
        self.deviation.add(now, distance as u64, Self::WEIGHT);
        self.mean.add(now, sample_ms, Self::WEIGHT);
    }

    /// A time that few first tokens exceed, in milliseconds; `None` before
    /// the first sample.
    pub(super) fn unusual_ms(&self) -> Option<u64> {
        const DEVIATIONS: f32 = 4.0;
        let mean = self.mean.get()?;
        let deviation = self.deviation.get().unwrap_or(mean);
        Some((mean + DEVIATIONS * deviation) as u64)
    }
}
