//! Events of the entry role.

use types::{ClassName, ErrorCode, InstanceId, RequestId, TeamName, UpstreamName, Verdict};

use super::macros::events;

events! {
    /// Events of the entry role.
    EntryEvent {
        1000 Info Listening {
            /// Own instance.
            instance: InstanceId,
            /// Callers' listener.
            addr: String,
        } = "The entry accepts callers.", "Nothing.";
        1001 Info RequestClassified {
            /// The request.
            request_id: RequestId,
            /// Its team.
            team: TeamName,
            /// Its class.
            class: ClassName,
        } = "A caller was identified and its request classified.", "Nothing.";
        1002 Info UpstreamChosen {
            /// The request.
            request_id: RequestId,
            /// Number of the attempt, from 1.
            attempt: u32,
            /// The upstream.
            upstream: UpstreamName,
            /// The chosen instance.
            instance: InstanceId,
            /// Candidates compared and the score of each.
            scores: Vec<(InstanceId, f64)>,
            /// Whether prefix affinity decided.
            by_affinity: bool,
        } = "An upstream instance was chosen for an attempt.", "Nothing.";
        1003 Info RequestFinished {
            /// The request.
            request_id: RequestId,
            /// Its class.
            class: ClassName,
            /// Tokens delivered.
            tokens: u32,
            /// Time to the first token, in milliseconds.
            first_token_ms: u64,
            /// Time to the end, in milliseconds.
            total_ms: u64,
            /// Attempts made.
            attempts: u32,
        } = "A whole answer was delivered.", "Nothing.";
        1004 Warn RequestFailed {
            /// The request.
            request_id: RequestId,
            /// Why.
            code: ErrorCode,
            /// Whether it may have run.
            verdict: Verdict,
            /// Attempts made.
            attempts: u32,
        } = "A request ended without a whole answer.",
            "Look the request up with `limpetgw explain`; a high rate points at capacity or upstream failures.";
        1005 Warn AttemptFailed {
            /// The request.
            request_id: RequestId,
            /// Number of the attempt, from 1.
            attempt: u32,
            /// The instance.
            instance: InstanceId,
            /// Why.
            code: ErrorCode,
            /// Whether this attempt may have run.
            verdict: Verdict,
        } = "An attempt failed; another instance is tried where that is safe.",
            "Look at the instance if it fails often.";
        1006 Info CallerGone {
            /// The request.
            request_id: RequestId,
            /// Tokens delivered before.
            tokens: u32,
        } = "The caller hung up; the upstream work was cancelled.", "Nothing.";
        1007 Info DrainBegun {
            /// Own instance.
            instance: InstanceId,
            /// Requests held at that moment.
            in_flight: u32,
            /// Time for which new requests are still served, in milliseconds.
            balancer_lag_ms: u64,
        } = "The entry began a graceful shutdown.", "Nothing.";
        1008 Info Drained {
            /// Own instance.
            instance: InstanceId,
        } = "The last request has ended and the entry stops.", "Nothing.";
        1009 Info RequestRefused {
            /// The request.
            request_id: RequestId,
            /// Why.
            code: ErrorCode,
            /// Time after which another try makes sense, in milliseconds; 0 for none.
            retry_after_ms: u64,
        } = "A request was refused before it was dispatched; it did not run.",
            "A high rate of `queue_full` means more demand than capacity; `invalid_api_key` a misconfigured caller.";
        1010 Info Claimed {
            /// The request.
            request_id: RequestId,
            /// Its team.
            team: TeamName,
            /// `owned`, `kept`, or the code of the refusal.
            result: String,
        } = "A request that runs at most once was claimed, or an earlier submission was found.",
            "Nothing; `store_unavailable` points at the platform.";
        1011 Info HedgeSent {
            /// The request.
            request_id: RequestId,
            /// Number of the second attempt.
            attempt: u32,
            /// Time since the first one was sent, in milliseconds.
            waited_ms: u64,
        } = "A short request without a sign of life was sent to a second instance.",
            "Look at the first instance if this happens often.";
    }
}
