//! What gateways tell each other through the platform's store.
//!
//! Each gateway writes one record of its own and watches those of all others, so
//! that writes never conflict and a record outlives the process that wrote it. A
//! gateway that has nothing to tell has no record: on a day without incidents the
//! only cost is the watch, and with the link between gateways one write per start.

mod link;
mod publish;
mod sync;

use std::sync::atomic::{AtomicBool, Ordering};

use peer_link::PeerEndpoint;
use policy::{crash_evidence::EndEvidence, named_limit::LimitClaim};
use serde::{Deserialize, Serialize};
use smol::channel::{Receiver, Sender};
use store::{BoxFuture, StoreError};
use types::InstanceId;

use crate::{duties::UsageRecord, feed::Feed};

pub(crate) use link::start_link;
pub(crate) use publish::publish_own_record;
pub(crate) use sync::sync_peers;

/// What one gateway tells the others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerReport {
    /// Ends of instances that this gateway observed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ends: Vec<EndEvidence>,
    /// Limits of instances that this gateway knows or wants a share of.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<LimitClaim>,
    /// Where this run of the gateway receives frames; `None` without the link.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<PeerEndpoint>,
    /// Usage of teams, as far as the link does not carry it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<UsageRecord>,
}

impl PeerReport {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
            && self.limits.is_empty()
            && self.endpoint.is_none()
            && self.usage.is_none()
    }
}

/// The report of one gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerRecord {
    /// Id of the gateway, the same across restarts.
    pub gateway: InstanceId,
    /// What it tells.
    pub report: PeerReport,
}

/// Records of all gateways in the platform's store.
pub trait PeerDirectory: Feed<PeerRecord> {
    /// Writes the record of a gateway.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store did not confirm the write.
    fn publish<'a>(&'a self, record: &'a PeerRecord) -> BoxFuture<'a, Result<(), StoreError>>;

    /// Deletes the record of a gateway, if there is one.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store did not confirm it.
    fn withdraw<'a>(&'a self, gateway: &'a InstanceId) -> BoxFuture<'a, Result<(), StoreError>>;

    /// Claims a name that only one process may ever use. Returns whether this
    /// process was the first.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store did not answer; the name may be taken then.
    fn claim<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<bool, StoreError>>;

    /// Returns the key of the link between gateways. If there is none yet, it
    /// becomes `candidate`, which must be random.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store did not answer or holds no valid key.
    fn link_key(
        &self,
        candidate: peer_link::Key,
    ) -> BoxFuture<'_, Result<peer_link::Key, StoreError>>;
}

/// State of the exchange with other gateways.
#[derive(Debug)]
pub(crate) struct PeerExchange {
    /// Whether the record of an earlier process of the same name, if there is
    /// one, has been read. Publishing earlier would overwrite it.
    has_listed: AtomicBool,
    /// Holds a message while the own record may differ from what is published.
    changed: (Sender<()>, Receiver<()>),
}

impl Default for PeerExchange {
    fn default() -> Self {
        Self {
            has_listed: AtomicBool::new(false),
            changed: smol::channel::bounded(1),
        }
    }
}

impl PeerExchange {
    /// Returns whether the records have been read at least once.
    pub(crate) fn has_listed(&self) -> bool {
        self.has_listed.load(Ordering::Relaxed)
    }

    /// Requests that the own record is published.
    pub(crate) fn notify_changed(&self) {
        // A full channel already holds the request.
        let _ = self.changed.0.try_send(());
    }
}
