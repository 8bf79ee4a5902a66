//! The agent role: the sole gate in front of one upstream instance.
//!
//! Everything that several entries would have to agree on about an upstream
//! instance (has a request started, is it leaving, how loaded is it) is
//! decided here, by one process with one state for each request.

mod settings;

pub use settings::Settings;

/// The agent could not run.
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

/// Runs an agent until it has drained after SIGTERM or an operator's drain.
///
/// # Errors
///
/// [`RunError`] when it can't start.
pub async fn run(_settings: Settings) -> Result<(), RunError> {
    Ok(())
}
