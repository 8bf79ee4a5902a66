//! Monotonic time as passed into the decision crates.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// Milliseconds since an origin of the process's own choice.
///
/// Values from different processes can't be compared. Subtraction saturates
/// at zero, so that a clock read late never yields a negative wait.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TimeMs(pub u64);

impl TimeMs {
    /// Milliseconds since `earlier`, zero if `earlier` is in the future.
    pub fn since(self, earlier: TimeMs) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for TimeMs {
    type Output = TimeMs;

    fn add(self, span_ms: u64) -> TimeMs {
        TimeMs(self.0.saturating_add(span_ms))
    }
}

impl Sub<u64> for TimeMs {
    type Output = TimeMs;

    fn sub(self, span_ms: u64) -> TimeMs {
        TimeMs(self.0.saturating_sub(span_ms))
    }
}
