//! State machine by which a process acquires, renews and releases a lease.

use types::{InstanceId, TimeMs};

use super::{
    held_lease::{HeldLease, Permit},
    LeaseRecord, Timing,
};
use crate::{ReadResult, WriteResult};

/// Action that the caller of the state machine has to take next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the lease object and pass the result to [`Lease::on_read`].
    Read,
    /// Call [`Lease::on_write_started`], write the lease object, and pass the
    /// result to [`Lease::on_written`].
    Write {
        /// Version that the object must have; `None` if it must not exist.
        if_version: Option<u64>,
        /// Value to write.
        record: LeaseRecord,
    },
    /// Do nothing until this time.
    WaitUntil(TimeMs),
}

/// State of a process that does not hold the lease.
#[derive(Clone, Debug)]
struct Follower {
    observed: Option<ObservedLease>,
    reread_at: TimeMs,
}

/// The version of the lease object that another holder wrote last.
#[derive(Clone, Debug)]
struct ObservedLease {
    version: u64,
    /// Local time just after the read that first returned this version.
    since: TimeMs,
}

/// State of a process whose write is in flight or has an unknown outcome.
#[derive(Clone, Debug)]
struct Writing {
    if_version: Option<u64>,
    /// Value to write, which differs from that of all other writes.
    record: LeaseRecord,
    /// Local time just before the write was first sent.
    started: Option<TimeMs>,
    /// The lease that the write renews; `None` for an acquisition.
    held: Option<HeldLease>,
    /// Time at which to read the object if the outcome of the write is unknown.
    read_at: Option<TimeMs>,
}

#[derive(Clone, Debug)]
enum State {
    Follower(Follower),
    Writing(Writing),
    Holder(HeldLease),
}

/// State machine of one process for one lease.
///
/// # Invariants
///
/// A permit is only given while the lease of this process can't have expired for
/// any contender. After a change of holder it is only given when no order of the
/// former holder can take effect any more, or if the engine refuses such an order
/// because of its fencing number.
#[derive(Clone, Debug)]
pub struct Lease {
    instance: InstanceId,
    nonce: String,
    timing: Timing,
    /// Whether the engine refuses orders with an outdated fencing number.
    engine_checks_fencing: bool,
    /// Number of writes prepared so far, which makes each written value unique.
    writes: u64,
    /// Highest fencing number read or written so far.
    highest_term: u64,
    /// Time before which no permit is given; never decreases.
    permits_from: TimeMs,
    state: State,
}

/// Number of times that another holder's lease is read during its duration.
const READS_PER_LEASE: u64 = 4;

impl Lease {
    /// Creates the state machine of a process that does not hold the lease.
    /// `nonce` must be unique to this run of the process.
    pub fn new(
        instance: InstanceId,
        nonce: String,
        timing: Timing,
        engine_checks_fencing: bool,
    ) -> Self {
        Self {
            instance,
            nonce,
            timing,
            engine_checks_fencing,
            writes: 0,
            highest_term: 0,
            permits_from: TimeMs(0),
            state: State::Follower(Follower {
                observed: None,
                reread_at: TimeMs(0),
            }),
        }
    }

    /// Returns the action to take next.
    pub fn next(&self, now: TimeMs) -> Step {
        match &self.state {
            State::Follower(follower) if now >= follower.reread_at => Step::Read,
            State::Follower(follower) => Step::WaitUntil(follower.reread_at),
            State::Writing(writing) => writing.next(now),
            State::Holder(holder) => {
                let renew_at = holder.written_at() + self.timing.renew_interval_ms();
                if now < renew_at {
                    return Step::WaitUntil(renew_at);
                }
                Step::Write {
                    if_version: Some(holder.version()),
                    record: holder.renewal(self.writes + 1),
                }
            }
        }
    }

    /// Records that the write returned by [`Lease::next`] is about to be sent.
    pub fn on_write_started(&mut self, now: TimeMs) {
        if let State::Holder(holder) = &self.state {
            self.state = State::Writing(self.prepare_renewal(holder.clone()));
            self.writes += 1;
        }
        if let State::Writing(writing) = &mut self.state {
            writing.started.get_or_insert(now);
        }
    }

    /// Handles the result of [`Step::Write`].
    pub fn on_written(&mut self, now: TimeMs, result: WriteResult) {
        let State::Writing(writing) = &mut self.state else {
            return;
        };
        match result {
            WriteResult::Written(version) => {
                let writing = writing.clone();
                self.become_holder(writing, version, now);
            }
            WriteResult::Conflict => self.become_follower(now),
            WriteResult::Refused | WriteResult::OutcomeUnknown => writing.read_at = Some(now),
        }
    }

    /// Handles the result of [`Step::Read`].
    pub fn on_read(&mut self, now: TimeMs, result: ReadResult<LeaseRecord>) {
        match result {
            ReadResult::Failed => self.schedule_reread(now),
            ReadResult::Absent => self.prepare_acquisition(None),
            ReadResult::Found { version, record } => self.on_found(now, version, record),
        }
    }

