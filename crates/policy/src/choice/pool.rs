//! The candidates of one upstream and the baseline rules.

use std::sync::{
    atomic::{AtomicU64, AtomicUsize, Ordering},
    Arc,
};

use types::{TimeMs, ZoneName};

use super::{
    average::Typical, subset::subset, Candidate, Choice, ChoiceCriteria, ChoiceInputs, Member, Rule,
};

/// The instances of one upstream as one entry sees them.
#[derive(Debug, Default)]
pub struct Pool {
    pub(super) candidates: Vec<Arc<Candidate>>,
    pub(super) own_zone: Option<ZoneName>,
    pub(super) shared: Arc<Shared>,
}

/// What survives the replacement of a pool.
#[derive(Debug, Default)]
pub(super) struct Shared {
    turn: AtomicUsize,
    /// Choices since a slow instance was last tried.
    pub(super) since_probe: AtomicU64,
    typical: Arc<Typical>,
}

impl Pool {
    /// Makes the next pool from a membership view, keeping the statistics of
    /// instances that stay. `own_zone` comes first; `subset_max` bounds the
    /// candidates (0: no bound); `salt` is the entry's own, for rendezvous hashing.
    pub fn with_members(
        &self,
        members: &[Member],
        own_zone: &ZoneName,
        subset_max: usize,
        salt: u64,
    ) -> Pool {
        let keep = |member: &Member| {
            let mut known = self.candidates.iter();
            let known = known.find(|candidate| candidate.member == *member);
            known.cloned().unwrap_or_else(|| {
                let typical = Arc::clone(&self.shared.typical);
                Arc::new(Candidate::with_typical(member.clone(), typical))
            })
        };
        let members = subset(members, own_zone, subset_max, salt);
        Pool {
            candidates: members.iter().map(keep).collect(),
            own_zone: Some(own_zone.clone()),
            shared: Arc::clone(&self.shared),
        }
    }

    /// Chooses an instance; `None` when all are excluded or none exists.
    /// `random` is uniform over all `u64`.
    pub fn choose(
        &self,
        rule: Rule,
        now: TimeMs,
        criteria: &ChoiceCriteria<'_>,
        random: u64,
    ) -> Option<Choice> {
        let open: Vec<&Arc<Candidate>> = self
            .candidates
            .iter()
            .filter(|candidate| !criteria.exclude.contains(&candidate.member.instance))
            .collect();
        if open.is_empty() {
            return None;
        }
        match rule {
            Rule::Aged => Some(self.choose_aged(now, &open, criteria, random)),
            Rule::RoundRobin => Some(self.choose_in_turn(&open)),
            Rule::LeastUsed => Some(self.choose_least_used(&open)),
        }
    }

    /// The candidates, for status pages and probes.
    pub fn candidates(&self) -> &[Arc<Candidate>] {
        &self.candidates
    }

    fn choose_in_turn(&self, open: &[&Arc<Candidate>]) -> Choice {
        let turn = self.shared.turn.fetch_add(1, Ordering::Relaxed);
        choice(open[turn % open.len()], Vec::new())
    }

    /// Lowest reported load, each in turn among equals, as the policy "least
    /// used" of Reliable Server Pooling (Dreibholz and Rathgeb, "An Evaluation
    /// of the Pool Maintenance Overhead in Reliable Server Pooling Systems").
    fn choose_least_used(&self, open: &[&Arc<Candidate>]) -> Choice {
        let lowest = open.iter().map(|candidate| candidate.reported_requests());
        let lowest = lowest.min().unwrap_or(0);
        let equals: Vec<_> = open
            .iter()
            .filter(|candidate| candidate.reported_requests() == lowest)
            .copied()
            .collect();
        let scores = vec![f64::from(lowest)];
        let turn = self.shared.turn.fetch_add(1, Ordering::Relaxed);
        choice(equals[turn % equals.len()], scores)
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
