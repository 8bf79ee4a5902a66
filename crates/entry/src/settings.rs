//! Settings of the entry role. The command line parses and validates them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use policy::{choice::Rule, client_limits::Machine};
use rpc::PeerSecrets;
use store::HttpPlatform;
use types::{InstanceId, ZoneName};

/// Settings of one entry.
#[derive(Clone, Debug, bon::Builder)]
pub struct Settings {
    /// Name of this instance, unique among all processes.
    pub instance: InstanceId,
    /// Availability zone of this instance; upstream instances in it are preferred.
    pub zone: ZoneName,
    /// Address of the callers' listener.
    pub listen: SocketAddr,
    /// Address of the operator's listener, for health checks, `/metrics` and RPC of
    /// other processes.
    pub operator_listen: SocketAddr,
    /// Client of the platform's store and instance list.
    pub platform: HttpPlatform,
    /// Secrets that authenticate calls between processes.
    pub secrets: Arc<PeerSecrets>,
    /// Internal addresses of processes that are asked first for the shared state
    /// while the platform is unavailable.
    #[builder(default)]
    pub seeds: Vec<Arc<str>>,
    /// Rule for choosing an upstream instance.
    #[builder(default)]
    pub rule: Rule,
    /// Maximum number of instances that this entry uses per upstream; 16 by default,
    /// 0 for no limit.
    #[builder(default = 16)]
    pub subset_max: usize,
    /// Time limit for a caller to send its request, and for a pause in reading its
    /// response; 10 s by default.
    #[builder(default = Duration::from_secs(10))]
    pub request_timeout: Duration,
    /// Time for which a draining entry still accepts new requests, until the
    /// balancer stops sending them; 2 s by default.
    #[builder(default = Duration::from_secs(2))]
    pub balancer_lag: Duration,
    /// Time for which the claim of a request that runs at most once is kept; 48 h by
    /// default. A key that is sent again later counts as new.
    #[builder(default = Duration::from_secs(48 * 3_600))]
    pub claim_retention: Duration,
    /// What the machine has for this process; its own limits by default.
    #[builder(default = net::own_machine())]
    pub machine: Machine,
}
