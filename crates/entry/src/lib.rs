//! The entry role: takes in callers, chooses an upstream instance for each
//! request and relays the answer.
//!
//! A request passes a fixed row of filters: identify, classify, check
//! quarantine, claim, admit, choose, dispatch, relay, settle.

mod settings;

pub use settings::Settings;

/// The entry could not run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// An address could not be bound.
    #[error("can't listen on {addr}: {reason}")]
    Listen {
        /// The address.
        addr: String,
        /// The system's word.
        reason: String,
    },
}

/// Runs an entry until it has drained after SIGTERM or an operator's drain.
///
/// # Errors
///
/// [`RunError`] when it can't start.
pub async fn run(_settings: Settings) -> Result<(), RunError> {
    Ok(())
}
