//! How calls of many processes are spread over time.

use std::time::Duration;

/// Store calls per second that the fetches after one change may add up to.
const FETCH_CALLS_PER_S: u64 = 1_000;
/// Store calls of one process after a change: the changed shard, and the
/// next watch.
const CALLS_PER_FETCH: u64 = 2;

/// A watch that ends sooner than this without news did not wait: its answer is
/// not what was asked for, and asking again at once would make as many calls as
/// the connection carries (110 a second were seen).
const WATCH_MIN: Duration = Duration::from_millis(200);

/// Whether a watch that took `took` and brought no news has to be followed by
/// the pause after a failed call.
pub(super) fn ended_too_soon(took: Duration) -> bool {
    took < WATCH_MIN
}

/// A random time around `mean`, from half of it to one and a half of it;
/// `draw` lies in 0 to 1.
pub fn jittered(mean: Duration, draw: f64) -> Duration {
    mean.mul_f64(0.5 + draw.clamp(0.0, 1.0))
}

/// Delay before a process fetches the shards of a new head, so that the
/// fetches of all `processes` together keep within the store's rate.
pub fn delay_before_fetch(processes: usize, draw: f64) -> Duration {
    let processes = u64::try_from(processes).unwrap_or(u64::MAX);
    let calls = processes.saturating_mul(CALLS_PER_FETCH);
    let span_ms = calls.saturating_mul(1000) / FETCH_CALLS_PER_S;
    Duration::from_millis(span_ms).mul_f64(draw.clamp(0.0, 1.0))
}
