//! Counts what a process spends on control traffic.

use metrics::counter;

/// Size of the HTTP head of an internal call or its answer, in bytes, about.
const HEAD_BYTES: u64 = 300;

/// Counts one message; `direction` is `sent` or `received`.
pub(crate) fn count_bytes(direction: &'static str, body_bytes: usize) {
    counter!("limpetgw_control_bytes_total", "direction" => direction)
        .increment(HEAD_BYTES + body_bytes as u64);
}
