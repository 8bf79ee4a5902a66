//! [`Settings`] of the tasks that keep the shared state current.

use std::{sync::Arc, time::Duration};

use store::{InstanceSource, ObjectStore};
use types::InstanceId;

/// Sources of the shared state, and the timing of their use.
#[derive(bon::Builder)]
pub struct Settings {
    /// Id of this process.
    pub instance: InstanceId,
    /// Store of the platform, which holds the configuration objects.
    pub store: Arc<dyn ObjectStore>,
    /// Source of the platform's instance list.
    pub instances: Arc<dyn InstanceSource>,
    /// RPC client for calls to peers.
    pub peers: rpc::Client,
    /// Internal addresses of peers that are called while no instance list is
    /// known because the platform is unavailable.
    #[builder(default)]
    pub seeds: Vec<Arc<str>>,
    /// Timeout of one watch call to the platform. Default: 20 s.
    #[builder(default = Duration::from_secs(20))]
    pub watch_timeout: Duration,
    /// Mean interval between comparisons of generations with a random peer.
    /// Default: 3 s.
    #[builder(default = Duration::from_secs(3))]
    pub compare_interval: Duration,
}
