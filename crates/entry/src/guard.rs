//! What the callers' and the operator's listener allow a slow caller.

use std::time::Duration;

use net::{GuardPolicy, HeadRejection};
use types::{ErrorCode, RequestId};

use crate::{
    failure::{Failure, REQUEST_ID_HEADER},
    filters::request_id,
};

/// One bound for heads and for answers that nobody takes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EntryGuard {
    pub(crate) request_timeout: Duration,
}

impl GuardPolicy for EntryGuard {
    fn head_timeout(&self) -> Duration {
        self.request_timeout
    }

    fn idle_timeout(&self) -> Option<Duration> {
        None
    }

    fn stall_timeout(&self) -> Duration {
        self.request_timeout
    }

    fn rejection_response(&self, rejection: HeadRejection) -> Vec<u8> {
        let failure = match rejection {
            HeadRejection::TimedOut { timeout_ms } => Failure::not_run(
                ErrorCode::RequestTimeout,
                format!("send the whole request within {timeout_ms} ms"),
            ),
            HeadRejection::TooLarge { max_bytes } => Failure::not_run(
                ErrorCode::HeadersTooLarge,
                format!("send a request head of at most {max_bytes} bytes"),
            ),
        };
        raw_answer(&failure, &request_id::from_header(None))
    }
}

/// The answer as it goes over the connection, which is closed after it.
fn raw_answer(failure: &Failure, request_id: &RequestId) -> Vec<u8> {
    let status = failure.code.http_status();
    let body = serde_json::to_string(&failure.body(request_id)).unwrap_or_default();
    let length = body.len();
    format!(
        "HTTP/1.1 {status} Refused\r\nconnection: close\r\ncontent-type: application/json\r\n\
         {REQUEST_ID_HEADER}: {request_id}\r\ncontent-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}
