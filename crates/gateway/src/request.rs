//! A caller's request after routing, authentication and reading of the body.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method};
use policy::placement::Demand;
use types::{Priority, RequestId, TeamName, TimeMs, UpstreamName};

use crate::routing::Route;

/// A request that is ready to be sent to an instance.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) request_id: RequestId,
    pub(crate) method: Method,
    /// Path and query, unchanged from the caller.
    pub(crate) target: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: Arc<Route>,
    pub(crate) upstream: UpstreamName,
    pub(crate) team: Option<TeamName>,
    pub(crate) priority: Priority,
    pub(crate) demand: Demand,
    /// Id of the last event that the caller already received.
    pub(crate) resume_after: Option<u64>,
    pub(crate) received_at: TimeMs,
    /// Time by which the response must be complete.
    pub(crate) deadline: TimeMs,
    pub(crate) config_version: u64,
}

impl Request {
    /// Returns the time from `now` until the deadline, zero if it has passed.
    pub(crate) fn remaining(&self, now: TimeMs) -> Duration {
        Duration::from_millis(self.deadline.since(now))
    }
}
