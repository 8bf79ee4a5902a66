//! Wall-clock time, for values that outlive the process.

use std::time::{SystemTime, UNIX_EPOCH};

/// Milliseconds since 1970.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |span| span.as_millis() as u64)
}
