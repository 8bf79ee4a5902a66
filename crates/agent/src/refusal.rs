//! Why a dispatch ends without the upstream's answer.

use types::{ErrorBody, ErrorCode, RequestId, Verdict};

/// Reason and verdict of a dispatch that yields no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{code:?} ({verdict}): {message}")]
pub(crate) struct Refusal {
    /// Stable code.
    pub(crate) code: ErrorCode,
    /// Whether the request may have run.
    pub(crate) verdict: Verdict,
    /// Plain text that says what to do.
    pub(crate) message: String,
    /// Time after which another try makes sense, in milliseconds.
    pub(crate) retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Refuses a request that is proved not to have run.
    pub(crate) fn not_run(code: ErrorCode) -> Self {
        Self::new(code, Verdict::NotRun, advice(code))
    }

    /// Gives up a request that may have run.
    pub(crate) fn may_have_run(code: ErrorCode, message: impl Into<String>) -> Self {
        Self::new(code, Verdict::MayHaveRun, message)
    }

    /// Makes a refusal without a retry time.
    pub(crate) fn new(code: ErrorCode, verdict: Verdict, message: impl Into<String>) -> Self {
        Self {
            code,
            verdict,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Adds the time after which another try makes sense.
    pub(crate) fn after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// The JSON body of the answer.
    pub(crate) fn body(&self, request_id: Option<&RequestId>) -> ErrorBody {
        let mut body = ErrorBody::new(self.code, self.verdict, self.message.clone());
        body.error.request_id = request_id.cloned();
        body.error.retry_after_ms = self.retry_after_ms;
        body
    }
}

fn advice(code: ErrorCode) -> &'static str {
    match code {
        ErrorCode::Draining => "this instance is leaving; send the request to another one",
        ErrorCode::QueueFull => "the queue of this class is full; retry after the given time",
        ErrorCode::Displaced => {
            "a higher class took the place in the queue; retry after the given time"
        }
        ErrorCode::DeadlineExceeded => {
            "the request waited until its deadline; retry or allow more time"
        }
        ErrorCode::Recalled => "the request was taken back before it started",
        ErrorCode::NotConfigured => {
            "no configuration for this class and upstream yet; retry shortly"
        }
        ErrorCode::Quarantined => {
            "this content crashed several upstreams and is refused for a time; change it"
        }
        ErrorCode::MalformedRequest => "the body is not a JSON object; correct it",
        ErrorCode::BodyTooLarge => "the body exceeds the configured limit; send less",
        ErrorCode::NoUpstream => "the request has to run alone; send it again",
        ErrorCode::UpstreamFailed => "the upstream instance can't be reached; retry",
        _ => "the request was refused before it started",
    }
}
