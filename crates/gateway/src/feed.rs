//! Where configurations and instances come from.

use std::{sync::Arc, time::Duration};

use store::{BoxFuture, StoreError};

/// An object of the platform after decoding.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedEntry<T> {
    /// It is there.
    Present(T),
    /// It was removed.
    Removed {
        /// Its name.
        name: Arc<str>,
    },
    /// It is there, but its content is not as agreed.
    Unreadable {
        /// Its name.
        name: Arc<str>,
        /// What is wrong with it.
        reason: String,
    },
}

/// Objects as of one revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing<T> {
    /// All objects of a list, or those of a watch that changed, in order.
    pub entries: Vec<FeedEntry<T>>,
    /// Where to go on watching.
    pub revision: u64,
}

/// What a watch has brought.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchResult<T> {
    /// Changes since the revision asked for; none if the wait ran out.
    Changes(Listing<T>),
    /// The changes since that revision are not kept any more: list again.
    HistoryLost,
}

/// A kind of objects at the platform.
pub trait Feed<T>: Send + Sync {
    /// All objects now.
    fn list(&self) -> BoxFuture<'_, Result<Listing<T>, StoreError>>;

    /// The changes after a revision, as soon as there is one, or none after
    /// `wait`.
    fn watch(
        &self,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<WatchResult<T>, StoreError>>;
}
