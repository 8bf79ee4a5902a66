//! Bounded history of requests that the scheduler does not hold.
//!
//! With it, a recall gets the correct result when the request has already ended
//! or has not arrived yet.

use indexmap::IndexMap;
use types::{RequestId, TimeMs};

use super::Recall;

/// Marks a request that was recalled before it arrived.
#[derive(Clone, Copy, Debug)]
struct Tombstone {
    set_at: TimeMs,
    /// Whether the request has arrived since and was refused.
    is_consumed: bool,
}

/// Ids of requests recalled before their arrival, and of ended requests.
///
/// # Invariants
///
/// [`Recall::Recalled`] is returned only if the request has certainly not run
/// and is refused when it arrives later. If the bounded history cannot prove
/// this, the result is [`Recall::AlreadyStarted`].
#[derive(Debug, Default)]
pub(super) struct RequestHistory {
    tombstones: IndexMap<RequestId, Tombstone>,
    ended: IndexMap<RequestId, TimeMs>,
    /// Time until which unknown requests count as possibly started.
    unknown_started_until: TimeMs,
}

impl RequestHistory {
    /// Maximum number of tombstones, and of ended requests.
    pub(super) const ENTRIES_MAX: usize = 32_768;
    /// Age after which an entry expires, in milliseconds.
    pub(super) const AGE_MAX_MS: u64 = 120_000;
    /// Number of entries removed together. Removal from the front moves all
    /// remaining entries, so it is done in batches.
    const EXPIRY_BATCH: usize = 256;

    /// Records a request that started and ended. If the history is full, the
    /// oldest batch is removed and unknown requests count as possibly started
    /// for as long as the removed entries would have been valid.
    pub(super) fn on_ended(&mut self, now: TimeMs, id: RequestId) {
        expire(&mut self.ended, now, |ended_at| *ended_at);
        if self.ended.len() >= Self::ENTRIES_MAX {
            let newest = self.ended.drain(..Self::EXPIRY_BATCH).next_back();
            let at = newest.map_or(now, |(_, at)| at);
            self.treat_unknown_as_started_until(at + Self::AGE_MAX_MS);
        }
        self.ended.insert(id, now);
    }

    /// Treats unknown requests as possibly started until `until`.
    pub(super) fn treat_unknown_as_started_until(&mut self, until: TimeMs) {
        self.unknown_started_until = self.unknown_started_until.max(until);
    }

    /// Handles the recall of a request that the scheduler does not hold, and sets
    /// a tombstone unless the request has ended or the history is full.
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
        self.set_tombstone(now, id);
        if now < self.unknown_started_until {
            return Recall::AlreadyStarted;
        }
        Recall::Recalled
    }

    /// Returns whether an arriving request was recalled earlier, and marks its
    /// tombstone as consumed: it refuses only one arrival.
    pub(super) fn consume_tombstone(&mut self, now: TimeMs, id: &RequestId) -> bool {
        let Some(tombstone) = self.tombstones.get_mut(id) else {
            return false;
        };
        // The tombstone stays in the map until it expires, since removing it
        // would move all later entries.
        let is_consumed = std::mem::replace(&mut tombstone.is_consumed, true);
        !is_consumed && now.since(tombstone.set_at) < Self::AGE_MAX_MS
    }

    /// Sets a tombstone and replaces an older one for the same id. The new one
    /// goes to the end, which keeps the map ordered by age.
    fn set_tombstone(&mut self, now: TimeMs, id: &RequestId) {
        self.tombstones.shift_remove(id);
        let tombstone = Tombstone {
            set_at: now,
            is_consumed: false,
        };
        self.tombstones.insert(id.clone(), tombstone);
    }
}

/// Removes the oldest batch of entries once all of it has expired. `entries`
/// must be ordered by age, oldest first.
fn expire<T>(entries: &mut IndexMap<RequestId, T>, now: TimeMs, at: impl Fn(&T) -> TimeMs) {
    let last_of_batch = entries.get_index(RequestHistory::EXPIRY_BATCH - 1);
    if last_of_batch.is_some_and(|(_, last)| now.since(at(last)) >= RequestHistory::AGE_MAX_MS) {
        entries.drain(..RequestHistory::EXPIRY_BATCH);
    }
}
