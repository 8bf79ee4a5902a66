//! Errors for dispatches that end without a response of the upstream.

use types::{ErrorBody, ErrorCode, RequestId, Verdict};

/// Error response to a dispatch: the reason, and whether the request may have
/// run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{code:?} ({verdict}): {message}")]
pub(crate) struct Refusal {
    /// Stable, machine-readable reason; determines the HTTP status.
    pub(crate) code: ErrorCode,
    /// Whether the request may have run, which determines if an entry may retry it.
    pub(crate) verdict: Verdict,
    /// Description of the failure and the recommended action, for humans.
    pub(crate) message: String,
    /// Recommended wait before a retry; `None` if there is no recommendation.
    pub(crate) retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal for a request that is proven not to have run, with the
    /// default message of the code.
    pub(crate) fn not_run(code: ErrorCode) -> Self {
        Self::new(code, Verdict::NotRun, default_message(code))
    }

    /// Creates a refusal for a request that may have run.
    pub(crate) fn may_have_run(code: ErrorCode, message: impl Into<String>) -> Self {
        Self::new(code, Verdict::MayHaveRun, message)
    }

    /// Creates a refusal without a retry time.
    pub(crate) fn new(code: ErrorCode, verdict: Verdict, message: impl Into<String>) -> Self {
        Self {
            code,
            verdict,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Sets the recommended wait before a retry.
    pub(crate) fn with_retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Returns the JSON body of the error response.
    pub(crate) fn body(&self, request_id: Option<&RequestId>) -> ErrorBody {
        let mut body = ErrorBody::new(self.code, self.verdict, self.message.clone());
        body.error.request_id = request_id.cloned();
        body.error.retry_after_ms = self.retry_after_ms;
        body
    }
}

fn default_message(code: ErrorCode) -> &'static str {
    match code {
        ErrorCode::Draining => "this instance is draining; send the request to another one",
        ErrorCode::QueueFull => "the queue of this class is full; retry after the given time",
        ErrorCode::Displaced => {
            "a request of a higher class displaced this one; retry after the given time"
        }
        ErrorCode::DeadlineExceeded => {
            "the deadline passed while the request was queued; retry or set a later deadline"
        }
        ErrorCode::Recalled => "the request was recalled before it started",
        ErrorCode::NotConfigured => {
            "this agent is starting or not configured for the class and upstream; retry shortly"
        }
        ErrorCode::Quarantined => {
            "this content crashed several upstreams and is quarantined for a time; change it"
        }
        ErrorCode::MalformedRequest => "the body is not a JSON object; correct it",
        ErrorCode::BodyTooLarge => "the body exceeds the configured limit; send a smaller one",
        ErrorCode::NoUpstream => "the content is suspect and has to run alone; send it again",
        ErrorCode::UpstreamFailed => "the upstream instance is unreachable; retry",
        _ => "the request was refused before it started",
    }
}
