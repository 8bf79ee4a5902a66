//! Errors of starting and controlling a cluster.

/// Error of starting, calling or stopping a process.
#[derive(Debug, thiserror::Error)]
pub enum HarnessError {
    /// The executable of a program was not found.
    #[error("{path} does not exist; build it with `cargo build --workspace`")]
    MissingProgram {
        /// Path at which the executable was expected.
        path: String,
    },
    /// An operation of the operating system failed.
    #[error("{what}: {source}")]
    Io {
        /// Operation that failed, such as `killing agent-0`, or the path of the file
        /// that could not be read.
        what: String,
        /// Error returned by the operating system.
        source: std::io::Error,
    },
    /// A process did not report its listen address in time.
    #[error("{name} did not report its listen address ({reason}); end of its log:\n{log}")]
    NotListening {
        /// Name of the process, such as `engine-0`.
        name: String,
        /// Whether the timeout passed or the output of the process was closed.
        reason: String,
        /// Last 20 lines of its standard output and error.
        log: String,
    },
    /// The cluster has no process with this name, or not one of the required
    /// role.
    #[error("the cluster has no suitable process named {0}")]
    UnknownName(String),
    /// An HTTP call to a process failed.
    #[error("{url}: {reason}")]
    Call {
        /// URL of the call, with the address of the process.
        url: String,
        /// Error, or unexpected status and body.
        reason: String,
    },
    /// A condition was not met within its timeout.
    #[error("timed out after {timeout_ms} ms waiting for {what}; last observed: {last_seen}")]
    Timeout {
        /// Condition that was awaited, such as `readiness of agent-0`.
        what: String,
        /// Time for which the condition was awaited, in milliseconds.
        timeout_ms: u128,
        /// State at the end of the timeout: a status, an error, an outcome or the end
        /// of a log.
        last_seen: String,
    },
    /// A configuration document could not be submitted.
    #[error("submitting the configuration failed: {0}")]
    Config(String),
}

impl HarnessError {
    /// Returns a function that wraps an I/O error with the operation that failed.
    pub(crate) fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> Self {
        let what = what.into();
        move |source| HarnessError::Io { what, source }
    }
}
