//! Description of a load: flows, rates and limits.

use serde::{Deserialize, Serialize};

/// Plan of a load: its flows, entries and limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, bon::Builder)]
#[serde(deny_unknown_fields)]
pub struct LoadPlan {
    /// Addresses of entries (`IP:port`), used round-robin.
    pub entries: Vec<String>,
    /// Flows that are sent concurrently.
    pub flows: Vec<Flow>,
    /// Random seed of arrivals and prompts; 1 by default.
    #[serde(default)]
    #[builder(default = 1)]
    pub seed: u64,
    /// Timeout for a complete response, in milliseconds; 30,000 by default.
    #[serde(default = "default_patience_ms")]
    #[builder(default = default_patience_ms())]
    pub patience_ms: u64,
    /// Maximum number of requests over all flows; 100,000 by default.
    #[serde(default = "default_requests_max")]
    #[builder(default = default_requests_max())]
    pub requests_max: usize,
}

/// Requests of one team and class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, bon::Builder)]
#[serde(deny_unknown_fields)]
pub struct Flow {
    /// Name in the report, usually the class; flows with the same name are
    /// reported together.
    #[builder(into)]
    pub name: String,
    /// Class of the requests; the team's default if absent.
    #[builder(into)]
    pub class: Option<String>,
    /// API key that the requests send, which identifies the team.
    #[builder(into)]
    pub api_key: String,
    /// Kind of the requests, with their model or route.
    pub what: RequestKind,
    /// Time spans with their request rates.
    pub phases: Vec<Phase>,
    /// Target for the time to the first token of a stream, or to the head of any
    /// other response, in milliseconds.
    pub target_ms: u64,
}

/// Kind of requests that a flow sends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RequestKind {
    /// Chat completions.
    Chat {
        /// Requested model, which selects the upstream.
        model: String,
        /// Whether responses are streamed as server-sent events.
        stream: bool,
        /// Minimum completion length, in tokens.
        tokens_min: u32,
        /// Maximum completion length, in tokens.
        tokens_max: u32,
        /// Minimum length of the prompt, in bytes.
        prompt_bytes: usize,
    },
    /// GET requests to a plain service.
    Read {
        /// Public route of the service, as in `/services/<route>/`.
        route: String,
    },
    /// POST requests below `/orders` that must run at most once, each with its
    /// own idempotency key.
    Order {
        /// Public route of the service, as in `/services/<route>/`.
        route: String,
    },
}

/// Time span with a constant mean request rate.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Start of the span after the start of the load, in milliseconds.
    pub from_ms: u64,
    /// Duration of the span, in milliseconds.
    pub length_ms: u64,
    /// Mean arrivals per second, at random times.
    pub rate_per_s: f64,
}

fn default_patience_ms() -> u64 {
    30_000
}

fn default_requests_max() -> usize {
    100_000
}
