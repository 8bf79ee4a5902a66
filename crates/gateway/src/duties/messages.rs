//! Payloads of the link between gateways for the duties.

use peer_link::PAYLOAD_MAX_BYTES;
use policy::metering::{UsageBook, UsagePart, Window};
use serde::{Deserialize, Serialize};

/// Numbers of teams in one part that are tried, so that it fits into a frame.
const TEAMS_PER_PART: [usize; 4] = [48, 16, 4, 1];

/// Number of runs that an announcement acknowledges at most: what fits into a frame.
/// Gateways beyond it also write their counts into the store.
pub(crate) const ACKNOWLEDGED_MAX: usize = 170;

/// Payload of the topic `Usage`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct UsageMessage {
    /// Time of the sender.
    pub(crate) at_unix_ms: u64,
    pub(crate) part: UsagePart,
}

/// Payload of the topic `Duty`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum DutyMessage {
    /// The sender holds the lease.
    Holder {
        /// Time of the sender.
        at_unix_ms: u64,
        token: u64,
        /// Name and revision of the ticket.
        ticket: String,
        revision: u64,
        reported_through: Option<Window>,
        /// Lower halves of the runs whose usage the sender has heard recently.
        acknowledged: Vec<u32>,
    },
    /// The sender has given up the lease, or can't renew it.
    Released {
        token: u64,
        /// Whether the platform's API is out of the sender's reach.
        is_unreachable: bool,
    },
    /// The sender tells its time.
    Time { at_unix_ms: u64 },
}

/// Encodes a message; `None` if it does not fit into a frame.
pub(crate) fn encode<T: Serialize>(message: &T) -> Option<Vec<u8>> {
    let payload = postcard::to_allocvec(message).ok()?;
    (payload.len() <= PAYLOAD_MAX_BYTES).then_some(payload)
}

/// Encodes parts of usage; the parts come from `parts` for a maximum number of teams
/// in each.
pub(crate) fn encode_parts(
    at_unix_ms: u64,
    parts: impl Fn(usize) -> Vec<UsagePart>,
) -> Vec<Vec<u8>> {
    let encode_part = |part| encode(&UsageMessage { at_unix_ms, part });
    for teams_max in TEAMS_PER_PART {
        let payloads: Option<Vec<Vec<u8>>> =
            parts(teams_max).into_iter().map(encode_part).collect();
        if let Some(payloads) = payloads {
            return payloads;
        }
    }
    Vec::new()
}

/// Encodes what this run has counted in a window.
pub(crate) fn encode_own(book: &UsageBook, window: Window, at_unix_ms: u64) -> Vec<Vec<u8>> {
    encode_parts(at_unix_ms, |teams_max| book.own_parts(window, teams_max))
}
