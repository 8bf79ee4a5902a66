//! Which request contents are suspected of crashing their upstream.
//!
//! A content that was at an upstream when it crashed is a suspect and runs
//! alone. A whole answer clears it of the crashes known so far. It is refused
//! once two crashes are left that it was not cleared of, if it ran alone in
//! one of them or if they were at different instances.
//!
//! The evidence is a pair of sets for each content, crashes and crashes that
//! it was cleared of; merging takes the union of both.

use std::collections::BTreeSet;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use types::{Fingerprint, InstanceId, TimeMs};

/// What is known about a content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QuarantineStatus {
    /// Nothing speaks against it.
    Clear,
    /// It ran when an upstream crashed; run it alone.
    Suspect,
    /// It is refused.
    Quarantined {
        /// Time until it is tried again, in milliseconds.
        remaining_ms: u64,
    },
}

/// Evidence about one content, as exchanged between processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The content.
    pub fingerprint: Fingerprint,
    /// Instances that crashed while it ran, each with the id of the crash and
    /// whether the content ran alone.
    pub crashes: Vec<Crash>,
    /// Whether it has run to a whole answer after these crashes.
    pub cleared: bool,
    /// Age of the newest evidence, in milliseconds.
    pub age_ms: u64,
}

/// One crash of an upstream instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// The instance that crashed.
    pub instance: InstanceId,
    /// Number of the crash at that instance, never used again, also not by a
    /// later process for the same instance.
    pub sequence: u64,
    /// Whether the content was the only one running.
    pub alone: bool,
}

/// What is kept about one content.
///
/// # Invariants
///
/// Each set holds at most [`Record::CRASHES_MAX`] crashes, the lowest in order.
#[derive(Debug, Default)]
struct Record {
    crashes: BTreeSet<Crash>,
    cleared: BTreeSet<Crash>,
    crashed_at: Option<Instant>,
    cleared_at: Option<Instant>,
}

/// A time that may lie before the origin of [`TimeMs`], since evidence is
/// older than a process that has just started. In milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Instant(i64);

impl Instant {
    fn before(now: TimeMs, age_ms: u64) -> Self {
        let now = i64::try_from(now.0).unwrap_or(i64::MAX);
        let age = i64::try_from(age_ms).unwrap_or(i64::MAX);
        Self(now.saturating_sub(age))
    }

    fn age_ms(self, now: TimeMs) -> u64 {
        let now = i64::try_from(now.0).unwrap_or(i64::MAX);
        u64::try_from(now.saturating_sub(self.0)).unwrap_or(0)
    }
}

/// Age of the newest evidence; endless if there is none.
fn age_ms(at: Option<Instant>, now: TimeMs) -> u64 {
    at.map_or(u64::MAX, |at| at.age_ms(now))
}

/// Bounded memory of suspected contents.
///
/// # Invariants
///
/// Holds at most [`SuspectStore::CONTENTS_MAX`] contents. Merging is
/// idempotent, commutative and associative while it holds fewer.
#[derive(Debug, Default)]
pub struct SuspectStore {
    records: IndexMap<Fingerprint, Record>,
}

impl Record {
    const CRASHES_MAX: usize = 16;

    /// Crashes that the content was not cleared of.
    fn open(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.difference(&self.cleared)
    }

    /// Whether the crashes left convict the content.
    fn convicts(&self) -> bool {
        let mut open = self.open();
        let Some(first) = open.next() else {
            return false;
        };
        let mut alone = first.alone;
        let mut several = false;
        let mut elsewhere = false;
        for crash in open {
            several = true;
            alone |= crash.alone;
            elsewhere |= crash.instance != first.instance;
        }
        several && (alone || elsewhere)
    }

    fn has_crashed_alone(&self) -> bool {
        self.open().any(|crash| crash.alone)
    }

    fn newest(&self) -> Option<Instant> {
        self.crashed_at.max(self.cleared_at)
    }

    fn bound(&mut self) {
        while self.crashes.len() > Self::CRASHES_MAX {
            self.crashes.pop_last();
        }
        while self.cleared.len() > Self::CRASHES_MAX {
            self.cleared.pop_last();
        }
    }
}

impl SuspectStore {
    /// Contents remembered at most.
    pub const CONTENTS_MAX: usize = 1_024;
    /// Contents left after the oldest were forgotten for lack of room.
    const CONTENTS_KEPT: usize = Self::CONTENTS_MAX - Self::CONTENTS_MAX / 8;
    /// Time for which a convicted content is refused, in milliseconds.
    pub const QUARANTINE_MS: u64 = 600_000;
    /// The same while another content was at the same crashes, so that one of
    /// the two may be innocent, in milliseconds.
    pub const AMBIGUOUS_QUARANTINE_MS: u64 = 60_000;
    /// Time after which evidence is forgotten, in milliseconds.
    pub const EVIDENCE_TTL_MS: u64 = 3_600_000;

