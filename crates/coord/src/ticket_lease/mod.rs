//! A lease that needs no conditional replace of a store, only creates, replaces and
//! lists of objects.
//!
//! A process that wants the lease creates an object of its own, a ticket. The
//! store's revision of that creation orders the tickets and is the fencing token:
//! it is unique, and it rises also if all tickets are lost. Only the owner of the
//! newest ticket can hold the lease, and only after every older ticket was
//! released or has not been renewed for [`Timing::duration_ms`] plus
//! [`Timing::margin_ms`].
//!
//! A renewal replaces the own ticket and then lists all of them. It counts only if
//! the list has no newer ticket, and from just before the replacing write was sent.
//! So a holder whose renewal took effect before a newer ticket was created has
//! changed its ticket in the eyes of the newer one's owner, which waits for it; a
//! holder whose renewal took effect later sees the newer ticket. Lists must not be
//! stale; a stale read may only show that a ticket was renewed.
//!
//! Tickets that vanish without having been released count as just renewed, because
//! their owners may hold the lease until they see it.
//!
//! A store that comes back from an older copy may have lost the ticket of a holder, and
//! with it all that the above rests on. [`ListedTicket::revision`] therefore orders
//! later eras of the store's history after earlier ones, and each process that notices
//! a new era gives its ticket up and waits until no permit of the era before can be
//! in use. A process that starts afterwards notices it by the tickets: each names the
//! era in which it was written.
//!
//! Clocks of different processes are never compared, as in [`crate::lease`].

mod machine;

pub use machine::{Step, TicketLease};

use serde::{Deserialize, Serialize};
use types::InstanceId;

pub use crate::lease::{Permit, Timing};

/// Number of former holders that a ticket names.
pub const FORMER_HOLDERS_MAX: usize = 8;

/// The stored value of a ticket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// Gateway whose process created the ticket.
    pub holder: InstanceId,
    /// Identifies the run of the process: it changes with a restart.
    pub nonce: String,
    /// Revision of the creation; `None` until the first renewal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token: Option<u64>,
    /// Sequence number of the write within the run, which makes each value unique.
    pub write: u64,
    /// Whether the owner gave the ticket up; it then has no order in flight.
    #[serde(default)]
    pub released: bool,
    /// Whether the owner has held the lease under this ticket.
    #[serde(default)]
    pub held: bool,
    /// Last usage window up to which all are reported or abandoned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reported_through: Option<u64>,
    /// Era of the store's history in which this value was written, 0 for a store without
    /// eras.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub era: u32,
    /// Owners of the newest tickets before this one, the latest first.
    #[serde(default)]
    pub former_holders: Vec<FormerHolder>,
}

impl Ticket {
    /// Returns what an object counts as whose value can't be read: a ticket that is older
    /// than any other and not released. Its changes are waited for, as its owner may be a
    /// gateway of a later version.
    pub fn of_unknown_owner() -> Self {
        Self {
            holder: InstanceId::new("unknown"),
            nonce: String::new(),
            token: Some(0),
            write: 0,
            released: false,
            held: false,
            reported_through: None,
            era: 0,
            former_holders: Vec::new(),
        }
    }

    /// Returns whether this stands for a value that can't be read. The nonce of a process
    /// is never empty.
    pub(crate) fn is_of_unknown_owner(&self) -> bool {
        self.nonce.is_empty()
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "signature that serde requires"
)]
fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// Owner of an earlier ticket, which may have held the lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerHolder {
    /// Gateway whose process created the ticket.
    pub holder: InstanceId,
    /// Identifies the run of the process.
    pub nonce: String,
}

/// A ticket as listed by the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedTicket {
    /// Name of the object.
    pub name: String,
    /// Revision of the last write; higher in a later era of the store's history than in
    /// any earlier one.
    pub revision: u64,
    /// Value.
    pub ticket: Ticket,
}

impl ListedTicket {
    /// Returns the revision of the creation, which orders the tickets.
    pub fn order(&self) -> u64 {
        self.ticket.token.unwrap_or(self.revision)
    }
}
