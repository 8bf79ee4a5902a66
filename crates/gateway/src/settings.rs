//! Settings of the gateway role, checked by the command line.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use types::{InstanceId, ZoneName};

use crate::live::LiveSettings;

/// Bound on attempts beyond the first, for all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Attempts beyond the first for each request of the window.
    pub ratio: f64,
    /// Attempts beyond those.
    pub allowance: f64,
    /// Length of the sliding window, in milliseconds.
    pub window_ms: u64,
}

/// Settings of one gateway.
#[derive(Clone, Debug, bon::Builder)]
pub struct Settings {
    /// Own instance.
    pub instance: InstanceId,
    /// Own availability zone.
    pub zone: ZoneName,
    /// Callers' listener.
    pub listen: SocketAddr,
    /// Listener for readiness and metrics.
    pub operator_listen: SocketAddr,
    /// Address of the platform's store, for logs.
    pub store_addr: Arc<str>,
    /// What may change while the process runs, as the flags say.
    pub live: LiveSettings,
    /// File whose values go before the flags.
    pub file: Option<PathBuf>,
    /// Time for which the balancer may still send new connections after the
    /// process has stopped being ready.
    pub balancer_lag: Duration,
}
