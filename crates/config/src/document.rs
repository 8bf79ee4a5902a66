//! The configuration document that operators submit and every process applies.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use types::{ClassName, ModelName, RouteName, TeamName, UpstreamName};

/// The complete configuration that all processes apply.
///
/// # Invariants
///
/// In a validated document every referenced class and upstream exists.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Request classes by name.
    #[serde(default)]
    pub classes: IndexMap<ClassName, Class>,
    /// Teams by name. Unchanged teams share their allocation with the previous
    /// document.
    #[serde(default)]
    pub teams: IndexMap<TeamName, Arc<Team>>,
    /// Upstreams by name.
    #[serde(default)]
    pub upstreams: IndexMap<UpstreamName, Upstream>,
    /// Public routes to plain HTTP services, by the name in
    /// `/services/<name>/`.
    #[serde(default)]
    pub services: IndexMap<RouteName, Service>,
    /// Limits on request size and concurrency.
    #[serde(default)]
    pub limits: CallerLimits,
}

/// A request class: a latency target and a priority.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Scheduling priority, unique within a document; higher values are served
    /// first.
    pub priority: u8,
    /// Target for the time to first token (for a plain service, to the
    /// response), in milliseconds.
    pub first_token_target_ms: u64,
    /// Target for the time between two tokens, in milliseconds; 0 disables it.
    #[serde(default)]
    pub token_gap_target_ms: u64,
    /// Time after which a request of this class fails, in milliseconds.
    pub deadline_ms: u64,
    /// Share of an instance's concurrent requests that is reserved for this class
    /// under load of higher priority, in thousandths; the shares of all classes
    /// sum to at most 500.
    #[serde(default)]
    pub min_share_permille: u32,
    /// Maximum number of requests of this class in one agent's queue.
    pub queue_limit: u32,
}

/// A customer and its API keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// BLAKE3 digests of the API keys, 64 hexadecimal digits each.
    pub key_digests: Vec<String>,
    /// Classes that the team may use; requests without a class get the first
    /// one.
    pub classes: Vec<ClassName>,
    /// Weight of the team in the fair sharing between teams of a class.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

/// Protocol and scheduling model of an upstream's instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// A model engine that generates tokens.
    Engine,
    /// A plain HTTP service.
    Service,
}

/// A pool of interchangeable backend instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Whether the instances are model engines or plain services.
    pub kind: UpstreamKind,
    /// Models that every instance of an engine upstream serves; empty for
    /// services.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// Model adapters that every instance should have loaded; empty for
    /// services.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Whether the instances reject requests with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Lower bound of the adaptive limit on concurrent requests per instance.
    #[serde(default = "default_running_min")]
    pub running_min: u32,
    /// Upper bound of the adaptive limit on concurrent requests per instance.
    #[serde(default = "default_running_max")]
    pub running_max: u32,
    /// Number of concurrent requests of each instance that is reserved for short
    /// and urgent requests; below `running_max`.
    #[serde(default)]
    pub reserved_slots: u32,
    /// Whether a request may be retried after an attempt that may have run.
    #[serde(default = "default_true")]
    pub idempotent: bool,
}

/// A public route to a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Upstream that serves the route; its kind is `service`.
    pub upstream: UpstreamName,
    /// Path prefixes below the route; requests under them run at most once. GET
    /// and HEAD requests may always be retried.
    #[serde(default)]
    pub at_most_once_prefixes: Vec<String>,
}

/// Limits on request size and concurrency, enforced by every entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerLimits {
    /// Maximum size of a request body, in bytes; 1 MiB by default.
    pub body_max_bytes: u64,
    /// Maximum number of requests in flight in one entry, over all classes;
    /// 4096 by default.
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
