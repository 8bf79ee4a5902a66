//! Reads the complete answer of a plain service.

use std::future::poll_fn;

use types::{ErrorCode, Verdict};

use super::format::UpstreamAnswer;
use crate::{attempt::OpenAnswer, failure::Failure};

/// Size limit for the answer of a plain service.
const ANSWER_MAX_BYTES: usize = 32 << 20;
/// Buffer size of one read.
const READ_BYTES: usize = 16 << 10;

/// Reads the answer to the end of its body. A missing or invalid upstream status
/// counts as 200.
///
/// # Errors
///
/// `upstream_failed` if the answer is truncated or exceeds
/// [`ANSWER_MAX_BYTES`].
pub(crate) async fn read_call(mut answer: OpenAnswer) -> Result<UpstreamAnswer, Failure> {
    let status = answer
        .header(rpc::UPSTREAM_STATUS_HEADER)
        .and_then(|text| text.parse().ok())
        .unwrap_or(200);
    let content_type = answer.header("content-type").map(str::to_owned);
    let mut body = Vec::new();
    let mut buf = vec![0; READ_BYTES];
    loop {
        let read = poll_fn(|cx| answer.poll_read(cx, &mut buf)).await;
        let Ok(count) = read else {
            answer.on_failure();
            return Err(read_failure(
                "the upstream failed before the answer was complete",
            ));
        };
        if count == 0 {
            break;
        }
        body.extend_from_slice(&buf[..count]);
        if body.len() > ANSWER_MAX_BYTES {
            return Err(read_failure("the upstream's answer exceeds the size limit"));
        }
    }
    answer.finish();
    Ok(UpstreamAnswer {
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
