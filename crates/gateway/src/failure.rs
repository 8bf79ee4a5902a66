//! What a caller is told when there is no answer of an instance.

use trillium::{Conn, Status};
use types::{ErrorBody, ErrorCode, RequestId, Verdict};

use crate::header_codec::HeaderCodec;

/// Why a request ends without an instance's answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{code:?} ({verdict:?}): {reason}")]
pub(crate) struct Failure {
    pub(crate) code: ErrorCode,
    pub(crate) verdict: Verdict,
    pub(crate) reason: String,
    /// Time after which another try makes sense, in milliseconds.
    pub(crate) retry_after_ms: Option<u64>,
}

impl Failure {
    /// A failure of a request that did not run and will not run.
    pub(crate) fn not_run(code: ErrorCode, reason: impl Into<String>) -> Self {
        Self {
            code,
            verdict: Verdict::NotRun,
            reason: reason.into(),
            retry_after_ms: None,
        }
    }

    /// A failure of a request that may have run.
    pub(crate) fn unsure(code: ErrorCode, reason: impl Into<String>) -> Self {
        Self {
            code,
            verdict: Verdict::MayHaveRun,
            reason: reason.into(),
            retry_after_ms: None,
        }
    }

    /// Adds the time after which another try makes sense.
    pub(crate) fn retry_after(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// The JSON body for the caller.
    pub(crate) fn body(&self, request_id: Option<&RequestId>) -> String {
        let mut body = ErrorBody::new(self.code, self.verdict, self.reason.clone());
        body.error.request_id = request_id.cloned();
        body.error.retry_after_ms = self.retry_after_ms;
        // An error body is names and numbers: serialization can't fail.
        serde_json::to_string(&body).unwrap_or_default()
    }

    /// Answers the caller.
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
        if matches!(
            self.code,
            ErrorCode::BodyTooLarge | ErrorCode::RequestTimeout | ErrorCode::MalformedRequest
        ) {
            // The rest of the request may still be on the connection.
            conn.insert_response_header("connection", "close");
        }
        conn.halt()
    }
}
