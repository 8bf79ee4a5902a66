//! What the callers' listener allows a slow caller: the configuration's limits.

use std::{sync::Arc, time::Duration};

use net::{GuardPolicy, HeadRejection};
use types::ErrorCode;

use crate::{app::App, failure::Failure};

/// Longest wait for a caller that takes nothing of its answer. Callers give up
/// on a stream after two seconds or more without an event.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

pub(crate) struct CallerGuard(pub(crate) Arc<App>);

impl GuardPolicy for CallerGuard {
    fn head_timeout(&self) -> Duration {
        self.0.routing.load().limits.head_timeout
    }

    fn idle_timeout(&self) -> Option<Duration> {
        Some(self.0.routing.load().limits.idle_timeout)
    }

    fn stall_timeout(&self) -> Duration {
        STALL_TIMEOUT
    }

    fn rejection_response(&self, rejection: HeadRejection) -> Vec<u8> {
        let failure = match rejection {
            HeadRejection::TimedOut { timeout_ms } => Failure::not_run(
                ErrorCode::RequestTimeout,
                format!("send the whole head within {timeout_ms} ms"),
            ),
            HeadRejection::TooLarge { max_bytes } => Failure::not_run(
                ErrorCode::HeadersTooLarge,
                format!("send a head of at most {max_bytes} bytes"),
            ),
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
