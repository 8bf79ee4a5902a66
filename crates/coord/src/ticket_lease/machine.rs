//! State machine by which a process acquires, renews and releases the lease.

use indexmap::IndexMap;
use types::{InstanceId, TimeMs};

use super::{FormerHolder, ListedTicket, Permit, Ticket, Timing, FORMER_HOLDERS_MAX};
use crate::WriteResult;

/// Default interval at which a process without a ticket reads the others, in
/// milliseconds.
const READ_INTERVAL_MS: u64 = 700;

/// Interval at which a process that waits with a ticket reads the others, in milliseconds.
/// The owner of an older ticket releases it within a few calls.
const WAITING_READ_INTERVAL_MS: u64 = 250;

/// Time after which a process gives up a ticket that it may have created but that
/// no list shows, in milliseconds. Above the time by which a store may apply a
/// write late; the ticket of a later write would be that of a dead process.
const CREATION_GIVE_UP_MS: u64 = 10_000;

/// Interval between attempts after a failed call, in milliseconds.
const RETRY_INTERVAL_MS: u64 = 250;

/// Time without a renewal that counts after which a process gives its ticket up, in
/// percent of the lease time. Permits end at about half of it.
const GIVE_UP_PERCENT: u64 = 67;

/// Time for which it does not contend then, in percent of the lease time, so that
/// another process finds its ticket expired first.
const GIVE_UP_PAUSE_PERCENT: u64 = 150;

/// Action that the caller of the state machine has to take next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the changes of the tickets, which may be stale, and pass them to
    /// [`TicketLease::on_activity`]; an ordinary list, passed to
    /// [`TicketLease::on_listed`], may take its place.
    Check,
    /// List the tickets and pass them to [`TicketLease::on_listed`].
    List,
    /// Call [`TicketLease::on_write_started`], create the object, and pass the
    /// result to [`TicketLease::on_written`].
    Create {
        /// Name of the object, unique to the run of the process.
        name: String,
        /// Value to write.
        ticket: Ticket,
    },
    /// As [`Step::Create`], but replaces the object, which must exist.
    Replace {
        /// Name of the object.
        name: String,
        /// Value to write.
        ticket: Ticket,
    },
    /// Delete the ticket of a former holder; the result does not matter.
    Delete {
        /// Name of the object.
        name: String,
    },
    /// Do nothing until this time.
    WaitUntil(TimeMs),
}

/// A write in progress or with an unknown outcome.
#[derive(Clone, Copy, Debug)]
struct Write {
    number: u64,
    /// Local time just before it was first sent.
    started: TimeMs,
    is_confirmed: bool,
}

#[derive(Clone, Debug)]
enum State {
    /// Has no ticket.
    Follower,
    /// Has created a ticket, which no list has shown yet.
    Creating {
        name: String,
        /// Whether it was sent since the last list.
        is_sent: bool,
        since: TimeMs,
    },
    /// Has a ticket, and waits for the older ones or holds the lease.
    Owner(Owner),
}

#[derive(Clone, Debug)]
struct Owner {
    name: String,
    token: u64,
    /// Revision of the ticket as listed last.
    revision: u64,
    write: Option<Write>,
    /// Whether the older tickets are released or expired.
    is_holder: bool,
    has_held: bool,
    created_at: TimeMs,
    /// Start of the last renewal that counts.
    valid_from: Option<TimeMs>,
    renew_at: TimeMs,
    /// Whether the next write gives the ticket up.
    is_leaving: bool,
    /// Tickets of former holders, deleted after a renewal.
    obsolete: Vec<String>,
}

/// Ticket of another process that is not released.
#[derive(Clone, Copy, Debug)]
struct Observed {
    /// Revision of its last write.
    revision: u64,
    /// Time just after the read that first showed that revision.
    since: TimeMs,
}

