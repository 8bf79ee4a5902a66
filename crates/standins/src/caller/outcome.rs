//! What a caller got.

use std::time::Duration;

use types::{ErrorCode, Verdict};

/// What became of one request, as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The caller's own answer, whole.
    Complete {
        /// Tokens of a completion; 0 for a plain service.
        tokens: u32,
    },
    /// A clear refusal or error before any part of an answer.
    Refused {
        /// HTTP status.
        status: u16,
        /// Stable code; `None` if the body does not carry one.
        code: Option<ErrorCode>,
        /// Whether the request may have run, as told to the caller.
        verdict: Option<Verdict>,
        /// When to try again, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// The answer began, was right so far, and visibly broke off.
    Broken {
        /// Tokens that came.
        tokens: u32,
        /// The error event at the end, if there was one.
        code: Option<ErrorCode>,
        /// What was seen.
        reason: String,
    },
    /// The answer carries another request's id or content.
    Crossed {
        /// What was seen.
        reason: String,
    },
    /// The answer ended as if whole, but tokens are missing or came twice.
    Corrupt {
        /// What was seen.
        reason: String,
    },
    /// No connection, or it closed before any answer.
    NoResponse {
        /// What was seen.
        reason: String,
    },
    /// Nothing more came within the caller's patience.
    TimedOut {
        /// Tokens that came.
        tokens: u32,
    },
}

impl Outcome {
    /// Whether the answer was the caller's own and whole.
    pub fn is_complete(&self) -> bool {
        matches!(self, Outcome::Complete { .. })
    }

    /// Whether the request was refused with this code.
    pub fn is_refused_with(&self, wanted: ErrorCode) -> bool {
        matches!(self, Outcome::Refused { code, .. } if *code == Some(wanted))
    }

    /// The verdict that the caller was told, if any.
    pub fn verdict(&self) -> Option<Verdict> {
        match self {
            Outcome::Refused { verdict, .. } => *verdict,
            _ => None,
        }
    }

    /// Whether a wrong answer was delivered as if it were right.
    pub fn is_wrong(&self) -> bool {
        matches!(self, Outcome::Crossed { .. } | Outcome::Corrupt { .. })
    }
}

/// An outcome with its times, from the sending of the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// What became of the request.
    pub outcome: Outcome,
    /// The id under which the request was sent.
    pub request_id: String,
    /// Body of a plain service's answer, or of an error.
    pub body: String,
    /// Time to the first token or the first byte of the answer.
    pub time_to_first_token: Option<Duration>,
    /// Time to the end.
    pub total: Duration,
}
