//! Splits a document into content-addressed shards and reassembles it.
//!
//! Teams are distributed over many shards by a hash of their name, so that a
//! change to one of thousands of teams transfers only one small shard to each
//! process.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use types::{ClassName, RouteName, TeamName, UpstreamName};

use crate::{
    canonical::{canonical_text, digest_of},
    validate::ValidationError,
    CallerLimits, Class, Document, Head, Service, Team, Upstream,
};

/// Number of shards that the teams are distributed over.
pub const TEAM_SHARDS: u8 = 64;
/// Prefix of the names of the parts that contain teams.
const TEAMS_PART_PREFIX: &str = "teams-";
/// Maximum size of one shard as JSON text, in bytes.
pub const SHARD_MAX_BYTES: usize = 900 << 10;

/// Canonical JSON texts of shards, keyed by digest.
pub type ShardTexts = IndexMap<String, Arc<str>>;

/// Content of one part of a document; absent sections are empty.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Shard {
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    classes: IndexMap<ClassName, Class>,
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    teams: IndexMap<TeamName, Arc<Team>>,
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    upstreams: IndexMap<UpstreamName, Upstream>,
    #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
    services: IndexMap<RouteName, Service>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    limits: Option<CallerLimits>,
}

/// A document split into shards.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardedDocument {
    /// Digests of the shards, keyed by the name of the part that the shard
    /// contains: `classes`, `upstreams` or `teams-NN`.
    pub parts: IndexMap<String, String>,
    /// Texts of the shards that `parts` refers to.
    pub shards: ShardTexts,
}

/// An error in splitting or reassembling a document.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ShardError {
    /// A shard that the head refers to is not available.
    #[error("shard {digest} ({part}) is missing")]
    Missing {
        /// Name of the part.
        part: String,
        /// Expected digest, from the head.
        digest: String,
    },
    /// The content of a shard does not match its digest.
    #[error("content of shard {digest} ({part}) does not match its digest")]
    DigestMismatch {
        /// Name of the part.
        part: String,
        /// Expected digest, from the head.
        digest: String,
    },
    /// A shard is not valid JSON or has unknown or invalid fields.
    #[error("cannot parse part {part}: {reason}")]
    Malformed {
        /// Name of the part.
        part: String,
        /// Message of the JSON parser.
        reason: String,
    },
    /// Two shards contain an item of the same name.
    #[error("part {part} contains {name}, which another part already contains")]
    DuplicateName {
        /// Name of the part.
        part: String,
        /// Name of the item.
        name: String,
    },
    /// The reassembled document is not valid.
    #[error(transparent)]
    Invalid(#[from] ValidationError),
    /// A part exceeds [`SHARD_MAX_BYTES`].
    #[error("part {part} has {size_bytes} bytes; the maximum is {SHARD_MAX_BYTES}")]
    TooLarge {
        /// Name of the part.
        part: String,
        /// Size of the part as JSON text.
        size_bytes: usize,
    },
}

/// Splits a document into shards.
///
/// # Errors
///
/// [`ShardError::TooLarge`] if a part exceeds [`SHARD_MAX_BYTES`].
pub fn split_document(document: &Document) -> Result<ShardedDocument, ShardError> {
    let mut sharded = ShardedDocument {
        parts: IndexMap::new(),
        shards: IndexMap::new(),
    };
    for (part, shard) in split_into_parts(document) {
        // Serializing strings and numbers cannot fail.
        let value = serde_json::to_value(&shard).unwrap_or_default();
        let text = canonical_text(&value);
        let size_bytes = text.len();
        if size_bytes > SHARD_MAX_BYTES {
            return Err(ShardError::TooLarge { part, size_bytes });
        }
        let digest = digest_of(&text);
        sharded.parts.insert(part, digest.clone());
        sharded.shards.insert(digest, text.into());
    }
    Ok(sharded)
}

/// Reassembles a document from the shards that a head refers to.
///
/// # Errors
///
/// [`ShardError`] if a shard is missing or malformed, does not match its
/// digest, or the document is not valid.
pub fn assemble_document(head: &Head, shards: &ShardTexts) -> Result<Document, ShardError> {
    assemble_document_reusing(head, shards, &Head::default(), &Document::default())
}

