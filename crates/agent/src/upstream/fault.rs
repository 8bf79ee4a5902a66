//! Failures of an exchange with the upstream.

use types::{ErrorCode, Verdict};

use crate::{refusal::Refusal, relay::ResponseError};

/// Reason why an exchange with the upstream gave no complete response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Fault {
    /// No connection was established; no byte of the request was sent.
    #[error("cannot connect to the upstream: {0}")]
    Unreachable(String),
    /// The request cannot be encoded for the upstream; nothing was sent.
    #[error("cannot encode the request for the upstream: {0}")]
    InvalidRequest(String),
    /// The connection broke after it was established.
    #[error("the connection to the upstream broke: {0}")]
    Broken(String),
    /// A completion got no new token, or a service call no complete response,
    /// within the maximum time.
    #[error("the upstream sent no new token or complete response within {limit_ms} ms")]
    TimedOut {
        /// Maximum time, from [`crate::Settings::upstream_silence`].
        limit_ms: u64,
    },
    /// The upstream returned an error status for a completion, or one for a service call
    /// that ends no request.
    #[error("the upstream returned status {status}")]
    Status {
        /// HTTP status code; 0 if the response has none.
        status: u16,
    },
    /// The response belongs to another request, is incomplete or malformed.
    #[error(transparent)]
    InvalidResponse(#[from] ResponseError),
}

impl Fault {
    /// Returns the error response to the entry; usable only if no part of the
    /// upstream's response was forwarded.
    pub(crate) fn refusal(&self) -> Refusal {
        let message = format!("{self}; retry if the request is idempotent");
        Refusal::new(self.code(), self.verdict(), message)
    }

    /// Whether a crash of the upstream may have caused the fault. A probe then
    /// checks whether the upstream still runs.
    pub(crate) fn may_be_crash(&self) -> bool {
        matches!(self, Fault::Broken(_))
    }

    /// Returns whether the request may have run.
    pub(crate) fn verdict(&self) -> Verdict {
        match self {
            Fault::Unreachable(_) | Fault::InvalidRequest(_) => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }

    fn code(&self) -> ErrorCode {
        match self {
            Fault::InvalidRequest(_) => ErrorCode::MalformedRequest,
            Fault::Status { status: 400 | 422 } => ErrorCode::MalformedRequest,
            Fault::Status { status: 404 } => ErrorCode::UnknownModel,
            Fault::Status { status: 413 } => ErrorCode::BodyTooLarge,
            _ => ErrorCode::UpstreamFailed,
        }
    }
}
