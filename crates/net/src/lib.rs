//! TCP as the daemons need it: listeners that take in a surge, and connects
//! whose failure proves that nothing was sent.

mod connector;
mod listener;

pub use connector::{ConnectFailed, MarkingConnector};
pub use listener::{listen, BACKLOG_CONNECTIONS};
