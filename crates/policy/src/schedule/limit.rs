//! Adaptive limit on the number of running requests.

use types::TimeMs;

/// Running limit with additive increase and multiplicative decrease (AIMD).
///
/// The time to each first token is compared with the target of its class. The
/// limit decreases after a window in which most first tokens were late. It
/// increases after a window in which the limit was reached and none was late.
///
/// # Invariants
///
/// `min <= limit <= max` and `min >= 1`.
#[derive(Debug)]
pub(super) struct RunningLimit {
    min: u32,
    max: u32,
    limit: u32,
    window_started: TimeMs,
    samples: u32,
    late: u32,
    limit_reached: bool,
    first_token_ms: f32,
}

impl RunningLimit {
    /// Minimum time between two changes of the limit, in milliseconds.
    const WINDOW_MS: u64 = 250;
    /// Minimum number of first tokens in a window before the limit changes.
    const SAMPLES_MIN: u32 = 4;
    /// Weight of a new sample in the moving average of the first-token time.
    const SMOOTHING: f32 = 0.2;

    pub(super) fn new(min: u32, max: u32) -> Self {
        let min = min.max(1);
        let max = max.max(min);
        Self {
            min,
            max,
            limit: max,
            window_started: TimeMs(0),
            samples: 0,
            late: 0,
            limit_reached: false,
            first_token_ms: 0.0,
        }
    }

    pub(super) fn set_bounds(&mut self, min: u32, max: u32) {
        let was_at_max = self.limit == self.max;
        self.min = min.max(1);
        self.max = max.max(self.min);
        // A limit below the old maximum was lowered by late first tokens and
        // reflects the engine's capacity, so it is kept within the new bounds.
        self.limit = match was_at_max {
            true => self.max,
            false => self.limit.clamp(self.min, self.max),
        };
    }

    pub(super) fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Moving average of the time from a start to the first token, in
    /// milliseconds; 0 before the first sample.
    pub(super) fn first_token_ms(&self) -> u32 {
        self.first_token_ms as u32
    }

    /// Records that all slots are in use. The limit only increases after a
    /// window in which this happened.
    pub(super) fn on_limit_reached(&mut self) {
        self.limit_reached = true;
    }

    /// Records a first token that arrived `wait_ms` after the start, and adjusts
    /// the limit at the end of a window.
    pub(super) fn on_first_token(&mut self, now: TimeMs, wait_ms: u64, target_ms: u64) {
        const WAIT_MAX_MS: u64 = 3_600_000;
        let wait = wait_ms.min(WAIT_MAX_MS) as f32;
        self.first_token_ms = match self.first_token_ms {
            0.0 => wait,
            before => before + Self::SMOOTHING * (wait - before),
        };
        self.samples += 1;
        self.late += u32::from(wait_ms > target_ms);
        if self.samples >= Self::SAMPLES_MIN && now.since(self.window_started) >= Self::WINDOW_MS {
            self.close_window(now);
        }
    }

    fn close_window(&mut self, now: TimeMs) {
        if self.late * 2 > self.samples {
            self.limit = (self.limit * 4 / 5).clamp(self.min, self.max);
        } else if self.late == 0 && self.limit_reached {
            self.limit = (self.limit + 1).min(self.max);
        }
        self.window_started = now;
        self.samples = 0;
        self.late = 0;
        self.limit_reached = false;
    }
}
