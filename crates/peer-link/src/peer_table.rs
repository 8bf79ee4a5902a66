//! Gateways known to this one, by frames received and by records in the store.

use std::net::SocketAddr;

use indexmap::IndexMap;
use types::{InstanceId, TimeMs};

use crate::{
    frame::{DropCause, Frame},
    udp_link::PeerEndpoint,
    Peer,
};

/// Maximum number of peers, which bounds memory if records are wrong.
pub const PEERS_MAX: usize = 512;

/// Silence after which a peer without a record is removed.
const REMOVAL_SILENCE_MS: u64 = 30_000;

/// Silence after which a peer counts as absent, and after which any run of it
/// replaces the known one. A gateway whose clock was set back before its restart
/// is thus accepted after this time.
const ABSENCE_MS: u64 = 10_000;

/// Strength of a gateway that has not announced it, in thousandths of a core.
const DEFAULT_STRENGTH: u32 = 1_000;

/// Number of sequence numbers before the highest one for which duplicates are
/// recognized.
const WINDOW: u64 = 64;

#[derive(Debug)]
struct Known {
    peer: Peer,
    started_unix_ms: u64,
    has_record: bool,
    /// Time of the last frame of this run.
    heard_at: Option<TimeMs>,
    received: ReplayWindow,
}

/// Sequence numbers received of one run, as in RFC 4303, section 3.4.3.
#[derive(Debug, Default)]
struct ReplayWindow {
    highest: u64,
    /// Bit n is set if the number `highest - n` was received.
    bits: u64,
}

impl ReplayWindow {
    /// Records a number. Returns whether it is new.
    fn insert(&mut self, sequence: u64) -> bool {
        if sequence > self.highest || self.bits == 0 {
            let shift = sequence.saturating_sub(self.highest);
            self.bits = match shift < WINDOW {
                true => self.bits << shift,
                false => 0,
            };
            self.highest = sequence;
        }
        let age = self.highest - sequence;
        if age >= WINDOW || self.bits & (1 << age) != 0 {
            return false;
        }
        self.bits |= 1 << age;
        true
    }
}

/// What the arrival of a frame changed.
#[derive(Debug, PartialEq, Eq)]
pub struct Accepted {
    /// Sender of the frame.
    pub peer: Peer,
    /// Whether this is the first frame of the run, or the first after an absence.
    pub is_first: bool,
}

/// The peers of one gateway, without I/O or clock.
#[derive(Debug)]
pub struct PeerTable {
    own: InstanceId,
    known: IndexMap<InstanceId, Known>,
}

impl PeerTable {
    /// Creates an empty table for the gateway `own`.
    pub fn new(own: InstanceId) -> Self {
        Self {
            own,
            known: IndexMap::new(),
        }
    }

    /// Records an authentic frame that came from `addr`.
    ///
    /// # Errors
    ///
    /// The reason to drop the frame.
    pub fn on_frame(
        &mut self,
        now: TimeMs,
        frame: &Frame<'_>,
        addr: SocketAddr,
    ) -> Result<Accepted, DropCause> {
        if frame.sender == self.own.as_str() {
            return Err(DropCause::OwnInstance);
        }
        let endpoint = PeerEndpoint {
            addr,
            run: frame.run,
            started_unix_ms: frame.started_unix_ms,
        };
        let known = match self.known.get_mut(frame.sender) {
            Some(known) => known,
            None => self.insert(frame.sender.into(), &endpoint)?,
        };
        if known.peer.run != frame.run && !known.accept_run(now, &endpoint) {
            return Err(DropCause::OlderRun);
        }
        if !known.received.insert(frame.sequence) {
            return Err(DropCause::Duplicate);
        }
        let is_first = !known.is_heard(now, ABSENCE_MS);
        known.heard_at = Some(now);
        known.peer.addr = addr;
        known.peer.strength = frame.strength;
        Ok(Accepted {
            peer: known.peer.clone(),
            is_first,
        })
    }

