//! How an exchange with the upstream fails.

use types::{ErrorCode, Verdict};

use crate::{refusal::Refusal, relay::Mismatch};

/// An exchange with the upstream that yields no whole answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Fault {
    /// No connection: no byte of the request was sent.
    #[error("the upstream can't be reached: {0}")]
    Unreachable(String),
    /// The request can't be expressed to the upstream; nothing was sent.
    #[error("the request can't be sent: {0}")]
    Unsendable(String),
    /// The connection broke.
    #[error("the connection to the upstream broke: {0}")]
    Broken(String),
    /// The upstream sent nothing for too long.
    #[error("the upstream sent nothing for {silent_ms} ms")]
    Silent {
        /// Length of the silence.
        silent_ms: u64,
    },
    /// The upstream's answer is no success.
    #[error("the upstream answered with status {status}")]
    Status {
        /// HTTP status.
        status: u16,
    },
    /// The answer belongs to another request or has gaps.
    #[error(transparent)]
    Mismatch(#[from] Mismatch),
}

impl Fault {
    /// The answer to the entry while nothing of the upstream's answer was
    /// passed on.
    pub(crate) fn refusal(&self) -> Refusal {
        let message = format!("{self}; retry if the request may be repeated");
        Refusal::new(self.code(), self.verdict(), message)
    }

    /// Whether the upstream may have crashed.
    pub(crate) fn may_be_crash(&self) -> bool {
        matches!(self, Fault::Broken(_))
    }

    /// Whether the request may have run.
    pub(crate) fn verdict(&self) -> Verdict {
        match self {
            Fault::Unreachable(_) | Fault::Unsendable(_) => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        }
    }

    fn code(&self) -> ErrorCode {
        match self {
            Fault::Unsendable(_) => ErrorCode::MalformedRequest,
            Fault::Status { status: 400 | 422 } => ErrorCode::MalformedRequest,
            Fault::Status { status: 404 } => ErrorCode::UnknownModel,
            Fault::Status { status: 413 } => ErrorCode::BodyTooLarge,
            _ => ErrorCode::UpstreamFailed,
        }
    }
}
