//! From the upstream's answer to the entry: read, check, pass on.

mod call;
mod check;
mod completion;
mod pipe;
mod silence;
#[cfg(test)]
mod tests;

pub(crate) use call::{run_call, ServiceCall};
pub(crate) use check::{EventCheck, Mismatch, Progress};
pub(crate) use completion::{run_completion, Completion};
pub(crate) use pipe::{PipeReader, PipeWriter};
