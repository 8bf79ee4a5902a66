//! Monotonic time stamps, passed as arguments to decision logic that reads no
//! clock itself.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// Milliseconds since an origin that each process chooses for itself.
///
/// Values from different processes are not comparable. Subtraction saturates
/// at zero, so that out-of-order clock readings never give a negative duration.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TimeMs(pub u64);

impl TimeMs {
    /// Returns the milliseconds since `earlier`, or 0 if `earlier` is later than
    /// `self`.
    pub fn since(self, earlier: TimeMs) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for TimeMs {
    type Output = TimeMs;

    fn add(self, duration_ms: u64) -> TimeMs {
        TimeMs(self.0.saturating_add(duration_ms))
    }
}

impl Sub<u64> for TimeMs {
    type Output = TimeMs;

    fn sub(self, duration_ms: u64) -> TimeMs {
        TimeMs(self.0.saturating_sub(duration_ms))
    }
}
