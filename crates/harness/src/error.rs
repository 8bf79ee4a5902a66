//! What can go wrong with a fleet.

/// A process could not be started, reached or ended.
#[derive(Debug, thiserror::Error)]
pub enum HarnessError {
    /// A program is not where it should be.
    #[error("{path} does not exist; build it with `cargo build --workspace`")]
    MissingProgram {
        /// Where it was looked for.
        path: String,
    },
    /// The system refused something.
    #[error("{what}: {source}")]
    Io {
        /// What was tried.
        what: String,
        /// The system's word.
        source: std::io::Error,
    },
    /// A process did not say where it listens.
    #[error("{name} did not say where it listens ({reason}); its log ends:\n{log}")]
    NotListening {
        /// The process.
        name: String,
        /// What was seen instead.
        reason: String,
        /// The end of its log.
        log: String,
    },
    /// No process of the fleet has this name.
    #[error("no process is called {0}")]
    UnknownName(String),
    /// A call to a process failed.
    #[error("{url}: {reason}")]
    Call {
        /// What was called.
        url: String,
        /// What was seen.
        reason: String,
    },
    /// Something did not come about in time.
    #[error("{what} not within {limit_ms} ms; seen last: {seen}")]
    Timeout {
        /// What was waited for.
        what: String,
        /// How long, in milliseconds.
        limit_ms: u128,
        /// What was seen last.
        seen: String,
    },
    /// A document could not be put in force.
    #[error("the configuration was not taken: {0}")]
    Config(String),
}

impl HarnessError {
    /// Puts what was tried before the system's word.
    pub(crate) fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> Self {
        let what = what.into();
        move |source| HarnessError::Io { what, source }
    }
}
