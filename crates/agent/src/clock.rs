//! Monotonic time of the process, as the decision crates take it.

use std::time::Instant;

use types::TimeMs;

/// Milliseconds since the process's own origin.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    origin: Instant,
}

impl Clock {
    /// Makes a clock that starts at zero now.
    pub(crate) fn new() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// The time now.
    pub(crate) fn now(&self) -> TimeMs {
        TimeMs(u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX))
    }
}
