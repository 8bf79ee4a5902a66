//! Networking shared by the daemons: listeners with a backlog for bursts of
//! connections and timeouts for slow callers, a connector whose errors prove
//! that nothing was sent, and graceful shutdown behind a load balancer.

mod accept;
mod client_budget;
mod connection_guard;
mod connector;
mod lifecycle;
mod listener;
mod machine;
mod request_body;
mod request_framing;
mod status;

pub use accept::{server_config, PacedListener};
pub use client_budget::{BudgetExhausted, ClientBudget, ClientCounts, Component};
pub use connection_guard::{
    ConnectionGuard, GuardPolicy, GuardedConnection, HeadRejection, RejectionContext,
};
pub use connector::{ConnectFailed, TimeoutConnector};
pub use lifecycle::{watch_signal, InFlight, Lifecycle};
pub use listener::{listen, BACKLOG_CONNECTIONS};
pub use machine::own_machine;
pub use request_body::{read_body, BodyError};
pub use status::is_final_status;
