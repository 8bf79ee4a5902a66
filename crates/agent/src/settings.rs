//! Settings of the agent role, which the command line parses and validates.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use policy::schedule::Discipline;
use rpc::PeerSecrets;
use store::HttpPlatform;
use types::{InstanceId, UpstreamName, ZoneName};

/// Settings of one agent, fixed for the lifetime of the process.
#[derive(Clone, Debug, bon::Builder)]
pub struct Settings {
    /// Id of this instance; also names its evidence and lease objects.
    pub instance: InstanceId,
    /// Availability zone of this instance.
    pub zone: ZoneName,
    /// Upstream to which the instance belongs, by its name in the configuration.
    pub upstream: UpstreamName,
    /// Address of the upstream instance beside this agent, `IP:port`.
    pub upstream_addr: Arc<str>,
    /// Address of the internal listener for dispatches, JSON-RPC and `/metrics`.
    pub listen: SocketAddr,
    /// Client of the platform, which provides the object store and the instance
    /// list.
    pub platform: HttpPlatform,
    /// Secrets that authenticate calls between limpetgw processes.
    pub secrets: Arc<PeerSecrets>,
    /// Internal addresses of peers that are called while no instance list is
    /// known because the platform is unavailable.
    #[builder(default)]
    pub seeds: Vec<Arc<str>>,
    /// Order in which queued requests are started.
    #[builder(default)]
    pub discipline: Discipline,
    /// Maximum time without a new token of a completion, and maximum duration of
    /// a service call, before the request fails; 10 s by default.
    #[builder(default = Duration::from_secs(10))]
    pub upstream_silence: Duration,
    /// How long the process stays reachable and refuses new requests after a
    /// drain has begun and the last request has ended; 2 s by default. Entries
    /// with an outdated instance list then get a refusal, not a connection error.
    #[builder(default = Duration::from_secs(2))]
    pub membership_lag: Duration,
}
