//! Quarantine of requests whose content is suspected of crashing upstreams.
//!
//! Requests with the same content have the same fingerprint and count as one
//! request here. A request that was running on an upstream when it crashed is a
//! suspect and must run alone. A complete answer clears it of all crashes
//! recorded so far. It is quarantined, and refused, once two uncleared crashes
//! remain, if it ran alone in one of them or if they occurred on different
//! instances.
//!
//! The evidence for each fingerprint is a pair of sets, its crashes and the
//! crashes that it was cleared of. Merging takes the union of each set, so
//! processes converge without coordination.

use std::collections::BTreeSet;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use types::{Fingerprint, InstanceId, TimeMs};

/// Quarantine status of a fingerprint, derived from the evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QuarantineStatus {
    /// No uncleared crash is recorded; the request may run with others.
    Clear,
    /// The request was running when an upstream crashed; it must run alone.
    Suspect,
    /// The request is refused.
    Quarantined {
        /// Time until the quarantine ends, in milliseconds. The request is a
        /// suspect after that.
        remaining_ms: u64,
    },
}

/// Evidence about one fingerprint, as exchanged between processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Fingerprint of the request content.
    pub fingerprint: Fingerprint,
    /// Crashes during which the request was running or, if `cleared` is set,
    /// those that it was cleared of.
    pub crashes: Vec<Crash>,
    /// Whether a request with this content was answered completely after these
    /// crashes.
    pub cleared: bool,
    /// Age of the newest event in this evidence, in milliseconds. An age is
    /// exchanged because the clocks of processes have different origins.
    pub age_ms: u64,
}

/// One crash of an upstream instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// Id of the crashed upstream instance.
    pub instance: InstanceId,
    /// Sequence number of the crash on that instance. Never reused, not even by
    /// a later process for the same instance.
    pub sequence: u64,
    /// Whether all running requests had the same content.
    pub alone: bool,
}

/// Stored evidence about one fingerprint.
///
/// # Invariants
///
/// Each set holds at most [`Record::CRASHES_MAX`] crashes. The greatest ones in
/// sort order are dropped, so that the result does not depend on merge order.
#[derive(Debug, Default)]
struct Record {
    crashes: BTreeSet<Crash>,
    cleared: BTreeSet<Crash>,
    crashed_at: Option<EvidenceTime>,
    cleared_at: Option<EvidenceTime>,
}

/// A signed time in milliseconds. It may be before the origin of [`TimeMs`],
/// since evidence can be older than the process that receives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EvidenceTime(i64);

impl EvidenceTime {
    fn from_age(now: TimeMs, age_ms: u64) -> Self {
        let now = i64::try_from(now.0).unwrap_or(i64::MAX);
        let age = i64::try_from(age_ms).unwrap_or(i64::MAX);
        Self(now.saturating_sub(age))
    }

    fn age_ms(self, now: TimeMs) -> u64 {
        let now = i64::try_from(now.0).unwrap_or(i64::MAX);
        u64::try_from(now.saturating_sub(self.0)).unwrap_or(0)
    }
}

/// Returns the age of evidence in milliseconds, `u64::MAX` if there is none.
fn age_ms(at: Option<EvidenceTime>, now: TimeMs) -> u64 {
    at.map_or(u64::MAX, |at| at.age_ms(now))
}

/// Bounded store of evidence about suspected request contents.
///
/// # Invariants
///
/// Holds at most [`SuspectStore::FINGERPRINTS_MAX`] fingerprints. Below that
/// limit, merging is idempotent, commutative and associative.
#[derive(Debug, Default)]
pub struct SuspectStore {
    records: IndexMap<Fingerprint, Record>,
}

impl Record {
    const CRASHES_MAX: usize = 16;

    /// Returns the crashes that the fingerprint has not been cleared of.
    fn uncleared(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.difference(&self.cleared)
    }

    /// Returns whether the uncleared crashes are sufficient for a quarantine.
    fn should_quarantine(&self) -> bool {
        let mut uncleared = self.uncleared();
        let Some(first) = uncleared.next() else {
            return false;
        };
        let mut alone = first.alone;
        let mut has_several = false;
        let mut on_other_instance = false;
        for crash in uncleared {
            has_several = true;
            alone |= crash.alone;
            on_other_instance |= crash.instance != first.instance;
        }
        has_several && (alone || on_other_instance)
    }

    fn has_crashed_alone(&self) -> bool {
        self.uncleared().any(|crash| crash.alone)
    }

    fn newest_evidence_at(&self) -> Option<EvidenceTime> {
        self.crashed_at.max(self.cleared_at)
    }

    fn truncate(&mut self) {
        while self.crashes.len() > Self::CRASHES_MAX {
            self.crashes.pop_last();
        }
        while self.cleared.len() > Self::CRASHES_MAX {
            self.cleared.pop_last();
        }
    }
}

impl SuspectStore {
    /// Maximum number of fingerprints in the store.
    pub const FINGERPRINTS_MAX: usize = 1_024;
    /// Number of fingerprints left after eviction from a full store.
    const FINGERPRINTS_KEPT: usize = Self::FINGERPRINTS_MAX - Self::FINGERPRINTS_MAX / 8;
    /// Duration of a quarantine after the last crash, in milliseconds.
    pub const QUARANTINE_MS: u64 = 600_000;
    /// Duration of a quarantine, in milliseconds, if another suspect was
    /// running during the same crashes, so that one of the two may be harmless.
    pub const AMBIGUOUS_QUARANTINE_MS: u64 = 60_000;
    /// Age from which evidence is ignored, in milliseconds.
    pub const EVIDENCE_TTL_MS: u64 = 3_600_000;

