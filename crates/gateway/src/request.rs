//! A caller's request after routing, authentication and reading of the body.

use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Method};
use policy::{crash_evidence::Suspect, placement::Demand};
use types::{Fingerprint, Priority, RequestId, TeamName, TimeMs, UpstreamName};

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
    /// What may be to blame if an instance crashes on this request; computed on
    /// first use.
    pub(crate) suspects: OnceLock<Vec<Suspect>>,
}

impl Request {
    /// Returns the prompt parts that other requests may share, and the content
    /// as a whole.
    pub(crate) fn suspects(&self) -> &[Suspect] {
        self.suspects.get_or_init(|| {
            let parts = self.demand.shared().iter().enumerate();
            let mut suspects: Vec<Suspect> = parts
                .map(|(position, part)| Suspect::part(position, part.id))
                .collect();
            let team = self.team.as_ref().map_or("", |team| team.as_str());
            let part_ids: Vec<String> = self
                .demand
                .parts
                .iter()
                .map(|part| format!("{:x}", part.id))
                .collect();
            let target = format!(
                "{} {team} {} {}",
                self.method,
                self.target,
                part_ids.join(",")
            );
            suspects.push(Suspect::content(&Fingerprint::of(&target, &self.body)));
            suspects
        })
    }

    /// Returns the time from `now` until the deadline, zero if it has passed.
    pub(crate) fn remaining(&self, now: TimeMs) -> Duration {
        Duration::from_millis(self.deadline.since(now))
    }
}
