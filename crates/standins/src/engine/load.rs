//! The load report, which shows what was some time ago.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use serde::Serialize;

/// Shortest time between two samples.
const SAMPLE_GAP: Duration = Duration::from_millis(10);
/// Samples that are kept.
const SAMPLES_MAX: usize = 2048;

/// What the engine held at a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(crate) struct Load {
    pub(crate) running: usize,
    pub(crate) waiting: usize,
    pub(crate) kv_used_share: f64,
}

/// Past loads, the oldest first.
#[derive(Debug, Default)]
pub(crate) struct LoadHistory {
    samples: VecDeque<(Instant, Load)>,
}

impl LoadHistory {
    /// Notes the load now.
    pub(crate) fn note(&mut self, now: Instant, load: Load) {
        if let Some((last, known)) = self.samples.back_mut() {
            if now.duration_since(*last) < SAMPLE_GAP {
                *known = load;
                return;
            }
        }
        self.samples.push_back((now, load));
        if self.samples.len() > SAMPLES_MAX {
            self.samples.pop_front();
        }
    }

    /// The load as it was `lag` ago.
    pub(crate) fn lagging(&self, now: Instant, lag: Duration) -> Load {
        self.samples
            .iter()
            .rev()
            .find(|(at, _)| now.duration_since(*at) >= lag)
            .map_or_else(Load::default, |(_, load)| *load)
    }
}
