//! Execution status of a request, which decides whether a retry is safe.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request was executed, as far as is known.
///
/// # Invariants
///
/// `NotRun` requires proof: no byte of the request reached an upstream's agent,
/// or that agent removed the request from its queue before it started. Every
/// uncertain case is `MayHaveRun`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The request did not run and will not run; a retry is safe.
    NotRun,
    /// The request may have run, partly or completely.
    MayHaveRun,
    /// The request ran to completion.
    Ran,
}

impl Verdict {
    /// Returns the stable text form: `not_run`, `may_have_run` or `ran`.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not_run",
            Verdict::MayHaveRun => "may_have_run",
            Verdict::Ran => "ran",
        }
    }

    /// Combines the verdicts of two attempts of one request.
    ///
    /// `Ran` takes precedence over `MayHaveRun`, and that over `NotRun`: one
    /// uncertain attempt makes the request uncertain.
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
