//! Where a process learns its shared state from.

use std::{sync::Arc, time::Duration};

use store::{InstanceSource, ObjectStore};
use types::InstanceId;

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
    /// Mean time between two comparisons of generations with a random peer.
    #[builder(default = Duration::from_secs(3))]
    pub compare_interval: Duration,
}
