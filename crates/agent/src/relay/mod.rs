//! Relay of upstream responses: reads, validates and forwards them to the entry.

mod call;
mod completion;
mod event_validator;
mod inactivity_timer;
mod pipe;
#[cfg(test)]
mod tests;

pub(crate) use call::{run_call, ServiceCall};
pub(crate) use completion::{run_completion, Completion};
pub(crate) use event_validator::{EventValidator, Progress, ResponseError};
pub(crate) use pipe::{PipeReader, PipeWriter};
