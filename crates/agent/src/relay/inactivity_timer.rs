//! Timer that detects an upstream that makes no progress with a request.

use std::time::{Duration, Instant};

use smol::Timer;

/// Timer that expires if it is not reset within the limit. A reset only stores
/// the current time and needs no timer operation.
#[derive(Debug)]
pub(crate) struct InactivityTimer {
    limit: Duration,
    last: Instant,
    timer: Timer,
}

impl InactivityTimer {
    /// Creates a timer that starts now.
    pub(crate) fn new(limit: Duration) -> Self {
        Self {
            limit,
            last: Instant::now(),
            timer: Timer::after(limit),
        }
    }

    /// Restarts the limit from now.
    pub(crate) fn reset(&mut self) {
        self.last = Instant::now();
    }

    /// Returns the limit for error messages, in milliseconds.
    pub(crate) fn limit_ms(&self) -> u64 {
        u64::try_from(self.limit.as_millis()).unwrap_or(u64::MAX)
    }

    /// Waits until the timer expires. Cancel-safe.
    pub(crate) async fn expired(&mut self) {
        loop {
            (&mut self.timer).await;
            let due = self.last + self.limit;
            if due <= Instant::now() {
                return;
            }
            self.timer.set_at(due);
        }
    }
}
