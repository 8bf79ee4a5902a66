//! Bounds on a request's head.

use trillium::Conn;
use types::ErrorCode;

use crate::failure::Failure;

/// Headers of a request at most.
const HEADERS_MAX: usize = 100;
/// Names and values of all headers together at most, in bytes.
const HEADERS_MAX_BYTES: usize = 16 << 10;

/// Checks the number and size of the headers.
///
/// # Errors
///
/// `headers_too_large` beyond the bounds.
pub(crate) fn check_head(conn: &Conn) -> Result<(), Failure> {
    let mut count = 0;
    let mut size_bytes = 0;
    for (name, values) in conn.request_headers() {
        for value in values.iter() {
            count += 1;
            size_bytes += name.as_ref().len() + value.as_ref().len();
        }
    }
    if count <= HEADERS_MAX && size_bytes <= HEADERS_MAX_BYTES {
        return Ok(());
    }
    Err(Failure::not_run(
        ErrorCode::HeadersTooLarge,
        format!("send at most {HEADERS_MAX} headers of {HEADERS_MAX_BYTES} bytes together"),
    ))
}
