//! A lease in force, and the permission to act on it.

use types::TimeMs;

use super::{LeaseRecord, Timing};

/// A process that holds the lease.
#[derive(Clone, Debug)]
pub(super) struct Holder {
    version: u64,
    record: LeaseRecord,
    /// Own time right before the last write was sent.
    written_at: TimeMs,
}

/// Permission for one order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Number that goes with the order.
    pub fencing: u64,
    /// Time by which the order must have taken effect; afterwards it is
    /// given up, not repeated.
    pub finish_by: TimeMs,
}

impl Holder {
    pub(super) fn new(version: u64, record: LeaseRecord, written_at: TimeMs) -> Self {
        Self {
            version,
            record,
            written_at,
        }
    }

    pub(super) fn permit(&self, now: TimeMs, timing: &Timing) -> Option<Permit> {
        let ends_at = self.written_at + timing.duration_ms.saturating_sub(timing.margin_ms);
        let finish_by = now + timing.longest_order_ms;
        if finish_by > ends_at {
            return None;
        }
        Some(Permit {
            fencing: self.record.term,
            finish_by,
        })
    }

    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Whether this is the lease stored under `version`.
    pub(super) fn is(&self, version: u64) -> bool {
        self.version == version
    }

    /// The value that renews this lease; `write` numbers the write.
    pub(super) fn renewal(&self, write: u64) -> LeaseRecord {
        LeaseRecord {
            write,
            ..self.record.clone()
        }
    }

    pub(super) fn written_at(&self) -> TimeMs {
        self.written_at
    }
}
