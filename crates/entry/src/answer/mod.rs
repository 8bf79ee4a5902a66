//! The upstream's answer on its way to the caller.

pub(crate) mod sse;

mod call;
mod completion;
mod format;
mod relay;
mod stream;

pub(crate) use call::read_call;
pub(crate) use completion::read_completion;
pub(crate) use format::{AnswerFormat, UpstreamAnswer};
pub(crate) use relay::Relay;
pub(crate) use stream::StreamBody;
