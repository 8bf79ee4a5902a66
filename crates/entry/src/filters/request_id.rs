//! Request ids, which identify a request in logs and headers from the caller to
//! the engine and back.

use types::RequestId;

/// Length limit for a request id of a caller.
const REQUEST_ID_MAX_BYTES: usize = 128;

/// Returns the caller's id if it is valid, else generates one.
///
/// A valid id has 1 to 128 ASCII letters, digits, `-`, `_`, `.` or `:`, so that
/// headers, log lines and JSON can contain it without escaping.
pub fn from_header(header: Option<&str>) -> RequestId {
    match header {
        Some(text) if is_valid(text) => RequestId::from(text),
        _ => generate(),
    }
}

fn is_valid(text: &str) -> bool {
    !text.is_empty() && text.len() <= REQUEST_ID_MAX_BYTES && text.bytes().all(is_id_byte)
}

fn is_id_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':')
}

fn generate() -> RequestId {
    let random: u128 = rand::random();
    RequestId::from(format!("req-{random:032x}"))
}
