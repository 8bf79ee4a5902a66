//! Reads the caller's request body within limits for size and time.

use std::{sync::Arc, time::Duration};

use futures_lite::FutureExt;
use trillium::Conn;
use types::ErrorCode;

use crate::failure::Failure;

/// Reads the complete request body. A declared length beyond the limit is refused
/// before anything is read.
///
/// # Errors
///
/// `body_too_large` beyond `body_max_bytes`, `request_timeout` if the body is
/// incomplete after `timeout`, `malformed_request` for an aborted or invalid
/// transfer.
pub(crate) async fn read_body(
    conn: &mut Conn,
    body_max_bytes: u64,
    timeout: Duration,
) -> Result<Arc<[u8]>, Failure> {
    let body = conn.request_body().with_max_len(body_max_bytes);
    if body
        .content_length()
        .is_some_and(|len| len > body_max_bytes)
    {
        return Err(too_large(body_max_bytes));
    }
    let read = async {
        body.read_bytes()
            .await
            .map_err(|error| read_failure(&error, body_max_bytes))
    };
    let timed_out = async {
        smol::Timer::after(timeout).await;
        Err(Failure::not_run(
            ErrorCode::RequestTimeout,
            format!(
                "the request body was incomplete; send the whole request within {} ms",
                timeout.as_millis()
            ),
        ))
    };
    read.or(timed_out).await.map(Arc::from)
}

fn read_failure(error: &trillium_http::Error, body_max_bytes: u64) -> Failure {
    match error {
        trillium_http::Error::ReceivedBodyTooLong(_) => too_large(body_max_bytes),
        _ => Failure::not_run(
            ErrorCode::MalformedRequest,
            "the request body was truncated or its HTTP framing is invalid",
        ),
    }
}

fn too_large(body_max_bytes: u64) -> Failure {
    Failure::not_run(
        ErrorCode::BodyTooLarge,
        format!("the request body is too large; send at most {body_max_bytes} bytes"),
    )
}
