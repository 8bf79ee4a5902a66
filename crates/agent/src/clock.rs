//! Monotonic time as [`TimeMs`], the type that the `policy` and `coord` crates
//! take instead of reading a clock themselves.

use std::time::Instant;

use types::TimeMs;

/// Clock that counts milliseconds since its creation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates a clock whose time zero is now.
    pub(crate) fn new() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the milliseconds since the creation of the clock.
    pub(crate) fn now(&self) -> TimeMs {
        TimeMs(u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX))
    }
}
