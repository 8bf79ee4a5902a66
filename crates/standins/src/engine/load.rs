//! Load reports with a configurable delay.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use serde::Serialize;

/// Minimum time between two samples; a later one within it replaces the last.
const SAMPLE_INTERVAL_MIN: Duration = Duration::from_millis(10);
/// Maximum number of stored samples; the oldest are dropped.
const SAMPLES_MAX: usize = 2048;

/// Load of the engine at one point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(crate) struct Load {
    pub(crate) running: usize,
    pub(crate) waiting: usize,
    pub(crate) kv_used_share: f64,
}

/// Samples of the load, the oldest first.
#[derive(Debug, Default)]
pub(crate) struct LoadHistory {
    samples: VecDeque<(Instant, Load)>,
}

impl LoadHistory {
    /// Records the current load.
    pub(crate) fn record(&mut self, now: Instant, load: Load) {
        if let Some((last, last_load)) = self.samples.back_mut() {
            if now.duration_since(*last) < SAMPLE_INTERVAL_MIN {
                *last_load = load;
                return;
            }
        }
        self.samples.push_back((now, load));
        if self.samples.len() > SAMPLES_MAX {
            self.samples.pop_front();
        }
    }

    /// Returns the newest sample that is at least `lag` old, or a load of zero if
    /// there is none.
    pub(crate) fn delayed(&self, now: Instant, lag: Duration) -> Load {
        self.samples
            .iter()
            .rev()
            .find(|(at, _)| now.duration_since(*at) >= lag)
            .map_or_else(Load::default, |(_, load)| *load)
    }
}