    /// Records the endpoint in another gateway's record in the store. It only
    /// serves to find a gateway that has not sent a frame yet.
    pub fn on_record(&mut self, now: TimeMs, gateway: &InstanceId, endpoint: &PeerEndpoint) {
        if *gateway == self.own {
            return;
        }
        let known = match self.known.get_mut(gateway) {
            Some(known) => known,
            None => match self.insert(gateway.clone(), endpoint) {
                Ok(known) => known,
                Err(_) => return,
            },
        };
        known.has_record = true;
        if known.peer.run != endpoint.run {
            known.accept_run(now, endpoint);
        }
    }

    /// Records that the store holds no record of a gateway any more.
    pub fn on_record_removed(&mut self, gateway: &InstanceId) {
        if let Some(known) = self.known.get_mut(gateway) {
            known.has_record = false;
        }
    }

    /// Records which gateways have a record in the store.
    pub fn retain_records(&mut self, has_record: impl Fn(&InstanceId) -> bool) {
        for (gateway, known) in &mut self.known {
            known.has_record &= has_record(gateway);
        }
    }

    /// Removes the peers that are silent and have no record, and returns them.
    pub fn remove_silent(&mut self, now: TimeMs) -> Vec<InstanceId> {
        let is_kept = |known: &Known| known.has_record || known.is_heard(now, REMOVAL_SILENCE_MS);
        let removed = self.known.iter().filter(|(_, known)| !is_kept(known));
        let removed = removed.map(|(gateway, _)| gateway.clone()).collect();
        self.known.retain(|_, known| is_kept(known));
        removed
    }

    /// Returns the number of peers, including silent ones with a record.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether there are no peers.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns the address of a peer.
    pub fn addr(&self, gateway: &InstanceId) -> Option<SocketAddr> {
        Some(self.known.get(gateway)?.peer.addr)
    }

    /// Returns the addresses of all peers.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.known.values().map(|known| known.peer.addr).collect()
    }

    /// Returns the peers heard lately and those with a record, by instance id.
    pub fn peers(&self, now: TimeMs) -> Vec<Peer> {
        let current = self.known.values();
        let current = current.filter(|known| known.has_record || known.is_heard(now, ABSENCE_MS));
        let mut peers: Vec<Peer> = current.map(|known| known.peer.clone()).collect();
        peers.sort_unstable_by(|one, other| one.instance.cmp(&other.instance));
        peers
    }

    /// Returns whether a frame of the peer has arrived within `within_ms`.
    pub fn is_heard(&self, now: TimeMs, gateway: &InstanceId, within_ms: u64) -> bool {
        let known = self.known.get(gateway);
        known.is_some_and(|known| known.is_heard(now, within_ms))
    }

    fn insert(
        &mut self,
        gateway: InstanceId,
        endpoint: &PeerEndpoint,
    ) -> Result<&mut Known, DropCause> {
        if self.known.len() >= PEERS_MAX {
            return Err(DropCause::TooManyPeers);
        }
        let known = Known {
            peer: Peer {
                instance: gateway.clone(),
                run: endpoint.run,
                addr: endpoint.addr,
                strength: DEFAULT_STRENGTH,
            },
            started_unix_ms: endpoint.started_unix_ms,
            has_record: false,
            heard_at: None,
            received: ReplayWindow::default(),
        };
        Ok(self.known.entry(gateway).or_insert(known))
    }
}

impl Known {
    fn is_heard(&self, now: TimeMs, within_ms: u64) -> bool {
        self.heard_at
            .is_some_and(|heard_at| now.since(heard_at) <= within_ms)
    }

    /// Replaces the run if the other one is newer or this one is absent. Returns
    /// whether it was replaced.
    fn accept_run(&mut self, now: TimeMs, endpoint: &PeerEndpoint) -> bool {
        let is_newer =
            (endpoint.started_unix_ms, endpoint.run) > (self.started_unix_ms, self.peer.run);
        if !is_newer && self.is_heard(now, ABSENCE_MS) {
            return false;
        }
        self.peer.run = endpoint.run;
        self.peer.addr = endpoint.addr;
        self.started_unix_ms = endpoint.started_unix_ms;
        self.received = ReplayWindow::default();
        self.heard_at = None;
        true
    }
}
