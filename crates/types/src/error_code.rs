//! Stable error codes and the JSON body in which callers receive them.

use serde::{Deserialize, Serialize};

use crate::{RequestId, Verdict};

macro_rules! error_codes {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $status:literal;)*) => {
        /// Stable, machine-readable reason of an error response.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        pub enum ErrorCode {
            $($(#[$doc])* #[serde(rename = $text)] $name,)*
        }

        impl ErrorCode {
            /// All codes, in declaration order.
            pub const ALL: &'static [ErrorCode] = &[$(ErrorCode::$name,)*];

            /// Returns the stable text that appears in JSON bodies and logs.
            pub fn as_str(self) -> &'static str {
                match self { $(ErrorCode::$name => $text,)* }
            }

            /// Returns the HTTP status of responses with this code.
            pub fn http_status(self) -> u16 {
                match self { $(ErrorCode::$name => $status,)* }
            }
        }
    };
}

error_codes! {
    /// The request is incomplete or invalid, for example without the JSON body that
    /// the route expects.
    MalformedRequest = "malformed_request", 400;
    /// A route whose requests must not run twice was called without a valid
    /// `idempotency-key` header.
    IdempotencyKeyMissing = "idempotency_key_missing", 400;
    /// The API key is missing or belongs to no team.
    InvalidApiKey = "invalid_api_key", 401;
    /// The team is not allowed to use the requested class.
    ClassNotAllowed = "class_not_allowed", 403;
    /// No upstream serves this model.
    UnknownModel = "model_not_found", 404;
    /// The service or route does not exist.
    UnknownRoute = "route_not_found", 404;
    /// The caller did not send the whole request in time.
    RequestTimeout = "request_timeout", 408;
    /// A request with the same idempotency key is still running.
    InProgress = "in_progress", 409;
    /// The idempotency key was used before, and the outcome of that request is
    /// unknown or its response was too large to store.
    OutcomeUnknown = "outcome_unknown", 409;
    /// The body is larger than the configured limit.
    BodyTooLarge = "body_too_large", 413;
    /// The idempotency key was used before with a different request.
    IdempotencyKeyReused = "idempotency_key_reused", 422;
    /// Requests with this content crashed several upstreams; the content is
    /// refused for a limited time.
    Quarantined = "quarantined", 422;
    /// Instances ended when they began to answer requests with this content, or
    /// with the same part of a prompt; such requests are refused at present.
    CrashesUpstream = "crashes_upstream", 503;
    /// The request headers exceed the limit on count or size.
    HeadersTooLarge = "headers_too_large", 431;
    /// The queue or in-flight limit for the request's class is exhausted.
    QueueFull = "queue_full", 429;
    /// The request was removed before it started, in favor of one with higher priority.
    Displaced = "displaced", 429;
    /// An internal request did not carry a valid peer secret.
    PeerRefused = "peer_refused", 403;
    /// The instance is draining and accepts no new requests.
    Draining = "draining", 503;
    /// No upstream instance can accept the request at present.
    NoUpstream = "no_upstream", 503;
    /// This process has no memory left for the request, whose body it has not read
    /// completely.
    Overloaded = "overloaded", 503;
    /// The request needs the platform's store, which is unavailable.
    StoreUnavailable = "store_unavailable", 503;
    /// The process has not yet received the configuration or crash evidence that the
    /// request needs.
    NotConfigured = "not_configured", 503;
    /// The upstream failed, or its response was invalid, after the request was sent to
    /// it.
    UpstreamFailed = "upstream_failed", 502;
    /// The deadline passed before the response was complete.
    DeadlineExceeded = "deadline_exceeded", 504;
    /// The request was withdrawn from the queue before it started.
    Recalled = "recalled", 503;
}

/// JSON body of every error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Error object, nested as OpenAI clients expect.
    pub error: ErrorDetail,
}

/// Error code, execution verdict and advice to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Stable error code for programmatic handling.
    pub code: ErrorCode,
    /// Whether the request may have run, which decides if a retry is safe.
    pub verdict: Verdict,
    /// Human-readable advice on how to proceed.
    pub message: String,
    /// Request id, equal to the request-id header of the response; at an entry, this
    /// is `x-request-id`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<RequestId>,
    /// Time in milliseconds after which to retry, with jitter already applied.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl ErrorBody {
    /// Creates a body without request id and retry time.
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
