//! A plain service's answer, read whole before any of it is passed on.

use super::{Answer, Fault};
use crate::relay::Mismatch;

/// Largest answer of a plain service, in bytes.
const ANSWER_MAX_BYTES: usize = 16 << 20;

/// Bytes read at once.
const READ_BYTES: usize = 16 << 10;

/// A whole answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallAnswer {
    /// HTTP status.
    pub(crate) status: u16,
    /// `content-type`, if any.
    pub(crate) content_type: Option<String>,
    /// The body.
    pub(crate) body: Vec<u8>,
}

/// Reads an answer to its end and checks its length.
///
/// `has_body` is false for a `HEAD` call.
///
/// # Errors
///
/// [`Fault`] when the answer is cut, too large or lacks a length.
pub(crate) async fn read_whole(mut answer: Answer, has_body: bool) -> Result<CallAnswer, Fault> {
    let status = answer.status();
    let content_type = answer.header("content-type").map(Into::into);
    let stated_bytes = stated_bytes(&answer, has_body)?;
    let mut body = Vec::new();
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let count = answer.read(&mut buffer).await?;
        if count == 0 {
            break;
        }
        body.extend_from_slice(&buffer[..count]);
        if body.len() > ANSWER_MAX_BYTES {
            return Err(Mismatch::TooLarge.into());
        }
    }
    if body.len() != stated_bytes {
        return Err(Mismatch::Truncated.into());
    }
    answer.release();
    Ok(CallAnswer {
        status,
        content_type,
        body,
    })
}

fn stated_bytes(answer: &Answer, has_body: bool) -> Result<usize, Fault> {
    const NO_CONTENT: u16 = 204;
    const NOT_MODIFIED: u16 = 304;

    if !has_body || matches!(answer.status(), NO_CONTENT | NOT_MODIFIED) {
        return Ok(0);
    }
    answer
        .header("content-length")
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| Mismatch::NoLength.into())
}
