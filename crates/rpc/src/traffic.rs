//! Counts the bytes of the JSON-RPC calls that a process sends and receives. The
//! metric of control traffic also contains its calls to the platform.

use metrics::counter;

/// Approximate size of the HTTP head of a call or its response.
const HEAD_BYTES: u64 = 300;

/// Adds one message, including its HTTP head, to the metric of control traffic.
/// `direction` is `sent` or `received`.
pub(crate) fn count_bytes(direction: &'static str, body_bytes: usize) {
    counter!("limpetgw_control_bytes_total", "direction" => direction)
        .increment(HEAD_BYTES + body_bytes as u64);
}
