//! Responses of plain services, buffered completely before they are forwarded.

use super::{Fault, UpstreamResponse};
use crate::relay::ResponseError;

/// Maximum size of the response body of a plain service.
const RESPONSE_MAX_BYTES: usize = 16 << 20;

/// Size of the read buffer.
const READ_BYTES: usize = 16 << 10;

/// A complete response of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ServiceResponse {
    /// HTTP status code, forwarded to the caller unchanged.
    pub(crate) status: u16,
    /// Value of the `content-type` header, if the service sent one.
    pub(crate) content_type: Option<String>,
    /// Complete body, of the length stated by the service.
    pub(crate) body: Vec<u8>,
}

/// Reads a response to its end and checks its length.
///
/// `has_body` is false for a `HEAD` call.
///
/// # Errors
///
/// Returns [`Fault`] if the response is truncated, too large or states no
/// length, or if its status ends no request.
pub(crate) async fn read_response(
    mut response: UpstreamResponse,
    has_body: bool,
) -> Result<ServiceResponse, Fault> {
    let status = response.status();
    if !net::is_final_status(status) {
        return Err(Fault::Status { status });
    }
    let content_type = response.header("content-type").map(Into::into);
    let expected_bytes = expected_bytes(&response, has_body)?;
    let mut body = Vec::new();
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let count = response.read(&mut buffer).await?;
        if count == 0 {
            break;
        }
        body.extend_from_slice(&buffer[..count]);
        if body.len() > RESPONSE_MAX_BYTES {
            return Err(ResponseError::TooLarge.into());
        }
    }
    if body.len() != expected_bytes {
        return Err(ResponseError::Truncated.into());
    }
    response.release_connection();
    Ok(ServiceResponse {
        status,
        content_type,
        body,
    })
}

fn expected_bytes(response: &UpstreamResponse, has_body: bool) -> Result<usize, Fault> {
    const NO_CONTENT: u16 = 204;
    const NOT_MODIFIED: u16 = 304;

    if !has_body || matches!(response.status(), NO_CONTENT | NOT_MODIFIED) {
        return Ok(0);
    }
    response
        .header("content-length")
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| ResponseError::MissingLength.into())
}
