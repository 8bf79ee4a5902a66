//! Cuts a document into content-addressed shards and puts it together again.
//!
//! Teams are spread over many shards by a hash of their name, so that a
//! change to one of thousands of teams moves one small shard to each process.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use types::{ClassName, RouteName, TeamName, UpstreamName};

use crate::{
    canonical::{canonical_text, digest_of},
    validate::ValidationError,
    CallerLimits, Class, Document, Head, Service, Team, Upstream,
};

/// Shards that the teams are spread over.
pub const TEAM_SHARDS: u8 = 64;
/// Leading part of the names of the parts that hold teams.
const TEAMS_PART: &str = "teams-";
/// Largest size of one shard as JSON text, in bytes.
pub const SHARD_MAX_BYTES: usize = 900 << 10;

/// Canonical texts of shards by their digest.
pub type ShardTexts = IndexMap<String, Arc<str>>;

/// One part of a document.
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

/// A document cut into shards.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardedDocument {
    /// Digest of the shard that holds each part.
    pub parts: IndexMap<String, String>,
    /// The shards.
    pub shards: ShardTexts,
}

/// ShardedDocument that do not make up a valid configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ShardError {
    /// A shard that the head names is not at hand.
    #[error("shard {digest} ({part}) is missing")]
    Missing {
        /// Part of the document.
        part: String,
        /// Digest that the head names.
        digest: String,
    },
    /// A shard's content does not match its digest.
    #[error("shard {digest} ({part}) has other content")]
    DigestMismatch {
        /// Part of the document.
        part: String,
        /// Digest that the head names.
        digest: String,
    },
    /// A shard can't be read.
    #[error("part {part} can't be read: {reason}")]
    Malformed {
        /// Part of the document.
        part: String,
        /// The parser's word.
        reason: String,
    },
    /// Two shards hold the same name.
    #[error("part {part} repeats {name}")]
    DuplicateName {
        /// Part of the document.
        part: String,
        /// The name.
        name: String,
    },
    /// The parts make no valid document.
    #[error(transparent)]
    Invalid(#[from] ValidationError),
    /// A part is larger than a shard may be.
    #[error("part {part} has {size_bytes} bytes, more than {SHARD_MAX_BYTES}")]
    TooLarge {
        /// Part of the document.
        part: String,
        /// Size as JSON text.
        size_bytes: usize,
    },
}

/// Cuts a document into shards.
///
/// # Errors
///
/// [`ShardError::TooLarge`] when a part does not fit an object.
pub fn split_document(document: &Document) -> Result<ShardedDocument, ShardError> {
    let mut objects = ShardedDocument {
        parts: IndexMap::new(),
        shards: IndexMap::new(),
    };
    for (part, shard) in cut(document) {
        // A struct of names and numbers: serialization can't fail.
        let value = serde_json::to_value(&shard).unwrap_or_default();
        let text = canonical_text(&value);
        let size_bytes = text.len();
        if size_bytes > SHARD_MAX_BYTES {
            return Err(ShardError::TooLarge { part, size_bytes });
        }
        let digest = digest_of(&text);
        objects.parts.insert(part, digest.clone());
        objects.shards.insert(digest, text.into());
    }
    Ok(objects)
}

/// Puts a document together from the shards that a head names.
///
/// # Errors
///
/// [`ShardError`] when a shard is missing, was altered or does not fit.
pub fn assemble_document(head: &Head, shards: &ShardTexts) -> Result<Document, ShardError> {
    assemble_document_reusing(head, shards, &Head::default(), &Document::default())
}

/// As [`assemble_document`]; takes the teams of parts that `old_head` names with
/// the same digest from `old`, which was made from it. A change to one of
/// thousands of teams then costs neither the parsing nor the memory of all
/// of them again.
///
/// # Errors
///
/// As [`assemble_document`].
pub fn assemble_document_reusing(
    head: &Head,
    shards: &ShardTexts,
    old_head: &Head,
    old: &Document,
) -> Result<Document, ShardError> {
    let is_kept = |part: &str, digest: &str| {
        part.starts_with(TEAMS_PART) && old_head.shards.get(part).is_some_and(|own| own == digest)
    };
    let mut document = Document::default();
    for (part, digest) in &head.shards {
        if !is_kept(part, digest) {
            let shard = checked_shard(part, digest, shards)?;
            merge(part, shard, &mut document)?;
        }
    }
    for (name, team) in &old.teams {
        let part = team_part(name);
        if head
            .shards
            .get(&part)
            .is_some_and(|digest| is_kept(&part, digest))
        {
            insert(&part, &mut document.teams, name.clone(), team.clone())?;
        }
    }
    document.validate()?;
    Ok(document)
}

fn cut(document: &Document) -> IndexMap<String, Shard> {
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
    format!("{TEAMS_PART}{bucket:02}")
}

fn checked_shard(part: &str, digest: &str, shards: &ShardTexts) -> Result<Shard, ShardError> {
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

fn merge(part: &str, shard: Shard, document: &mut Document) -> Result<(), ShardError> {
    extend(part, &mut document.classes, shard.classes)?;
    extend(part, &mut document.teams, shard.teams)?;
    extend(part, &mut document.upstreams, shard.upstreams)?;
    extend(part, &mut document.services, shard.services)?;
    if let Some(limits) = shard.limits {
        document.limits = limits;
    }
    Ok(())
}

fn extend<K, V>(
    part: &str,
    into: &mut IndexMap<K, V>,
    from: IndexMap<K, V>,
) -> Result<(), ShardError>
where
    K: std::hash::Hash + Eq + std::fmt::Display,
{
    for (name, item) in from {
        insert(part, into, name, item)?;
    }
    Ok(())
}

fn insert<K, V>(part: &str, into: &mut IndexMap<K, V>, name: K, item: V) -> Result<(), ShardError>
where
    K: std::hash::Hash + Eq + std::fmt::Display,
{
    if into.contains_key(&name) {
        return Err(ShardError::DuplicateName {
            part: part.to_string(),
            name: name.to_string(),
        });
    }
    into.insert(name, item);
    Ok(())
}
