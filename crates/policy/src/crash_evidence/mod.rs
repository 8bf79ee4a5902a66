//! Finds the prompt parts, and the whole requests, that crash the instances which
//! begin to answer them.
//!
//! Load pattern: one part of a prompt ends every instance that begins to answer
//! it. Requests with the part arrive at all gateways, no two alike, and share
//! their team and other parts with sound requests that were waiting at the same
//! instances. Each gateway sees only its own requests and thus a few of the
//! crashes, so gateways exchange what they saw.
//!
//! Evidence against a suspect are the ends of instances at which one of its
//! requests was waiting for its first event. A first event anywhere clears a
//! suspect of the ends seen before it. A suspect is quarantined once enough ends
//! remain that no other suspect explains better.
//!
//! Unlike [`crate::quarantine`], which serves agents, nobody here knows all
//! requests of an instance, so that a crash never proves that a request was alone.

mod end_set;
mod evidence_set;
mod suspect;

use std::fmt;

use indexmap::{IndexMap, IndexSet};
use types::TimeMs;

use end_set::EndSet;
use evidence_set::EvidenceSet;
pub use evidence_set::{EndEvidence, InstanceEnd};
pub use suspect::Suspect;

/// Decision about a request, from the evidence against its suspects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Screening {
    /// The request may be sent.
    Pass,
    /// The request must not be sent.
    Refused(Refusal),
    /// The request must not be sent, unless this process is the first one to
    /// claim the trial. Returned once for each trial.
    RefusedUnlessClaimed(Refusal, TrialId),
}

/// Why a request must not be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The quarantined suspect.
    pub suspect: Suspect,
    /// Number of ends of instances that count against it.
    pub ends: usize,
    /// Time until the next trial of the suspect, in milliseconds.
    pub trial_in_ms: u64,
}

/// Identifies one trial of a quarantined suspect: a single request that shows
/// whether the suspect still crashes instances. Equal in all processes that have
/// the same evidence against the suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TrialId(pub u64);

impl fmt::Display for TrialId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// State of a quarantined suspect.
#[derive(Debug)]
struct Quarantine {
    ends: usize,
    newest_seen_at: TimeMs,
    trial: TrialId,
}

/// Evidence of one process, and of all processes as far as they are known to it.
///
/// # Invariants
///
/// - The quarantined suspects depend only on the known evidence, so that
///   processes with the same evidence refuse the same requests.
/// - [`Self::merge`] is idempotent, commutative and associative.
#[derive(Debug, Default)]
pub struct CrashLog {
    /// Evidence observed by this process, in a form that can be published.
    own: EvidenceSet,
    /// Union of the evidence of all processes.
    known: EvidenceSet,
    /// Number of uncleared ends of each suspect that has any.
    uncleared: IndexMap<Suspect, usize>,
    quarantined: IndexMap<Suspect, Quarantine>,
    /// When the last end was seen.
    last_end_at: Option<TimeMs>,
    /// Trials that this process has already asked for.
    tried: IndexSet<TrialId>,
}

impl CrashLog {
    /// Ends from which a suspect is quarantined. One end has many suspects; two
    /// are common to sound requests that were retried when a rack failed.
    pub const ENDS_MIN: usize = 3;
    /// Different instances among these ends, so that one faulty instance does not
    /// discredit the prompts that are placed on it.
    pub const INSTANCES_MIN: usize = 2;
    /// Time between the first and the last of these ends for a part beside which
    /// more specific ones occur, in milliseconds. Such a part is common, and if it
    /// is sound, one of its requests is answered in this time.
    pub const COMMON_PART_SPAN_MS: u64 = 1_000;
    /// Ends from which a suspect counts as certain to crash instances.
    pub const CERTAIN_ENDS: usize = 5;
    /// Time from the last end until the trial of a suspect that is not certain,
    /// in milliseconds: it may be sound.
    pub const TRIAL_DELAY_MS: u64 = 3_000;
    /// Time from the last end until the trial of a certain suspect, in
    /// milliseconds.
    pub const QUARANTINE_MS: u64 = 600_000;
    /// Time after which evidence is forgotten, in milliseconds.
    pub const EVIDENCE_TTL_MS: u64 = 3_600_000;
    /// Time for which an event may be under way: one that arrives later than this
    /// after an end was sent after it, in milliseconds.
    const EVENT_DELAY_MS: u64 = 200;
    /// Uncleared ends from which it matters to other processes that a suspect was
    /// cleared.
    const SHARED_CLEARANCE_MIN: usize = 2;
    /// Time for which an end makes further ones likely, in milliseconds.
    const ACTIVE_MS: u64 = 5_000;
    /// Trials remembered; the oldest are forgotten first.
    const TRIED_MAX: usize = 256;

