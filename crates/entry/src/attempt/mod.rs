//! One request's attempts: choose, dispatch, and try elsewhere where that is safe.

mod answer;
mod connector;
mod recall;
mod sending;
mod session;
mod transport;

pub(crate) use answer::OpenAnswer;
pub(crate) use recall::is_alive;
pub(crate) use session::Session;
pub(crate) use transport::Transport;
