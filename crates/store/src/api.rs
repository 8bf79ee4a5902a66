//! The interface to the platform.

use std::{fmt, future::Future, pin::Pin, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use types::{InstanceId, UpstreamName, ZoneName};

/// A boxed future, so that the traits can be used as trait objects.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Names an object.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    /// Kind, as `config-head`.
    pub kind: Arc<str>,
    /// Name within the kind.
    pub name: Arc<str>,
}

impl Key {
    /// Makes a key.
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

/// A stored object.
#[derive(Clone, Debug, PartialEq)]
pub struct Object {
    /// Version; rises with each write.
    pub version: u64,
    /// The value, at most 1 MB as JSON text.
    pub value: serde_json::Value,
}

/// A line of a listing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// The object's name.
    pub name: Arc<str>,
    /// Its version.
    pub version: u64,
}

/// When a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Always.
    None,
    /// Only if the object does not exist.
    Absent,
    /// Only if the object has this version.
    Version(u64),
}

/// A failed call to the store.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The condition did not hold; nothing was written.
    #[error("the object has another version")]
    Conflict,
    /// Refused before it took effect: down or over the rate.
    #[error("the store refused the call: {0}")]
    Refused(String),
    /// No answer came; a write may have taken effect.
    #[error("the store did not answer: {0}")]
    OutcomeUnknown(String),
    /// The value is larger than the store takes; nothing was written.
    #[error("the value of {key} has {size_bytes} bytes, more than the store takes")]
    TooLarge {
        /// The object.
        key: String,
        /// Size of the value.
        size_bytes: usize,
    },
}

/// The platform's object API.
pub trait ObjectStore: Send + Sync {
    /// Reads an object; `None` if it does not exist.
    fn get<'a>(&'a self, key: &'a Key) -> BoxFuture<'a, Result<Option<Object>, StoreError>>;

    /// Writes an object and returns its new version.
    fn put<'a>(
        &'a self,
        key: &'a Key,
        value: &'a serde_json::Value,
        condition: Condition,
    ) -> BoxFuture<'a, Result<u64, StoreError>>;

    /// Deletes an object; deleting an absent one succeeds.
    fn delete<'a>(
        &'a self,
        key: &'a Key,
        condition: Condition,
    ) -> BoxFuture<'a, Result<(), StoreError>>;

    /// Lists the names and versions of a kind.
    fn list<'a>(&'a self, kind: &'a str) -> BoxFuture<'a, Result<Vec<Listed>, StoreError>>;

    /// Waits until the object has a version above `after`; `None` at the timeout.
    fn watch<'a>(
        &'a self,
        key: &'a Key,
        after: u64,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Option<Object>, StoreError>>;
}

/// What an instance does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Takes in callers.
    Entry,
    /// Stands beside an upstream instance.
    Agent,
}

/// Whether an instance takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It does.
    Live,
    /// It finishes what it has.
    Leaving,
}

/// A line of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Who.
    pub instance: InstanceId,
    /// What it does.
    pub role: Role,
    /// The upstream that an agent stands beside.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub upstream: Option<UpstreamName>,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Internal address, `IP:port`.
    pub addr: Arc<str>,
    /// Whether it takes new work.
    pub state: InstanceState,
}

/// The instance list at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Rises with each change.
    pub version: u64,
    /// All instances, of every role.
    pub instances: Vec<Instance>,
}

/// The platform's instance list, which lags behind the truth.
pub trait InstanceSource: Send + Sync {
    /// The list now (`after` is `None`), or once its version exceeds `after`;
    /// `None` at the timeout.
    fn instances(
        &self,
        after: Option<u64>,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<Option<InstanceList>, StoreError>>;
}
