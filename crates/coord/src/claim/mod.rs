//! Claims, which ensure that a request runs at most once.
//!
//! The claim object is named after team, route and idempotency key. The entry
//! that creates it is the only one that may dispatch the request. A claim never
//! changes its owner: if the owner crashes, the outcome stays unknown and the
//! request is not run again.

mod machine;

pub use machine::{Abandoned, Claiming, Owned, Progress, Settling, Step};

use serde::{Deserialize, Serialize};
use types::{Fingerprint, InstanceId, TeamName};

/// The stored value of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Identifies the submission that created the claim.
    pub nonce: String,
    /// The entry that owns the claim.
    pub owner: InstanceId,
    /// Digest of route and body, which detects a key that is reused for another
    /// request.
    pub content: Fingerprint,
    /// Time of creation by the owner's clock, in milliseconds since the Unix
    /// epoch.
    pub created_unix_ms: u64,
    /// Time from the creation until the owner aborts the request, in
    /// milliseconds.
    pub deadline_ms: u64,
    /// Result of the request; `None` while it is in progress, and after a crash
    /// of the owner.
    pub outcome: Option<Outcome>,
}

/// Result of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran; holds the complete response.
    Answer {
        /// HTTP status of the response.
        status: u16,
        /// `content-type` of the body, if it had one.
        content_type: Option<String>,
        /// Body of the response, which is UTF-8 text.
        body: String,
    },
    /// The request ran; the response was not stored, because it is larger than
    /// [`STORED_RESPONSE_MAX_BYTES`] or not text.
    AnswerDigest {
        /// HTTP status of the response.
        status: u16,
        /// BLAKE3 digest of the body, in hexadecimal.
        body_digest: String,
    },
    /// The request may have run; its response is not known.
    Unknown,
}

/// Largest response body that a claim stores; of a larger one it stores the
/// digest.
pub const STORED_RESPONSE_MAX_BYTES: usize = 64 * 1024;

/// State of an existing claim, from the view of a new submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExistingClaim {
    /// The key was used for a request with another route or body.
    KeyReused,
    /// The owner is still processing the request.
    InProgress,
    /// The request may have run, and its result can't be determined any more.
    OutcomeUnknown,
    /// The request ran with this outcome.
    Ran(Outcome),
}

impl ClaimRecord {
    /// Returns the state of this claim for a new submission of `content`.
    ///
    /// `now_unix_ms` is the reader's clock. It only distinguishes
    /// [`ExistingClaim::InProgress`] from [`ExistingClaim::OutcomeUnknown`],
    /// neither of which lets the request run again.
    pub fn evaluate(&self, content: Fingerprint, now_unix_ms: u64) -> ExistingClaim {
        /// Tolerance for the difference between the clocks of two processes.
        const CLOCK_SKEW_TOLERANCE_MS: u64 = 5_000;

        if self.content != content {
            return ExistingClaim::KeyReused;
        }
        match &self.outcome {
            Some(Outcome::Unknown) => ExistingClaim::OutcomeUnknown,
            Some(outcome) => ExistingClaim::Ran(outcome.clone()),
            None => {
                let expires_at_unix_ms = self
                    .created_unix_ms
                    .saturating_add(self.deadline_ms)
                    .saturating_add(CLOCK_SKEW_TOLERANCE_MS);
                if now_unix_ms > expires_at_unix_ms {
                    return ExistingClaim::OutcomeUnknown;
                }
                ExistingClaim::InProgress
            }
        }
    }
}

/// Kind of the claim objects.
pub const CLAIM_KIND: &str = "claim";

/// Returns the name of the claim object of an idempotency key. It is a hash of
/// team, route and key, so equal keys of different teams or routes are distinct.
pub fn claim_name(team: &TeamName, route: &str, idempotency_key: &str) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in [team.as_str(), route, idempotency_key] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.finalize().to_hex().to_string()
}
