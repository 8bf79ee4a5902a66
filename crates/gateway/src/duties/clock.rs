//! The clock of the duties, and the detection of pauses.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use rustix::time::{clock_gettime, ClockId};
use types::TimeMs;

/// Interval at which the detector looks at the clock.
pub(super) const TICK: Duration = Duration::from_millis(50);

/// Time without a tick after which the process counts as having been paused, in
/// milliseconds. Small machines run a process late by 100 ms.
const PAUSE_MIN_MS: u64 = 300;

/// Returns the time since the machine was started, including suspension.
pub(crate) fn boot_now() -> TimeMs {
    let time = clock_gettime(ClockId::Boottime);
    TimeMs(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
}

/// Returns the time of day in Unix milliseconds.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Tells when the process last resumed from a pause.
#[derive(Debug, Default)]
pub(crate) struct PauseDetector {
    /// Boot time of the last tick; 0 before the first one.
    ticked_at_ms: AtomicU64,
    resumed_at_ms: AtomicU64,
}

impl PauseDetector {
    /// Looks at the clock.
    pub(crate) fn tick(&self, now: TimeMs) {
        let before_ms = self.ticked_at_ms.swap(now.0, Ordering::Relaxed);
        if before_ms > 0 && now.0.saturating_sub(before_ms) >= PAUSE_MIN_MS {
            self.resumed_at_ms.store(now.0, Ordering::Relaxed);
        }
    }

    /// Returns the time at which the process last resumed from a pause, 0 if there
    /// was none. Looks at the clock, because it may run before the ticks after a
    /// pause.
    pub(crate) fn resumed_at(&self, now: TimeMs) -> TimeMs {
        self.tick(now);
        TimeMs(self.resumed_at_ms.load(Ordering::Relaxed))
    }
}