    /// Creates a store without evidence.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a crash with the fingerprints of all requests that were running
    /// on the instance.
    pub fn on_crash(
        &mut self,
        now: TimeMs,
        instance: &InstanceId,
        sequence: u64,
        running: &[Fingerprint],
    ) {
        let fingerprints: BTreeSet<Fingerprint> = running.iter().copied().collect();
        let crash = Crash {
            instance: instance.clone(),
            sequence,
            alone: fingerprints.len() == 1,
        };
        for fingerprint in fingerprints {
            let record = self.records.entry(fingerprint).or_default();
            record.crashes.insert(crash.clone());
            record.crashed_at = record.crashed_at.max(Some(EvidenceTime::from_age(now, 0)));
            record.truncate();
        }
        self.prune(now);
    }

    /// Records a complete answer to a request, which clears its fingerprint of
    /// all crashes recorded so far.
    pub fn on_completed(&mut self, now: TimeMs, fingerprint: Fingerprint) {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return;
        };
        if record.uncleared().next().is_none() {
            return;
        }
        record.cleared = record.cleared.union(&record.crashes).cloned().collect();
        record.cleared_at = record.cleared_at.max(Some(EvidenceTime::from_age(now, 0)));
        record.truncate();
    }

    /// Returns the quarantine status of a fingerprint at `now`.
    pub fn status(&self, now: TimeMs, fingerprint: Fingerprint) -> QuarantineStatus {
        let Some(record) = self.records.get(&fingerprint) else {
            return QuarantineStatus::Clear;
        };
        let age_ms = age_ms(record.crashed_at, now);
        if record.uncleared().next().is_none() || age_ms >= Self::EVIDENCE_TTL_MS {
            return QuarantineStatus::Clear;
        }
        if !record.should_quarantine() {
            return QuarantineStatus::Suspect;
        }
        let quarantine_ms = match self.shares_crashes_with_suspect(fingerprint, record) {
            true => Self::AMBIGUOUS_QUARANTINE_MS,
            false => Self::QUARANTINE_MS,
        };
        match quarantine_ms.saturating_sub(age_ms) {
            0 => QuarantineStatus::Suspect,
            remaining_ms => QuarantineStatus::Quarantined { remaining_ms },
        }
    }

    /// Returns all evidence, to send to a peer or save in the platform's store.
    /// A fingerprint may have two rows: its crashes, and those it was cleared
    /// of.
    pub fn export(&self, now: TimeMs) -> Vec<Evidence> {
        let mut rows = Vec::new();
        for (fingerprint, record) in &self.records {
            let row =
                |crashes: &BTreeSet<Crash>, cleared: bool, at: Option<EvidenceTime>| Evidence {
                    fingerprint: *fingerprint,
                    crashes: crashes.iter().cloned().collect(),
                    cleared,
                    age_ms: age_ms(at, now),
                };
            if !record.crashes.is_empty() {
                rows.push(row(&record.crashes, false, record.crashed_at));
            }
            if !record.cleared.is_empty() {
                rows.push(row(&record.cleared, true, record.cleared_at));
            }
        }
        rows
    }

    /// Merges evidence received from a peer or read from the platform's store.
    /// Merging is idempotent, commutative and associative.
    pub fn merge(&mut self, now: TimeMs, evidence: &[Evidence]) {
        for row in evidence {
            if row.age_ms >= Self::EVIDENCE_TTL_MS || row.crashes.is_empty() {
                continue;
            }
            let at = Some(EvidenceTime::from_age(now, row.age_ms));
            let record = self.records.entry(row.fingerprint).or_default();
            let crashes = row.crashes.iter().take(Record::CRASHES_MAX).cloned();
            if row.cleared {
                record.cleared.extend(crashes);
                record.cleared_at = record.cleared_at.max(at);
            } else {
                record.crashes.extend(crashes);
                record.crashed_at = record.crashed_at.max(at);
            }
            record.truncate();
        }
        self.prune(now);
    }

    /// Number of fingerprints in the store.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the store has no evidence.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns whether another fingerprint has two uncleared crashes in common
    /// with this one. Returns false if this one was running alone in an
    /// uncleared crash.
    fn shares_crashes_with_suspect(&self, fingerprint: Fingerprint, record: &Record) -> bool {
        if record.has_crashed_alone() {
            return false;
        }
        let shares_two_crashes = |other: &Record| {
            let is_uncleared =
                |crash: &&Crash| other.crashes.contains(*crash) && !other.cleared.contains(*crash);
            record.uncleared().filter(is_uncleared).count() >= 2
        };
        self.records
            .iter()
            .any(|(other, record)| *other != fingerprint && shares_two_crashes(record))
    }

    /// Removes expired evidence once the store exceeds its limit, then evicts
    /// fingerprints if that is not enough.
    fn prune(&mut self, now: TimeMs) {
        if self.records.len() <= Self::FINGERPRINTS_MAX {
            return;
        }
        self.records
            .retain(|_, record| age_ms(record.newest_evidence_at(), now) < Self::EVIDENCE_TTL_MS);
        if self.records.len() <= Self::FINGERPRINTS_MAX {
            return;
        }
        // Evicts cleared fingerprints first, then suspects, quarantined ones
        // last; within each group, those with the oldest evidence first.
        let retention_key = |record: &Record| {
            let uncleared = record.uncleared().next().is_some();
            (
                record.should_quarantine(),
                uncleared,
                record.newest_evidence_at(),
            )
        };
        self.records
            .sort_by(|a, x, b, y| retention_key(y).cmp(&retention_key(x)).then(a.cmp(b)));
        self.records.truncate(Self::FINGERPRINTS_KEPT);
    }
}
