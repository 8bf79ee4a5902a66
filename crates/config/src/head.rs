//! The head object: which shards are in force, and who submitted them.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use types::Generation;

use crate::canonical::{canonical_text, digest_of};

/// Sessions that the head remembers.
pub const SESSIONS_KEPT: usize = 64;

/// The one small object that names the configuration in force.
///
/// # Invariants
///
/// `generation` is above that of the head it replaced, and `sessions`
/// holds the last sessions with rising generations, this one last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Number of the configuration.
    pub generation: Generation,
    /// Digest of the head that this one replaced; `None` for the first.
    pub parent: Option<String>,
    /// The last submissions, oldest first.
    pub sessions: Vec<SessionEntry>,
    /// Digests of the shards by the part of the document that they hold.
    pub shards: IndexMap<String, String>,
}

/// A submission that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SessionEntry {
    /// Unique id of the operator's session.
    pub session: String,
    /// Who submitted it.
    pub submitter: String,
    /// Generation that it became.
    pub generation: Generation,
    /// When, in milliseconds since the Unix epoch, by the submitter's clock.
    pub submitted_unix_ms: u64,
}

impl Head {
    /// Digest of the head's canonical form.
    pub fn digest(&self) -> String {
        digest_of(&canonical_text(&self.to_value()))
    }

    /// The head as an object's value.
    pub fn to_value(&self) -> serde_json::Value {
        // A struct of texts and numbers: serialization can't fail.
        serde_json::to_value(self).unwrap_or_default()
    }

    /// The generation that a session became, if it took effect and is still
    /// remembered.
    pub fn generation_of(&self, session: &str) -> Option<Generation> {
        let mut entries = self.sessions.iter();
        let entry = entries.find(|entry| entry.session == session)?;
        Some(entry.generation)
    }

    /// The submission that this head came from.
    pub fn last_session(&self) -> Option<&SessionEntry> {
        self.sessions.last()
    }

    /// The head that replaces `parent` with other shards. Its generation is
    /// above the parent's and above `floor`; that of `entry` is filled in.
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
