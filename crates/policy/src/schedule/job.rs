//! Input and output types of the scheduler.

use serde::{Deserialize, Serialize};
use types::{ClassName, ErrorCode, Fingerprint, RequestId, TeamName, TimeMs};

/// A request that arrives at the scheduler.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Unique among the requests that the scheduler holds.
    pub request_id: RequestId,
    /// Team that is charged in fair queueing.
    pub team: TeamName,
    /// Class that selects the queue, the priority and the other class rules.
    pub class: ClassName,
    /// Hash of the request content, recorded as evidence if the upstream crashes
    /// while the request runs.
    pub fingerprint: Fingerprint,
    /// Whether the request must run alone because it may crash the upstream.
    pub run_alone: bool,
    /// Whether the running request can be paused and resumed.
    pub resumable: bool,
    /// Prompt size, in tokens; 0 for plain services.
    pub prompt_tokens: u32,
    /// Maximum answer length set by the caller, in tokens; 0 if unlimited.
    pub max_tokens: u32,
    /// Time from which a request that is still queued is refused.
    pub deadline: TimeMs,
}

/// An instruction that the agent must carry out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Send the request to the upstream, or resume it after a pause.
    Start {
        /// The request that now holds a slot.
        request_id: RequestId,
        /// Priority to pass to the engine; a higher class has a higher value.
        engine_priority: u8,
        /// Tokens generated before the pause; 0 on the first start.
        resume_from: u32,
    },
    /// Inform the sender that the request did not run.
    Refuse {
        /// The refused request, which the scheduler no longer holds.
        request_id: RequestId,
        /// Reason for the refusal, sent to the caller.
        code: ErrorCode,
        /// Jittered delay after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// Cancel the request at the engine and keep it for a later `Start`. The
    /// agent answers with [`super::Scheduler::on_paused`], or with
    /// [`super::Scheduler::on_end`] if the request ended first.
    Pause {
        /// The running request to cancel; it keeps its slot until the agent
        /// answers.
        request_id: RequestId,
    },
}

/// Result of recalling a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Recall {
    /// The request was removed from the queue, or is refused if it arrives later.
    Recalled,
    /// The request has started, or the scheduler cannot rule out that it has.
    AlreadyStarted,
}

/// How a running request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// The answer is complete.
    Whole,
    /// The caller or a recalling entry cancelled it.
    Cancelled,
    /// The upstream failed before the answer was complete.
    Failed,
}

/// Load of one instance, which its agent attaches to every answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that hold a slot, including those being paused.
    pub running: u32,
    /// Current value of the adaptive running limit, in requests.
    pub running_limit: u32,
    /// Requests waiting for a slot, queued or paused.
    pub queued: u32,
    /// Estimated tokens still to be generated for queued, running and paused
    /// requests.
    pub outstanding_tokens: u64,
    /// Smoothed time from a start to the first token, in milliseconds; 0 before
    /// the first sample.
    pub first_token_ms: u32,
}
