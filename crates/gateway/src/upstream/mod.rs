//! Kept connections to instances, and one exchange on one of them.
//!
//! The client library of the other paths finishes reading a dropped answer in
//! the background, rewrites paths and throws surplus bytes away. Here a dropped
//! answer must stop the instance's work, a path must pass unchanged and a
//! surplus answer must never meet a later request; so this path drives the
//! connection itself.

mod connection;
mod pool;

pub(crate) use connection::{Answer, Connection, Cut, Unsent};
pub(crate) use pool::{ConnectError, Lease, Pool};
