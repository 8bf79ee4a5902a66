//! Attempts of one request, until an instance responds or none can be tried.

mod exchange;
mod failover;
mod log;
mod receive;
mod session;

pub(crate) use exchange::Exchange;
pub(crate) use session::{Outcome, Session};
