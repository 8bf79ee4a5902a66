//! Relaying of responses from instances to callers.

mod buffered;
mod event_buffer;
mod stream;

pub(crate) use buffered::{read_response_body, BodyError, BufferedResponse, LargeBodyPool};
pub(crate) use event_buffer::EventBuffer;
pub(crate) use stream::{OpenedStream, StreamBody};

use http::HeaderMap;
use trillium::Conn;

use crate::headers::is_hop_by_hop;

/// Copies an instance's response headers, except hop-by-hop headers, to the
/// response for the caller.
pub(crate) fn with_headers(mut conn: Conn, headers: &HeaderMap) -> Conn {
    for (name, value) in headers {
        if is_hop_by_hop(name.as_str()) {
            continue;
        }
        conn.response_headers_mut()
            .append(name.as_str().to_owned(), value.as_bytes().to_vec());
    }
    conn
}
