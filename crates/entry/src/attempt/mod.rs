//! One request's attempts: choose, dispatch, and try elsewhere where that is safe.

mod dispatch;
mod open_answer;
mod recall;
mod session;
mod transport;

pub(crate) use open_answer::OpenAnswer;
pub(crate) use recall::is_alive;
pub(crate) use session::Session;
pub(crate) use transport::Transport;
