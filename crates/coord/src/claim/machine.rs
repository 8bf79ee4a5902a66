//! The life cycle of a claim: claiming, owned, settling.

use super::{ClaimRecord, ExistingClaim, Outcome};
use crate::{ReadResult, WriteResult};

/// Store calls that one submission spends on an unsure create before it is
/// refused.
const CREATE_TRIES_MAX: u32 = 3;
/// Store calls spent on writing an outcome.
const SETTLE_TRIES_MAX: u32 = 5;

/// What the owner of the machine does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Create the object if it is absent.
    Create(ClaimRecord),
    /// Read the object.
    Read,
    /// Replace the object if it has this version.
    Replace(u64, ClaimRecord),
    /// Delete the object if it has this version.
    Delete(u64),
}

/// A submission that does not own the claim yet.
#[derive(Debug)]
pub struct Claiming {
    record: ClaimRecord,
    now_unix_ms: u64,
    tries: u32,
    reading: bool,
}

/// Where claiming has come to.
#[derive(Debug)]
pub enum Progress {
    /// Carry out [`Claiming::step`] and pass the result in.
    Continue(Claiming),
    /// This submission owns the claim and may dispatch.
    Owned(Owned),
    /// Another submission came first.
    Existing(ExistingClaim),
    /// The store can't be reached; the request was not dispatched and will not be.
    StoreUnavailable(Abandoned),
}

impl Claiming {
    /// Starts claiming. The record's nonce is unique to the submission, and
    /// its outcome is `None`.
    pub fn new(record: ClaimRecord, now_unix_ms: u64) -> Self {
        Self {
            record,
            now_unix_ms,
            tries: 0,
            reading: false,
        }
    }

    /// What to do next.
    pub fn step(&self) -> Step {
        if self.reading {
            return Step::Read;
        }
        Step::Create(self.record.clone())
    }

    /// Notes the result of a create.
    pub fn on_create(mut self, result: WriteResult) -> Progress {
        self.tries += 1;
        match result {
            WriteResult::Written(version) => self.own(version),
            WriteResult::Conflict => {
                self.reading = true;
                Progress::Continue(self)
            }
            WriteResult::Refused | WriteResult::OutcomeUnknown => {
                self.reading = true;
                self.unless_spent()
            }
        }
    }

    /// Notes the result of a read.
    pub fn on_read(mut self, result: ReadResult<ClaimRecord>) -> Progress {
        match result {
            ReadResult::Found { version, record } if record.nonce == self.record.nonce => {
                self.own(version)
            }
            ReadResult::Found { record, .. } => {
                Progress::Existing(record.evaluate(self.record.content, self.now_unix_ms))
            }
            ReadResult::Absent => {
                // The create is repeated with the same nonce: should the first
                // one take effect late, the claim is still this submission's.
                self.reading = false;
                self.unless_spent()
            }
            ReadResult::Failed => {
                self.tries += 1;
                self.unless_spent()
            }
        }
    }

    fn unless_spent(self) -> Progress {
        if self.tries >= CREATE_TRIES_MAX {
            return Progress::StoreUnavailable(Abandoned {
                nonce: self.record.nonce,
                found_version: None,
            });
        }
        Progress::Continue(self)
    }

    fn own(self, version: u64) -> Progress {
        Progress::Owned(Owned {
            version,
            record: self.record,
        })
    }
}

/// A submission that was refused while its create may have taken effect, or
/// may do so later.
///
/// Cleaning up is optional for safety: a claim left behind only keeps its key
/// from being used again.
#[derive(Debug)]
pub struct Abandoned {
    nonce: String,
    found_version: Option<u64>,
}

impl Abandoned {
    /// What to do next.
    pub fn step(&self) -> Step {
        self.found_version.map_or(Step::Read, Step::Delete)
    }

    /// Notes the result of a read; `None` when the object is another
    /// submission's. An absent object may still appear: read again later.
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

    /// Notes the result of the delete; `Some` if it is to be tried again.
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
/// At most one `Owned` exists for an object version; the request is only
/// dispatched by its holder, and again only after a proved "not run".
#[derive(Debug)]
pub struct Owned {
    version: u64,
    record: ClaimRecord,
}

impl Owned {
    /// Ends the claim with what became of the request.
    pub fn settle(self, outcome: Outcome) -> Settling {
        let record = ClaimRecord {
            outcome: Some(outcome),
            ..self.record
        };
        Settling {
            step: Step::Replace(self.version, record),
            tries: 0,
        }
    }

    /// Ends the claim of a request that certainly did not run and will not
    /// run, so that the key can be used again.
    pub fn release(self) -> Settling {
        Settling {
            step: Step::Delete(self.version),
            tries: 0,
        }
    }
}

/// The last write of a claim.
///
/// Losing it is safe: the claim then stays without an outcome, and the
/// request is never run again.
#[derive(Debug)]
pub struct Settling {
    step: Step,
    tries: u32,
}

impl Settling {
    /// What to do next.
    pub fn step(&self) -> &Step {
        &self.step
    }

    /// Notes the result; `Some` if the step is to be tried again after a
    /// pause. A repeated write whose first try took effect ends in a conflict,
    /// which counts as done.
    pub fn on_result(mut self, result: WriteResult) -> Option<Settling> {
        self.tries += 1;
        match result {
            WriteResult::Written(_) | WriteResult::Conflict => None,
            WriteResult::Refused | WriteResult::OutcomeUnknown if self.tries < SETTLE_TRIES_MAX => {
                Some(self)
            }
            WriteResult::Refused | WriteResult::OutcomeUnknown => None,
        }
    }
}
