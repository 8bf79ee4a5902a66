//! Failures of requests and the error responses made from them.

use trillium::{Conn, Status};
use types::{ErrorBody, ErrorCode, RequestId, Verdict};

/// Header with the request id, in requests and responses.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";

/// The reason why a request has no complete response, and whether it may have run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{code:?} ({verdict:?}): {message}")]
pub(crate) struct Failure {
    pub(crate) code: ErrorCode,
    pub(crate) verdict: Verdict,
    pub(crate) message: String,
    /// Jittered time after which the caller should send the request again.
    pub(crate) retry_after_ms: Option<u64>,
}

impl Failure {
    pub(crate) fn new(code: ErrorCode, verdict: Verdict, message: impl Into<String>) -> Self {
        Self {
            code,
            verdict,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Creates a failure of a request that was not run.
    pub(crate) fn not_run(code: ErrorCode, message: impl Into<String>) -> Self {
        Self::new(code, Verdict::NotRun, message)
    }

    /// Sets a retry time, jittered around the expected wait.
    pub(crate) fn retry_after(mut self, expected_wait_ms: u64) -> Self {
        let random = rand::random();
        self.retry_after_ms = Some(policy::retry::retry_after_ms(expected_wait_ms, random));
        self
    }

    /// Returns the error body for the caller.
    pub(crate) fn body(&self, request_id: &RequestId) -> ErrorBody {
        let mut body = ErrorBody::new(self.code, self.verdict, self.message.clone());
        body.error.request_id = Some(request_id.clone());
        body.error.retry_after_ms = self.retry_after_ms;
        body
    }

    /// Returns the error as the final event of a stream that can't be completed.
    pub(crate) fn event(&self, request_id: &RequestId) -> Vec<u8> {
        // An error body holds only strings and numbers, so serialization can't
        // fail.
        let json = serde_json::to_string(&self.body(request_id)).unwrap_or_default();
        format!("data: {json}\n\n").into_bytes()
    }

    /// Answers the caller with the error. Closes the connection if part of the
    /// request is unread.
    pub(crate) fn respond(&self, conn: Conn, request_id: &RequestId) -> Conn {
        let json = serde_json::to_string(&self.body(request_id)).unwrap_or_default();
        let status = Status::try_from(self.code.http_status()).unwrap_or(Status::BadGateway);
        let mut conn = conn
            .with_status(status)
            .with_response_header("content-type", "application/json")
            .with_response_header(REQUEST_ID_HEADER, request_id.as_str().to_owned())
            .with_body(json);
        if let Some(retry_after_ms) = self.retry_after_ms {
            let seconds = retry_after_ms.div_ceil(1_000);
            conn.insert_response_header("retry-after", seconds.to_string());
        }
        // A caller that awaits an interim response may send its body or not.
        let may_withhold_body = conn.request_headers().has_header("expect");
        if self.leaves_body_unread() || may_withhold_body {
            conn.insert_response_header("connection", "close");
        }
        conn.halt()
    }

    /// Returns whether the request may be partly unread, which makes the connection
    /// unusable for another request.
    fn leaves_body_unread(&self) -> bool {
        matches!(
            self.code,
            ErrorCode::BodyTooLarge | ErrorCode::RequestTimeout | ErrorCode::HeadersTooLarge
        )
    }
}