    /// Returns the permission to send an order now; `None` if the lease is not
    /// held or expires too soon for the longest order.
    ///
    /// The caller must call this just before each order, and again after any
    /// wait. It sends one order at a time and calls no other method until the
    /// order has ended or [`Permit::finish_by`] has passed.
    pub fn permit(&self, now: TimeMs) -> Option<Permit> {
        if now < self.permits_from {
            return None;
        }
        match &self.state {
            State::Holder(holder) => holder.permit(now, &self.timing),
            State::Writing(writing) => writing.held.as_ref()?.permit(now, &self.timing),
            State::Follower(_) => None,
        }
    }

    /// Returns the write that releases the lease, with the version that the object
    /// must have; `None` if the lease is not held or a renewal is in flight. The
    /// caller must ensure that no order is in flight.
    pub fn release(self) -> Option<(u64, LeaseRecord)> {
        let State::Holder(holder) = &self.state else {
            return None;
        };
        let record = LeaseRecord {
            released: true,
            ..holder.renewal(self.writes + 1)
        };
        Some((holder.version(), record))
    }

    fn schedule_reread(&mut self, now: TimeMs) {
        let reread_at = now + self.timing.duration_ms / READS_PER_LEASE;
        match &mut self.state {
            State::Follower(follower) => follower.reread_at = reread_at,
            State::Writing(writing) => writing.read_at = Some(reread_at),
            State::Holder(_) => {}
        }
    }

    fn on_found(&mut self, now: TimeMs, version: u64, record: LeaseRecord) {
        self.highest_term = self.highest_term.max(record.term);
        if let State::Writing(writing) = &self.state {
            if writing.record == record {
                let writing = writing.clone();
                return self.become_holder(writing, version, now);
            }
            if let Some(held) = writing
                .held
                .as_ref()
                .filter(|held| held.has_version(version))
            {
                // The renewal did not take effect, so another one is prepared.
                let writing = self.prepare_renewal(held.clone());
                self.writes += 1;
                self.state = State::Writing(writing);
                return;
            }
        }
        // No other process holds the lease: it was released, or the stored value
        // is from an earlier write of this process.
        if record.nonce == self.nonce || record.released {
            return self.prepare_acquisition(Some(version));
        }
        let since = self.first_seen(version).unwrap_or(now);
        let expires_at = since + record.duration_ms + self.timing.margin_ms;
        if now < expires_at {
            let reread_at = expires_at.min(now + record.duration_ms / READS_PER_LEASE);
            self.state = State::Follower(Follower {
                observed: Some(ObservedLease { version, since }),
                reread_at,
            });
            return;
        }
        if !self.engine_checks_fencing {
            let former_orders_end = now + record.longest_order_ms + self.timing.margin_ms;
            self.permits_from = self.permits_from.max(former_orders_end);
        }
        self.prepare_acquisition(Some(version));
    }

    /// Returns the time at which this version was first read; `None` if it was
    /// not read before.
    fn first_seen(&self, version: u64) -> Option<TimeMs> {
        let State::Follower(follower) = &self.state else {
            return None;
        };
        let observed = follower.observed.as_ref()?;
        (observed.version == version).then_some(observed.since)
    }

    fn prepare_acquisition(&mut self, if_version: Option<u64>) {
        self.writes += 1;
        let record = LeaseRecord {
            holder: self.instance.clone(),
            nonce: self.nonce.clone(),
            term: self.highest_term + 1,
            write: self.writes,
            duration_ms: self.timing.duration_ms,
            longest_order_ms: self.timing.longest_order_ms,
            released: false,
        };
        self.state = State::Writing(Writing {
            if_version,
            record,
            started: None,
            held: None,
            read_at: None,
        });
    }

    fn prepare_renewal(&self, held: HeldLease) -> Writing {
        Writing {
            if_version: Some(held.version()),
            record: held.renewal(self.writes + 1),
            started: None,
            held: Some(held),
            read_at: None,
        }
    }

    fn become_holder(&mut self, writing: Writing, version: u64, now: TimeMs) {
        self.highest_term = self.highest_term.max(writing.record.term);
        let started = writing.started.unwrap_or(now);
        self.state = State::Holder(HeldLease::new(version, writing.record, started));
    }

    fn become_follower(&mut self, now: TimeMs) {
        self.state = State::Follower(Follower {
            observed: None,
            reread_at: now,
        });
    }
}

impl Writing {
    fn next(&self, now: TimeMs) -> Step {
        match self.read_at {
            Some(at) if now < at => Step::WaitUntil(at),
            Some(_) => Step::Read,
            None => Step::Write {
                if_version: self.if_version,
                record: self.record.clone(),
            },
        }
    }
}
