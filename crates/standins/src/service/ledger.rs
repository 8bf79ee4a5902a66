//! The record of each run, by which tests judge "at most once".
//!
//! Each line goes to standard output before the run goes on, so that whoever
//! started the service has the ledger of a crashed process too.

use serde::{Deserialize, Serialize};

/// One run of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The `x-request-id` of the call.
    pub request_id: String,
    /// The `idempotency-key` of the call; empty if it has none.
    pub idempotency_key: String,
    /// Method and path with query.
    pub path: String,
    /// BLAKE3 digest of the body, hexadecimal.
    pub body_digest: String,
    /// Whether the run has begun; true in every line.
    pub started: bool,
    /// Whether the run came to its end.
    pub finished: bool,
}

/// A line that the service prints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerLine {
    /// Number of the run within the process.
    pub number: usize,
    /// The run as it is now.
    pub run: Run,
}

/// All runs in the order in which they started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// The runs.
    pub runs: Vec<Run>,
}

impl Ledger {
    /// Notes that a run has begun.
    pub(crate) fn start(&mut self, run: Run) -> LedgerLine {
        self.runs.push(run.clone());
        LedgerLine {
            number: self.runs.len() - 1,
            run,
        }
    }

    /// Notes that a run came to its end.
    pub(crate) fn finish(&mut self, number: usize) -> Option<LedgerLine> {
        let run = self.runs.get_mut(number)?;
        run.finished = true;
        Some(LedgerLine {
            number,
            run: run.clone(),
        })
    }

    /// The runs of an idempotency key.
    pub fn runs_of_key<'a>(&'a self, idempotency_key: &'a str) -> impl Iterator<Item = &'a Run> {
        self.runs
            .iter()
            .filter(move |run| run.idempotency_key == idempotency_key)
    }
}
