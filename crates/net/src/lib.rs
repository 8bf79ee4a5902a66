//! TCP as the daemons need it: listeners that take in a surge and bound what a
//! slow caller may hold, connects whose failure proves that nothing was sent,
//! and the life cycle of a process behind a balancer.

mod connection_guard;
mod connector;
mod lifecycle;
mod listener;

pub use connection_guard::{ConnectionGuard, GuardPolicy, GuardedConnection, HeadRejection};
pub use connector::{ConnectFailed, TimeoutConnector};
pub use lifecycle::{watch_signal, InFlight, Lifecycle};
pub use listener::{listen, BACKLOG_CONNECTIONS};
