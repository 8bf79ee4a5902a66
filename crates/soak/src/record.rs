//! Data of a run, recorded by callers, instances and the fault injection.
//!
//! A failed run is written as JSON, so the names of fields and enum values are
//! part of that file's format. Times without another note are Unix times in
//! milliseconds.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::plan::Fault;

/// Kind of a request, which determines its route, key and expected response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
pub enum Kind {
    /// An idempotent request, which may run any number of times.
    Safe,
    /// A non-idempotent request, which may run at most once.
    Unsafe,
    /// An event stream that another instance may resume.
    Stream,
    /// A request to the route that only some configurations contain.
    Changing,
    /// A request with the API key that only some configurations contain.
    OtherKey,
}

/// A request and its response as seen by the caller.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RequestRecord {
    /// Request id that the caller sent.
    pub id: String,
    /// Kind, which determines the expected response and the checks.
    pub kind: Kind,
    /// Path and query of the request.
    pub target: String,
    /// Index of the gateway that received the request.
    pub gateway: usize,
    /// Time at which the caller sent the request.
    pub sent_ms: u64,
    /// Time at which the response ended or the caller stopped waiting.
    pub ended_ms: u64,
    /// HTTP status, or 0 without a response.
    pub status: u16,
    /// Whether the response was received completely.
    pub whole: bool,
    /// Whether the response carries an instance's signature.
    pub signed: bool,
    /// Request id that the response carries.
    pub answered_id: Option<String>,
    /// Response body as far as it was received.
    pub body: String,
    /// Whether the caller disconnected before the end of the response.
    pub left: bool,
}

/// A log line in which an instance reports progress of one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstanceEvent {
    /// Type of the event: `runs`, `refused`, `cancelled` or `done`.
    pub what: String,
    /// Request id that the instance received.
    pub id: String,
    /// Time at which the instance wrote the line.
    pub at_ms: u64,
    /// Name of the instance, such as `i-0`.
    pub instance: String,
    /// Service that the instance belongs to: `plans` for streams, else `orders`.
    pub service: String,
    /// Path and query of the request.
    pub target: String,
    /// Team that the gateway passed on with the request.
    pub team: Option<String>,
    /// Whether the request still contained the caller's API key.
    pub has_key: bool,
    /// Remaining time that the gateway granted the instance, in milliseconds.
    pub deadline_ms: Option<u64>,
}

/// A fault that was injected, with its time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct InjectedFault {
    /// Fault with the gateway, instance or link that it affected.
    pub fault: Fault,
    /// Time at which the fault started.
    pub from_ms: u64,
    /// Time at which the fault ended, plus a margin for the process to recover.
    pub to_ms: u64,
}

/// A configuration that the store has accepted.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ConfigWrite {
    /// Time at which the first write attempt started.
    pub sent_ms: u64,
    /// Time at which the store acknowledged the write.
    pub acked_ms: u64,
    /// Whether the configuration contains the route of [`Kind::Changing`].
    pub has_route: bool,
    /// Whether the configuration contains the key of [`Kind::OtherKey`].
    pub has_key: bool,
}

/// Resource usage of a gateway over the whole run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct GatewayUsage {
    /// Index of the gateway, from 0.
    pub gateway: usize,
    /// Largest sampled resident set size, in bytes.
    pub memory_bytes: u64,
    /// Number of log lines that the gateway wrote.
    pub log_lines: usize,
}

/// All data of a run that the checks evaluate.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Record {
    /// Requests that have ended.
    pub asked: Vec<RequestRecord>,
    /// Log lines of the instances, in order of time.
    pub seen: Vec<InstanceEvent>,
    /// Faults that were injected.
    pub happened: Vec<InjectedFault>,
    /// Accepted configurations, in the order of their writes.
    pub configured: Vec<ConfigWrite>,
    /// Time at which the store accepted the draining state of an instance, by
    /// instance name.
    pub draining: IndexMap<String, u64>,
    /// Resource usage of the gateways.
    pub used: Vec<GatewayUsage>,
    /// Time from which no fault was active any more.
    pub calm_from_ms: u64,
}
