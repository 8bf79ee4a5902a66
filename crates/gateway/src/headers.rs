//! Extracts request headers and removes those that must not be forwarded.

use http::{header, HeaderMap, HeaderName, HeaderValue};
use trillium::Conn;

/// Hop-by-hop headers, and headers that the HTTP library derives from the body
/// when it forwards a message.
const HOP_BY_HOP_HEADERS: &[&str] = &[
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns whether a header (lower-case name) must not be forwarded.
pub(crate) fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP_HEADERS.contains(&name)
}

/// Copies the headers of a caller's request; names or values that are not
/// valid HTTP are skipped.
pub(crate) fn from_conn(conn: &Conn) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(16);
    for (name, values) in conn.request_headers() {
        let Ok(name) = HeaderName::from_bytes(name.as_ref().as_bytes()) else {
            continue;
        };
        for value in values {
            if let Ok(value) = HeaderValue::from_bytes(value.as_ref()) {
                headers.append(name.clone(), value);
            }
        }
    }
    headers
}

/// Removes hop-by-hop headers, including those that `connection` lists. `host`
/// is kept even if listed.
pub(crate) fn without_hop_by_hop(mut headers: HeaderMap) -> HeaderMap {
    let connection_options: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .filter(|name| name != "host")
        .collect();
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(*name);
    }
    for name in connection_options {
        headers.remove(name.as_str());
    }
    headers
}
