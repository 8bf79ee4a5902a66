//! Coordination between processes through conditional writes to the platform's
//! object store.
//!
//! A [`lease`] decides which process may send orders to an upstream instance. A
//! [`claim`] decides which entry may dispatch a request that must run at most
//! once. Both are state machines without I/O: they return the read or write to
//! make next and receive its result, so property tests can delay, lose and
//! reorder every call.

pub mod claim;
pub mod lease;
pub mod ticket_lease;

/// Result of a conditional write, as passed to the state machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The write took effect; holds the new version of the object.
    Written(u64),
    /// The condition was not met; nothing was written.
    Conflict,
    /// The store refused the write, which had no effect.
    Refused,
    /// No response: the write may have taken effect, or may do so later.
    OutcomeUnknown,
}

/// Result of a read, as passed to the state machines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadResult<R> {
    /// The object exists.
    Found {
        /// Version of the object, for a conditional write.
        version: u64,
        /// Parsed value of the object.
        record: R,
    },
    /// The object does not exist.
    Absent,
    /// The read failed, so the state of the object is not known.
    Failed,
}
