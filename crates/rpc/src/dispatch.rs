//! Messages by which an entry dispatches a request to an agent.

use policy::schedule::LoadReport;
use serde::{Deserialize, Serialize};
use types::{ClassName, Fingerprint, Generation, InstanceId, ModelName, RequestId, TeamName};

/// Path of dispatches on an agent's internal listener.
pub const DISPATCH_PATH: &str = "/dispatch";
/// Path of JSON-RPC calls on the internal listener of an entry or agent.
pub const RPC_PATH: &str = "/rpc";
/// Request header with [`DispatchMeta`] as JSON.
pub const DISPATCH_HEADER: &str = "limpetgw-dispatch";
/// Response header with [`DispatchReply`] as JSON.
pub const REPLY_HEADER: &str = "limpetgw-reply";
/// Response header with the HTTP status of a plain service. The agent's own
/// response has status 200 regardless of the status of the service.
pub const UPSTREAM_STATUS_HEADER: &str = "limpetgw-upstream-status";
/// Request header with the peer secret.
pub const PEER_HEADER: &str = "limpetgw-peer";

/// Kind of a request, with the parameters of its upstream call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// A chat completion by a model.
    Completion {
        /// Name of the requested model.
        model: ModelName,
    },
    /// An HTTP call to a plain service.
    Call {
        /// HTTP method of the call.
        method: String,
        /// Path and query of the call to the service.
        path: String,
        /// `content-type` of the body, if the caller sent one.
        content_type: Option<String>,
        /// Idempotency key of a call that must run at most once.
        idempotency_key: Option<String>,
    },
}

/// Metadata that an entry sends to an agent with the body of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchMeta {
    /// Entry that dispatches the request.
    pub sender: InstanceId,
    /// Generation of the configuration in force at the entry.
    pub generation: Generation,
    /// Id of the request; the same for all attempts.
    pub request_id: RequestId,
    /// Number of the attempt, starting at 1.
    pub attempt: u32,
    /// Team of the caller; the scheduler divides capacity between teams by weight.
    pub team: TeamName,
    /// Class of the request, which determines its priority.
    pub class: ClassName,
    /// Time left until the deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Number of tokens that earlier attempts delivered to the caller; generation
    /// resumes after them.
    pub resume_from: u32,
    /// Whether the entry has evidence that the content crashed an upstream.
    pub suspect: bool,
    /// Whether the request may be repeated after an attempt that may have run.
    pub idempotent: bool,
    /// Digest of target and body, which identifies the content.
    pub fingerprint: Fingerprint,
    /// Estimated size of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Limit of the response that the caller set, in tokens; 0 if there is none.
    pub max_tokens: u32,
    /// Upstream call to make.
    pub target: Target,
}

/// Metadata that an agent sends to the entry with the response of the upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DispatchReply {
    /// Agent that responds.
    pub sender: InstanceId,
    /// Generation of the configuration in force at the agent.
    pub generation: Generation,
    /// Load of the agent at the time of the response.
    pub load: LoadReport,
    /// Whether the agent is draining: it refuses new requests and is leaving.
    pub leaving: bool,
}
