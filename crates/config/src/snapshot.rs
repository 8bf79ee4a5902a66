//! A configuration in force, indexed for the request path.

use indexmap::IndexMap;
use types::{Generation, ModelName, TeamName, UpstreamName};

use crate::{key_index::KeyIndex, Document};

/// A validated document with its generation and look-up tables.
///
/// # Invariants
///
/// Immutable; a process replaces the whole snapshot, and only by one with a
/// higher generation.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// Number of this configuration; 0 before the first one.
    pub generation: Generation,
    /// The document.
    pub document: Document,
    teams_by_key: KeyIndex,
    upstreams_by_model: IndexMap<ModelName, UpstreamName>,
}

impl Snapshot {
    /// Indexes a validated document.
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

    /// The team that an API key belongs to. Only digests are compared, and in
    /// constant time.
    pub fn team_of_key(&self, api_key: &str) -> Option<&TeamName> {
        self.teams_by_key.team_of(api_key)
    }

    /// The upstream that serves a model.
    pub fn upstream_of_model(&self, model: &str) -> Option<&UpstreamName> {
        self.upstreams_by_model.get(model)
    }
}

/// Digest of an API key as stored in the document: BLAKE3, hexadecimal.
pub fn key_digest(api_key: &str) -> String {
    blake3::hash(api_key.as_bytes()).to_hex().to_string()
}