    /// Creates a log without evidence.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether there is no evidence against any suspect, in which case
    /// [`Self::screen`] passes every request.
    pub fn is_clean(&self) -> bool {
        self.uncleared.is_empty()
    }

    /// Returns whether an instance ended a short time ago.
    pub fn is_active(&self, now: TimeMs) -> bool {
        self.last_end_at
            .is_some_and(|at| now.since(at) < Self::ACTIVE_MS)
    }

    /// Returns whether this process has already recorded the end itself.
    pub fn has_observed(&self, end: &InstanceEnd) -> bool {
        self.own.contains(end)
    }

    /// Records evidence that this process observed: an instance ended while its
    /// requests with the given suspects were waiting there for their first event.
    /// Returns whether that is new and should be published.
    pub fn on_end(&mut self, now: TimeMs, evidence: &EndEvidence) -> bool {
        let is_new = self.own.add(now, evidence);
        if self.known.add(now, evidence) {
            self.evaluate();
        }
        is_new
    }

    /// Records that a request with the given suspects got its first event.
    /// Returns whether that clears a suspect in a way that should be published.
    pub fn on_first_event(&mut self, now: TimeMs, suspects: &[Suspect]) -> bool {
        let mut should_publish = false;
        let mut changed = false;
        for suspect in suspects {
            let Some(uncleared) = self.uncleared.get(suspect).copied() else {
                continue;
            };
            if !self.known.clear(suspect, now - Self::EVENT_DELAY_MS) {
                continue;
            }
            changed = true;
            if uncleared >= Self::SHARED_CLEARANCE_MIN {
                for evidence in self.known.clearances(suspect) {
                    should_publish |= self.own.add(now, &evidence);
                }
            }
        }
        if changed {
            self.evaluate();
        }
        should_publish
    }

    /// Merges evidence that another process published.
    pub fn merge(&mut self, now: TimeMs, evidence: &[EndEvidence]) {
        let mut changed = false;
        for row in evidence {
            changed |= self.known.add(now, row);
        }
        if changed {
            self.evaluate();
        }
    }

    /// Merges evidence that an earlier process of the same name published, so
    /// that it stays part of what this process publishes.
    pub fn adopt(&mut self, now: TimeMs, evidence: &[EndEvidence]) {
        for row in evidence {
            self.own.add(now, row);
        }
        self.merge(now, evidence);
    }

    /// Returns the evidence of this process, to be published. Evidence against
    /// quarantined suspects comes first where it does not all fit.
    pub fn own_evidence(&self) -> Vec<EndEvidence> {
        self.own
            .export(|suspect| self.quarantined.contains_key(suspect))
    }

    /// Decides whether a request with the given suspects may be sent.
    pub fn screen(&mut self, now: TimeMs, suspects: &[Suspect]) -> Screening {
        let mut found = suspects
            .iter()
            .filter_map(|suspect| Some((suspect, self.quarantined.get(suspect)?)));
        let Some((suspect, quarantine)) = found.next() else {
            return Screening::Pass;
        };
        let trial_in_ms = quarantine.trial_in_ms(now);
        let refusal = Refusal {
            suspect: *suspect,
            ends: quarantine.ends,
            trial_in_ms,
        };
        // A request with two quarantined suspects would not show which of them
        // is sound.
        let is_only_one = found.next().is_none();
        let trial = quarantine.trial;
        if trial_in_ms > 0 || !is_only_one || !self.tried.insert(trial) {
            return Screening::Refused(refusal);
        }
        if self.tried.len() > Self::TRIED_MAX {
            self.tried.shift_remove_index(0);
        }
        Screening::RefusedUnlessClaimed(refusal, trial)
    }

    /// Returns the quarantined suspects with the number of ends against them.
    pub fn quarantined(&self) -> impl Iterator<Item = (&Suspect, usize)> {
        self.quarantined
            .iter()
            .map(|(suspect, quarantine)| (suspect, quarantine.ends))
    }