/// State machine of one process for one lease.
///
/// # Invariants
///
/// A permit is given only while no permit of another process can be in use. No two
/// processes ever get permits with the same fencing token, and tokens rise with
/// each change of holder, also over eras of the store's history.
#[derive(Clone, Debug)]
pub struct TicketLease {
    instance: InstanceId,
    nonce: String,
    timing: Timing,
    /// Whether receivers of orders refuse one with an outdated token.
    is_fencing_checked: bool,
    writes: u64,
    tickets: u64,
    /// Each other ticket that is not released, as read last.
    observed: IndexMap<String, Observed>,
    /// Time before which processes may have had permits whose tickets are not in
    /// `observed`; `None` before the first read.
    unobserved_until: Option<TimeMs>,
    /// Whether the newest other ticket that may have been held is released.
    is_released: bool,
    former_holders: Vec<FormerHolder>,
    reported_through: Option<u64>,
    read_at: TimeMs,
    has_listed: bool,
    /// Highest revision of a ticket in any list.
    listed_revision: u64,
    /// Time before which no permit is given.
    permits_from: TimeMs,
    may_contend: bool,
    /// Time before which this process creates no ticket, because it could not renew
    /// the last one.
    contend_from: TimeMs,
    /// Time by which this process contends later than the first in rank.
    stagger_ms: u64,
    /// Whether the last read failed.
    is_cut_off: bool,
    /// Time at which the tickets could be read again after that.
    regained_at: Option<TimeMs>,
    read_interval_ms: u64,
    /// Era of the store's history, 0 before it is known and for a store without eras.
    era: u32,
    /// Time at which it was noticed that the store came back from an older copy.
    restored_at: Option<TimeMs>,
    state: State,
}

impl TicketLease {
    /// Creates the state machine of a process that does not hold the lease. `nonce`
    /// must be unique to this run of the process, and usable in an object name.
    pub fn new(
        instance: InstanceId,
        nonce: String,
        timing: Timing,
        is_fencing_checked: bool,
    ) -> Self {
        Self {
            instance,
            nonce,
            timing,
            is_fencing_checked,
            writes: 0,
            tickets: 0,
            observed: IndexMap::new(),
            unobserved_until: None,
            is_released: false,
            former_holders: Vec::new(),
            reported_through: None,
            read_at: TimeMs(0),
            has_listed: false,
            listed_revision: 0,
            permits_from: TimeMs(0),
            may_contend: true,
            contend_from: TimeMs(0),
            stagger_ms: 0,
            is_cut_off: false,
            regained_at: None,
            read_interval_ms: READ_INTERVAL_MS,
            era: 0,
            restored_at: None,
            state: State::Follower,
        }
    }

    /// Sets whether this process may create a ticket, by how much later than the
    /// first in rank, and how often it reads the tickets of others. Has no effect on
    /// a ticket that it has.
    pub fn set_contention(&mut self, may_contend: bool, stagger_ms: u64, read_interval_ms: u64) {
        self.may_contend = may_contend;
        self.stagger_ms = stagger_ms;
        self.read_interval_ms = read_interval_ms;
    }

    /// Records the era that a response of the store named. Call it before the response
    /// itself is handled.
    ///
    /// In a later era the ticket of this process may be missing, or that of another
    /// process that has a permit. The own ticket is given up, and the lease counts as
    /// held until all permits of the era before have ended.
    pub fn on_era(&mut self, now: TimeMs, era: u32) {
        if era <= self.era {
            return;
        }
        let is_first = self.era == 0 && !self.has_read();
        self.era = era;
        if !is_first {
            self.become_follower(now);
            self.on_restored(now);
        }
    }

    /// Returns whether a list or check was ever handled.
    fn has_read(&self) -> bool {
        self.unobserved_until.is_some() || self.has_listed
    }

    fn on_restored(&mut self, now: TimeMs) {
        self.restored_at = Some(now);
        self.unobserved_until = Some(now);
        self.read_at = now;
    }

    /// Returns the time at which it was noticed that the store came back from an older
    /// copy.
    pub fn restored_at(&self) -> Option<TimeMs> {
        self.restored_at
    }

