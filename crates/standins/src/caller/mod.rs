//! A client that verifies its responses token by token.
//!
//! The simulated engines derive a completion from the prompt alone
//! ([`crate::completion`]), so a caller can compute the expected response and
//! detect missing, repeated and foreign tokens.

mod check;
mod exchange;
mod outcome;

pub use exchange::{Caller, ChatRequest, ServiceCall};
pub use outcome::{Outcome, Reply};
