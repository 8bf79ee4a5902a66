//! Settings of the agent role, checked by the command line.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use policy::schedule::Discipline;
use rpc::PeerSecrets;
use store::HttpPlatform;
use types::{InstanceId, UpstreamName, ZoneName};

/// Settings of one agent.
#[derive(Clone, Debug, bon::Builder)]
pub struct Settings {
    /// Own instance.
    pub instance: InstanceId,
    /// Own availability zone.
    pub zone: ZoneName,
    /// The upstream that the instance belongs to.
    pub upstream: UpstreamName,
    /// Address of the upstream instance beside this agent, `IP:port`.
    pub upstream_addr: Arc<str>,
    /// Internal listener: dispatches, calls and `/metrics`.
    pub listen: SocketAddr,
    /// The platform.
    pub platform: HttpPlatform,
    /// Secrets of internal calls.
    pub secrets: Arc<PeerSecrets>,
    /// Internal addresses asked first when the platform is unavailable.
    #[builder(default)]
    pub seeds: Vec<Arc<str>>,
    /// Order of service.
    #[builder(default)]
    pub discipline: Discipline,
    /// Longest silence of the upstream within an answer before it counts as failed.
    #[builder(default = Duration::from_secs(10))]
    pub upstream_silence: Duration,
    /// How long the process stays reachable and refuses new work after a
    /// drain begins and the last request has ended.
    #[builder(default = Duration::from_secs(2))]
    pub membership_lag: Duration,
}
