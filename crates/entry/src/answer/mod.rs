//! The upstream's answer on its way to the caller.

pub(crate) mod sse;

mod call;
mod form;
mod relay;
mod stream;
mod whole;

pub(crate) use call::read_call;
pub(crate) use form::{AnswerForm, UpstreamAnswer};
pub(crate) use relay::Relay;
pub(crate) use stream::StreamBody;
pub(crate) use whole::read_whole;
