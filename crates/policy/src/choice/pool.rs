//! Candidates of one upstream, and the baseline rules.

use std::sync::{
    atomic::{AtomicU64, AtomicUsize, Ordering},
    Arc,
};

use types::{TimeMs, ZoneName};

use super::{
    average::FirstTokenStats, subset::subset, Candidate, Choice, ChoiceCriteria, ChoiceInputs,
    Member, Rule,
};

/// The instances of one upstream that one entry may choose from.
#[derive(Debug, Default)]
pub struct Pool {
    pub(super) candidates: Vec<Arc<Candidate>>,
    pub(super) own_zone: Option<ZoneName>,
    pub(super) shared: Arc<SharedState>,
}

/// State that is kept when a pool is replaced.
#[derive(Debug, Default)]
pub(super) struct SharedState {
    next_turn: AtomicUsize,
    /// Number of choices since a straggler was last probed.
    pub(super) choices_since_probe: AtomicU64,
    first_token_stats: Arc<FirstTokenStats>,
}

impl Pool {
    /// Creates the next pool from a membership view, keeping the statistics of
    /// instances that remain. Instances in `own_zone` are preferred;
    /// `subset_max` limits the number of candidates (0: no limit); `salt` is
    /// specific to the entry, for rendezvous hashing.
    pub fn with_members(
        &self,
        members: &[Member],
        own_zone: &ZoneName,
        subset_max: usize,
        salt: u64,
    ) -> Pool {
        let keep = |member: &Member| {
            let mut existing = self.candidates.iter();
            let existing = existing.find(|candidate| candidate.member == *member);
            existing.cloned().unwrap_or_else(|| {
                let first_token_stats = Arc::clone(&self.shared.first_token_stats);
                Arc::new(Candidate::with_first_token_stats(
                    member.clone(),
                    first_token_stats,
                ))
            })
        };
        let members = subset(members, own_zone, subset_max, salt);
        Pool {
            candidates: members.iter().map(keep).collect(),
            own_zone: Some(own_zone.clone()),
            shared: Arc::clone(&self.shared),
        }
    }

    /// Chooses an instance; `None` if there are none or all are excluded.
    /// `random` is uniform over all `u64`.
    pub fn choose(
        &self,
        rule: Rule,
        now: TimeMs,
        criteria: &ChoiceCriteria<'_>,
        random: u64,
    ) -> Option<Choice> {
        let eligible: Vec<&Arc<Candidate>> = self
            .candidates
            .iter()
            .filter(|candidate| !criteria.exclude.contains(&candidate.member.instance))
            .collect();
        if eligible.is_empty() {
            return None;
        }
        match rule {
            Rule::Aged => Some(self.choose_aged(now, &eligible, criteria, random)),
            Rule::RoundRobin => Some(self.choose_round_robin(&eligible)),
            Rule::LeastUsed => Some(self.choose_least_used(&eligible)),
        }
    }

    /// Returns the candidates, for status pages and probes.
    pub fn candidates(&self) -> &[Arc<Candidate>] {
        &self.candidates
    }

    fn choose_round_robin(&self, eligible: &[&Arc<Candidate>]) -> Choice {
        let turn = self.shared.next_turn.fetch_add(1, Ordering::Relaxed);
        choice(eligible[turn % eligible.len()], Vec::new())
    }

    /// Chooses the lowest reported load, round robin among ties, like the
    /// policy "least used" of Reliable Server Pooling (Dreibholz and Rathgeb,
    /// "An Evaluation of the Pool Maintenance Overhead in Reliable Server
    /// Pooling Systems").
    fn choose_least_used(&self, eligible: &[&Arc<Candidate>]) -> Choice {
        let lowest = eligible
            .iter()
            .map(|candidate| candidate.reported_requests());
        let lowest = lowest.min().unwrap_or(0);
        let tied: Vec<_> = eligible
            .iter()
            .filter(|candidate| candidate.reported_requests() == lowest)
            .copied()
            .collect();
        let scores = vec![f64::from(lowest)];
        let turn = self.shared.next_turn.fetch_add(1, Ordering::Relaxed);
        choice(tied[turn % tied.len()], scores)
    }
}

fn choice(candidate: &Arc<Candidate>, scores: Vec<f64>) -> Choice {
    let instance = &candidate.member.instance;
    let scores = scores.into_iter().map(|score| (instance.clone(), score));
    Choice {
        candidate: Arc::clone(candidate),
        inputs: ChoiceInputs {
            scores: scores.collect(),
            by_affinity: false,
        },
    }
}
