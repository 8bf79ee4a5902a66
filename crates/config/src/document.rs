//! The document an operator submits, as it is in force in every process.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use types::{ClassName, ModelName, RouteName, TeamName, UpstreamName};

/// The whole configuration.
///
/// # Invariants
///
/// In a validated document every name that is referred to exists.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Request classes by name.
    #[serde(default)]
    pub classes: IndexMap<ClassName, Class>,
    /// Teams by name, shared with the document before where they are equal.
    #[serde(default)]
    pub teams: IndexMap<TeamName, Arc<Team>>,
    /// Upstreams by name.
    #[serde(default)]
    pub upstreams: IndexMap<UpstreamName, Upstream>,
    /// Public routes to plain services, by the name in `/services/<name>/`.
    #[serde(default)]
    pub services: IndexMap<RouteName, Service>,
    /// Bounds on what callers send.
    #[serde(default)]
    pub limits: CallerLimits,
}

/// A request class: a latency target and a priority.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Higher is served first; unique within a document.
    pub priority: u8,
    /// Target for the first token (or a plain service's answer), in milliseconds.
    pub first_token_target_ms: u64,
    /// Target for the time between two tokens, in milliseconds; 0 sets none.
    #[serde(default)]
    pub token_gap_target_ms: u64,
    /// Time after which a request of this class is given up, in milliseconds.
    pub deadline_ms: u64,
    /// Share of running slots that this class gets even under higher load, in
    /// thousandths; the shares of all classes sum to at most 500.
    #[serde(default)]
    pub min_share_permille: u32,
    /// Requests of this class that one agent queues at most.
    pub queue_limit: u32,
}

/// A customer and its API keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// BLAKE3 digests of the API keys, 64 hexadecimal digits each.
    pub key_digests: Vec<String>,
    /// Classes that the team may use; the first one is the default.
    pub classes: Vec<ClassName>,
    /// Relative share between teams inside a class.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

/// What kind of back end an upstream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// A model engine.
    Engine,
    /// A plain HTTP service.
    Service,
}

/// A pool of interchangeable back ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// What the instances are.
    pub kind: UpstreamKind,
    /// Models that every instance of an engine upstream serves.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// Adapters that every instance should have loaded.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Whether the instances refuse an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Smallest number of requests that an instance runs at once.
    #[serde(default = "default_running_min")]
    pub running_min: u32,
    /// Largest number of requests that an instance runs at once.
    #[serde(default = "default_running_max")]
    pub running_max: u32,
    /// Running slots of each instance kept for short and urgent requests.
    #[serde(default)]
    pub reserved_slots: u32,
    /// Whether a call may be repeated after it may have run.
    #[serde(default = "default_true")]
    pub idempotent: bool,
}

/// A public route to a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The upstream that answers; its kind is `service`.
    pub upstream: UpstreamName,
    /// Path prefixes below the route whose calls run at most once. GET and
    /// HEAD are always repeatable.
    #[serde(default)]
    pub at_most_once_prefixes: Vec<String>,
}

/// Bounds on what callers send.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerLimits {
    /// Largest request body, in bytes.
    pub body_max_bytes: u64,
    /// Requests that one entry holds at most, over all classes.
    pub entry_in_flight_max: u32,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            body_max_bytes: 1 << 20,
            entry_in_flight_max: 4096,
        }
    }
}

fn default_weight() -> u32 {
    1
}

fn default_running_min() -> u32 {
    1
}

fn default_running_max() -> u32 {
    16
}

fn default_true() -> bool {
    true
}
