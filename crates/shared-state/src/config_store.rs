//! The configuration objects in the platform's store.

use std::sync::Arc;

use config::{canonical_text, digest_of, Head, ShardError, ShardTexts};
use store::{Condition, Key, ObjectStore, StoreError};

/// Kind of the head object.
pub const HEAD_KIND: &str = "config-head";
/// Name of the head object.
pub const HEAD_NAME: &str = "current";
/// Kind of the shard objects, which are named by their digest.
pub const SHARD_KIND: &str = "config-shard";

/// A configuration could not be read from the store.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// The store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The head object is not readable.
    #[error("the head object can't be read: {0}")]
    Head(String),
    /// The shards do not make up a valid configuration.
    #[error(transparent)]
    Objects(#[from] ShardError),
}

/// The head with the version of its object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredHead {
    /// Version of the object.
    pub version: u64,
    /// The head.
    pub head: Head,
}

/// Key of the head object.
pub fn head_key() -> Key {
    Key::new(HEAD_KIND, HEAD_NAME)
}

/// Key of a shard object.
pub fn shard_key(digest: &str) -> Key {
    Key::new(SHARD_KIND, digest)
}

/// Parses a head object's value.
///
/// # Errors
///
/// [`ReadError::Head`] when it is none.
pub fn parse_head(value: &serde_json::Value) -> Result<Head, ReadError> {
    serde_json::from_value(value.clone()).map_err(|error| ReadError::Head(error.to_string()))
}

/// Reads the head; `None` before the first submission.
///
/// # Errors
///
/// [`ReadError`] when the store fails or the object is no head.
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

/// Reads the shards of a head, without those in `known`; returns all of them.
///
/// # Errors
///
/// [`ReadError`] when the store fails, or a shard is missing or altered.
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

/// Writes shards that `parent` does not name. Writing one that exists already
/// changes nothing, so a lost answer is settled by writing again.
///
/// # Errors
///
/// [`StoreError`] when a shard may not have been written.
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
        // The text was made from a value: it parses.
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
