//! A lease on the right to order one upstream instance.
//!
//! Clocks of different processes are never compared. A holder counts its
//! lease from the moment before it sent the write; a contender counts from
//! the moment after it first saw that write. The contender therefore always
//! sees the lease end later than the holder does, as long as the two clocks
//! run at about the same rate, for which [`Timing::margin_ms`] allows.
//!
//! A process takes the lease only while it has orders to give, and releases
//! it afterwards: 1,400 agents that renewed every 5 s would need 280 writes a
//! second of the platform's store, for nothing.
//!
//! An engine that checks fencing numbers refuses a late order by itself. For
//! one that does not, a new holder first waits for the longest order that the
//! old holder may have had under way.

mod holder;
mod machine;

pub use holder::Permit;
pub use machine::{Lease, Step};

use serde::{Deserialize, Serialize};
use types::InstanceId;

/// Durations of a lease.
///
/// # Invariants
///
/// `margin_ms + longest_order_ms < duration_ms`, or no order is ever permitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timing {
    /// Length of the lease after each write, in milliseconds.
    pub duration_ms: u64,
    /// Time before the end at which the holder stops, in milliseconds.
    pub margin_ms: u64,
    /// Longest time between the check of a permit and the end of the order's
    /// effect at the engine, in milliseconds.
    pub longest_order_ms: u64,
}

impl Timing {
    /// The timing used by agents.
    pub const DEFAULT: Timing = Timing {
        duration_ms: 15_000,
        margin_ms: 1_500,
        longest_order_ms: 5_000,
    };

    /// Time between two renewals, in milliseconds.
    pub fn renew_interval_ms(&self) -> u64 {
        self.duration_ms / 3
    }
}

/// The stored value of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Who holds it.
    pub holder: InstanceId,
    /// Unique to one run of the holder's process.
    pub nonce: String,
    /// Fencing number: rises by one with each acquisition, stays over renewals.
    pub term: u64,
    /// Number of the write within one run of the holder's process; makes each
    /// written value unique.
    pub write: u64,
    /// Length of the lease, in milliseconds.
    pub duration_ms: u64,
    /// Longest order of the holder, in milliseconds.
    pub longest_order_ms: u64,
    /// Whether the holder gave the lease up with no order under way.
    pub released: bool,
}
