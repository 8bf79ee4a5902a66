//! Outcomes of requests as their callers observe them.

use std::time::Duration;

use types::{ErrorCode, Verdict};

/// Outcome of one request as its caller observes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete response to the caller's own request.
    Complete {
        /// Number of tokens of a completion; 0 for a plain service.
        tokens: u32,
    },
    /// An error status before any part of a response.
    Refused {
        /// HTTP status of the response.
        status: u16,
        /// Error code in the body; `None` if there is none.
        code: Option<ErrorCode>,
        /// Whether the request may have run, according to the error body.
        verdict: Option<Verdict>,
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// The response was correct up to a visible interruption: an error event, a
    /// connection error or an end without `[DONE]`.
    Broken {
        /// Number of correct tokens received.
        tokens: u32,
        /// Code of the error event at the end, if there was one.
        code: Option<ErrorCode>,
        /// Text of the error event or connection error, or a note that `[DONE]` is
        /// missing.
        reason: String,
    },
    /// The response carries the id or content of another request.
    Crossed {
        /// Which received id or content belongs to another request.
        reason: String,
    },
    /// The response is invalid in itself: tokens are missing, repeated or out of
    /// order, or the content is malformed.
    Corrupt {
        /// Received content in comparison with the expected one, or a parse error.
        reason: String,
    },
    /// The connection failed or was closed before the response head.
    NoResponse {
        /// Text of the connection error, or a note that the response was already
        /// read.
        reason: String,
    },
    /// The response was not complete within the caller's timeout.
    TimedOut {
        /// Number of correct tokens received.
        tokens: u32,
    },
}

impl Outcome {
    /// Returns whether the response was the caller's own and complete.
    pub fn is_complete(&self) -> bool {
        matches!(self, Outcome::Complete { .. })
    }

    /// Returns whether the request was refused with error code `expected`.
    pub fn is_refused_with(&self, expected: ErrorCode) -> bool {
        matches!(self, Outcome::Refused { code, .. } if *code == Some(expected))
    }

    /// Returns the verdict in the error body of a refusal, if any.
    pub fn verdict(&self) -> Option<Verdict> {
        match self {
            Outcome::Refused { verdict, .. } => *verdict,
            _ => None,
        }
    }

    /// Returns whether a wrong response was delivered without a visible error.
    pub fn is_wrong(&self) -> bool {
        matches!(self, Outcome::Crossed { .. } | Outcome::Corrupt { .. })
    }
}

/// Outcome of a request with its times, measured from the sending.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// What the caller received, checked against the expected response.
    pub outcome: Outcome,
    /// The `x-request-id` under which the request was sent.
    pub request_id: String,
    /// Response body; empty for streams.
    pub body: String,
    /// Time to the first token of a stream, or to the head of any other
    /// response; `None` if neither was received.
    pub time_to_first_token: Option<Duration>,
    /// Time to the end of the response, or to the error or timeout.
    pub total: Duration,
}
