//! Which headers go from one connection to the next.

use http::{header, HeaderMap, HeaderName, HeaderValue};
use trillium::Conn;

/// Headers that concern one connection only, or that are set anew from the
/// body that is sent.
const CONNECTION_HEADERS: &[&str] = &[
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

/// Whether a header concerns one connection only.
pub(crate) fn is_of_connection(name: &str) -> bool {
    CONNECTION_HEADERS.contains(&name)
}

/// All headers of a caller's request.
pub(crate) fn of_request(conn: &Conn) -> HeaderMap {
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

/// Leaves out what concerns the caller's connection only.
pub(crate) fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .filter(|name| name != "host")
        .collect();
    for name in CONNECTION_HEADERS {
        headers.remove(*name);
    }
    for name in named {
        headers.remove(name.as_str());
    }
    headers
}