    /// Returns whether no other process can have got the lease since this one has it: its
    /// last renewal that counts is so recent that others still wait for its expiry.
    pub fn has_held_until(&self, now: TimeMs) -> bool {
        let State::Owner(owner) = &self.state else {
            return false;
        };
        let is_recent = |valid_from: TimeMs| now < valid_from + self.expiry_ms();
        owner.is_holder && owner.valid_from.is_some_and(is_recent)
    }

    /// Postpones the next read of a process without a ticket, because the holder
    /// was heard in another way.
    pub fn postpone_read(&mut self, until: TimeMs) {
        if matches!(self.state, State::Follower) {
            self.read_at = self.read_at.max(until);
        }
    }

    /// Has a process without a ticket read the tickets next, because the holder was
    /// heard to have given up its own.
    pub fn expedite_read(&mut self, now: TimeMs) {
        if matches!(self.state, State::Follower) {
            self.read_at = now;
        }
    }

    /// Records up to which window all are reported; the next renewal stores it.
    pub fn set_reported_through(&mut self, window: u64) {
        self.reported_through = self.reported_through.max(Some(window));
    }

    /// Returns the last window up to which all are reported, as known here.
    pub fn reported_through(&self) -> Option<u64> {
        self.reported_through
    }

    /// Returns the fencing token while this process holds the lease, though it may
    /// have no permit.
    pub fn held_token(&self) -> Option<u64> {
        match &self.state {
            State::Owner(owner) if owner.is_holder => Some(owner.token),
            _ => None,
        }
    }

    /// Returns name and revision of the ticket while the lease is held, so that others
    /// can be told. A new holder is announced before its first permit: others send
    /// it what it needs meanwhile.
    pub fn announcement(&self, now: TimeMs) -> Option<(&str, u64)> {
        let State::Owner(owner) = &self.state else {
            return None;
        };
        self.finish_by(owner, now)
            .map(|_| (owner.name.as_str(), owner.revision))
    }

    /// Handles the announcement of a holder. It shows that its ticket was renewed, as
    /// [`Self::on_activity`] does; a list must show whether it expired. `now` is the
    /// time at which it was heard.
    pub fn on_announced(&mut self, now: TimeMs, name: &str, revision: u64) {
        let is_news = match self.observed.get(name) {
            Some(known) => known.revision < revision,
            // Missing in a list that is at least as new: given up or deleted since.
            None => revision > self.listed_revision,
        };
        if is_news && self.has_listed {
            // The announcement may be older than the last change that was read.
            let known_since = self.observed.get(name).map(|known| known.since);
            let since = known_since.map_or(now, |known| known.max(now));
            let observed = Observed { revision, since };
            self.observed.insert(name.to_owned(), observed);
        }
    }

    /// Returns whether this process has a ticket, or may have one.
    pub fn has_ticket(&self) -> bool {
        !matches!(self.state, State::Follower)
    }

    /// Gives the lease up with the next write. The caller must have no order in
    /// flight, nor one that may still take effect.
    pub fn release(&mut self) {
        match &mut self.state {
            State::Owner(owner) => {
                owner.is_leaving = true;
                owner.is_holder = false;
                owner.valid_from = None;
            }
            State::Creating { is_sent: false, .. } => self.state = State::Follower,
            State::Creating { .. } | State::Follower => {}
        }
    }

    /// Returns the action to take next.
    pub fn next(&self, now: TimeMs) -> Step {
        match &self.state {
            State::Follower if now < self.read_at => Step::WaitUntil(self.read_at),
            State::Follower if self.contends(now) && self.is_vacant(now) => Step::List,
            State::Follower if self.has_listed => Step::Check,
            State::Follower => Step::List,
            State::Creating {
                name,
                is_sent: false,
                ..
            } => Step::Create {
                name: name.clone(),
                ticket: self.ticket(),
            },
            State::Creating { .. } if now < self.read_at => Step::WaitUntil(self.read_at),
            State::Creating { .. } => Step::List,
            State::Owner(owner) => self.next_of_owner(owner, now),
        }
    }

