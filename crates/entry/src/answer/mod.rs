//! Relays an upstream's answer to the caller, as an event stream or as a complete
//! body.

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