    /// Forgets evidence older than [`Self::EVIDENCE_TTL_MS`]. Returns whether the
    /// evidence of this process has changed.
    pub fn expire(&mut self, now: TimeMs) -> bool {
        if self.known.expire(now, Self::EVIDENCE_TTL_MS) {
            self.evaluate();
        }
        self.own.expire(now, Self::EVIDENCE_TTL_MS)
    }

    /// Derives the quarantined suspects from the known evidence.
    ///
    /// The suspect with the most unexplained ends is quarantined first, and its
    /// ends then count against nobody else: sound requests that were waiting
    /// beside it are not to blame. Of two suspects with the same ends the more
    /// specific one is chosen, because the other one also occurs without it.
    fn evaluate(&mut self) {
        let by_suspect = self.known.uncleared_ends();
        self.uncleared = by_suspect
            .iter()
            .map(|(suspect, ends)| (*suspect, ends.len()))
            .collect();
        self.last_end_at = self.known.last_seen_at();
        self.quarantined.clear();
        let mut candidates = by_suspect;
        candidates.retain(|_, ends| self.known.is_sufficient(ends));
        let mut explained = EndSet::default();
        loop {
            let best = candidates
                .iter()
                .filter(|(suspect, _)| !self.quarantined.contains_key(*suspect))
                .filter_map(|(suspect, ends)| {
                    let unexplained = ends.difference(&explained);
                    let is_to_blame = self.known.is_sufficient(&unexplained)
                        && self.is_lasting(suspect, &unexplained)
                        && !is_explained_by_specific_parts(suspect, &unexplained, &candidates);
                    is_to_blame.then_some((unexplained.len(), suspect.depth(), suspect))
                })
                .max();
            let Some((_, _, suspect)) = best else {
                break;
            };
            let suspect = *suspect;
            let ends = &candidates[&suspect];
            explained = explained.union(ends);
            let quarantine = Quarantine {
                ends: ends.len(),
                newest_seen_at: self.known.newest_seen_at(ends),
                trial: trial_id(&suspect, self.known.ends(ends)),
            };
            self.quarantined.insert(suspect, quarantine);
        }
        let quarantined = &self.quarantined;
        let is_important = |suspect: &Suspect| quarantined.contains_key(suspect);
        self.known.truncate(is_important);
        self.own.truncate(is_important);
    }

    /// Returns whether the ends are far enough apart for the suspect to have been
    /// cleared in between if it were sound.
    fn is_lasting(&self, suspect: &Suspect, ends: &EndSet) -> bool {
        !self.known.has_more_specific_part(ends, suspect)
            || self.known.span_ms(ends) >= Self::COMMON_PART_SPAN_MS
    }
}

/// Returns whether more specific parts, each with enough of the ends to be
/// quarantined itself, leave too few of them to blame the suspect. Whole requests
/// are left out: one that is sent again several times has its own ends besides.
fn is_explained_by_specific_parts(
    suspect: &Suspect,
    ends: &EndSet,
    candidates: &IndexMap<Suspect, EndSet>,
) -> bool {
    let mut rest = *ends;
    let specific = candidates
        .iter()
        .filter(|(other, _)| other.is_part() && other.depth() > suspect.depth());
    for (_, other_ends) in specific {
        if ends.intersection(other_ends).len() >= CrashLog::ENDS_MIN {
            rest = rest.difference(other_ends);
        }
    }
    rest != *ends && rest.len() < CrashLog::ENDS_MIN
}

impl Quarantine {
    fn trial_in_ms(&self, now: TimeMs) -> u64 {
        let delay_ms = match self.ends >= CrashLog::CERTAIN_ENDS {
            true => CrashLog::QUARANTINE_MS,
            false => CrashLog::TRIAL_DELAY_MS,
        };
        delay_ms.saturating_sub(now.since(self.newest_seen_at))
    }
}

fn trial_id<'a>(suspect: &Suspect, ends: impl Iterator<Item = &'a InstanceEnd>) -> TrialId {
    let mut ends: Vec<&InstanceEnd> = ends.collect();
    ends.sort();
    let mut bytes = suspect.to_string().into_bytes();
    for end in ends {
        bytes.extend_from_slice(end.instance.as_str().as_bytes());
        bytes.extend_from_slice(&end.incarnation.to_le_bytes());
    }
    TrialId(rapidhash::v3::rapidhash_v3(&bytes))
}
