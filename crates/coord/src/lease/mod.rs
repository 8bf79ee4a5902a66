//! A lease, which gives one process the right to send orders to one upstream
//! instance.
//!
//! Clocks of different processes are never compared. The holder measures its
//! lease from just before it sent the write, a contender from just after it first
//! read that write. The lease therefore expires later for the contender than for
//! the holder, as long as both clocks run at about the same rate;
//! [`Timing::margin_ms`] covers the difference.
//!
//! A process acquires the lease only when it has orders to send and releases it
//! afterwards: if 1,400 agents renewed their leases permanently every 5 s, they
//! would make 280 writes per second to the platform's store.
//!
//! An engine that checks fencing numbers refuses a late order of a former
//! holder. With an engine that does not, a new holder first waits for the maximum
//! duration of an order that the former holder may have sent.

mod held_lease;
mod machine;

pub use held_lease::Permit;
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
    /// Duration of the lease from each write, in milliseconds.
    pub duration_ms: u64,
    /// Time before the expiry by which every order of the holder must have taken
    /// effect, in milliseconds. A contender adds it to the expiry that it computes.
    pub margin_ms: u64,
    /// Maximum time from the check of a permit until the order has taken effect
    /// at the engine, in milliseconds.
    pub longest_order_ms: u64,
}

impl Timing {
    /// Timing used by agents: a 15 s lease with a margin of 1.5 s, for orders of
    /// up to 5 s.
    pub const DEFAULT: Timing = Timing {
        duration_ms: 15_000,
        margin_ms: 1_500,
        longest_order_ms: 5_000,
    };

    /// Returns the interval between renewals, which is a third of the duration.
    pub fn renew_interval_ms(&self) -> u64 {
        self.duration_ms / 3
    }
}

/// The stored value of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Process that holds the lease.
    pub holder: InstanceId,
    /// Identifies the run of the holder's process: it changes with a restart.
    pub nonce: String,
    /// Fencing number; incremented by each acquisition, unchanged by renewals.
    pub term: u64,
    /// Sequence number of the write within the run of the holder's process, which
    /// makes each written value unique.
    pub write: u64,
    /// Duration of the lease from this write, in milliseconds.
    pub duration_ms: u64,
    /// Maximum duration of an order of the holder, in milliseconds.
    pub longest_order_ms: u64,
    /// Whether the holder released the lease; it then had no order in flight.
    pub released: bool,
}
