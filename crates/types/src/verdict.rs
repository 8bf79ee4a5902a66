//! Whether a request that did not succeed may have run.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What is known about the execution of a request.
///
/// # Invariants
///
/// `NotRun` is only made where it is proved: no byte of the request reached
/// an upstream's agent, or that agent removed the request from its queue
/// before it started. Whatever is unsure is `MayHaveRun`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The request did not run and will not run; sending it again is safe.
    NotRun,
    /// The request may have run, in part or whole.
    MayHaveRun,
    /// The request ran to its end.
    Ran,
}

impl Verdict {
    /// The stable text form: `not_run`, `may_have_run` or `ran`.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not_run",
            Verdict::MayHaveRun => "may_have_run",
            Verdict::Ran => "ran",
        }
    }

    /// The verdict over several attempts of one request.
    ///
    /// One attempt that may have run makes the whole request uncertain.
    pub fn combine(self, other: Verdict) -> Verdict {
        match (self, other) {
            (Verdict::Ran, _) | (_, Verdict::Ran) => Verdict::Ran,
            (Verdict::MayHaveRun, _) | (_, Verdict::MayHaveRun) => Verdict::MayHaveRun,
            (Verdict::NotRun, Verdict::NotRun) => Verdict::NotRun,
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
