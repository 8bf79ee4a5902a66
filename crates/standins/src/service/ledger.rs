//! Ledger of all runs, by which tests check that a call ran at most once.
//!
//! The service prints each line to standard output before the run continues,
//! so the parent process has the ledger even of a service that crashed.

use serde::{Deserialize, Serialize};

/// Ledger record of one run of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The `x-request-id` header of the call; empty if it has none.
    pub request_id: String,
    /// The `idempotency-key` header of the call; empty if it has none.
    pub idempotency_key: String,
    /// Method, a space, and the path with its query.
    pub path: String,
    /// BLAKE3 digest of the request body, in hexadecimal.
    pub body_digest: String,
    /// Whether the run has started; true in every printed line.
    pub started: bool,
    /// Whether the work of the run is done; false forever if the process crashed
    /// during the run.
    pub finished: bool,
}

/// Ledger line that the service prints at the start and the end of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerLine {
    /// Number of the run within the process, from 0.
    pub number: usize,
    /// State of the run when the line was printed.
    pub run: Run,
}

/// All runs in the order of their start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Runs in the order of their start; the index is the run's number.
    pub runs: Vec<Run>,
}

impl Ledger {
    /// Adds a run that has started; returns the line to print.
    pub(crate) fn start(&mut self, run: Run) -> LedgerLine {
        self.runs.push(run.clone());
        LedgerLine {
            number: self.runs.len() - 1,
            run,
        }
    }

    /// Marks a run as completed; returns the line to print, or `None` if the
    /// number is unknown.
    pub(crate) fn finish(&mut self, number: usize) -> Option<LedgerLine> {
        let run = self.runs.get_mut(number)?;
        run.finished = true;
        Some(LedgerLine {
            number,
            run: run.clone(),
        })
    }

    /// Returns the runs with an idempotency key; more than one means that the
    /// call was repeated.
    pub fn runs_of_key<'a>(&'a self, idempotency_key: &'a str) -> impl Iterator<Item = &'a Run> {
        self.runs
            .iter()
            .filter(move |run| run.idempotency_key == idempotency_key)
    }
}
