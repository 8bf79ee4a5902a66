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
    /// The upstream sent no data for the maximum time.
    #[error("the upstream sent no data for {limit_ms} ms")]
    TimedOut {
        /// Configured maximum time without data.
        limit_ms: u64,
    },
    /// The upstream returned an error status for a completion.
    #[error("the upstream returned status {status}")]
    Status {
        /// HTTP status code other than 200.
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

    /// Whether a crash of the upstream can be the cause, to be verified by a probe.
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
