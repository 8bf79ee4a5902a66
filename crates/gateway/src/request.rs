//! A caller's request after the filters.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method};
use policy::placement::Demand;
use types::{Priority, RequestId, TeamName, TimeMs, UpstreamName};

use crate::routing::Route;

/// A request that may be sent to an instance.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) request_id: RequestId,
    pub(crate) method: Method,
    /// Path and query, as the caller sent them.
    pub(crate) target: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: Arc<Route>,
    pub(crate) upstream: UpstreamName,
    pub(crate) team: Option<TeamName>,
    pub(crate) priority: Priority,
    pub(crate) demand: Demand,
    /// Last event that the caller has already.
    pub(crate) resume_after: Option<u64>,
    pub(crate) received_at: TimeMs,
    /// When the caller gets a final answer at the latest.
    pub(crate) deadline: TimeMs,
    pub(crate) config_version: u64,
}

impl Request {
    /// Time left until the deadline.
    pub(crate) fn remaining(&self, now: TimeMs) -> Duration {
        Duration::from_millis(self.deadline.since(now))
    }
}