    /// Makes an empty memory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a crash with all contents that ran at that moment.
    pub fn on_crash(
        &mut self,
        now: TimeMs,
        instance: &InstanceId,
        sequence: u64,
        running: &[Fingerprint],
    ) {
        let contents: BTreeSet<Fingerprint> = running.iter().copied().collect();
        let crash = Crash {
            instance: instance.clone(),
            sequence,
            alone: contents.len() == 1,
        };
        for fingerprint in contents {
            let record = self.records.entry(fingerprint).or_default();
            record.crashes.insert(crash.clone());
            record.crashed_at = record.crashed_at.max(Some(Instant::before(now, 0)));
            record.bound();
        }
        self.prune(now);
    }

    /// Notes that a content ran to a whole answer.
    pub fn on_completed(&mut self, now: TimeMs, fingerprint: Fingerprint) {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return;
        };
        if record.open().next().is_none() {
            return;
        }
        record.cleared = record.cleared.union(&record.crashes).cloned().collect();
        record.cleared_at = record.cleared_at.max(Some(Instant::before(now, 0)));
        record.bound();
    }

    /// The status of a content now.
    pub fn status(&self, now: TimeMs, fingerprint: Fingerprint) -> QuarantineStatus {
        let Some(record) = self.records.get(&fingerprint) else {
            return QuarantineStatus::Clear;
        };
        let age_ms = age_ms(record.crashed_at, now);
        if record.open().next().is_none() || age_ms >= Self::EVIDENCE_TTL_MS {
            return QuarantineStatus::Clear;
        }
        if !record.convicts() {
            return QuarantineStatus::Suspect;
        }
        let quarantine_ms = match self.has_companion(fingerprint, record) {
            true => Self::AMBIGUOUS_QUARANTINE_MS,
            false => Self::QUARANTINE_MS,
        };
        match quarantine_ms.saturating_sub(age_ms) {
            0 => QuarantineStatus::Suspect,
            remaining_ms => QuarantineStatus::Quarantined { remaining_ms },
        }
    }

    /// All evidence, for a peer or for the platform's store. A content may
    /// have two rows: crashes, and crashes that it was cleared of.
    pub fn export(&self, now: TimeMs) -> Vec<Evidence> {
        let mut rows = Vec::new();
        for (fingerprint, record) in &self.records {
            let row = |crashes: &BTreeSet<Crash>, cleared: bool, at: Option<Instant>| Evidence {
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

    /// Merges evidence from a peer or from the store; merging is idempotent,
    /// commutative and associative.
    pub fn merge(&mut self, now: TimeMs, evidence: &[Evidence]) {
        for row in evidence {
            if row.age_ms >= Self::EVIDENCE_TTL_MS || row.crashes.is_empty() {
                continue;
            }
            let at = Some(Instant::before(now, row.age_ms));
            let record = self.records.entry(row.fingerprint).or_default();
            let crashes = row.crashes.iter().take(Record::CRASHES_MAX).cloned();
            if row.cleared {
                record.cleared.extend(crashes);
                record.cleared_at = record.cleared_at.max(at);
            } else {
                record.crashes.extend(crashes);
                record.crashed_at = record.crashed_at.max(at);
            }
            record.bound();
        }
        self.prune(now);
    }

    /// Contents remembered now.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether another content, which never crashed an upstream alone and was
    /// not cleared either, was at two of the same crashes.
    fn has_companion(&self, fingerprint: Fingerprint, record: &Record) -> bool {
        if record.has_crashed_alone() {
            return false;
        }
        let shares_two = |other: &Record| {
            let is_open =
                |crash: &&Crash| other.crashes.contains(*crash) && !other.cleared.contains(*crash);
            record.open().filter(is_open).count() >= 2
        };
        self.records
            .iter()
            .any(|(other, record)| *other != fingerprint && shares_two(record))
    }

    /// Forgets what is old, then the oldest beyond the bound.
    fn prune(&mut self, now: TimeMs) {
        if self.records.len() <= Self::CONTENTS_MAX {
            return;
        }
        self.records
            .retain(|_, record| age_ms(record.newest(), now) < Self::EVIDENCE_TTL_MS);
        if self.records.len() <= Self::CONTENTS_MAX {
            return;
        }
        // Cleared contents go first, then suspects, convicted ones last.
        let worth = |record: &Record| {
            let open = record.open().next().is_some();
            (record.convicts(), open, record.newest())
        };
        self.records
            .sort_by(|a, x, b, y| worth(y).cmp(&worth(x)).then(a.cmp(b)));
        self.records.truncate(Self::CONTENTS_KEPT);
    }
}
