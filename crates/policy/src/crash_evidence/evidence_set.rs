//! Mergeable set of ends of instances with their suspects.

use std::collections::BTreeSet;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use types::{InstanceId, TimeMs};

use super::{end_set::EndSet, CrashLog, Suspect};

/// The end of one incarnation of an instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceEnd {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Incarnation that ended.
    pub incarnation: u64,
}

/// Evidence about one end of an instance, as exchanged between processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndEvidence {
    /// The end of the instance.
    #[serde(flatten)]
    pub end: InstanceEnd,
    /// Time at which the end was observed, in Unix milliseconds by the clock of
    /// the observer. Only differences of seconds are derived from it.
    pub at_unix_ms: u64,
    /// Suspects of requests that were waiting for their first event.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<Suspect>,
    /// Suspects of which a request got its first event later.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cleared: Vec<Suspect>,
}

/// What is known about one end of an instance.
#[derive(Debug)]
struct EndRecord {
    suspects: BTreeSet<Suspect>,
    cleared: BTreeSet<Suspect>,
    /// Time at which this process first heard of the end.
    seen_at: TimeMs,
    /// Time of the first observation by any process, in Unix milliseconds.
    at_unix_ms: u64,
}

/// Union of evidence from any number of observations.
///
/// # Invariants
///
/// Holds at most [`EvidenceSet::ENDS_MAX`] ends after [`EvidenceSet::truncate`],
/// with at most [`EvidenceSet::SUSPECTS_MAX`] suspects each.
#[derive(Debug, Default)]
pub(super) struct EvidenceSet {
    ends: IndexMap<InstanceEnd, EndRecord>,
}

impl EvidenceSet {
    /// Ends kept.
    const ENDS_MAX: usize = 256;
    /// Suspects kept for each end, the parts that many prompts share first.
    const SUSPECTS_MAX: usize = 160;
    /// Ends that one process publishes. The object store limits the size of an
    /// object, and every other process reads it whenever it changes.
    const EXPORTED_MAX: usize = 32;

    pub(super) fn contains(&self, end: &InstanceEnd) -> bool {
        self.ends.contains_key(end)
    }

    /// Adds evidence about an end. Returns whether any suspect or clearance is
    /// new.
    pub(super) fn add(&mut self, now: TimeMs, evidence: &EndEvidence) -> bool {
        let record = self
            .ends
            .entry(evidence.end.clone())
            .or_insert_with(|| EndRecord {
                suspects: BTreeSet::new(),
                cleared: BTreeSet::new(),
                seen_at: now,
                at_unix_ms: evidence.at_unix_ms,
            });
        record.at_unix_ms = record.at_unix_ms.min(evidence.at_unix_ms);
        extend(&mut record.suspects, &evidence.suspects)
            | extend(&mut record.cleared, &evidence.cleared)
    }

    /// Forgets the oldest ends beyond [`Self::ENDS_MAX`], those without an
    /// important suspect first.
    pub(super) fn truncate(&mut self, is_important: impl Fn(&Suspect) -> bool) {
        while self.ends.len() > Self::ENDS_MAX {
            let mut records = self.ends.values();
            let oldest = records.position(|record| !record.suspects.iter().any(&is_important));
            self.ends.shift_remove_index(oldest.unwrap_or(0));
        }
    }

    /// Clears a suspect of all ends seen before `before`. Returns whether that
    /// changed anything.
    pub(super) fn clear(&mut self, suspect: &Suspect, before: TimeMs) -> bool {
        let mut changed = false;
        for record in self.ends.values_mut() {
            if record.seen_at < before && record.suspects.contains(suspect) {
                changed |= record.cleared.insert(*suspect);
            }
        }
        changed
    }

    /// Returns the clearances of a suspect, as evidence to be published.
    pub(super) fn clearances(&self, suspect: &Suspect) -> Vec<EndEvidence> {
        self.ends
            .iter()
            .filter(|(_, record)| record.cleared.contains(suspect))
            .map(|(end, record)| EndEvidence {
                end: end.clone(),
                at_unix_ms: record.at_unix_ms,
                suspects: Vec::new(),
                cleared: vec![*suspect],
            })
            .collect()
    }

