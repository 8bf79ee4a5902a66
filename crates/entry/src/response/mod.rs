//! Relays an upstream's response to the caller, as an event stream or as a complete
//! body.

pub(crate) mod sse;

mod call;
mod completion;
mod mode;
mod relay;
mod stream;

pub(crate) use call::read_call_response;
pub(crate) use completion::read_completion;
pub(crate) use mode::{ResponseMode, UpstreamResponse};
pub(crate) use relay::Relay;
pub(crate) use stream::StreamBody;
