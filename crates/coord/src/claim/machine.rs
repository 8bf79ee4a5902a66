//! State machine of a claim.
//!
//! A submission is first [`Claiming`]. It then either becomes [`Owned`], and
//! after the dispatch [`Settling`], or is refused; it is [`Abandoned`] if its
//! claim may still be created.

use super::{ClaimRecord, ExistingClaim, Outcome};
use crate::{ReadResult, WriteResult};

/// Maximum number of failed store calls of one submission while it attempts to
/// create its claim; it is refused after them.
const MAX_CREATE_ATTEMPTS: u32 = 3;
/// Maximum number of attempts at the last write of a claim.
const MAX_SETTLE_ATTEMPTS: u32 = 5;

/// Store call that the caller of the state machine has to make next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Create the claim object with this value if it does not exist.
    Create(ClaimRecord),
    /// Read the claim object.
    Read,
    /// Replace the claim object if it has this version.
    Replace(u64, ClaimRecord),
    /// Delete the claim object if it has this version.
    Delete(u64),
}

/// A submission that attempts to create its claim.
#[derive(Debug)]
pub struct Claiming {
    record: ClaimRecord,
    now_unix_ms: u64,
    attempts: u32,
    reading: bool,
}

/// State of a submission after a store call.
#[derive(Debug)]
pub enum Progress {
    /// The caller makes the call [`Claiming::step`] and passes the result to
    /// [`Claiming::on_create`] or [`Claiming::on_read`].
    Continue(Claiming),
    /// This submission owns the claim and may dispatch the request.
    Owned(Owned),
    /// Another submission created the claim first.
    Existing(ExistingClaim),
    /// The store calls failed; the request was not and will not be dispatched.
    StoreUnavailable(Abandoned),
}

impl Claiming {
    /// Creates the state of a new submission. The record must have a nonce that
    /// is unique to the submission, and no outcome.
    pub fn new(record: ClaimRecord, now_unix_ms: u64) -> Self {
        Self {
            record,
            now_unix_ms,
            attempts: 0,
            reading: false,
        }
    }

    /// Returns the store call to make next.
    pub fn step(&self) -> Step {
        if self.reading {
            return Step::Read;
        }
        Step::Create(self.record.clone())
    }

    /// Handles the result of [`Step::Create`].
    pub fn on_create(mut self, result: WriteResult) -> Progress {
        self.attempts += 1;
        match result {
            WriteResult::Written(version) => self.into_owned(version),
            WriteResult::Conflict => {
                self.reading = true;
                Progress::Continue(self)
            }
            WriteResult::Refused | WriteResult::OutcomeUnknown => {
                self.reading = true;
                self.continue_or_abandon()
            }
        }
    }

    /// Handles the result of [`Step::Read`].
    pub fn on_read(mut self, result: ReadResult<ClaimRecord>) -> Progress {
        match result {
            ReadResult::Found { version, record } if record.nonce == self.record.nonce => {
                self.into_owned(version)
            }
            ReadResult::Found { record, .. } => {
                Progress::Existing(record.evaluate(self.record.content, self.now_unix_ms))
            }
            ReadResult::Absent => {
                // The create is repeated with the same nonce: if the first one
                // takes effect late, this submission still owns the claim.
                self.reading = false;
                self.continue_or_abandon()
            }
            ReadResult::Failed => {
                self.attempts += 1;
                self.continue_or_abandon()
            }
        }
    }

    fn continue_or_abandon(self) -> Progress {
        if self.attempts >= MAX_CREATE_ATTEMPTS {
            return Progress::StoreUnavailable(Abandoned {
                nonce: self.record.nonce,
                found_version: None,
            });
        }
        Progress::Continue(self)
    }

    fn into_owned(self, version: u64) -> Progress {
        Progress::Owned(Owned {
            version,
            record: self.record,
        })
    }
}

/// A submission that was refused although its create may have taken effect, or
/// may do so later.
///
/// The caller should delete the claim. Safety does not depend on it: a claim
/// that is not deleted only prevents its key from being used again.
#[derive(Debug)]
pub struct Abandoned {
    nonce: String,
    found_version: Option<u64>,
}

impl Abandoned {
    /// Returns the store call to make next.
    pub fn step(&self) -> Step {
        self.found_version.map_or(Step::Read, Step::Delete)
    }

    /// Handles the result of [`Step::Read`]. Returns `None` if the object belongs
    /// to another submission. If it is absent, the create may still take effect,
    /// so the read has to be repeated later.
    pub fn on_read(mut self, result: ReadResult<ClaimRecord>) -> Option<Self> {
        match result {
            ReadResult::Found { version, record } if record.nonce == self.nonce => {
                self.found_version = Some(version);
                Some(self)
            }
            ReadResult::Found { .. } => None,
            ReadResult::Absent | ReadResult::Failed => Some(self),
        }
    }

    /// Handles the result of [`Step::Delete`]. Returns `Some` if it has to be
    /// repeated.
    pub fn on_deleted(self, result: WriteResult) -> Option<Self> {
        match result {
            WriteResult::Written(_) | WriteResult::Conflict => None,
            WriteResult::Refused | WriteResult::OutcomeUnknown => Some(self),
        }
    }
}

/// A claim that this submission owns.
///
/// # Invariants
///
/// At most one `Owned` exists for a version of the claim object. Only its holder
/// dispatches the request, and repeats the dispatch only if the previous attempt
/// is proven not to have run.
#[derive(Debug)]
pub struct Owned {
    version: u64,
    record: ClaimRecord,
}

impl Owned {
    /// Ends the claim and stores the outcome of the request.
    pub fn settle(self, outcome: Outcome) -> Settling {
        let record = ClaimRecord {
            outcome: Some(outcome),
            ..self.record
        };
        Settling {
            step: Step::Replace(self.version, record),
            attempts: 0,
        }
    }

    /// Ends the claim of a request that is proven not to have run and not to run
    /// later. The claim is deleted, so that the key can be used again.
    pub fn release(self) -> Settling {
        Settling {
            step: Step::Delete(self.version),
            attempts: 0,
        }
    }
}

/// The last write of a claim, which stores the outcome or deletes the object.
///
/// A lost write is safe: the claim then keeps no outcome, and the request is
/// never run again.
#[derive(Debug)]
pub struct Settling {
    step: Step,
    attempts: u32,
}

impl Settling {
    /// Returns the write to make next.
    pub fn step(&self) -> &Step {
        &self.step
    }

    /// Handles the result of the write. Returns `Some` if it has to be repeated
    /// after a delay. A conflict counts as success: the repetition of a write
    /// that has taken effect ends in one.
    pub fn on_result(mut self, result: WriteResult) -> Option<Settling> {
        self.attempts += 1;
        match result {
            WriteResult::Written(_) | WriteResult::Conflict => None,
            WriteResult::Refused | WriteResult::OutcomeUnknown
                if self.attempts < MAX_SETTLE_ATTEMPTS =>
            {
                Some(self)
            }
            WriteResult::Refused | WriteResult::OutcomeUnknown => None,
        }
    }
}
