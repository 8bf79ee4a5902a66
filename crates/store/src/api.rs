//! Traits and types of the platform's object store and instance list.

use std::{fmt, future::Future, pin::Pin, sync::Arc, time::Duration};

use serde::{de::DeserializeOwned, Deserialize, Deserializer, Serialize};
use serde_json::value::RawValue;
use telemetry::{emit, events::StateEvent};
use types::{InstanceId, UpstreamName, ZoneName};

/// Boxed future, which keeps the traits usable as trait objects.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Identifies an object by kind and name.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    /// Kind of the object, such as `config-head`.
    pub kind: Arc<str>,
    /// Name, unique within the kind.
    pub name: Arc<str>,
}

impl Key {
    /// Creates a key from a kind and a name.
    pub fn new(kind: &str, name: &str) -> Self {
        Self {
            kind: kind.into(),
            name: name.into(),
        }
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// A stored object with its version.
#[derive(Clone, Debug, PartialEq)]
pub struct Object {
    /// Version, increased by each write. Used in [`Condition::Version`].
    pub version: u64,
    /// Value, at most 1 MB as JSON text.
    pub value: serde_json::Value,
}

/// Entry of a listing: an object without its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Name, unique within the listed kind.
    pub name: Arc<str>,
    /// Version at the time of the listing.
    pub version: u64,
}

/// Precondition of a write or delete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// No precondition.
    None,
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    Version(u64),
}

/// Error of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The precondition failed; nothing was written.
    #[error("precondition failed: the object exists or has a different version")]
    Conflict,
    /// The call had no effect: the store is unavailable or rejected it, or a
    /// rate limit, possibly that of the client, was exceeded.
    #[error("store call refused: {0}")]
    Refused(String),
    /// No valid response was received; a write may have taken effect.
    #[error("no valid response from the store: {0}")]
    OutcomeUnknown(String),
    /// The value exceeds the size limit of the store; nothing was written.
    #[error("value of {key} exceeds the size limit of the store: {size_bytes} bytes")]
    TooLarge {
        /// Key of the object, as `KIND/NAME`.
        key: String,
        /// Size of the value as JSON text, in bytes.
        size_bytes: usize,
    },
}

/// Versioned object store of the platform.
pub trait ObjectStore: Send + Sync {
    /// Reads an object. Returns `None` if it does not exist.
    fn get<'a>(&'a self, key: &'a Key) -> BoxFuture<'a, Result<Option<Object>, StoreError>>;

    /// Writes an object and returns its new version.
    fn put<'a>(
        &'a self,
        key: &'a Key,
        value: &'a serde_json::Value,
        condition: Condition,
    ) -> BoxFuture<'a, Result<u64, StoreError>>;

    /// Deletes an object. Succeeds if the object does not exist.
    fn delete<'a>(
        &'a self,
        key: &'a Key,
        condition: Condition,
    ) -> BoxFuture<'a, Result<(), StoreError>>;

    /// Lists the names and versions of all objects of a kind.
    fn list<'a>(&'a self, kind: &'a str) -> BoxFuture<'a, Result<Vec<Listed>, StoreError>>;

    /// Waits until the object has a version above `after`. Returns `None` on
    /// timeout.
    fn watch<'a>(
        &'a self,
        key: &'a Key,
        after: u64,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Option<Object>, StoreError>>;
}

/// Type of process that an instance runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts requests from callers and forwards them.
    Entry,
    /// Runs next to an instance of an upstream and schedules its requests.
    Agent,
}

/// Availability of an instance for new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// Accepts new requests.
    Live,
    /// Completes requests in flight and accepts no new ones.
    Leaving,
}

/// Entry of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Whether the instance is an entry or an agent.
    pub role: Role,
    /// Upstream that an agent serves; `None` for an entry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub upstream: Option<UpstreamName>,
    /// Availability zone in which the instance runs.
    pub zone: ZoneName,
    /// Internal address as `IP:port`.
    pub addr: Arc<str>,
    /// Availability for new requests.
    pub state: InstanceState,
}

/// Instance list at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Version, increased by each change.
    pub version: u64,
    /// Instances of all roles. Those that can't be read, such as one of a role that this
    /// version does not know, are left out.
    #[serde(deserialize_with = "readable_items")]
    pub instances: Vec<Instance>,
}

/// Reads a list and leaves out the items that can't be read, with an event for each, so
/// that one of them does not fail the whole list.
pub(crate) fn readable_items<'de, T, D>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    T: DeserializeOwned,
    D: Deserializer<'de>,
{
    let items = Vec::<Box<RawValue>>::deserialize(deserializer)?;
    let items = items.iter().enumerate();
    Ok(items
        .filter_map(|(index, item)| match serde_json::from_str(item.get()) {
            Ok(item) => Some(item),
            Err(error) => {
                metrics::counter!("limpetgw_platform_unreadable_items_total").increment(1);
                emit(&StateEvent::ListItemUnreadable {
                    index,
                    reason: error.to_string(),
                });
                None
            }
        })
        .collect())
}

/// Source of the platform's instance list. The list is eventually consistent:
/// it lags behind the actual set of instances.
pub trait InstanceSource: Send + Sync {
    /// Returns the current list if `after` is `None`, else waits until its
    /// version is above `after`. Returns `None` on timeout.
    fn instances(
        &self,
        after: Option<u64>,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<Option<InstanceList>, StoreError>>;
}
