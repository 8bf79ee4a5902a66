//! A caller that checks its answers token by token.
//!
//! Engines answer as a function of the prompt alone ([`crate::completion`]), so a
//! caller knows what its own and whole answer is and can tell every way in
//! which an answer can be wrong.

mod check;
mod exchange;
mod outcome;

pub use exchange::{Caller, ChatRequest, ServiceCall};
pub use outcome::{Outcome, Reply};
