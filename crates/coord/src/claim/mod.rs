//! A claim on running a request that must run at most once.
//!
//! The claim object is named after team, route and idempotency key. The entry
//! that creates it is the only one that may dispatch the request. A claim is
//! never taken over: when its owner dies, the outcome stays unknown, and the
//! request is not run again.

mod machine;

pub use machine::{Abandoned, Claiming, Owned, Progress, Settling, Step};

use serde::{Deserialize, Serialize};
use types::{Fingerprint, InstanceId, TeamName};

/// The stored value of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Unique to one submission.
    pub nonce: String,
    /// The entry that owns the claim.
    pub owner: InstanceId,
    /// Digest of route and body.
    pub content: Fingerprint,
    /// When the claim was made, by the owner's clock, in milliseconds since 1970.
    pub created_unix_ms: u64,
    /// Time after which the owner gives the request up, in milliseconds.
    pub deadline_ms: u64,
    /// What became of the request; `None` while it is worked on.
    pub outcome: Option<Outcome>,
}

/// What became of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It ran, and this is the whole answer.
    Answer {
        /// HTTP status.
        status: u16,
        /// `content-type` of the body.
        content_type: Option<String>,
        /// The body, if it is text.
        body: String,
    },
    /// It ran; the answer was too large to keep.
    AnswerDigest {
        /// HTTP status.
        status: u16,
        /// BLAKE3 digest of the body, hexadecimal.
        body_digest: String,
    },
    /// It may have run.
    Unknown,
}

/// Largest answer that a claim keeps, in bytes.
pub const STORED_RESPONSE_MAX_BYTES: usize = 64 * 1024;

/// What an existing claim means for a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExistingClaim {
    /// The key was used for another content.
    KeyReused,
    /// The owner is working on it.
    InProgress,
    /// It may have run; nobody knows any more.
    OutcomeUnknown,
    /// It ran, with this outcome.
    Ran(Outcome),
}

impl ClaimRecord {
    /// What this existing claim means for a submission of `content`.
    ///
    /// `now_unix_ms` is the reader's clock; it only decides between two
    /// answers that both keep the request from running again.
    pub fn evaluate(&self, content: Fingerprint, now_unix_ms: u64) -> ExistingClaim {
        /// Allowance for different clocks, in milliseconds.
        const CLOCK_SLACK_MS: u64 = 5_000;

        if self.content != content {
            return ExistingClaim::KeyReused;
        }
        match &self.outcome {
            Some(Outcome::Unknown) => ExistingClaim::OutcomeUnknown,
            Some(outcome) => ExistingClaim::Ran(outcome.clone()),
            None => {
                let over_unix_ms = self
                    .created_unix_ms
                    .saturating_add(self.deadline_ms)
                    .saturating_add(CLOCK_SLACK_MS);
                if now_unix_ms > over_unix_ms {
                    return ExistingClaim::OutcomeUnknown;
                }
                ExistingClaim::InProgress
            }
        }
    }
}

/// Kind of the claim objects.
pub const CLAIM_KIND: &str = "claim";

/// Name of the claim object of an idempotency key. Keys of different teams or
/// routes never meet.
pub fn claim_name(team: &TeamName, route: &str, idempotency_key: &str) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in [team.as_str(), route, idempotency_key] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.finalize().to_hex().to_string()
}
