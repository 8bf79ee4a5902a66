//! How a process gets and keeps a lease.

use types::{InstanceId, TimeMs};

use super::{
    holder::{Holder, Permit},
    LeaseRecord, Timing,
};
use crate::{ReadResult, WriteResult};

/// What the owner of the machine does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the object and pass the result to [`Lease::on_read`].
    Read,
    /// Write the object on this condition (`None`: it is absent) and pass the
    /// result to [`Lease::on_written`]. Call [`Lease::on_write_started`]
    /// right before.
    Write {
        /// Version that the object must have.
        if_version: Option<u64>,
        /// The value.
        record: LeaseRecord,
    },
    /// Nothing before this time.
    WaitUntil(TimeMs),
}

/// A process that does not hold the lease.
#[derive(Clone, Debug)]
struct Follower {
    seen: Option<Seen>,
    reread_at: TimeMs,
}

/// The lease of another holder, as first seen at one version.
#[derive(Clone, Debug)]
struct Seen {
    version: u64,
    /// Own time right after the read that first showed this version.
    since: TimeMs,
}

/// A process whose write is under way or unsettled.
#[derive(Clone, Debug)]
struct Writing {
    if_version: Option<u64>,
    /// The value; no other write of any process has the same one.
    record: LeaseRecord,
    /// Own time right before the write was first sent.
    started: Option<TimeMs>,
    /// The lease held until now, when the write is a renewal.
    held: Option<Holder>,
    /// When to read the object because the outcome of the write is not known.
    settle_at: Option<TimeMs>,
}

#[derive(Clone, Debug)]
enum State {
    Follower(Follower),
    Writing(Writing),
    Holder(Holder),
}

/// The lease machine of one process.
///
/// # Invariants
///
/// A permit is only given while no contender can have seen this process's
/// lease end, and, after a change of holder, only when no order of the former
/// holder can take effect any more or the engine refuses it by its number.
#[derive(Clone, Debug)]
pub struct Lease {
    me: InstanceId,
    nonce: String,
    timing: Timing,
    /// Whether the engine refuses orders with an old fencing number.
    engine_checks_fencing: bool,
    /// Writes prepared so far; makes each written value unique.
    writes: u64,
    /// Highest fencing number seen.
    last_term: u64,
    /// Time before which no order is given; only rises.
    orders_from: TimeMs,
    state: State,
}

/// Time between two reads of another's lease, as a part of its duration.
const READS_PER_LEASE: u64 = 4;

impl Lease {
    /// Makes a machine that holds nothing. `nonce` is unique to this run of
    /// the process.
    pub fn new(me: InstanceId, nonce: String, timing: Timing, engine_checks_fencing: bool) -> Self {
        Self {
            me,
            nonce,
            timing,
            engine_checks_fencing,
            writes: 0,
            last_term: 0,
            orders_from: TimeMs(0),
            state: State::Follower(Follower {
                seen: None,
                reread_at: TimeMs(0),
            }),
        }
    }

    /// What to do next.
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

    /// Notes that the write asked for by [`Lease::next`] is about to be sent.
    pub fn on_write_started(&mut self, now: TimeMs) {
        if let State::Holder(holder) = &self.state {
            self.state = State::Writing(self.renewing(holder.clone()));
            self.writes += 1;
        }
        if let State::Writing(writing) = &mut self.state {
            writing.started.get_or_insert(now);
        }
    }

    /// Notes the result of the write.
    pub fn on_written(&mut self, now: TimeMs, result: WriteResult) {
        let State::Writing(writing) = &mut self.state else {
            return;
        };
        match result {
            WriteResult::Written(version) => {
                let writing = writing.clone();
                self.hold(writing, version, now);
            }
            WriteResult::Conflict => self.follow(now),
            WriteResult::Refused | WriteResult::OutcomeUnknown => writing.settle_at = Some(now),
        }
    }

