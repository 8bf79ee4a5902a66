//! Attempts of a request: choosing an instance, dispatching to its agent, and
//! retrying on another instance when a repeated execution is ruled out or
//! harmless.

mod dispatch;
mod open_response;
mod recall;
mod session;
mod transport;

pub(crate) use open_response::OpenResponse;
pub(crate) use recall::is_alive;
pub(crate) use session::Session;
pub(crate) use transport::Transport;
