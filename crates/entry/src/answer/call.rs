//! Reads a plain service's whole answer.

use std::future::poll_fn;

use types::{ErrorCode, Verdict};

use crate::{attempt::OpenAnswer, failure::Failure};

/// Header by which an agent passes on the service's own status.
const UPSTREAM_STATUS_HEADER: &str = "limpetgw-upstream-status";
/// Largest answer of a plain service, in bytes.
const ANSWER_MAX_BYTES: usize = 32 << 20;
/// Bytes read at once.
const READ_BYTES: usize = 16 << 10;

/// A plain service's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallAnswer {
    pub(crate) status: u16,
    pub(crate) content_type: Option<String>,
    pub(crate) body: Vec<u8>,
}

/// Reads the answer to its true end.
///
/// # Errors
///
/// `upstream_failed` when the answer breaks off or is too large.
pub(crate) async fn read_call(mut answer: OpenAnswer) -> Result<CallAnswer, Failure> {
    let status = answer
        .header(UPSTREAM_STATUS_HEADER)
        .and_then(|text| text.parse().ok())
        .unwrap_or(200);
    let content_type = answer.header("content-type").map(str::to_owned);
    let mut body = Vec::new();
    let mut buf = vec![0; READ_BYTES];
    loop {
        let read = poll_fn(|cx| answer.poll_read(cx, &mut buf)).await;
        let Ok(count) = read else {
            answer.on_failure();
            return Err(broken("the upstream failed before the answer was whole"));
        };
        if count == 0 {
            break;
        }
        body.extend_from_slice(&buf[..count]);
        if body.len() > ANSWER_MAX_BYTES {
            return Err(broken("the upstream's answer is too large"));
        }
    }
    answer.finish();
    Ok(CallAnswer {
        status,
        content_type,
        body,
    })
}

fn broken(message: &str) -> Failure {
    Failure::new(ErrorCode::UpstreamFailed, Verdict::MayHaveRun, message)
}
