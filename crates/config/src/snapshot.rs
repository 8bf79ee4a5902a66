//! An applied configuration with look-up tables for the request path.

use indexmap::IndexMap;
use types::{Generation, ModelName, TeamName, UpstreamName};

use crate::{key_index::KeyIndex, Document};

/// A validated document with its generation and look-up tables.
///
/// # Invariants
///
/// A snapshot is immutable; a process replaces it as a whole, and only by one
/// with a higher generation.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// Generation of the configuration; 0 if none has been applied yet.
    pub generation: Generation,
    /// Document that the look-up tables were built from.
    pub document: Document,
    teams_by_key: KeyIndex,
    upstreams_by_model: IndexMap<ModelName, UpstreamName>,
}

impl Snapshot {
    /// Builds the look-up tables of a validated document.
    pub fn new(generation: Generation, document: Document) -> Self {
        let mut upstreams_by_model = IndexMap::new();
        for (name, upstream) in &document.upstreams {
            for model in &upstream.models {
                upstreams_by_model.insert(model.clone(), name.clone());
            }
        }
        let teams_by_key = KeyIndex::new(&document);
        Self {
            generation,
            document,
            teams_by_key,
            upstreams_by_model,
        }
    }

    /// Returns the team that owns an API key, if any. Only digests are
    /// compared; the comparison of whole digests takes constant time.
    pub fn team_of_key(&self, api_key: &str) -> Option<&TeamName> {
        self.teams_by_key.team_of(api_key)
    }

    /// Returns the upstream that serves a model, if any.
    pub fn upstream_of_model(&self, model: &str) -> Option<&UpstreamName> {
        self.upstreams_by_model.get(model)
    }
}

/// Returns the digest of an API key as the document stores it: BLAKE3 in
/// hexadecimal.
pub fn key_digest(api_key: &str) -> String {
    blake3::hash(api_key.as_bytes()).to_hex().to_string()
}
