//! Reads a complete response before any of it is relayed.

use std::future::poll_fn;

use http::HeaderMap;

use crate::upstream::{ExchangeError, Response};

/// Maximum size of a buffered response, in bytes. Responses of plain services
/// have some kilobytes; the smallest machines have 88 MB of memory in total.
const RESPONSE_MAX_BYTES: usize = 4 << 20;

/// Complete response of an instance.
#[derive(Debug)]
pub(crate) struct BufferedResponse {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Vec<u8>,
}

/// Error in reading a complete response body.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BodyError {
    /// The connection failed before the end of the body.
    #[error("response body truncated after {read_bytes} bytes: {error}")]
    Truncated {
        /// Number of body bytes read before the error.
        read_bytes: usize,
        /// Error of the connection.
        error: ExchangeError,
    },
    /// The body exceeds [`RESPONSE_MAX_BYTES`].
    #[error("response body is larger than {RESPONSE_MAX_BYTES} bytes")]
    TooLarge,
}

/// Reads the body to the end that its HTTP framing defines.
///
/// # Errors
///
/// [`BodyError`] if the body is truncated or too large.
pub(crate) async fn read_response_body(response: &mut Response) -> Result<Vec<u8>, BodyError> {
    let mut body = Vec::new();
    while let Some(data) = poll_fn(|cx| response.poll_data(cx)).await {
        let data = data.map_err(|error| BodyError::Truncated {
            read_bytes: body.len(),
            error,
        })?;
        if body.len() + data.len() > RESPONSE_MAX_BYTES {
            return Err(BodyError::TooLarge);
        }
        body.extend_from_slice(&data);
    }
    Ok(body)
}