    /// Notes the result of a read.
    pub fn on_read(&mut self, now: TimeMs, result: ReadResult<LeaseRecord>) {
        match result {
            ReadResult::Failed => self.read_later(now),
            ReadResult::Absent => self.acquire(None),
            ReadResult::Found { version, record } => self.on_found(now, version, record),
        }
    }

    /// Permission to give an order now; `None` if the lease is not held or
    /// ends too soon. Ask right before each order, and again after any wait.
    /// A process gives one order at a time and asks for nothing else of this
    /// machine until the order has ended or its time is over.
    pub fn permit(&self, now: TimeMs) -> Option<Permit> {
        if now < self.orders_from {
            return None;
        }
        match &self.state {
            State::Holder(holder) => holder.permit(now, &self.timing),
            State::Writing(writing) => writing.held.as_ref()?.permit(now, &self.timing),
            State::Follower(_) => None,
        }
    }

    /// The write that gives the lease up, with its condition; `None` if it is
    /// not held. The caller makes sure that no order is under way, and makes
    /// no other use of the machine afterwards.
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

    fn read_later(&mut self, now: TimeMs) {
        let read_at = now + self.timing.duration_ms / READS_PER_LEASE;
        match &mut self.state {
            State::Follower(follower) => follower.reread_at = read_at,
            State::Writing(writing) => writing.settle_at = Some(read_at),
            State::Holder(_) => {}
        }
    }

    fn on_found(&mut self, now: TimeMs, version: u64, record: LeaseRecord) {
        self.last_term = self.last_term.max(record.term);
        if let State::Writing(writing) = &self.state {
            if writing.record == record {
                let writing = writing.clone();
                return self.hold(writing, version, now);
            }
            if let Some(held) = writing.held.as_ref().filter(|held| held.is(version)) {
                // The renewal did not take effect: try another one.
                let renewing = self.renewing(held.clone());
                self.writes += 1;
                self.state = State::Writing(renewing);
                return;
            }
        }
        if record.nonce == self.nonce || record.released {
            return self.acquire(Some(version));
        }
        let since = self.first_seen(version).unwrap_or(now);
        let lapses_at = since + record.duration_ms + self.timing.margin_ms;
        if now < lapses_at {
            let reread_at = lapses_at.min(now + record.duration_ms / READS_PER_LEASE);
            self.state = State::Follower(Follower {
                seen: Some(Seen { version, since }),
                reread_at,
            });
            return;
        }
        if !self.engine_checks_fencing {
            let old_orders_end = now + record.longest_order_ms + self.timing.margin_ms;
            self.orders_from = self.orders_from.max(old_orders_end);
        }
        self.acquire(Some(version));
    }

    fn first_seen(&self, version: u64) -> Option<TimeMs> {
        let State::Follower(follower) = &self.state else {
            return None;
        };
        let seen = follower.seen.as_ref()?;
        (seen.version == version).then_some(seen.since)
    }

    fn acquire(&mut self, if_version: Option<u64>) {
        self.writes += 1;
        let record = LeaseRecord {
            holder: self.me.clone(),
            nonce: self.nonce.clone(),
            term: self.last_term + 1,
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
            settle_at: None,
        });
    }

    fn renewing(&self, held: Holder) -> Writing {
        Writing {
            if_version: Some(held.version()),
            record: held.renewal(self.writes + 1),
            started: None,
            held: Some(held),
            settle_at: None,
        }
    }

    fn hold(&mut self, writing: Writing, version: u64, now: TimeMs) {
        self.last_term = self.last_term.max(writing.record.term);
        let started = writing.started.unwrap_or(now);
        self.state = State::Holder(Holder::new(version, writing.record, started));
    }

    fn follow(&mut self, now: TimeMs) {
        self.state = State::Follower(Follower {
            seen: None,
            reread_at: now,
        });
    }
}

impl Writing {
    fn next(&self, now: TimeMs) -> Step {
        match self.settle_at {
            Some(at) if now < at => Step::WaitUntil(at),
            Some(_) => Step::Read,
            None => Step::Write {
                if_version: self.if_version,
                record: self.record.clone(),
            },
        }
    }
}
