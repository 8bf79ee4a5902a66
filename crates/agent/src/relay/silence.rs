//! Notices that the other side sends nothing for too long.

use std::time::{Duration, Instant};

use smol::Timer;

/// A limit on the time between two signs of progress. Noting progress costs
/// no timer operation.
#[derive(Debug)]
pub(crate) struct Silence {
    limit: Duration,
    last: Instant,
    timer: Timer,
}

impl Silence {
    /// Starts to wait for progress.
    pub(crate) fn new(limit: Duration) -> Self {
        Self {
            limit,
            last: Instant::now(),
            timer: Timer::after(limit),
        }
    }

    /// Notes progress.
    pub(crate) fn note_progress(&mut self) {
        self.last = Instant::now();
    }

    /// The limit, in milliseconds.
    pub(crate) fn limit_ms(&self) -> u64 {
        u64::try_from(self.limit.as_millis()).unwrap_or(u64::MAX)
    }

    /// Waits until the limit is exceeded. Can be dropped and called again.
    pub(crate) async fn exceeded(&mut self) {
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
