//! Reads the complete response of a plain service.

use std::future::poll_fn;

use types::{ErrorCode, Verdict};

use super::mode::UpstreamResponse;
use crate::{attempt::OpenResponse, failure::Failure};

/// Size limit for the response of a plain service.
const RESPONSE_MAX_BYTES: usize = 32 << 20;
/// Size of the read buffer; the response may be larger.
const READ_BYTES: usize = 16 << 10;

/// Reads the response to the end of its body. A missing or invalid upstream status
/// counts as 200.
///
/// # Errors
///
/// `upstream_failed` if the response is truncated or exceeds
/// [`RESPONSE_MAX_BYTES`].
pub(crate) async fn read_call_response(
    mut response: OpenResponse,
) -> Result<UpstreamResponse, Failure> {
    let status = response
        .header(rpc::UPSTREAM_STATUS_HEADER)
        .and_then(|text| text.parse().ok())
        .unwrap_or(200);
    let content_type = response.header("content-type").map(str::to_owned);
    let mut body = Vec::new();
    let mut buf = vec![0; READ_BYTES];
    loop {
        let read = poll_fn(|cx| response.poll_read(cx, &mut buf)).await;
        let Ok(count) = read else {
            response.on_failure();
            return Err(read_failure(
                "the upstream failed before the response was complete",
            ));
        };
        if count == 0 {
            break;
        }
        body.extend_from_slice(&buf[..count]);
        if body.len() > RESPONSE_MAX_BYTES {
            return Err(read_failure(
                "the upstream's response exceeds the size limit",
            ));
        }
    }
    response.finish();
    Ok(UpstreamResponse {
        status,
        content_type,
        body,
        tokens: 0,
        first_token_ms: 0,
        replayed: false,
    })
}

fn read_failure(message: &str) -> Failure {
    Failure::new(ErrorCode::UpstreamFailed, Verdict::MayHaveRun, message)
}
