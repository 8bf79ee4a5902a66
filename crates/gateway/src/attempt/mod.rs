//! The attempts of one request until an instance's answer opens or none can.

mod exchange;
mod log;
mod patience;
mod receive;
mod session;

pub(crate) use exchange::Exchange;
pub(crate) use session::{Outcome, Session};
