//! Settings of the entry role, checked by the command line.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use policy::choice::Rule;
use rpc::PeerSecrets;
use store::HttpPlatform;
use types::{InstanceId, ZoneName};

/// Settings of one entry.
#[derive(Clone, Debug, bon::Builder)]
pub struct Settings {
    /// Own instance.
    pub instance: InstanceId,
    /// Own availability zone.
    pub zone: ZoneName,
    /// Callers' listener.
    pub listen: SocketAddr,
    /// Listener for `/metrics` and for calls of other processes.
    pub operator_listen: SocketAddr,
    /// The platform.
    pub platform: HttpPlatform,
    /// Secrets of internal calls.
    pub secrets: Arc<PeerSecrets>,
    /// Internal addresses asked first when the platform is unavailable.
    #[builder(default)]
    pub seeds: Vec<Arc<str>>,
    /// Rule that chooses an upstream instance.
    #[builder(default)]
    pub rule: Rule,
    /// Instances of one upstream that this entry uses at most.
    #[builder(default = 16)]
    pub subset_max: usize,
    /// Longest wait for a caller to send its whole request, or to take any more
    /// of its answer.
    #[builder(default = Duration::from_secs(10))]
    pub request_timeout: Duration,
    /// How long new requests are still refused politely after a drain begins,
    /// while the balancer's list lags.
    #[builder(default = Duration::from_secs(2))]
    pub balancer_lag: Duration,
    /// Time for which the claim of a request that runs at most once is kept.
    /// A key that is sent again later than this counts as new.
    #[builder(default = Duration::from_secs(48 * 3_600))]
    pub claim_retention: Duration,
}
