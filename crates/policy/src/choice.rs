//! The entry's choice among the instances of an upstream.
//!
//! A [`Pool`] is immutable and replaced as a whole when membership changes
//! (read-copy-update); the statistics of a candidate are atomics that survive
//! the replacement, so that choosing takes no lock.

use std::sync::{
    atomic::{AtomicU32, Ordering},
    Arc,
};

use serde::{Deserialize, Serialize};
use types::{InstanceId, TimeMs, ZoneName};

use crate::schedule::LoadReport;

/// The rule that chooses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Power of d choices on an aged load, raised by own sends and corrected
    /// by own observation, with bounded prefix affinity.
    #[default]
    Aged,
    /// Each in turn: a baseline.
    RoundRobin,
    /// Lowest last report: a baseline.
    LeastUsed,
}

/// One instance as the membership view knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// An instance with the statistics of this entry.
#[derive(Debug)]
pub struct Candidate {
    /// Who it is.
    pub member: Member,
    in_flight: AtomicU32,
}

/// What decided a choice, for the log and for replay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChoiceInputs {
    /// Candidates compared, with the score of each; the lowest wins.
    pub scores: Vec<(InstanceId, f64)>,
    /// Whether prefix affinity decided.
    pub by_affinity: bool,
}

/// A choice. Dropping it without a report counts as a cancelled request.
#[derive(Debug)]
pub struct Choice {
    /// The chosen instance.
    pub candidate: Arc<Candidate>,
    /// Why.
    pub inputs: ChoiceInputs,
}

/// What a choice is made for.
#[derive(Clone, Debug, Default)]
pub struct Wanted<'a> {
    /// Hash of the prompt's prefix for cache affinity; 0 for none.
    pub prefix_hash: u64,
    /// Instances already tried for this request.
    pub exclude: &'a [InstanceId],
    /// Expected tokens of the request.
    pub expected_tokens: u32,
}

/// The instances of one upstream as one entry sees them.
#[derive(Debug, Default)]
pub struct Pool {
    candidates: Vec<Arc<Candidate>>,
}

impl Pool {
    /// Makes the next pool from a membership view, keeping the statistics of
    /// instances that stay. `own_zone` comes first; `subset_max` bounds the
    /// candidates (0: no bound); `salt` is the entry's own, for rendezvous hashing.
    pub fn next(
        &self,
        members: &[Member],
        _own_zone: &ZoneName,
        _subset_max: usize,
        _salt: u64,
    ) -> Pool {
        let keep = |member: &Member| {
            self.candidates
                .iter()
                .find(|candidate| candidate.member == *member)
                .cloned()
                .unwrap_or_else(|| Arc::new(Candidate::new(member.clone())))
        };
        Pool {
            candidates: members.iter().map(keep).collect(),
        }
    }

    /// Chooses an instance; `None` when all are excluded or none exists.
    pub fn choose(
        &self,
        _rule: Rule,
        _now: TimeMs,
        wanted: &Wanted<'_>,
        random: u64,
    ) -> Option<Choice> {
        let open: Vec<_> = self
            .candidates
            .iter()
            .filter(|candidate| !wanted.exclude.contains(&candidate.member.instance))
            .collect();
        if open.is_empty() {
            return None;
        }
        let candidate = open[(random % open.len() as u64) as usize].clone();
        Some(Choice {
            candidate,
            inputs: ChoiceInputs {
                scores: Vec::new(),
                by_affinity: false,
            },
        })
    }

    /// The candidates, for status pages and probes.
    pub fn candidates(&self) -> &[Arc<Candidate>] {
        &self.candidates
    }
}

impl Candidate {
    /// Makes a candidate without history.
    pub fn new(member: Member) -> Self {
        Self {
            member,
            in_flight: AtomicU32::new(0),
        }
    }

    /// Notes a request sent by this entry.
    pub fn on_sent(&self, _now: TimeMs, _expected_tokens: u32) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes the first token of a request, `wait_ms` after it was sent.
    pub fn on_first_token(&self, _now: TimeMs, _wait_ms: u64) {}

    /// Notes a later token, `gap_ms` after the one before.
    pub fn on_token_gap(&self, _now: TimeMs, _gap_ms: u64) {}

    /// Notes the end of a request sent earlier with the same `expected_tokens`.
    pub fn on_end(&self, _now: TimeMs, _expected_tokens: u32) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Notes a failure to connect, a broken answer or a timeout.
    pub fn on_failure(&self, _now: TimeMs) {}

    /// Notes that the agent refused for lack of room.
    pub fn on_refusal(&self, _now: TimeMs) {}

    /// Takes in a load report, measured `age_ms` before `now`.
    pub fn on_report(&self, _now: TimeMs, _report: &LoadReport, _age_ms: u64) {}

    /// Requests of this entry in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Time to wait for the first sign of life before another instance is
    /// asked, in milliseconds, from own observation.
    pub fn hedge_after_ms(&self) -> u64 {
        1_000
    }
}
