//! A lease that this process holds, and the permits to send orders under it.

use types::TimeMs;

use super::{LeaseRecord, Timing};

/// The lease as last written by this process.
#[derive(Clone, Debug)]
pub(super) struct HeldLease {
    version: u64,
    record: LeaseRecord,
    /// Local time just before the last write was sent.
    written_at: TimeMs,
}

/// Permission to send one order to the upstream instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Fencing number to send with the order.
    pub fencing: u64,
    /// Local time by which the order must have taken effect. If it has not, it is
    /// aborted and not repeated.
    pub finish_by: TimeMs,
}

impl HeldLease {
    pub(super) fn new(version: u64, record: LeaseRecord, written_at: TimeMs) -> Self {
        Self {
            version,
            record,
            written_at,
        }
    }

    pub(super) fn permit(&self, now: TimeMs, timing: &Timing) -> Option<Permit> {
        let usable_until = self.written_at + timing.duration_ms.saturating_sub(timing.margin_ms);
        let finish_by = now + timing.longest_order_ms;
        if finish_by > usable_until {
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

    /// Returns whether `version` is the stored version of this lease.
    pub(super) fn has_version(&self, version: u64) -> bool {
        self.version == version
    }

    /// Returns the value that renews this lease; `write` is the sequence number of
    /// the write.
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
