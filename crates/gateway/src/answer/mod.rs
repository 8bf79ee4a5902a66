//! Answers of instances on their way to callers.

mod events;
mod stream;
mod whole;

pub(crate) use events::Events;
pub(crate) use stream::{Opened, StreamBody};
pub(crate) use whole::{read_whole, WholeAnswer};

use http::HeaderMap;
use trillium::Conn;

use crate::headers::is_of_connection;

/// Passes an instance's headers on to the caller.
pub(crate) fn with_headers(mut conn: Conn, headers: &HeaderMap) -> Conn {
    for (name, value) in headers {
        if is_of_connection(name.as_str()) {
            continue;
        }
        conn.response_headers_mut()
            .append(name.as_str().to_owned(), value.as_bytes().to_vec());
    }
    conn
}
