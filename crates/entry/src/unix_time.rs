//! Wall-clock time, for timestamps in stored data.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the milliseconds since 1970-01-01 UTC; 0 if the clock is before that.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |span| span.as_millis() as u64)
}
