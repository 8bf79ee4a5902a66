//! The dispatch of a request from an entry to an agent.

use policy::schedule::LoadReport;
use serde::{Deserialize, Serialize};
use types::{ClassName, Fingerprint, Generation, InstanceId, ModelName, RequestId, TeamName};

/// Path of a dispatch on an agent's internal listener.
pub const DISPATCH_PATH: &str = "/dispatch";
/// Path of JSON-RPC calls on an internal listener.
pub const RPC_PATH: &str = "/rpc";
/// Header with the JSON of [`DispatchMeta`].
pub const DISPATCH_HEADER: &str = "limpetgw-dispatch";
/// Header with the JSON of [`DispatchReply`].
pub const REPLY_HEADER: &str = "limpetgw-reply";
/// Header of an agent's answer with the HTTP status of a plain service, whose
/// answer is always passed on with status 200.
pub const UPSTREAM_STATUS_HEADER: &str = "limpetgw-upstream-status";
/// Header with the peer secret.
pub const PEER_HEADER: &str = "limpetgw-peer";

/// What a request is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// A chat completion.
    Completion {
        /// The model.
        model: ModelName,
    },
    /// A call to a plain service.
    Call {
        /// HTTP method.
        method: String,
        /// Path and query at the service.
        path: String,
        /// `content-type` of the body, if any.
        content_type: Option<String>,
        /// Key of a call that must not be repeated.
        idempotency_key: Option<String>,
    },
}

/// What an entry tells an agent beside the caller's body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchMeta {
    /// The entry.
    pub sender: InstanceId,
    /// Configuration in force at the entry.
    pub generation: Generation,
    /// The request; the same over all attempts.
    pub request_id: RequestId,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Team for fairness.
    pub team: TeamName,
    /// Class for priority.
    pub class: ClassName,
    /// Time left until the deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Tokens already delivered to the caller by earlier attempts.
    pub resume_from: u32,
    /// Whether the entry knows the content as a suspect.
    pub suspect: bool,
    /// Whether the request may be sent again after it may have run.
    pub idempotent: bool,
    /// Content identity, over target and body.
    pub fingerprint: Fingerprint,
    /// Prompt size estimate, in tokens.
    pub prompt_tokens: u32,
    /// Caller's bound on the answer, in tokens; 0 if none.
    pub max_tokens: u32,
    /// What to call.
    pub target: Target,
}

/// What an agent tells the entry beside the upstream's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DispatchReply {
    /// The agent.
    pub sender: InstanceId,
    /// Configuration in force at the agent.
    pub generation: Generation,
    /// Load now.
    pub load: LoadReport,
    /// Whether the agent is leaving and takes no new work.
    pub leaving: bool,
}