    fn next_of_owner(&self, owner: &Owner, now: TimeMs) -> Step {
        if owner.write.is_some() {
            return match now < self.read_at {
                true => Step::WaitUntil(self.read_at),
                false => Step::List,
            };
        }
        if !owner.is_leaving && owner.valid_from.is_some() {
            if let Some(name) = owner.obsolete.first() {
                return Step::Delete { name: name.clone() };
            }
        }
        if now < owner.renew_at && !owner.is_leaving {
            return match owner.is_holder {
                true => Step::WaitUntil(owner.renew_at),
                false if now < self.read_at => Step::WaitUntil(self.read_at.min(owner.renew_at)),
                false => Step::List,
            };
        }
        Step::Replace {
            name: owner.name.clone(),
            ticket: Ticket {
                token: Some(owner.token),
                released: owner.is_leaving,
                held: owner.has_held,
                ..self.ticket()
            },
        }
    }

    /// Returns the value that creates a ticket with the next write.
    fn ticket(&self) -> Ticket {
        Ticket {
            holder: self.instance.clone(),
            nonce: self.nonce.clone(),
            token: None,
            write: self.writes + 1,
            released: false,
            held: false,
            reported_through: self.reported_through,
            era: self.era,
            former_holders: self.former_holders.clone(),
        }
    }

    /// Records that the write returned by [`Self::next`] is about to be sent.
    pub fn on_write_started(&mut self, now: TimeMs) {
        self.writes += 1;
        match &mut self.state {
            State::Creating { is_sent, .. } => *is_sent = true,
            State::Owner(owner) => {
                owner.write = Some(Write {
                    number: self.writes,
                    started: now,
                    is_confirmed: false,
                });
            }
            State::Follower => {}
        }
        self.read_at = now;
    }

    /// Handles the result of [`Step::Create`] or [`Step::Replace`].
    /// [`WriteResult::Conflict`] means that the object exists or does not exist,
    /// respectively.
    pub fn on_written(&mut self, now: TimeMs, result: WriteResult) {
        let State::Owner(owner) = &mut self.state else {
            // Whether the ticket exists shows in the next list.
            if matches!(result, WriteResult::Refused | WriteResult::OutcomeUnknown) {
                self.read_at = now + RETRY_INTERVAL_MS;
            }
            return;
        };
        match result {
            WriteResult::Written(_) if owner.is_leaving => self.become_follower(now),
            WriteResult::Written(_) => {
                if let Some(write) = &mut owner.write {
                    write.is_confirmed = true;
                }
            }
            WriteResult::Conflict => self.become_follower(now),
            WriteResult::Refused => {
                owner.write = None;
                owner.renew_at = now + RETRY_INTERVAL_MS;
                self.give_up_if_stale(now);
            }
            WriteResult::OutcomeUnknown => self.read_at = now + RETRY_INTERVAL_MS,
        }
    }

    /// Records that [`Step::Delete`] was made.
    pub fn on_deleted(&mut self) {
        if let State::Owner(owner) = &mut self.state {
            if !owner.obsolete.is_empty() {
                owner.obsolete.remove(0);
            }
        }
    }

    /// Records that a list or check failed.
    pub fn on_read_failed(&mut self, now: TimeMs) {
        self.is_cut_off = true;
        self.read_at = now + RETRY_INTERVAL_MS;
        self.give_up_if_stale(now);
    }

    /// Handles changes of tickets, which may be stale: they can only show that a
    /// ticket was alive, never that one expired.
    pub fn on_activity(&mut self, now: TimeMs, changed: &[ListedTicket]) {
        self.on_read(now);
        for listed in changed {
            self.learn(listed);
            let known = self.observed.get(&listed.name);
            let is_news = known.is_none_or(|known| known.revision < listed.revision);
            if !listed.ticket.released && is_news {
                let observed = Observed {
                    revision: listed.revision,
                    since: now,
                };
                self.observed.insert(listed.name.clone(), observed);
            } else if listed.ticket.released && known.is_some() {
                // Whether the lease is vacant shows in a list.
                self.has_listed = false;
                self.read_at = now;
            }
        }
    }

