//! Time of day that a step of the machine's clock does not move.
//!
//! Usage windows are cut at the same moments by all gateways, and a request that is
//! counted in the wrong window is missing in another. The clocks of some machines
//! are stepped by seconds to hours while they run. The time of day is therefore
//! read once, at the start, and continued with a clock that also runs while the
//! machine is suspended. A gateway that starts while its clock is wrong is corrected
//! by the majority of its peers before it uses the time. Later it is not corrected:
//! the continued clock does not step, while messages that waited during a pause of
//! the process would look like a step of all peers.

use indexmap::IndexMap;
use types::{InstanceId, TimeMs};

/// Error of the own time that is not corrected, in milliseconds. Above what clocks
/// that are kept in step differ by, and far below the length of a window.
const TOLERANCE_MS: i64 = 400;

/// Smallest number of peers whose agreement settles the own time, so that one peer
/// with a wrong clock changes nothing.
const PEERS_MIN: usize = 2;

/// What a peer told about the time.
#[derive(Clone, Copy, Debug)]
struct Sample {
    /// Correction of the own time with which it equals the peer's at least.
    low_ms: i64,
    /// Correction of the own time with which it equals the peer's at most.
    high_ms: i64,
}

/// True time, continued from the start of the process.
///
/// All methods take the boot time: milliseconds of a clock that is never set and
/// includes the time for which the machine is suspended.
///
/// # Invariants
///
/// Once settled, the difference to the boot time never changes.
#[derive(Clone, Debug)]
pub struct TrueTime {
    /// Unix time in milliseconds at boot time 0.
    offset_ms: i64,
    started_at: TimeMs,
    samples: IndexMap<InstanceId, Sample>,
    is_settled: bool,
}

impl TrueTime {
    /// Creates the time, not settled, from one reading of both clocks.
    pub fn new(unix_ms: u64, boot: TimeMs) -> Self {
        Self {
            offset_ms: unix_ms as i64 - boot.0 as i64,
            started_at: boot,
            samples: IndexMap::new(),
            is_settled: false,
        }
    }

    /// Returns the Unix time in milliseconds.
    pub fn unix_ms(&self, boot: TimeMs) -> u64 {
        (boot.0 as i64 + self.offset_ms).max(0) as u64
    }

    /// Handles a message in which a peer tells its time. The message has taken at
    /// most `delay_max_ms` milliseconds.
    pub fn on_peer_time(
        &mut self,
        boot: TimeMs,
        peer: &InstanceId,
        peer_unix_ms: u64,
        delay_max_ms: u64,
    ) {
        if self.is_settled {
            return;
        }
        let low_ms = peer_unix_ms as i64 - self.unix_ms(boot) as i64;
        let sample = Sample {
            low_ms,
            high_ms: low_ms + delay_max_ms as i64,
        };
        self.samples.insert(peer.clone(), sample);
    }

    /// Settles the time if peers agree on it, or if `wait_ms` have passed since the
    /// start. Returns the correction in milliseconds when it becomes settled.
    pub fn settle(&mut self, boot: TimeMs, wait_ms: u64) -> Option<i64> {
        if self.is_settled {
            return None;
        }
        let agreeing = self.agreeing(0);
        let is_confirmed = agreeing >= PEERS_MIN && agreeing * 2 > self.samples.len();
        let correction_ms = match is_confirmed {
            true => 0,
            false => match self.majority_ms() {
                Some(correction_ms) => correction_ms,
                None if boot.since(self.started_at) >= wait_ms => 0,
                None => return None,
            },
        };
        self.offset_ms += correction_ms;
        self.is_settled = true;
        self.samples.clear();
        Some(correction_ms)
    }

    /// Returns whether the time is settled.
    pub fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// Returns the correction that the majority of the peers agrees on.
    fn majority_ms(&self) -> Option<i64> {
        let samples = self.samples.values();
        let mut middles: Vec<i64> = samples.map(|sample| sample.middle_ms()).collect();
        middles.sort_unstable();
        let median_ms = *middles.get(middles.len() / 2)?;
        let agreeing = self.agreeing(median_ms);
        let is_majority = agreeing >= PEERS_MIN && agreeing * 2 > self.samples.len();
        is_majority.then_some(median_ms)
    }

    /// Returns the number of peers that agree with the own time after a correction.
    fn agreeing(&self, correction_ms: i64) -> usize {
        let samples = self.samples.values();
        samples
            .filter(|sample| sample.is_near(correction_ms))
            .count()
    }
}

impl Sample {
    fn is_near(&self, correction_ms: i64) -> bool {
        let allowed = self.low_ms - TOLERANCE_MS..=self.high_ms + TOLERANCE_MS;
        allowed.contains(&correction_ms)
    }

    fn middle_ms(&self) -> i64 {
        (self.low_ms + self.high_ms) / 2
    }
}
