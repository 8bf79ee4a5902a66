//! Interfaces to the platform that the duties need; its adapter implements them.

use std::sync::Arc;

use coord::ticket_lease::{ListedTicket, Ticket};
use policy::metering::{Window, WindowCounts};
use store::{BoxFuture, Era, StoreError};
use types::InstanceId;

/// A window with its fixed counts, `None` if these can't be read.
pub type FixedWindow = (Window, Option<WindowCounts>);

/// Tickets of the lease and fixed counts in the platform's store.
pub trait DutyStore: Send + Sync {
    /// Returns the latest era of the store's history that any response has named.
    fn era(&self) -> Era;

    /// Returns all tickets; not stale.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store did not answer.
    fn list_tickets(&self) -> BoxFuture<'_, Result<Vec<ListedTicket>, StoreError>>;

    /// Returns the tickets that have changed since the last list or check. They may
    /// be stale, and deletions are left out.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store did not answer, or not with these changes.
    fn check_tickets(&self) -> BoxFuture<'_, Result<Vec<ListedTicket>, StoreError>>;

    /// Creates a ticket. Returns `false` if it exists.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store did not confirm the write.
    fn create_ticket<'a>(
        &'a self,
        name: &'a str,
        ticket: &'a Ticket,
    ) -> BoxFuture<'a, Result<bool, StoreError>>;

    /// Replaces a ticket. Returns `false` if it does not exist.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store did not confirm the write.
    fn replace_ticket<'a>(
        &'a self,
        name: &'a str,
        ticket: &'a Ticket,
    ) -> BoxFuture<'a, Result<bool, StoreError>>;

    /// Deletes a ticket, if it exists.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store did not confirm it.
    fn delete_ticket<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<(), StoreError>>;

    /// Fixes the counts of a window. Returns `false` if they are fixed already,
    /// possibly with other values.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store did not confirm the write.
    fn fix_window<'a>(
        &'a self,
        window: Window,
        counts: &'a WindowCounts,
    ) -> BoxFuture<'a, Result<bool, StoreError>>;

    /// Returns all windows with fixed counts; `None` for counts that can't be read.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store did not answer.
    fn fixed_windows(&self) -> BoxFuture<'_, Result<Vec<FixedWindow>, StoreError>>;

    /// Deletes the fixed counts of a window, if they exist.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store did not confirm it.
    fn delete_window(&self, window: Window) -> BoxFuture<'_, Result<(), StoreError>>;
}

/// Who makes a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyCaller {
    /// Gateway that holds the lease.
    pub holder: InstanceId,
    /// Fencing token of the lease.
    pub token: u64,
}

/// Error of a call to the platform's API.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DutyError {
    /// The API answered that it can't take the call now.
    #[error("busy: status {0}")]
    Busy(u16),
    /// The API rejected the call.
    #[error("rejected: status {0}")]
    Rejected(u16),
    /// The call was not answered, and may have arrived.
    #[error("not answered: {0}")]
    Unanswered(String),
}

/// The platform's API for duties.
pub trait DutyApi: Send + Sync {
    /// Reports the counts of a window. The caller drops the future when the call
    /// must not arrive any more.
    ///
    /// # Errors
    ///
    /// [`DutyError`] if the API did not confirm the report.
    fn report_usage<'a>(
        &'a self,
        caller: &'a DutyCaller,
        window: Window,
        counts: &'a WindowCounts,
    ) -> BoxFuture<'a, Result<(), DutyError>>;
}

/// Creates the client for the API at an address (`IP:port`).
pub type DutyApiFactory = Arc<dyn Fn(&str) -> Arc<dyn DutyApi> + Send + Sync>;
