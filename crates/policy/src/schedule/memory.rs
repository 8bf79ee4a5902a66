//! What the scheduler remembers of requests that it no longer holds.

use indexmap::IndexMap;
use types::{RequestId, TimeMs};

use super::Recall;

/// A recall that overtook its request.
#[derive(Clone, Copy, Debug)]
struct Tombstone {
    set_at: TimeMs,
    /// Whether the late request has come and was refused.
    is_used: bool,
}

/// Ids that were recalled before they arrived, and ids that have ended.
///
/// # Invariants
///
/// [`Recall::Recalled`] is only answered when the request will be refused
/// should it arrive, and when it is known that it has not run. Where the
/// bounded memory can't tell, the answer is [`Recall::AlreadyStarted`].
#[derive(Debug, Default)]
pub(super) struct Memory {
    tombstones: IndexMap<RequestId, Tombstone>,
    ended: IndexMap<RequestId, TimeMs>,
    /// Until then an unknown request may have run.
    unsure_until: TimeMs,
}

impl Memory {
    /// Entries of each kind at most.
    pub(super) const ENTRIES_MAX: usize = 32_768;
    /// Time for which an entry is kept, in milliseconds.
    pub(super) const AGE_MAX_MS: u64 = 120_000;
    /// Entries removed at once, since removal moves all that stay.
    const BATCH: usize = 256;

    /// Notes a request that started and ended.
    pub(super) fn on_ended(&mut self, now: TimeMs, id: RequestId) {
        expire(&mut self.ended, now, |ended_at| *ended_at);
        if self.ended.len() >= Self::ENTRIES_MAX {
            let newest = self.ended.drain(..Self::BATCH).next_back();
            let at = newest.map_or(now, |(_, at)| at);
            self.distrust_until(at + Self::AGE_MAX_MS);
        }
        self.ended.insert(id, now);
    }

    /// Makes unknown requests count as possibly started until `until`.
    pub(super) fn distrust_until(&mut self, until: TimeMs) {
        self.unsure_until = self.unsure_until.max(until);
    }

    /// Answers the recall of a request that the scheduler does not hold.
    pub(super) fn recall_unknown(&mut self, now: TimeMs, id: &RequestId) -> Recall {
        expire(&mut self.tombstones, now, |tombstone| tombstone.set_at);
        expire(&mut self.ended, now, |ended_at| *ended_at);
        if self.ended.contains_key(id) {
            return Recall::AlreadyStarted;
        }
        let full = self.tombstones.len() >= Self::ENTRIES_MAX;
        if full && !self.tombstones.contains_key(id) {
            return Recall::AlreadyStarted;
        }
        self.bury(now, id);
        if now < self.unsure_until {
            return Recall::AlreadyStarted;
        }
        Recall::Recalled
    }

    /// Whether an arriving request was recalled before; the tombstone is used up.
    pub(super) fn take_tombstone(&mut self, now: TimeMs, id: &RequestId) -> bool {
        let Some(tombstone) = self.tombstones.get_mut(id) else {
            return false;
        };
        // It keeps its place until it is old, since removal moves all behind it.
        let is_used = std::mem::replace(&mut tombstone.is_used, true);
        !is_used && now.since(tombstone.set_at) < Self::AGE_MAX_MS
    }

    /// Sets a tombstone; an older one for the same id moves to the end.
    fn bury(&mut self, now: TimeMs, id: &RequestId) {
        self.tombstones.shift_remove(id);
        let tombstone = Tombstone {
            set_at: now,
            is_used: false,
        };
        self.tombstones.insert(id.clone(), tombstone);
    }
}

/// Drops entries that are too old, a batch at a time; the oldest come first.
fn expire<T>(entries: &mut IndexMap<RequestId, T>, now: TimeMs, at: impl Fn(&T) -> TimeMs) {
    let last_of_batch = entries.get_index(Memory::BATCH - 1);
    if last_of_batch.is_some_and(|(_, last)| now.since(at(last)) >= Memory::AGE_MAX_MS) {
        entries.drain(..Memory::BATCH);
    }
}
