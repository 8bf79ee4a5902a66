//! Counts the bytes of control traffic that a process sends and receives.

use metrics::counter;

/// Approximate size of the HTTP head of an internal call or its response.
const HEAD_BYTES: u64 = 300;

/// Adds one message, including its HTTP head, to the metric of control traffic.
/// `direction` is `sent` or `received`.
pub(crate) fn count_bytes(direction: &'static str, body_bytes: usize) {
    counter!("limpetgw_control_bytes_total", "direction" => direction)
        .increment(HEAD_BYTES + body_bytes as u64);
}
