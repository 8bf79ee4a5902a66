//! Statuses that may end a request.

/// Lowest status of a final response. Lower ones announce another response or another
/// protocol (RFC 9110, section 15.2).
const FINAL_STATUS_MIN: u16 = 200;

/// Returns whether a response with this status ends its request, for a client that asks
/// for no other protocol. A response without a readable status has status 0.
pub fn is_final_status(status: u16) -> bool {
    status >= FINAL_STATUS_MIN
}