    /// Handles the complete list of tickets, which must not be stale.
    pub fn on_listed(&mut self, now: TimeMs, tickets: &[ListedTicket]) {
        self.has_listed = true;
        self.on_read(now);
        let own_name = match &self.state {
            State::Follower => None,
            State::Creating { name, .. } => Some(name.clone()),
            State::Owner(owner) => Some(owner.name.clone()),
        };
        let is_own = |listed: &&ListedTicket| Some(&listed.name) == own_name.as_ref();
        let own = tickets.iter().find(is_own);
        let others: Vec<&ListedTicket> = tickets.iter().filter(|one| !is_own(one)).collect();
        let is_of_earlier_era = |listed: &&ListedTicket| listed.ticket.era < self.era;
        if self.restored_at.is_none() && others.iter().any(is_of_earlier_era) {
            self.on_restored(now);
            self.read_at = now + self.read_interval_ms;
        }
        self.observe(now, own, &others);
        match (&self.state, own) {
            (State::Follower, _) => self.contend_if_vacant(now),
            // The creation did not take effect, or not yet. Another name would leave
            // a ticket that nobody renews if it does.
            (State::Creating { since, .. }, None) => {
                let is_given_up = now.since(*since) >= CREATION_GIVE_UP_MS;
                let is_vacant = self.may_contend && self.is_vacant_without_stagger(now);
                if is_given_up {
                    self.become_follower(now);
                } else if let State::Creating { is_sent, .. } = &mut self.state {
                    *is_sent = !is_vacant;
                }
            }
            (State::Creating { name, .. }, Some(own)) => {
                self.state = State::Owner(Owner {
                    name: name.clone(),
                    token: own.order(),
                    revision: own.revision,
                    write: None,
                    is_holder: false,
                    has_held: false,
                    created_at: now,
                    valid_from: None,
                    renew_at: now,
                    is_leaving: !self.may_contend,
                    obsolete: Vec::new(),
                });
                self.on_own_listed(now, own, &others);
            }
            (State::Owner(_), None) => self.become_follower(now),
            (State::Owner(_), Some(own)) => self.on_own_listed(now, own, &others),
        }
    }

    /// Returns the permission to send an order now; `None` if the lease is not held
    /// or expires too soon for the longest order.
    ///
    /// The caller must call this just before each order. It sends one order at a
    /// time and calls no other method until the order has ended or
    /// [`Permit::finish_by`] has passed.
    pub fn permit(&self, now: TimeMs) -> Option<Permit> {
        let State::Owner(owner) = &self.state else {
            return None;
        };
        if now < self.permits_from {
            return None;
        }
        let finish_by = self.finish_by(owner, now)?;
        Some(Permit {
            fencing: owner.token,
            finish_by,
        })
    }

    /// Returns the time by which an order that is sent now ends; `None` if the lease
    /// is not held or expires before that.
    fn finish_by(&self, owner: &Owner, now: TimeMs) -> Option<TimeMs> {
        if !owner.is_holder || owner.is_leaving {
            return None;
        }
        let usable_ms = self
            .timing
            .duration_ms
            .saturating_sub(self.timing.margin_ms);
        let finish_by = now + self.timing.longest_order_ms;
        (finish_by <= owner.valid_from? + usable_ms).then_some(finish_by)
    }

    /// Returns whether all other tickets have not changed for long enough that no
    /// owner can have a permit, or the newest one that may have been held is released,
    /// and those before this process in rank have had the time to contend.
    fn is_vacant(&self, now: TimeMs) -> bool {
        let lease_ms = match self.is_released && !self.may_hide_holder(now) {
            true => 0,
            false => self.expiry_ms(),
        };
        let expiry_ms = lease_ms + self.stagger_ms;
        let has_waited = |since: TimeMs| now.since(since) >= self.stagger_ms;
        self.quiet_since()
            .is_some_and(|since| now.since(since) >= expiry_ms)
            && self.regained_at.is_none_or(has_waited)
    }

