//! Interface to the sources of configurations and instances.
//!
//! Supports list and watch calls; the platform adapter implements it.

use std::{sync::Arc, time::Duration};

use store::{BoxFuture, StoreError};

/// State of one decoded platform object.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedEntry<T> {
    /// The object exists and was decoded.
    Present(T),
    /// The object was deleted.
    Removed {
        /// Name of the deleted object, unique within its kind.
        name: Arc<str>,
    },
    /// The object exists but could not be decoded.
    Unreadable {
        /// Name of the object; empty if it has none.
        name: Arc<str>,
        /// Decoding error, for the log.
        reason: String,
    },
}

/// Objects at one revision of the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing<T> {
    /// All objects for a list call, or the changed ones in order for a watch.
    pub entries: Vec<FeedEntry<T>>,
    /// Revision from which the next watch call continues.
    pub revision: u64,
}

/// Result of a watch call.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchResult<T> {
    /// Changes since the requested revision; empty if the wait timed out.
    Changes(Listing<T>),
    /// The store no longer retains the changes since the requested revision;
    /// the watcher must list again.
    HistoryLost,
}

/// Source of all platform objects of one kind.
pub trait Feed<T>: Send + Sync {
    /// Returns all objects at the current revision.
    fn list(&self) -> BoxFuture<'_, Result<Listing<T>, StoreError>>;

    /// Returns the changes after a revision as soon as there is one, or an
    /// empty listing after `wait`.
    fn watch(
        &self,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<WatchResult<T>, StoreError>>;

    /// Returns the changes after a revision that a replica of the store already
    /// has, without waiting. They may be seconds old, but the call is much
    /// cheaper for the store than a watch.
    fn check(&self, after: u64) -> BoxFuture<'_, Result<WatchResult<T>, StoreError>>;
}
