//! Which request contents are suspected of crashing their upstream.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use types::{Fingerprint, InstanceId, TimeMs};

/// What is known about a content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
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
    /// Whether it has since run to a whole answer.
    pub cleared: bool,
    /// Age of the newest evidence, in milliseconds.
    pub age_ms: u64,
}

/// One crash of an upstream instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// The instance that crashed.
    pub instance: InstanceId,
    /// Number of the crash at that instance.
    pub sequence: u64,
    /// Whether the content was the only one running.
    pub alone: bool,
}

/// Bounded memory of suspected contents.
#[derive(Debug, Default)]
pub struct SuspectMemory {
    evidence: IndexMap<Fingerprint, Evidence>,
}

impl SuspectMemory {
    /// Makes an empty memory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a crash with all contents that ran at that moment.
    pub fn on_crash(
        &mut self,
        _now: TimeMs,
        _instance: &InstanceId,
        _sequence: u64,
        _running: &[Fingerprint],
    ) {
    }

    /// Notes that a content ran to a whole answer.
    pub fn on_whole(&mut self, _now: TimeMs, _fingerprint: Fingerprint) {}

    /// The standing of a content now.
    pub fn standing(&self, _now: TimeMs, _fingerprint: Fingerprint) -> Standing {
        Standing::Clear
    }

    /// All evidence, for a peer or for the platform's store.
    pub fn export(&self, _now: TimeMs) -> Vec<Evidence> {
        self.evidence.values().cloned().collect()
    }

    /// Merges evidence from a peer or from the store; merging is idempotent
    /// and commutative.
    pub fn merge(&mut self, _now: TimeMs, _evidence: &[Evidence]) {}
}