    /// Returns the time just after the read that first showed the present state of the
    /// other tickets; `None` before the first read.
    fn quiet_since(&self) -> Option<TimeMs> {
        let changed = self.observed.values().map(|observed| observed.since);
        Some(changed.fold(self.unobserved_until?, TimeMs::max))
    }

    /// Schedules the next read after a successful one.
    fn on_read(&mut self, now: TimeMs) {
        let waits_with_ticket = matches!(&self.state, State::Owner(owner) if !owner.is_holder);
        self.read_at = now
            + match waits_with_ticket {
                true => self.read_interval_ms.min(WAITING_READ_INTERVAL_MS),
                false => self.read_interval_ms,
            };
        if std::mem::take(&mut self.is_cut_off) {
            self.regained_at = Some(now);
            // The many that read rarely would all read at once.
            if self.read_interval_ms <= READ_INTERVAL_MS {
                let contends_at = now + self.stagger_ms.max(RETRY_INTERVAL_MS);
                self.read_at = self.read_at.min(contends_at);
            }
        }
    }

    /// Time without a change of the tickets after which no owner can have a permit, in
    /// milliseconds.
    fn expiry_ms(&self) -> u64 {
        self.timing.duration_ms + self.timing.margin_ms
    }

    /// Returns whether the store may have lost the ticket of a process that has a permit.
    fn may_hide_holder(&self, now: TimeMs) -> bool {
        self.restored_at
            .is_some_and(|at| now.since(at) < self.expiry_ms())
    }

    fn learn(&mut self, listed: &ListedTicket) {
        self.reported_through = self.reported_through.max(listed.ticket.reported_through);
    }

    fn observe(&mut self, now: TimeMs, own: Option<&ListedTicket>, others: &[&ListedTicket]) {
        let mut seen = IndexMap::new();
        for listed in others {
            self.learn(listed);
            self.listed_revision = self.listed_revision.max(listed.revision);
            if !listed.ticket.released {
                let revision = listed.revision;
                let known = self.observed.get(&listed.name);
                let known = known.filter(|known| known.revision == revision);
                let since = known.map_or(now, |known| known.since);
                seen.insert(listed.name.clone(), Observed { revision, since });
            }
        }
        // One that was released without having been held says nothing about those
        // before it.
        let newest = others
            .iter()
            .filter(|listed| may_have_held(listed))
            .max_by_key(|listed| listed.order());
        self.is_released = newest.is_some_and(|listed| listed.ticket.released);
        // The owner of a ticket that was held has waited for all older ones, and
        // deletes them. Another one that vanished unreleased may have a valid holder.
        let held = others.iter().filter(|listed| listed.ticket.held);
        let settled_by = held.map(|listed| listed.order()).max();
        let is_listed = |name: &str| others.iter().any(|listed| listed.name == name);
        let has_vanished = |(name, known): (&String, &Observed)| {
            !is_listed(name) && settled_by.is_none_or(|held| known.revision >= held)
        };
        if self.observed.iter().any(has_vanished) || self.unobserved_until.is_none() {
            self.unobserved_until = Some(now);
        }
        self.observed = seen;
        self.learn_former_holders(own, others);
    }

    /// Takes over the former holders from the newest readable ticket before the own one that
    /// may have been held. The owner of a newer ticket is no former holder.
    fn learn_former_holders(&mut self, own: Option<&ListedTicket>, others: &[&ListedTicket]) {
        let own_order = own.map_or(u64::MAX, ListedTicket::order);
        let former = others
            .iter()
            .filter(|listed| may_have_held(listed) && !listed.ticket.is_of_unknown_owner())
            .filter(|listed| listed.order() < own_order)
            .max_by_key(|listed| listed.order());
        let Some(former) = former else {
            return;
        };
        let mut holders = vec![FormerHolder {
            holder: former.ticket.holder.clone(),
            nonce: former.ticket.nonce.clone(),
        }];
        holders.extend(former.ticket.former_holders.iter().cloned());
        holders.dedup();
        holders.truncate(FORMER_HOLDERS_MAX);
        self.former_holders = holders;
    }

