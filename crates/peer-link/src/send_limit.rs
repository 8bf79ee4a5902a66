//! Limit on the frames that a gateway sends to all of its peers.
//!
//! A token bucket that holds one frame per token. Without a limit, the frames in
//! the network would grow with the square of the number of gateways.

use types::TimeMs;

/// Frames per second that a gateway sends to all of its peers together.
pub const FRAMES_PER_S: u64 = 100;

const MS_PER_S: u64 = 1_000;

/// Token bucket, counted in thousandths of a frame.
#[derive(Debug, Default)]
pub struct SendLimit {
    level_milli: i64,
    refilled_at: TimeMs,
}

impl SendLimit {
    /// Takes the tokens of a broadcast to `peers`. Returns `false`, and takes
    /// nothing, if they are missing. An urgent broadcast may leave a debt that
    /// later ones wait for.
    pub fn take(&mut self, now: TimeMs, peers: usize, is_urgent: bool) -> bool {
        let needed_milli = (peers as u64 * MS_PER_S) as i64;
        // One second of frames, or one broadcast if it has more.
        let capacity_milli = needed_milli.max((FRAMES_PER_S * MS_PER_S) as i64);
        let refill_milli = (now.since(self.refilled_at) * FRAMES_PER_S) as i64;
        self.refilled_at = now;
        self.level_milli = self
            .level_milli
            .saturating_add(refill_milli)
            .min(capacity_milli);
        let required_milli = match is_urgent {
            true => 0,
            false => needed_milli,
        };
        if self.level_milli < required_milli {
            return false;
        }
        self.level_milli -= needed_milli;
        true
    }
}

/// Returns the interval of broadcasts to `peers` that keeps the limit, in
/// milliseconds.
pub fn broadcast_interval_ms(peers: usize) -> u64 {
    (peers as u64 * MS_PER_S).div_ceil(FRAMES_PER_S)
}
