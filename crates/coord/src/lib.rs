//! Coordination through conditional updates of the platform's objects.
//!
//! Pure state machines: a [`lease`] decides which process may order an
//! upstream instance, a [`claim`] decides which entry may dispatch a request
//! that must run at most once. They ask for reads and writes as values and
//! are told the results, so that a property test can delay, lose and reorder
//! all of them.

pub mod claim;
pub mod lease;

/// Result of a conditional write, as the machines need it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The write took effect; the object has this version now.
    Written(u64),
    /// The condition did not hold; nothing was written.
    Conflict,
    /// Refused before it took effect.
    Refused,
    /// No answer: the write may have taken effect, or may do so later.
    OutcomeUnknown,
}

/// Result of a read, as the machines need it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadResult<R> {
    /// The object exists.
    Found {
        /// Its version.
        version: u64,
        /// Its value.
        record: R,
    },
    /// The object does not exist.
    Absent,
    /// The read failed.
    Failed,
}