    fn contend_if_vacant(&mut self, now: TimeMs) {
        if !self.contends(now) || !self.is_vacant(now) {
            return;
        }
        self.tickets += 1;
        self.state = State::Creating {
            name: format!("{}-{}", self.nonce, self.tickets),
            is_sent: false,
            since: now,
        };
        self.read_at = now;
    }

    fn contends(&self, now: TimeMs) -> bool {
        self.may_contend && now >= self.contend_from
    }

    /// Gives up a ticket whose renewals do not count any more, for example because the
    /// store applies the writes of this process late. Its late renewals would keep
    /// others from the lease.
    fn give_up_if_stale(&mut self, now: TimeMs) {
        let State::Owner(owner) = &self.state else {
            return;
        };
        let renewed_at = owner.valid_from.unwrap_or(owner.created_at);
        if now.since(renewed_at) < self.timing.duration_ms * GIVE_UP_PERCENT / 100 {
            return;
        }
        self.contend_from = now + self.timing.duration_ms * GIVE_UP_PAUSE_PERCENT / 100;
        self.become_follower(now);
    }

    /// Handles a list that contains the own ticket.
    fn on_own_listed(&mut self, now: TimeMs, own: &ListedTicket, others: &[&ListedTicket]) {
        let is_vacant = self.is_vacant_without_stagger(now);
        let newest_other = others.iter().map(|listed| listed.order()).max();
        let State::Owner(owner) = &mut self.state else {
            return;
        };
        owner.revision = own.revision;
        if newest_other > Some(owner.token) {
            // Released, so that the owner of the newer ticket need not wait.
            owner.is_leaving = true;
            owner.is_holder = false;
            owner.valid_from = None;
        }
        let write = owner.write.take();
        if let Some(write) = write {
            let has_effect = write.is_confirmed || own.ticket.write == write.number;
            if has_effect && owner.is_leaving && own.ticket.released {
                return self.become_follower(now);
            }
            if !has_effect || owner.is_leaving {
                owner.renew_at = now;
            } else {
                owner.valid_from = Some(write.started);
                owner.renew_at = write.started + self.timing.duration_ms * 2 / 5;
            }
        }
        if owner.is_leaving || owner.is_holder {
            return self.give_up_if_stale(now);
        }
        if !is_vacant {
            // Waits for the older tickets; the own one is renewed meanwhile.
            return;
        }
        owner.is_holder = true;
        owner.has_held = true;
        owner.obsolete = others.iter().map(|listed| listed.name.clone()).collect();
        let mut permits_from = now;
        if self.is_return() {
            permits_from = now + self.timing.duration_ms;
        } else if !self.is_fencing_checked {
            permits_from = now + self.timing.longest_order_ms;
        }
        self.permits_from = self.permits_from.max(permits_from);
    }

    /// Returns whether this gateway, or this run of it, has had the lease before
    /// another one.
    fn is_return(&self) -> bool {
        let former = self.former_holders.iter();
        let mut later = former.skip_while(|former| former.holder == self.instance);
        let has_same_name = later.any(|former| former.holder == self.instance);
        let former = self.former_holders.iter();
        let mut later = former.skip_while(|former| former.nonce == self.nonce);
        has_same_name || later.any(|former| former.nonce == self.nonce)
    }

    fn is_vacant_without_stagger(&self, now: TimeMs) -> bool {
        let is_quiet = |since: TimeMs| now.since(since) >= self.expiry_ms();
        !self.may_hide_holder(now) && (self.is_released || self.quiet_since().is_some_and(is_quiet))
    }

    fn become_follower(&mut self, now: TimeMs) {
        self.state = State::Follower;
        // The own ticket counts as that of another from now on.
        self.unobserved_until = Some(now);
        self.is_released = false;
        self.has_listed = false;
        self.read_at = now + self.read_interval_ms;
    }
}

/// Returns whether the owner may have held the lease under this ticket: the holder notes it
/// with its first renewal, and truly when it releases the ticket.
fn may_have_held(listed: &ListedTicket) -> bool {
    listed.ticket.held || !listed.ticket.released
}
