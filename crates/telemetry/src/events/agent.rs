//! Events of the agent role.

use types::{
    ClassName, ErrorCode, Fingerprint, Generation, InstanceId, RequestId, TeamName, Verdict,
};

use super::macros::events;

events! {
    /// Events of the agent role.
    AgentEvent {
        2000 Info Listening {
            /// Id of this process.
            instance: InstanceId,
            /// Address on which entries connect.
            addr: String,
        } = "The agent accepts dispatches.", "Nothing.";
        2001 Info RequestQueued {
            /// Request id, as in the `x-request-id` header.
            request_id: RequestId,
            /// Id of the entry that sent the request.
            sender: InstanceId,
            /// Number of the attempt, from 1.
            attempt: u32,
            /// Team of the caller.
            team: TeamName,
            /// Class of the request.
            class: ClassName,
            /// Fingerprint of the request content.
            fingerprint: Fingerprint,
            /// Whether the request must run alone because it is suspected of having
            /// caused a crash.
            run_alone: bool,
            /// Running requests when the request arrived.
            running: u32,
            /// Limit on running requests when the request arrived.
            running_limit: u32,
            /// Queued requests when the request arrived, without this one.
            queued: u32,
        } = "A dispatched request was queued.", "Nothing.";
        2002 Info RequestStarted {
            /// Request id, as in the `x-request-id` header.
            request_id: RequestId,
            /// Time spent in the queue, in milliseconds.
            queued_ms: u64,
            /// Priority passed to the engine.
            engine_priority: u8,
            /// Index of the first token to generate.
            resume_from: u32,
        } = "A request got a running slot and was sent to the upstream.", "Nothing.";
        2003 Info RequestRefused {
            /// Request id, if the dispatch metadata could be parsed.
            request_id: Option<RequestId>,
            /// Error code of the refusal or failure.
            code: ErrorCode,
            /// Whether the request may have run.
            verdict: Verdict,
            /// Running requests at the time of the refusal or failure.
            running: u32,
            /// Limit on running requests at the time of the refusal or failure.
            running_limit: u32,
            /// Queued requests at the time of the refusal or failure.
            queued: u32,
        } = "A dispatched request ended without a response from the upstream.",
            "Check the error code; a high rate of queue_full or displaced indicates insufficient capacity.";
        2004 Info RequestPaused {
            /// Request id, as in the `x-request-id` header.
            request_id: RequestId,
            /// Tokens generated so far.
            tokens: u32,
        } = "A long request was paused and its slot given to an urgent one.", "Nothing.";
        2005 Info RequestEnded {
            /// Request id, as in the `x-request-id` header.
            request_id: RequestId,
            /// Outcome: `whole` for a complete response, `cancelled` or `failed`.
            end: &'static str,
            /// Tokens generated until the end.
            tokens: u32,
            /// Time from the first start to the first token, in milliseconds.
            first_token_ms: u64,
            /// Time from the first start to the end, in milliseconds.
            total_ms: u64,
        } = "A request has ended at the upstream.", "Nothing.";
        2006 Info RequestRecalled {
            /// Request id, as in the `x-request-id` header.
            request_id: RequestId,
            /// Id of the entry that recalled the request.
            sender: InstanceId,
            /// Whether the request was removed from the queue before it started.
            recalled: bool,
            /// Whether the request is to be cancelled if it has started.
            cancel: bool,
        } = "An entry recalled a request; if it was no longer queued, the entry was informed that it may have started.", "Nothing.";
        2010 Warn UpstreamFault {
            /// Request id, as in the `x-request-id` header.
            request_id: RequestId,
            /// Description of the fault.
            fault: String,
            /// Whether the request may have run.
            verdict: Verdict,
        } = "The upstream's response was rejected or interrupted.",
            "Investigate the upstream if this happens repeatedly.";
        2011 Error UpstreamCrashed {
            /// Id of this process.
            instance: InstanceId,
            /// Sequence number of the crash at this instance.
            sequence: u64,
            /// Fingerprints of the requests that ran when the upstream crashed.
            suspects: Vec<Fingerprint>,
        } = "The upstream crashed while requests were running.",
            "Find the cause at the upstream; content that crashes several upstreams is quarantined automatically.";
        2012 Info OrderGiven {
            /// Id of this process.
            instance: InstanceId,
            /// Name of the adapter that the engine had not loaded.
            adapter: String,
            /// Fencing token of the lease.
            fencing: u64,
            /// Outcome: applied, fenced_off, refused or no_answer.
            end: &'static str,
        } = "The engine was ordered to load an adapter that the configuration requires.",
            "If the order was not applied, investigate the engine; the agent retries.";
        2013 Info OrderWithheld {
            /// Id of this process.
            instance: InstanceId,
            /// Name of the adapter that the engine has not loaded.
            adapter: String,
            /// Generation of the configuration that requires the adapter.
            generation: Generation,
        } = "An order was not sent: a newer configuration or a drain arrived before the lease was acquired.", "Nothing.";
        2020 Info DrainStarted {
            /// Id of this process.
            instance: InstanceId,
            /// Requests that still have to finish.
            held: u32,
        } = "The agent refuses new requests and finishes those in progress.", "Nothing.";
        2021 Info DrainFinished {
            /// Id of this process.
            instance: InstanceId,
        } = "All requests have ended and the agent exits.", "Nothing.";
    }
}
