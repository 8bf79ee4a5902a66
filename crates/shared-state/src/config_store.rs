//! Reads and writes the configuration objects in the platform's store.
//!
//! One head object names the digests of the shards, which hold the content.
//! Shards are immutable; a new configuration takes effect when the head is
//! replaced.

use std::sync::Arc;

use config::{canonical_text, digest_of, Head, ShardError, ShardTexts};
use store::{Condition, Key, ObjectStore, StoreError};

/// Object kind of the configuration head.
pub const HEAD_KIND: &str = "config-head";
/// Object name of the configuration head.
pub const HEAD_NAME: &str = "current";
/// Object kind of the configuration shards, which are named by their digest.
pub const SHARD_KIND: &str = "config-shard";

/// Error of reading a configuration from the store.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// A call to the store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The head object is missing although a session started from it, or can't
    /// be parsed.
    #[error("invalid configuration head object: {0}")]
    Head(String),
    /// The shards are missing or altered, or form no valid configuration.
    #[error(transparent)]
    Objects(#[from] ShardError),
}

/// A head object as it was read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredHead {
    /// Version of the object, for a conditional write.
    pub version: u64,
    /// Parsed value of the object.
    pub head: Head,
}

/// Returns the store key of the head object.
pub fn head_key() -> Key {
    Key::new(HEAD_KIND, HEAD_NAME)
}

/// Returns the store key of the shard with this digest.
pub fn shard_key(digest: &str) -> Key {
    Key::new(SHARD_KIND, digest)
}

/// Parses a head object's value.
///
/// # Errors
///
/// Returns [`ReadError::Head`] if the value is not a valid head.
pub fn parse_head(value: &serde_json::Value) -> Result<Head, ReadError> {
    serde_json::from_value(value.clone()).map_err(|error| ReadError::Head(error.to_string()))
}

/// Reads the head; returns `None` before the first submission.
///
/// # Errors
///
/// Returns [`ReadError`] if the store fails or the object is not a valid head.
pub async fn read_head(store: &dyn ObjectStore) -> Result<Option<StoredHead>, ReadError> {
    let Some(object) = store.get(&head_key()).await? else {
        return Ok(None);
    };
    let head = parse_head(&object.value)?;
    Ok(Some(StoredHead {
        version: object.version,
        head,
    }))
}

/// Returns all shards that a head names. Shards in `known` are taken from
/// there; the others are read from the store.
///
/// # Errors
///
/// Returns [`ReadError`] if the store fails, or if a shard is missing or does
/// not match its digest.
pub async fn read_shards(
    store: &dyn ObjectStore,
    head: &Head,
    known: &ShardTexts,
) -> Result<ShardTexts, ReadError> {
    let mut shards = ShardTexts::new();
    for (part, digest) in &head.shards {
        if let Some(text) = known.get(digest) {
            shards.insert(digest.clone(), text.clone());
            continue;
        }
        let text = read_shard(store, part, digest).await?;
        shards.insert(digest.clone(), text);
    }
    Ok(shards)
}

async fn read_shard(
    store: &dyn ObjectStore,
    part: &str,
    digest: &str,
) -> Result<Arc<str>, ReadError> {
    let object = store.get(&shard_key(digest)).await?;
    let (part, digest) = (part.to_string(), digest.to_string());
    let Some(object) = object else {
        return Err(ShardError::Missing { part, digest }.into());
    };
    let text = canonical_text(&object.value);
    if digest_of(&text) != digest {
        return Err(ShardError::DigestMismatch { part, digest }.into());
    }
    Ok(text.into())
}

/// Writes the shards that `parent` does not name. A shard that exists already
/// is left unchanged, so a write whose outcome is unknown can be repeated.
///
/// # Errors
///
/// Returns [`StoreError`] if a shard may not have been written.
pub(crate) async fn write_shards(
    store: &dyn ObjectStore,
    shards: &ShardTexts,
    parent: Option<&Head>,
) -> Result<(), StoreError> {
    let is_stored = |digest: &String| {
        parent.is_some_and(|head| head.shards.values().any(|stored| stored == digest))
    };
    for (digest, text) in shards {
        if is_stored(digest) {
            continue;
        }
        // The text was serialized from a JSON value, so parsing succeeds.
        let value = serde_json::from_str(text).unwrap_or_default();
        match store
            .put(&shard_key(digest), &value, Condition::Absent)
            .await
        {
            Ok(_) | Err(StoreError::Conflict) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
