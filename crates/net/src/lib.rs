//! TCP as the daemons need it: listeners that take in a surge and bound what a
//! slow caller may hold, connects whose failure proves that nothing was sent,
//! and the life cycle of a process behind a balancer.

mod connector;
mod head_guard;
mod lifecycle;
mod listener;

pub use connector::{ConnectFailed, MarkingConnector};
pub use head_guard::{GuardPolicy, Guarded, HeadGuard, HeadRefusal};
pub use lifecycle::{watch_signal, InFlight, Lifecycle};
pub use listener::{listen, BACKLOG_CONNECTIONS};
