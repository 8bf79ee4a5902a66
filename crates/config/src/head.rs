//! The head object, which refers to the current shards and records the last
//! submissions.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use types::Generation;

use crate::canonical::{canonical_text, digest_of};

/// Number of submissions that the head records; older ones are dropped.
pub const SESSIONS_KEPT: usize = 64;

/// The object in the store that refers to the shards of the current
/// configuration.
///
/// # Invariants
///
/// `generation` is greater than that of the replaced head. `sessions` has
/// ascending generations and ends with the submission of this head.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Generation of the configuration.
    pub generation: Generation,
    /// Digest of the replaced head; `None` for the first head.
    pub parent: Option<String>,
    /// The last [`SESSIONS_KEPT`] submissions, oldest first.
    pub sessions: Vec<SessionEntry>,
    /// Digests of the shards, keyed by the name of the part that the shard
    /// contains: `classes`, `upstreams` or `teams-NN`.
    pub shards: IndexMap<String, String>,
}

/// A submission that was written to the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SessionEntry {
    /// Unique id of the session that submitted the configuration.
    pub session: String,
    /// Name of the operator who submitted the configuration.
    pub submitter: String,
    /// Generation that was assigned to the submission.
    pub generation: Generation,
    /// Time of the submission by the submitter's clock, in milliseconds since
    /// the Unix epoch.
    pub submitted_unix_ms: u64,
}

impl Head {
    /// Returns the digest of the head's canonical JSON text.
    pub fn digest(&self) -> String {
        digest_of(&canonical_text(&self.to_value()))
    }

    /// Returns the head as the JSON value that is stored.
    pub fn to_value(&self) -> serde_json::Value {
        // Serializing strings and numbers cannot fail.
        serde_json::to_value(self).unwrap_or_default()
    }

    /// Returns the generation assigned to a session, if it was submitted and
    /// is still recorded.
    pub fn generation_of(&self, session: &str) -> Option<Generation> {
        let mut entries = self.sessions.iter();
        let entry = entries.find(|entry| entry.session == session)?;
        Some(entry.generation)
    }

    /// Returns the submission that created this head.
    pub fn last_session(&self) -> Option<&SessionEntry> {
        self.sessions.last()
    }

    /// Returns the head that replaces `parent`. Its generation is greater than
    /// that of the parent and than `floor`, and is also set in `entry`.
    pub fn next(
        parent: Option<&Head>,
        floor: Generation,
        mut entry: SessionEntry,
        shards: IndexMap<String, String>,
    ) -> Head {
        let replaced = parent.map_or(Generation(0), |head| head.generation);
        let generation = Generation(replaced.max(floor).0 + 1);
        entry.generation = generation;
        let mut sessions = parent.map_or_else(Vec::new, |head| head.sessions.clone());
        sessions.push(entry);
        let surplus = sessions.len().saturating_sub(SESSIONS_KEPT);
        sessions.drain(..surplus);
        Head {
            generation,
            parent: parent.map(Head::digest),
            sessions,
            shards,
        }
    }
}
