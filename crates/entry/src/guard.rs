//! Limits for slow callers, on the callers' and the operator's listener.

use std::time::Duration;

use net::{GuardPolicy, HeadRejection, RejectionContext};
use telemetry::{emit, events::EntryEvent};
use types::{ErrorCode, RequestId};

use crate::{
    failure::{Failure, REQUEST_ID_HEADER},
    filters::request_id,
};

/// Expected wait for room: clients that stopped are disconnected for others within
/// about that time.
const NO_MEMORY_RETRY_MS: u64 = 500;

/// Policy with one time limit for receiving a request head and for responses that
/// the caller does not read. Idle connections have no limit.
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

    fn body_timeout(&self) -> Option<Duration> {
        Some(self.request_timeout)
    }

    /// A body is read into a buffer and then shared, which copies it.
    fn body_copies(&self) -> usize {
        2
    }

    fn on_rejected(&self, rejection: HeadRejection, context: RejectionContext) {
        emit(&EntryEvent::HeadRejected {
            code: error_code(rejection),
            received_bytes: context.received_bytes,
            responses_before: context.responses_before,
        });
    }

    fn rejection_response(&self, rejection: HeadRejection) -> Vec<u8> {
        let failure = match rejection {
            HeadRejection::TimedOut { timeout_ms } => Failure::not_run(
                error_code(rejection),
                format!("the request head was incomplete; send the whole request within {timeout_ms} ms"),
            ),
            HeadRejection::TooLarge { max_bytes } => Failure::not_run(
                error_code(rejection),
                format!("the request head is too large; send at most {max_bytes} bytes"),
            ),
            HeadRejection::Malformed { reason } => Failure::not_run(
                error_code(rejection),
                format!("the request is malformed: {reason}"),
            ),
            HeadRejection::NoMemory => no_memory(),
        };
        raw_response(&failure, &request_id::from_header(None))
    }
}

/// Formats the complete HTTP/1.1 response, since no request is parsed yet. The
/// connection is closed after it.
fn raw_response(failure: &Failure, request_id: &RequestId) -> Vec<u8> {
    let status = failure.code.http_status();
    let body = serde_json::to_string(&failure.body(request_id)).unwrap_or_default();
    let length = body.len();
    format!(
        "HTTP/1.1 {status} Refused\r\nconnection: close\r\ncontent-type: application/json\r\n\
         {REQUEST_ID_HEADER}: {request_id}\r\ncontent-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

fn error_code(rejection: HeadRejection) -> ErrorCode {
    match rejection {
        HeadRejection::TimedOut { .. } => ErrorCode::RequestTimeout,
        HeadRejection::TooLarge { .. } => ErrorCode::HeadersTooLarge,
        HeadRejection::Malformed { .. } => ErrorCode::MalformedRequest,
        HeadRejection::NoMemory => ErrorCode::Overloaded,
    }
}

/// Creates the failure for a request that the budget of all clients has no room for.
pub(crate) fn no_memory() -> Failure {
    Failure::not_run(
        ErrorCode::Overloaded,
        "this entry has no memory left for the request; send it again to reach another entry",
    )
    .retry_after(NO_MEMORY_RETRY_MS)
}