    /// Returns the ends with the given indices.
    pub(super) fn ends(&self, ends: &EndSet) -> impl Iterator<Item = &InstanceEnd> {
        self.rows(ends).map(|(end, _)| end)
    }

    fn rows(&self, ends: &EndSet) -> impl Iterator<Item = (&InstanceEnd, &EndRecord)> {
        ends.indices()
            .filter_map(|index| self.ends.get_index(index))
    }

    /// Returns whether the ends suffice for a quarantine.
    pub(super) fn is_sufficient(&self, ends: &EndSet) -> bool {
        if ends.len() < CrashLog::ENDS_MIN {
            return false;
        }
        let instances: IndexSet<&InstanceId> = self.ends(ends).map(|end| &end.instance).collect();
        instances.len() >= CrashLog::INSTANCES_MIN
    }

    /// Returns whether a part that is more specific than `suspect` was waiting at
    /// one of the ends.
    pub(super) fn has_more_specific_part(&self, ends: &EndSet, suspect: &Suspect) -> bool {
        suspect.is_part()
            && self.rows(ends).any(|(_, record)| {
                let mut parts = record.suspects.iter().filter(|other| other.is_part());
                parts.any(|other| other.depth() > suspect.depth())
            })
    }

    /// Returns the time between the first and the last of the given ends, in
    /// milliseconds.
    pub(super) fn span_ms(&self, ends: &EndSet) -> u64 {
        let times = || self.rows(ends).map(|(_, record)| record.at_unix_ms);
        match (times().min(), times().max()) {
            (Some(first), Some(last)) => last - first,
            _ => 0,
        }
    }

    /// Returns the uncleared ends of each suspect that has any.
    pub(super) fn uncleared_ends(&self) -> IndexMap<Suspect, EndSet> {
        let mut by_suspect: IndexMap<Suspect, EndSet> = IndexMap::new();
        for (index, record) in self.ends.values().enumerate() {
            for suspect in record.suspects.difference(&record.cleared) {
                by_suspect.entry(*suspect).or_default().insert(index);
            }
        }
        by_suspect
    }

    /// Returns when the last of the given ends was seen.
    pub(super) fn newest_seen_at(&self, ends: &EndSet) -> TimeMs {
        let seen_at = self.rows(ends).map(|(_, record)| record.seen_at);
        seen_at.max().unwrap_or_default()
    }

    /// Returns when the last end was seen.
    pub(super) fn last_seen_at(&self) -> Option<TimeMs> {
        self.ends.values().map(|record| record.seen_at).max()
    }

    /// Returns the newest ends in a form that can be published, those with an
    /// important suspect first.
    pub(super) fn export(&self, is_important: impl Fn(&Suspect) -> bool) -> Vec<EndEvidence> {
        let mut rows: Vec<(&InstanceEnd, &EndRecord)> = self.ends.iter().rev().collect();
        rows.sort_by_key(|(_, record)| !record.suspects.iter().any(&is_important));
        rows.truncate(Self::EXPORTED_MAX);
        rows.into_iter()
            .map(|(end, record)| EndEvidence {
                end: end.clone(),
                at_unix_ms: record.at_unix_ms,
                suspects: record.suspects.iter().copied().collect(),
                cleared: record.cleared.iter().copied().collect(),
            })
            .collect()
    }

    /// Forgets ends seen more than `ttl_ms` ago. Returns whether there were any.
    pub(super) fn expire(&mut self, now: TimeMs, ttl_ms: u64) -> bool {
        let before = self.ends.len();
        self.ends
            .retain(|_, record| now.since(record.seen_at) < ttl_ms);
        self.ends.len() != before
    }
}

/// Adds suspects to a bounded set. Returns whether the set has changed.
fn extend(set: &mut BTreeSet<Suspect>, suspects: &[Suspect]) -> bool {
    let mut is_new = false;
    for suspect in suspects {
        let is_full = set.len() >= EvidenceSet::SUSPECTS_MAX;
        let fits = !is_full || set.last().is_some_and(|last| suspect < last);
        if fits && set.insert(*suspect) {
            is_new = true;
            if set.len() > EvidenceSet::SUSPECTS_MAX {
                set.pop_last();
            }
        }
    }
    is_new
}
