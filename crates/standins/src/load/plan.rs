//! What a load is made of.

use serde::{Deserialize, Serialize};

/// A whole load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, bon::Builder)]
#[serde(deny_unknown_fields)]
pub struct LoadPlan {
    /// Addresses of entries (`IP:port`), used in turn.
    pub entries: Vec<String>,
    /// Who sends what.
    pub flows: Vec<Flow>,
    /// Seed of arrivals and prompts.
    #[serde(default)]
    #[builder(default = 1)]
    pub seed: u64,
    /// How long a caller waits for its whole answer, in milliseconds.
    #[serde(default = "default_patience_ms")]
    #[builder(default = default_patience_ms())]
    pub patience_ms: u64,
    /// Requests that are sent at most, over all flows.
    #[serde(default = "default_requests_max")]
    #[builder(default = default_requests_max())]
    pub requests_max: usize,
}

/// The requests of one team and class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, bon::Builder)]
#[serde(deny_unknown_fields)]
pub struct Flow {
    /// Name under which the flow is reported, usually its class.
    #[builder(into)]
    pub name: String,
    /// The class asked for; the team's default if absent.
    #[builder(into)]
    pub class: Option<String>,
    /// The team's API key.
    #[builder(into)]
    pub api_key: String,
    /// What is asked for.
    pub what: RequestKind,
    /// How often.
    pub phases: Vec<Phase>,
    /// Target for the first token or the answer, in milliseconds.
    pub target_ms: u64,
}

/// What a flow asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RequestKind {
    /// Chat completions.
    Chat {
        /// The model.
        model: String,
        /// Whether tokens are streamed.
        stream: bool,
        /// Shortest answer, in tokens.
        tokens_min: u32,
        /// Longest answer, in tokens.
        tokens_max: u32,
        /// Length of the prompt, in bytes.
        prompt_bytes: usize,
    },
    /// Reads from a plain service.
    Read {
        /// The service's public route.
        route: String,
    },
    /// Calls below `/orders` that must run at most once, a key each.
    Order {
        /// The service's public route.
        route: String,
    },
}

/// A span of time with one rate.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Start after the load's start, in milliseconds.
    pub from_ms: u64,
    /// Length, in milliseconds.
    pub length_ms: u64,
    /// Mean arrivals a second, at random times.
    pub rate_per_s: f64,
}

fn default_patience_ms() -> u64 {
    30_000
}

fn default_requests_max() -> usize {
    100_000
}
