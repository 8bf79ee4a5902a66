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
    }
}
