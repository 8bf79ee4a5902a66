//! Limits for a request's headers.

use trillium::Conn;
use types::ErrorCode;

use crate::failure::Failure;

/// Maximum number of headers per request; each value of a repeated header counts.
const HEADERS_MAX: usize = 100;
/// Size limit for the names and values of all headers together.
const HEADERS_MAX_BYTES: usize = 16 << 10;

/// Checks the number and size of the headers.
///
/// # Errors
///
/// `headers_too_large` beyond either limit.
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
        format!("request headers exceed the limit; send at most {HEADERS_MAX} headers with {HEADERS_MAX_BYTES} bytes in total"),
    ))
}
