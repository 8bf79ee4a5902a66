//! Error responses that the gateway generates when no instance provides one.

use std::future::Future;

use futures_lite::FutureExt;
use net::Lifecycle;
use trillium::{Conn, Status};
use types::{ErrorBody, ErrorCode, RequestId, Verdict};

use crate::header_codec::HeaderCodec;

/// Suggested retry delay while the process is stopping. The balancer routes the
/// retry to another process.
const STOPPING_RETRY_MS: u64 = 50;

/// Creates the failure for a request that a stopping process did not send.
pub(crate) fn stopping_not_run() -> Failure {
    let reason = "this process is shutting down; retry on another one";
    Failure::not_run(ErrorCode::Draining, reason).retry_after(STOPPING_RETRY_MS)
}

/// Creates the failure for a request that was sent, and whose response did not
/// begin before the process has to stop.
pub(crate) fn stopping_may_have_run() -> Failure {
    let reason = "this process is shutting down, and the instance has not responded";
    Failure::may_have_run(ErrorCode::DeadlineExceeded, reason)
}

/// Waits for `work`; returns `failure` if the process ends its requests first.
pub(crate) async fn unless_ended<T>(
    lifecycle: &Lifecycle,
    work: impl Future<Output = Result<T, Failure>>,
    failure: impl FnOnce() -> Failure,
) -> Result<T, Failure> {
    let ended = async {
        lifecycle.requests_ended().await;
        Err(failure())
    };
    work.or(ended).await
}

/// Error with which a request ends when no instance's response is relayed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{code:?} ({verdict:?}): {reason}")]
pub(crate) struct Failure {
    pub(crate) code: ErrorCode,
    pub(crate) verdict: Verdict,
    pub(crate) reason: String,
    /// Suggested wait before the caller retries, in milliseconds; `None` if a
    /// retry is not suggested.
    pub(crate) retry_after_ms: Option<u64>,
}

impl Failure {
    /// Creates a failure for a request that no instance ran or will run.
    pub(crate) fn not_run(code: ErrorCode, reason: impl Into<String>) -> Self {
        Self {
            code,
            verdict: Verdict::NotRun,
            reason: reason.into(),
            retry_after_ms: None,
        }
    }

    /// Creates a failure for a request that an instance may have run.
    pub(crate) fn may_have_run(code: ErrorCode, reason: impl Into<String>) -> Self {
        Self {
            code,
            verdict: Verdict::MayHaveRun,
            reason: reason.into(),
            retry_after_ms: None,
        }
    }

    /// Sets the suggested wait before a retry, in milliseconds.
    pub(crate) fn retry_after(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Serializes the failure as the JSON error body.
    pub(crate) fn body(&self, request_id: Option<&RequestId>) -> String {
        let mut body = ErrorBody::new(self.code, self.verdict, self.reason.clone());
        body.error.request_id = request_id.cloned();
        body.error.retry_after_ms = self.retry_after_ms;
        // The body holds only strings and numbers, so serialization can't fail.
        serde_json::to_string(&body).unwrap_or_default()
    }

    /// Sends the failure as the response. Closes the connection if the request
    /// may not have been read completely.
    pub(crate) fn respond(
        &self,
        conn: Conn,
        header_codec: &dyn HeaderCodec,
        request_id: Option<&RequestId>,
    ) -> Conn {
        let status = Status::try_from(self.code.http_status()).unwrap_or(Status::BadGateway);
        let mut conn = conn
            .with_status(status)
            .with_response_header("content-type", "application/json")
            .with_body(self.body(request_id));
        if let Some(request_id) = request_id {
            let name = header_codec.request_id_header();
            conn.insert_response_header(name, request_id.as_str().to_owned());
        }
        if let Some(retry_after_ms) = self.retry_after_ms {
            conn.insert_response_header("retry-after", header_codec.retry_after(retry_after_ms));
        }
        let is_partly_unread = matches!(
            self.code,
            ErrorCode::BodyTooLarge
                | ErrorCode::RequestTimeout
                | ErrorCode::MalformedRequest
                | ErrorCode::Overloaded
        );
        // A caller that awaits an interim response may send its body or not.
        let may_withhold_body = conn.request_headers().has_header("expect");
        if is_partly_unread || may_withhold_body {
            conn.insert_response_header("connection", "close");
        }
        conn.halt()
    }
}
