//! Queue of one class, shared fairly between teams.
//!
//! Implements start-time fair queueing. Each team has a tag: the service it
//! has received, divided by its weight. The team with the lowest tag is served
//! next. A team that becomes active again starts at the virtual time of the
//! class, so that it cannot accumulate credit while idle.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use types::{ClassName, RequestId, TeamName, TimeMs};

use super::ClassRules;

/// Key under which requests that must run alone are queued, in place of the
/// team name. A separate queue keeps them from blocking other requests of the
/// team.
pub(super) const RUN_ALONE_KEY: &str = "\0alone";

/// The queue of a class and the credit towards its minimum share.
#[derive(Debug)]
pub(super) struct ClassQueue {
    pub(super) name: ClassName,
    pub(super) rules: ClassRules,
    /// Position in ascending order of priority; 0 is the lowest class.
    pub(super) rank: usize,
    /// Slot time owed to the class (positive) or used in advance (negative),
    /// in thousandths of a slot times milliseconds.
    pub(super) share_credit: i64,
    /// Last time a request of the class was shed: refused because the queue was
    /// full, displaced, or expired at its deadline.
    pub(super) last_shed: Option<TimeMs>,
    by_sequence: BTreeMap<u64, (TeamName, RequestId)>,
    teams: IndexMap<TeamName, TeamQueue>,
    virtual_time: u64,
}

/// Queued requests of one team within a class, by order of arrival.
#[derive(Debug, Default)]
struct TeamQueue {
    queued: BTreeMap<u64, RequestId>,
    tag: u64,
}

impl ClassQueue {
    /// Maximum number of teams without queued requests whose tag is kept.
    const IDLE_TEAMS_MAX: usize = 1_024;
    /// Tag units that one token costs at weight 1. The scale keeps precision
    /// when the cost is divided by larger weights.
    const TAG_PER_TOKEN: u64 = 1_024;

    pub(super) fn new(name: ClassName, rules: ClassRules, rank: usize) -> Self {
        Self {
            name,
            rules,
            rank,
            share_credit: 0,
            last_shed: None,
            by_sequence: BTreeMap::new(),
            teams: IndexMap::new(),
            virtual_time: 0,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.by_sequence.len()
    }

    pub(super) fn push(&mut self, sequence: u64, team: TeamName, id: RequestId) {
        if !self.teams.contains_key(&team) {
            self.evict_idle_teams();
        }
        let virtual_time = self.virtual_time;
        let entry = self.teams.entry(team.clone()).or_default();
        if entry.queued.is_empty() {
            entry.tag = entry.tag.max(virtual_time);
        }
        entry.queued.insert(sequence, id.clone());
        self.by_sequence.insert(sequence, (team, id));
    }

    pub(super) fn remove(&mut self, sequence: u64) -> Option<RequestId> {
        let (team, id) = self.by_sequence.remove(&sequence)?;
        if let Some(team) = self.teams.get_mut(&team) {
            team.queued.remove(&sequence);
        }
        Some(id)
    }

    /// Returns the request to serve next. Considers only the oldest request of
    /// each team, and only if `fits` accepts it.
    pub(super) fn next(&self, fits: impl Fn(&RequestId) -> bool) -> Option<&RequestId> {
        self.teams
            .iter()
            .filter_map(|(_, team)| Some((team.tag, team.queued.first_key_value()?)))
            .filter(|(_, (_, id))| fits(id))
            .min_by_key(|(tag, (sequence, _))| (*tag, **sequence))
            .map(|(_, (_, id))| id)
    }

    /// Returns the request that arrived last, with its sequence number.
    pub(super) fn newest(&self) -> Option<(u64, &RequestId)> {
        let (sequence, (_, id)) = self.by_sequence.last_key_value()?;
        Some((*sequence, id))
    }

    /// Returns the request that arrived first, over all teams.
    pub(super) fn oldest(&self) -> Option<&RequestId> {
        self.by_sequence.first_key_value().map(|(_, (_, id))| id)
    }

    /// Number of queued requests that must run alone.
    pub(super) fn run_alone_len(&self) -> usize {
        self.teams
            .get(RUN_ALONE_KEY)
            .map_or(0, |team| team.queued.len())
    }

    /// Returns the request that has waited longest among those that must run
    /// alone.
    pub(super) fn oldest_run_alone(&self) -> Option<&RequestId> {
        let (_, id) = self.teams.get(RUN_ALONE_KEY)?.queued.first_key_value()?;
        Some(id)
    }

    /// Returns the newest request of the team with the most queued requests
    /// relative to its weight. Returns `None` unless that ratio exceeds the one
    /// `team` would have with one more request.
    pub(super) fn newest_of_largest_backlog(
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

    /// Charges a team for the expected tokens of a request that starts, and
    /// advances the virtual time to the team's tag.
    pub(super) fn charge(&mut self, team: &TeamName, tokens: u32, weight: u64) {
        let entry = self.teams.entry(team.clone()).or_default();
        entry.tag = entry.tag.max(self.virtual_time);
        self.virtual_time = entry.tag;
        entry.tag = entry.tag.saturating_add(tag_cost(tokens, weight));
    }

    /// Replaces an earlier charge of `charged` tokens by `actual` tokens, when a
    /// better estimate or the final length is available.
    pub(super) fn correct_charge(
        &mut self,
        team: &TeamName,
        charged: u32,
        actual: u32,
        weight: u64,
    ) {
        let Some(entry) = self.teams.get_mut(team) else {
            return;
        };
        entry.tag = entry
            .tag
            .saturating_add(tag_cost(actual, weight))
            .saturating_sub(tag_cost(charged, weight));
    }

    /// Bounds the number of teams without queued requests. Tags that are not
    /// ahead of the virtual time are removed first, since a returning team would
    /// start at the virtual time anyway.
    fn evict_idle_teams(&mut self) {
        if self.teams.len() < self.by_sequence.len() + Self::IDLE_TEAMS_MAX {
            return;
        }
        let virtual_time = self.virtual_time;
        self.teams
            .retain(|_, team| !team.queued.is_empty() || team.tag > virtual_time);
        if self.teams.len() >= self.by_sequence.len() + Self::IDLE_TEAMS_MAX {
            self.teams.retain(|_, team| !team.queued.is_empty());
        }
    }
}

fn tag_cost(tokens: u32, weight: u64) -> u64 {
    u64::from(tokens.max(1)) * ClassQueue::TAG_PER_TOKEN / weight.max(1)
}
