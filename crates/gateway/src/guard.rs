//! Timeouts and error responses of the listeners, taken from the configuration
//! in force.

use std::{sync::Arc, time::Duration};

use net::{GuardPolicy, HeadRejection, RejectionContext};
use telemetry::{emit, events::GatewayEvent};
use types::ErrorCode;

use crate::{app::App, failure::Failure};

/// Time after which the write of a complete response that makes no progress fails.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which a stream that its caller does not read is ended. It holds a slot
/// of its instance, which cuts off a response that stays unread for some seconds.
/// Callers abandon a stream after two seconds or more without an event.
const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(4);

/// Suggested retry delay of a request without room: clients that stopped are
/// disconnected for others within about that time.
const NO_MEMORY_RETRY_MS: u64 = 500;

/// Connection limits of both listeners, from the current routing configuration.
pub(crate) struct CallerGuardPolicy(pub(crate) Arc<App>);

impl GuardPolicy for CallerGuardPolicy {
    fn head_timeout(&self) -> Duration {
        self.0.routing.load().limits.head_timeout
    }

    fn idle_timeout(&self) -> Option<Duration> {
        Some(self.0.routing.load().limits.idle_timeout)
    }

    fn stall_timeout(&self) -> Duration {
        STALL_TIMEOUT
    }

    fn stream_stall_timeout(&self) -> Duration {
        STREAM_STALL_TIMEOUT
    }

    fn body_timeout(&self) -> Option<Duration> {
        self.idle_timeout()
    }

    fn on_rejected(&self, rejection: HeadRejection, context: RejectionContext) {
        emit(&GatewayEvent::HeadRejected {
            code: error_code(rejection),
            received_bytes: context.received_bytes,
            responses_before: context.responses_before,
        });
    }

    fn rejection_response(&self, rejection: HeadRejection) -> Vec<u8> {
        let failure = match rejection {
            HeadRejection::TimedOut { timeout_ms } => Failure::not_run(
                error_code(rejection),
                format!("request head not complete within {timeout_ms} ms"),
            ),
            HeadRejection::TooLarge { max_bytes } => Failure::not_run(
                error_code(rejection),
                format!("request head is larger than {max_bytes} bytes"),
            ),
            HeadRejection::Malformed { reason } => Failure::not_run(
                error_code(rejection),
                format!("the request is malformed: {reason}"),
            ),
            HeadRejection::NoMemory => no_memory(),
        };
        let status = failure.code.http_status();
        let body = failure.body(None);
        let length = body.len();
        format!(
            "HTTP/1.1 {status} Refused\r\nconnection: close\r\n\
             content-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
        )
        .into_bytes()
    }
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
    let reason = "the memory for requests of all clients is in use; retry on another gateway";
    Failure::not_run(ErrorCode::Overloaded, reason).retry_after(NO_MEMORY_RETRY_MS)
}
