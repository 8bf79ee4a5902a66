//! The id that follows a request from the caller to the engine and back.

use types::RequestId;

/// Longest request id taken from a caller, in bytes.
const REQUEST_ID_MAX_BYTES: usize = 128;

/// The caller's id if it is usable, else a new one.
///
/// A usable id has 1 to 128 letters, digits, `-`, `_`, `.` or `:`, so that it
/// can stand in a header, a log line and a JSON text as it is.
pub fn from_header(header: Option<&str>) -> RequestId {
    match header {
        Some(text) if is_usable(text) => RequestId::from(text),
        _ => generate(),
    }
}

fn is_usable(text: &str) -> bool {
    !text.is_empty() && text.len() <= REQUEST_ID_MAX_BYTES && text.bytes().all(is_id_byte)
}

fn is_id_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':')
}

fn generate() -> RequestId {
    let random: u128 = rand::random();
    RequestId::from(format!("req-{random:032x}"))
}
