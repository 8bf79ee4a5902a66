//! Delays that spread the calls of many processes over time.

use std::time::Duration;

/// Limit of the store calls per second that all processes together make to
/// fetch one change.
const FETCH_CALLS_PER_S: u64 = 1_000;
/// Store calls of one process after a change: the read of the changed shard
/// and the next watch.
const CALLS_PER_FETCH: u64 = 2;

/// Minimum duration of a watch that returns no change. A faster one did not
/// wait as requested, and repeating it immediately would call the store as fast
/// as the connection allows (110 calls per second).
const MIN_WATCH_DURATION: Duration = Duration::from_millis(200);

/// Returns whether a watch that returned no change after `elapsed` has to be
/// followed by the delay that is used after a failed call.
pub(super) fn returned_too_early(elapsed: Duration) -> bool {
    elapsed < MIN_WATCH_DURATION
}

/// Returns a duration between 0.5 and 1.5 times `mean`; `draw` is a uniform
/// random number from 0 to 1.
pub fn jittered(mean: Duration, draw: f64) -> Duration {
    mean.mul_f64(0.5 + draw.clamp(0.0, 1.0))
}

/// Returns the delay before a process fetches the shards of a new head.
///
/// With `draw` uniform in 0 to 1, the fetches of all `processes` together stay
/// within 1,000 store calls per second.
pub fn delay_before_fetch(processes: usize, draw: f64) -> Duration {
    let processes = u64::try_from(processes).unwrap_or(u64::MAX);
    let calls = processes.saturating_mul(CALLS_PER_FETCH);
    let window_ms = calls.saturating_mul(1000) / FETCH_CALLS_PER_S;
    Duration::from_millis(window_ms).mul_f64(draw.clamp(0.0, 1.0))
}
