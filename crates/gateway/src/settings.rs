//! Settings of the gateway role. The command line validates them.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use policy::client_limits::Machine;
use types::{InstanceId, ZoneName};

use crate::live::LiveSettings;

/// Bound on retries of one upstream, for all gateway processes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Retries allowed for each request in the window.
    pub ratio: f64,
    /// Retries allowed per window in addition to the ratio.
    pub allowance: f64,
    /// Length of the sliding window over which requests and retries are
    /// counted, in milliseconds.
    pub window_ms: u64,
}

/// Settings of one gateway process.
#[derive(Clone, Debug, bon::Builder)]
pub struct Settings {
    /// Id of this gateway instance, used in log events.
    pub instance: InstanceId,
    /// Availability zone of this process, used in log events.
    pub zone: ZoneName,
    /// Address of the listener for callers' requests.
    pub listen: SocketAddr,
    /// Address of the listener for `/readyz` and `/metrics`.
    pub operator_listen: SocketAddr,
    /// Address of the platform's store; only logged.
    pub store_addr: Arc<str>,
    /// Command-line values of the settings that can be reloaded.
    pub live: LiveSettings,
    /// Settings file whose values override [`Self::live`].
    pub file: Option<PathBuf>,
    /// Time for which the balancer may still open connections after `/readyz`
    /// has started to report not ready.
    pub balancer_lag: Duration,
    /// Address of the link between gateways, which must be reachable from the
    /// other gateways; `None` for no link.
    pub peer_listen: Option<SocketAddr>,
    /// Share of a processor core that this process has, in thousandths.
    #[builder(default = 1_000)]
    pub strength: u32,
    /// Whether the capacity of instances is learned from their responses.
    /// Without it, all instances of an upstream count as equal.
    #[builder(default = true)]
    pub learn_capacity: bool,
    /// What the machine has for this process; its own limits by default.
    #[builder(default = net::own_machine())]
    pub machine: Machine,
}