/// Reassembles a document as [`assemble_document`] does, but reuses the teams
/// of `old` whose part has the same digest in `old_head` and `head`. `old` is
/// the document assembled from `old_head`. A change to one of thousands of
/// teams then does not parse and allocate all of them again.
///
/// # Errors
///
/// The same as [`assemble_document`].
pub fn assemble_document_reusing(
    head: &Head,
    shards: &ShardTexts,
    old_head: &Head,
    old: &Document,
) -> Result<Document, ShardError> {
    let is_unchanged = |part: &str, digest: &str| {
        part.starts_with(TEAMS_PART_PREFIX)
            && old_head
                .shards
                .get(part)
                .is_some_and(|old_digest| old_digest == digest)
    };
    let mut document = Document::default();
    for (part, digest) in &head.shards {
        if !is_unchanged(part, digest) {
            let shard = parse_shard(part, digest, shards)?;
            merge_shard(part, shard, &mut document)?;
        }
    }
    for (name, team) in &old.teams {
        let part = team_part(name);
        if head
            .shards
            .get(&part)
            .is_some_and(|digest| is_unchanged(&part, digest))
        {
            insert(&part, &mut document.teams, name.clone(), team.clone())?;
        }
    }
    document.validate()?;
    Ok(document)
}

fn split_into_parts(document: &Document) -> IndexMap<String, Shard> {
    let mut parts = IndexMap::new();
    let shard = Shard {
        classes: document.classes.clone(),
        limits: Some(document.limits.clone()),
        ..Shard::default()
    };
    parts.insert("classes".to_string(), shard);
    let shard = Shard {
        upstreams: document.upstreams.clone(),
        services: document.services.clone(),
        ..Shard::default()
    };
    parts.insert("upstreams".to_string(), shard);
    for (name, team) in &document.teams {
        let shard: &mut Shard = parts.entry(team_part(name)).or_default();
        shard.teams.insert(name.clone(), team.clone());
    }
    parts
}

fn team_part(name: &TeamName) -> String {
    let bucket = blake3::hash(name.as_str().as_bytes()).as_bytes()[0] % TEAM_SHARDS;
    format!("{TEAMS_PART_PREFIX}{bucket:02}")
}

fn parse_shard(part: &str, digest: &str, shards: &ShardTexts) -> Result<Shard, ShardError> {
    let part = part.to_string();
    let Some(text) = shards.get(digest) else {
        let digest = digest.to_string();
        return Err(ShardError::Missing { part, digest });
    };
    if digest_of(text) != digest {
        let digest = digest.to_string();
        return Err(ShardError::DigestMismatch { part, digest });
    }
    serde_json::from_str(text).map_err(|error| ShardError::Malformed {
        part,
        reason: error.to_string(),
    })
}

fn merge_shard(part: &str, shard: Shard, document: &mut Document) -> Result<(), ShardError> {
    insert_all(part, &mut document.classes, shard.classes)?;
    insert_all(part, &mut document.teams, shard.teams)?;
    insert_all(part, &mut document.upstreams, shard.upstreams)?;
    insert_all(part, &mut document.services, shard.services)?;
    if let Some(limits) = shard.limits {
        document.limits = limits;
    }
    Ok(())
}

fn insert_all<K, V>(
    part: &str,
    target: &mut IndexMap<K, V>,
    from: IndexMap<K, V>,
) -> Result<(), ShardError>
where
    K: std::hash::Hash + Eq + std::fmt::Display,
{
    for (name, item) in from {
        insert(part, target, name, item)?;
    }
    Ok(())
}

fn insert<K, V>(part: &str, target: &mut IndexMap<K, V>, name: K, item: V) -> Result<(), ShardError>
where
    K: std::hash::Hash + Eq + std::fmt::Display,
{
    if target.contains_key(&name) {
        return Err(ShardError::DuplicateName {
            part: part.to_string(),
            name: name.to_string(),
        });
    }
    target.insert(name, item);
    Ok(())
}
