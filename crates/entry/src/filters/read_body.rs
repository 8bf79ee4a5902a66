//! Reads the caller's request body within limits for size and time.

use std::{sync::Arc, time::Duration};

use futures_lite::FutureExt;
use net::BodyError;
use trillium::Conn;
use types::ErrorCode;

use crate::{failure::Failure, guard::no_memory};

/// Longest time for a body that makes progress; the longest deadline of a class in
/// use. A body without progress ends by the timeout of the listener.
const BODY_TIME_MAX: Duration = Duration::from_secs(120);

/// Reads the complete request body. A declared length beyond the limit is refused
/// before anything is read.
///
/// # Errors
///
/// `body_too_large` beyond `body_max_bytes`, `request_timeout` if the body makes no
/// progress for `timeout`, `overloaded` without room for it, `malformed_request` for
/// an aborted or invalid transfer.
pub(crate) async fn read_body(
    conn: &mut Conn,
    body_max_bytes: u64,
    timeout: Duration,
) -> Result<Arc<[u8]>, Failure> {
    let read = async {
        let body = net::read_body(conn.request_body().into(), body_max_bytes);
        body.await.map_err(|error| match error {
            BodyError::TooLarge => too_large(body_max_bytes),
            BodyError::Stalled => incomplete(timeout),
            BodyError::NoMemory(_) => no_memory(),
            BodyError::Invalid(_) => Failure::not_run(
                ErrorCode::MalformedRequest,
                "the request body was truncated or its HTTP framing is invalid",
            ),
        })
    };
    let timed_out = async {
        smol::Timer::after(BODY_TIME_MAX).await;
        Err(incomplete(BODY_TIME_MAX))
    };
    read.or(timed_out).await.map(Arc::from)
}

fn incomplete(timeout: Duration) -> Failure {
    Failure::not_run(
        ErrorCode::RequestTimeout,
        format!(
            "the request body was incomplete; send it without pauses of {} ms",
            timeout.as_millis()
        ),
    )
}

fn too_large(body_max_bytes: u64) -> Failure {
    Failure::not_run(
        ErrorCode::BodyTooLarge,
        format!("the request body is too large; send at most {body_max_bytes} bytes"),
    )
}
