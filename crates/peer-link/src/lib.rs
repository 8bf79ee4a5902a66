//! Authenticated datagrams between gateways.
//!
//! The link carries advice and absolute values only: frames may be lost,
//! duplicated, reordered or old without harm, and every decision must also be
//! possible without them.

pub mod frame;
pub mod peer_table;
pub mod send_limit;
mod udp_link;

use std::{net::SocketAddr, sync::Arc};

use types::InstanceId;

pub use frame::{DropCause, Key, FRAME_MAX_BYTES};
pub use peer_table::PEERS_MAX;
pub use udp_link::{OwnIdentity, PeerEndpoint, UdpLink};

/// What the payload of a frame contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[repr(u8)]
pub enum Topic {
    /// Requests and prompt tokens that a gateway has at each instance.
    Load = 1,
    /// Requests of each team that began to run, by window.
    Usage = 2,
    /// Announcements of the gateway that performs the duties.
    Duty = 3,
}

impl Topic {
    const ALL: [Self; 3] = [Self::Load, Self::Usage, Self::Duty];

    fn from_number(number: u8) -> Option<Self> {
        Self::ALL.into_iter().find(|topic| *topic as u8 == number)
    }
}

/// One run of another gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Id of the gateway, the same across restarts.
    pub instance: InstanceId,
    /// Random number of this run of the gateway's process.
    pub run: u64,
    /// Address to which frames for the gateway are sent.
    pub addr: SocketAddr,
    /// Share of a processor core that the gateway has, in thousandths.
    pub strength: u32,
}

/// Sends frames to other gateways.
pub trait PeerLink: Send + Sync {
    /// Returns the identity of this process as its peers see it.
    fn own(&self) -> Peer;

    /// Sends a payload to one peer. Does nothing if the peer is unknown.
    fn send_to(&self, peer: &InstanceId, topic: Topic, payload: &[u8]);

    /// Sends a payload to all known peers.
    fn broadcast(&self, topic: Topic, payload: &[u8]);

    /// Returns the peers heard recently and those with a record in the store,
    /// in a stable order.
    fn peers(&self) -> Vec<Peer>;

    /// Returns whether a frame of the peer has arrived within the last
    /// `within_ms` milliseconds.
    fn is_heard(&self, peer: &InstanceId, within_ms: u64) -> bool;

    /// Registers the receiver of a topic, which replaces an earlier one.
    fn subscribe(&self, topic: Topic, subscriber: Arc<dyn Subscriber>);

    /// Returns the shortest interval, in milliseconds, at which one payload can
    /// be broadcast without exceeding the send limit. It grows with the number
    /// of peers. Broadcasts of [`Topic::Load`] beyond the limit are dropped;
    /// those of other topics are sent and delay the next ones.
    fn broadcast_interval_ms(&self) -> u64 {
        0
    }
}

/// Receives the frames of one topic.
pub trait Subscriber: Send + Sync {
    /// Handles the payload of an accepted frame. The payload is authentic but
    /// may be malformed or older than one received before.
    fn on_frame(&self, from: &Peer, payload: &[u8]);
}

/// Longest payload of one frame in bytes, so that a frame fits into a datagram
/// of 1,200 bytes, which no usual network fragments.
pub const PAYLOAD_MAX_BYTES: usize = 1_024;
