//! Reads the body of a request into memory of its own size.
//!
//! The HTTP library's own function doubles its buffer to find the end of a body, and
//! writes zeros into all of it: a body of 4 MiB takes 8 MiB.

use std::io;

use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite};
use trillium_http::ReceivedBody;

use crate::client_budget::BudgetExhausted;

/// Fewest and most bytes by which the part of the buffer that is in use grows.
const STEP_MIN_BYTES: usize = 4 << 10;
const STEP_MAX_BYTES: usize = 64 << 10;

/// Error in reading a body.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The body is larger than allowed.
    #[error("the body is too large")]
    TooLarge,
    /// The caller made no progress for the timeout of the listener.
    #[error("the body made no progress")]
    Stalled,
    /// There is no memory for the body.
    #[error(transparent)]
    NoMemory(#[from] BudgetExhausted),
    /// The body is truncated or its framing is invalid.
    #[error("{0}")]
    Invalid(String),
}

impl From<io::Error> for BodyError {
    fn from(error: io::Error) -> Self {
        if let Some(exhausted) = error.get_ref().and_then(|inner| inner.downcast_ref()) {
            return Self::NoMemory(*exhausted);
        }
        match error.kind() {
            io::ErrorKind::TimedOut => Self::Stalled,
            _ => Self::Invalid(error.to_string()),
        }
    }
}

/// Reads a body of at most `max_bytes`. A longer one is refused before it is read if
/// its length is known.
///
/// # Errors
///
/// [`BodyError`] if the body is not complete.
pub async fn read_body<T>(body: ReceivedBody<'_, T>, max_bytes: u64) -> Result<Vec<u8>, BodyError>
where
    T: AsyncRead + AsyncWrite + Unpin + Send + Sync + 'static,
{
    let declared_bytes = body.content_length();
    if declared_bytes.is_some_and(|bytes| bytes > max_bytes) {
        return Err(BodyError::TooLarge);
    }
    let limit_bytes = usize::try_from(declared_bytes.unwrap_or(max_bytes)).unwrap_or(usize::MAX);
    // The HTTP library has a limit of its own, which may be lower.
    let mut body = body.with_max_len(max_bytes.saturating_add(1));
    let mut bytes = Vec::new();
    if declared_bytes.is_some() {
        bytes.reserve_exact(limit_bytes);
    }
    let mut length = 0;
    while length < limit_bytes {
        if length == bytes.len() {
            let step_bytes = length.clamp(STEP_MIN_BYTES, STEP_MAX_BYTES);
            bytes.resize(length.saturating_add(step_bytes).min(limit_bytes), 0);
        }
        match body.read(&mut bytes[length..]).await? {
            0 => {
                bytes.truncate(length);
                return Ok(bytes);
            }
            count => length += count,
        }
    }
    // Reads the end of the body, after which there is nothing more.
    match body.read(&mut [0]).await? {
        0 => Ok(bytes),
        _ => Err(BodyError::TooLarge),
    }
}
