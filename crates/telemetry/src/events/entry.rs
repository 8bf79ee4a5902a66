//! Events of the entry role.

use types::{ClassName, ErrorCode, InstanceId, RequestId, TeamName, UpstreamName, Verdict};

use super::macros::events;

events! {
    /// Events of the entry role.
    EntryEvent {
        1000 Info Listening {
            /// Id of this process.
            instance: InstanceId,
            /// Address on which callers connect.
            addr: String,
        } = "The entry accepts caller connections.", "Nothing.";
        1001 Info RequestClassified {
            /// Request id, as in the `x-request-id` header.
            request_id: RequestId,
            /// Team of the caller.
            team: TeamName,
            /// Class of the request.
            class: ClassName,
        } = "A caller was identified and its request classified.", "Nothing.";
        1002 Info UpstreamChosen {
            /// Request id, as in the `x-request-id` header.
            request_id: RequestId,
            /// Number of the attempt, from 1.
            attempt: u32,
            /// Name of the upstream.
            upstream: UpstreamName,
            /// Id of the chosen instance.
            instance: InstanceId,
            /// Compared candidate instances with their scores.
            scores: Vec<(InstanceId, f64)>,
            /// Whether prefix affinity determined the choice.
            by_affinity: bool,
        } = "An upstream instance was chosen for an attempt.", "Nothing.";
        1003 Info RequestFinished {
            /// Request id, as in the `x-request-id` header.
            request_id: RequestId,
            /// Class of the request.
            class: ClassName,
            /// Tokens delivered to the caller.
            tokens: u32,
            /// Time to first token, in milliseconds.
            first_token_ms: u64,
            /// Time to the end of the response, in milliseconds.
            total_ms: u64,
            /// Number of attempts made.
            attempts: u32,
        } = "A complete response was delivered.", "Nothing.";
        1004 Warn RequestFailed {
            /// Request id, as in the `x-request-id` header.
            request_id: RequestId,
            /// Error code of the failure.
            code: ErrorCode,
            /// Whether the request may have run.
            verdict: Verdict,
            /// Number of attempts made.
            attempts: u32,
        } = "A request ended without a complete response.",
            "Inspect the request with `limpetgw explain`; a high rate indicates insufficient capacity or upstream failures.";
        1005 Warn AttemptFailed {
            /// Request id, as in the `x-request-id` header.
            request_id: RequestId,
            /// Number of the attempt, from 1.
            attempt: u32,
            /// Id of the instance that the attempt was sent to.
            instance: InstanceId,
            /// Error code with which the attempt failed.
            code: ErrorCode,
            /// Whether this attempt may have run.
            verdict: Verdict,
        } = "An attempt failed; it is retried on another instance if that is safe.",
            "Investigate the instance if it fails often.";
        1006 Info CallerGone {
            /// Request id, as in the `x-request-id` header.
            request_id: RequestId,
            /// Tokens delivered before the disconnect.
            tokens: u32,
        } = "The caller disconnected; the upstream request was cancelled.", "Nothing.";
        1007 Info DrainBegun {
            /// Id of this process.
            instance: InstanceId,
            /// Requests in flight when the drain started.
            in_flight: u32,
            /// Time for which new requests are still accepted, in milliseconds.
            balancer_lag_ms: u64,
        } = "The entry started a graceful shutdown.", "Nothing.";
        1008 Info Drained {
            /// Id of this process.
            instance: InstanceId,
        } = "The last request has ended and the entry exits.", "Nothing.";
        1009 Info RequestRefused {
            /// Request id, as in the `x-request-id` header.
            request_id: RequestId,
            /// Error code sent to the caller.
            code: ErrorCode,
            /// Recommended delay before a retry, in milliseconds; 0 for none.
            retry_after_ms: u64,
        } = "A request was refused before it was dispatched; it did not run.",
            "A high rate of `queue_full` indicates that demand exceeds capacity, one of `invalid_api_key` a misconfigured caller.";
        1010 Info Claimed {
            /// Request id, as in the `x-request-id` header.
            request_id: RequestId,
            /// Team of the caller.
            team: TeamName,
            /// `owned` for a new claim, `kept` for the stored outcome of an earlier
            /// submission, or the error code of the refusal.
            result: String,
        } = "An at-most-once request was claimed, or an earlier submission of it was found.",
            "Nothing; `store_unavailable` indicates a problem of the platform.";
        1011 Info HedgeSent {
            /// Request id, as in the `x-request-id` header.
            request_id: RequestId,
            /// Number of the additional attempt.
            attempt: u32,
            /// Time since the first attempt was sent, in milliseconds.
            waited_ms: u64,
        } = "A short request without any response so far was also sent to a second instance.",
            "Investigate the first instance if this happens often.";
        1012 Info HeadRejected {
            /// Error code of the response.
            code: ErrorCode,
            /// Bytes of the head that were received.
            received_bytes: usize,
            /// Responses that were begun on the connection before.
            responses_before: u32,
        } = "A request head was rejected before it was complete; the connection was closed after the response.",
            "Many indicate callers that exceed the limits, or that stall.";
    }
}
