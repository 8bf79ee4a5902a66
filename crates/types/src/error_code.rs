//! Stable error codes and the JSON body that carries them to callers.

use serde::{Deserialize, Serialize};

use crate::{RequestId, Verdict};

macro_rules! error_codes {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $status:literal;)*) => {
        /// A stable, machine-readable reason for an answer that is no success.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        pub enum ErrorCode {
            $($(#[$doc])* #[serde(rename = $text)] $name,)*
        }

        impl ErrorCode {
            /// Every code, in catalogue order.
            pub const ALL: &'static [ErrorCode] = &[$(ErrorCode::$name,)*];

            /// The code as callers see it.
            pub fn as_str(self) -> &'static str {
                match self { $(ErrorCode::$name => $text,)* }
            }

            /// The HTTP status that goes with the code.
            pub fn http_status(self) -> u16 {
                match self { $(ErrorCode::$name => $status,)* }
            }
        }
    };
}

error_codes! {
    /// The body is not the JSON that the route expects.
    MalformedRequest = "malformed_request", 400;
    /// A route that must not be repeated was called without `idempotency-key`.
    IdempotencyKeyMissing = "idempotency_key_missing", 400;
    /// No team has this API key.
    InvalidApiKey = "invalid_api_key", 401;
    /// The team is not bound to the class that it asked for.
    ClassNotAllowed = "class_not_allowed", 403;
    /// No upstream serves this model.
    UnknownModel = "model_not_found", 404;
    /// No such service or route.
    UnknownRoute = "route_not_found", 404;
    /// The caller sent the request too slowly.
    RequestTimeout = "request_timeout", 408;
    /// The same idempotency key is being worked on.
    InProgress = "in_progress", 409;
    /// The idempotency key was used before and its outcome is not known.
    OutcomeUnknown = "outcome_unknown", 409;
    /// The body is larger than the configured limit.
    BodyTooLarge = "body_too_large", 413;
    /// The idempotency key was used before with another body.
    IdempotencyKeyReused = "idempotency_key_reused", 422;
    /// This content crashed several upstreams and is refused for a time.
    Quarantined = "quarantined", 422;
    /// The request has too many or too large headers.
    HeadersTooLarge = "headers_too_large", 431;
    /// The queue of this class is full.
    QueueFull = "queue_full", 429;
    /// The request left the queue to make room for a higher class.
    Displaced = "displaced", 429;
    /// An internal call lacked the peer secret.
    PeerRefused = "peer_refused", 403;
    /// The instance is draining and takes no new work.
    Draining = "draining", 503;
    /// No upstream instance can take the request now.
    NoUpstream = "no_upstream", 503;
    /// The platform's store is needed for this request and is unavailable.
    StoreUnavailable = "store_unavailable", 503;
    /// The process has no configuration yet.
    NotConfigured = "not_configured", 503;
    /// The upstream failed while it held the request.
    UpstreamFailed = "upstream_failed", 502;
    /// The deadline passed before the answer was complete.
    DeadlineExceeded = "deadline_exceeded", 504;
    /// The request was taken back before it started.
    Recalled = "recalled", 503;
}

/// The JSON body of every answer that is no success.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error, in the shape that OpenAI clients expect.
    pub error: ErrorDetail,
}

/// What went wrong, whether the request may have run, and what to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Stable code.
    pub code: ErrorCode,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Plain text that says what to do.
    pub message: String,
    /// Id of the request, as in the `x-request-id` header.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<RequestId>,
    /// Jittered time after which another try makes sense, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl ErrorBody {
    /// Makes a body without a retry time.
    pub fn new(code: ErrorCode, verdict: Verdict, message: impl Into<String>) -> Self {
        Self {
            error: ErrorDetail {
                code,
                verdict,
                message: message.into(),
                request_id: None,
                retry_after_ms: None,
            },
        }
    }
}
