//! What goes into the scheduler and what comes out of it.

use serde::{Deserialize, Serialize};
use types::{ClassName, ErrorCode, Fingerprint, RequestId, TeamName, TimeMs};

/// A request that arrives at the scheduler.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Identity within this scheduler.
    pub request_id: RequestId,
    /// Team for fairness.
    pub team: TeamName,
    /// Class for priority.
    pub class: ClassName,
    /// Content identity for crash evidence.
    pub fingerprint: Fingerprint,
    /// Whether the request must run alone because it may crash the upstream.
    pub run_alone: bool,
    /// Whether the running request can be paused and resumed.
    pub resumable: bool,
    /// Prompt size, in tokens; 0 for plain services.
    pub prompt_tokens: u32,
    /// Bound on the answer given by the caller, in tokens; 0 if none.
    pub max_tokens: u32,
    /// Time after which a queued request is given up.
    pub deadline: TimeMs,
}

/// What the scheduler's owner has to do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Send the request to the upstream, or resume it after a pause.
    Start {
        /// The request.
        request_id: RequestId,
        /// Priority passed to the engine.
        engine_priority: u8,
        /// Tokens the request generated before a pause; 0 on the first start.
        resume_from: u32,
    },
    /// Tell the sender that the request did not run.
    Refuse {
        /// The request, which has left the scheduler.
        request_id: RequestId,
        /// Why.
        code: ErrorCode,
        /// Jittered time after which another try makes sense, in milliseconds.
        retry_after_ms: u64,
    },
    /// Cancel the request at the engine and keep it for a later `Start`. The
    /// owner answers with [`super::Scheduler::on_paused`], or with
    /// [`super::Scheduler::on_end`] if the request ended first.
    Pause {
        /// The request.
        request_id: RequestId,
    },
}

/// Answer to a recall.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Recall {
    /// The request left the queue, or will be refused if it arrives later.
    Recalled,
    /// The request has started, or it can't be ruled out; it may have run.
    AlreadyStarted,
}

/// How a running request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// With a whole answer.
    Whole,
    /// The caller or a recalling entry cancelled it.
    Cancelled,
    /// The upstream failed.
    Failed,
}

/// Load as an agent reports it on every answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests running now.
    pub running: u32,
    /// Current running limit, in requests.
    pub running_limit: u32,
    /// Requests queued now.
    pub queued: u32,
    /// Estimated tokens still to generate over all queued and running requests.
    pub outstanding_tokens: u64,
    /// Typical time to the first token after a start, in milliseconds.
    pub first_token_ms: u32,
}
