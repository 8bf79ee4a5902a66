//! The queue of one class, fair between teams.
//!
//! Start-time fair queueing: each team has a tag, the service that it has
//! received divided by its weight. The team with the lowest tag is served
//! next. A team that was idle starts at the class's virtual time, so that it
//! can't save up service.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use types::{ClassName, RequestId, TeamName, TimeMs};

use super::ClassRules;

/// Account of the requests that must run alone: they queue apart, so that
/// they don't hold up others of their team.
pub(super) const ALONE_KEY: &str = "\0alone";

/// A class with its queue and the account of its minimum share.
#[derive(Debug)]
pub(super) struct ClassQueue {
    pub(super) name: ClassName,
    pub(super) rules: ClassRules,
    /// Position in the order of priorities; 0 is the lowest class.
    pub(super) rank: usize,
    /// Service owed to the class (positive) or taken in advance (negative),
    /// in thousandths of a slot times milliseconds.
    pub(super) share_credit: i64,
    /// Last time a request of the class was refused for lack of room.
    pub(super) last_shed: Option<TimeMs>,
    by_age: BTreeMap<u64, (TeamName, RequestId)>,
    teams: IndexMap<TeamName, Team>,
    virtual_time: u64,
}

/// A team's queue inside a class.
#[derive(Debug, Default)]
struct Team {
    queued: BTreeMap<u64, RequestId>,
    tag: u64,
}

impl ClassQueue {
    /// Teams without queued requests whose account is kept at most.
    const IDLE_TEAMS_MAX: usize = 1_024;
    /// Scale of a tag: one token at weight 1.
    const TAG_PER_TOKEN: u64 = 1_024;

    pub(super) fn new(name: ClassName, rules: ClassRules, rank: usize) -> Self {
        Self {
            name,
            rules,
            rank,
            share_credit: 0,
            last_shed: None,
            by_age: BTreeMap::new(),
            teams: IndexMap::new(),
            virtual_time: 0,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.by_age.len()
    }

    pub(super) fn push(&mut self, sequence: u64, team: TeamName, id: RequestId) {
        if !self.teams.contains_key(&team) {
            self.forget_idle_teams();
        }
        let virtual_time = self.virtual_time;
        let entry = self.teams.entry(team.clone()).or_default();
        if entry.queued.is_empty() {
            entry.tag = entry.tag.max(virtual_time);
        }
        entry.queued.insert(sequence, id.clone());
        self.by_age.insert(sequence, (team, id));
    }

    pub(super) fn remove(&mut self, sequence: u64) -> Option<RequestId> {
        let (team, id) = self.by_age.remove(&sequence)?;
        if let Some(team) = self.teams.get_mut(&team) {
            team.queued.remove(&sequence);
        }
        Some(id)
    }

    /// The request to serve next among those that `fits` lets pass.
    pub(super) fn next(&self, fits: impl Fn(&RequestId) -> bool) -> Option<&RequestId> {
        self.teams
            .iter()
            .filter_map(|(_, team)| Some((team.tag, team.queued.first_key_value()?)))
            .filter(|(_, (_, id))| fits(id))
            .min_by_key(|(tag, (sequence, _))| (*tag, **sequence))
            .map(|(_, (_, id))| id)
    }

    /// The request that arrived last.
    pub(super) fn youngest(&self) -> Option<(u64, &RequestId)> {
        let (sequence, (_, id)) = self.by_age.last_key_value()?;
        Some((*sequence, id))
    }

    /// The request that arrived first.
    pub(super) fn oldest(&self) -> Option<&RequestId> {
        self.by_age.first_key_value().map(|(_, (_, id))| id)
    }

    /// Queued requests that must run alone.
    pub(super) fn alone_len(&self) -> usize {
        self.teams
            .get(ALONE_KEY)
            .map_or(0, |team| team.queued.len())
    }

    /// The request that has waited longest to run alone.
    pub(super) fn oldest_alone(&self) -> Option<&RequestId> {
        let (_, id) = self.teams.get(ALONE_KEY)?.queued.first_key_value()?;
        Some(id)
    }

    /// The youngest request of the team that queues most for its weight, if
    /// that is more than `team` would queue with one more.
    pub(super) fn youngest_of_longest(
        &self,
        team: &TeamName,
        weight: impl Fn(&TeamName) -> u64,
    ) -> Option<&RequestId> {
        let own = self.teams.get(team).map_or(0, |team| team.queued.len()) as u64 + 1;
        let own_weight = weight(team);
        self.teams
            .iter()
            .filter(|(_, other)| !other.queued.is_empty())
            .map(|(name, other)| (other.queued.len() as u64, weight(name), other))
            .filter(|(queued, weight, _)| queued * own_weight > own * weight)
            .max_by(|(a, wa, _), (b, wb, _)| (a * wb).cmp(&(b * wa)))
            .and_then(|(_, _, other)| other.queued.last_key_value())
            .map(|(_, id)| id)
    }

    /// Charges a team when a request starts.
    pub(super) fn charge(&mut self, team: &TeamName, tokens: u32, weight: u64) {
        let entry = self.teams.entry(team.clone()).or_default();
        entry.tag = entry.tag.max(self.virtual_time);
        self.virtual_time = entry.tag;
        entry.tag = entry.tag.saturating_add(tag_cost(tokens, weight));
    }

    /// Corrects a charge once more is known about the length.
    pub(super) fn correct(&mut self, team: &TeamName, charged: u32, actual: u32, weight: u64) {
        let Some(entry) = self.teams.get_mut(team) else {
            return;
        };
        entry.tag = entry
            .tag
            .saturating_add(tag_cost(actual, weight))
            .saturating_sub(tag_cost(charged, weight));
    }

    /// Keeps the account of teams without queued requests bounded. A tag that
    /// the virtual time has passed says nothing and goes first.
    fn forget_idle_teams(&mut self) {
        if self.teams.len() < self.by_age.len() + Self::IDLE_TEAMS_MAX {
            return;
        }
        let virtual_time = self.virtual_time;
        self.teams
            .retain(|_, team| !team.queued.is_empty() || team.tag > virtual_time);
        if self.teams.len() >= self.by_age.len() + Self::IDLE_TEAMS_MAX {
            self.teams.retain(|_, team| !team.queued.is_empty());
        }
    }
}

fn tag_cost(tokens: u32, weight: u64) -> u64 {
    u64::from(tokens.max(1)) * ClassQueue::TAG_PER_TOKEN / weight.max(1)
}
