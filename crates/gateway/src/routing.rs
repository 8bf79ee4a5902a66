//! The configuration in force, in the form that a request needs.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use types::{Priority, TeamName, UpstreamName};

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Any number of times.
    Always,
    /// Once at most.
    NotRunOnly,
    /// Once, but another instance may go on after the last event delivered.
    ResumeStream,
}

/// What an answer looks like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseMode {
    /// One body, delivered whole or not at all.
    Buffered,
    /// Events that are delivered as they come.
    EventStream {
        /// Longest pause between two events for which the answer is on time.
        event_gap_target: Duration,
    },
}

/// A share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedUpstream {
    /// Where it goes.
    pub upstream: UpstreamName,
    /// Its weight among the route's shares.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name, for logs.
    pub name: Arc<str>,
    /// Host that callers name.
    pub host: Arc<str>,
    /// Start of the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// How often a request may run.
    pub retry_policy: RetryPolicy,
    /// What its answers look like.
    pub response_mode: ResponseMode,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or its first event, is on time.
    pub latency_target: Duration,
    /// Rank among the routes.
    pub priority: Priority,
    /// Where its requests go. Never empty.
    pub weighted_upstreams: Vec<WeightedUpstream>,
    /// Instances that one request may be sent to at most, at least 1.
    pub attempts_max: u32,
    /// Whether callers need no key.
    pub public: bool,
}

/// What an upstream's instances are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamSpec {
    /// Connections that one instance takes from all callers together.
    pub connections_max: u32,
    /// Tokens that one instance has memory for; `None` for a plain service.
    pub memory_tokens: Option<u64>,
}

/// Who may call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Teams {
    by_key: IndexMap<Arc<str>, Arc<Team>>,
}

/// A team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Its name.
    pub name: TeamName,
    /// Goes before the priority of the route; requests of one team are ranked
    /// by their routes.
    pub priority: Option<Priority>,
}

impl Teams {
    fn all(&self) -> impl Iterator<Item = &Team> {
        self.by_key.values().map(AsRef::as_ref)
    }

    /// Adds a team with its keys.
    pub fn add(&mut self, team: Team, keys: impl IntoIterator<Item = Arc<str>>) {
        let team = Arc::new(team);
        for key in keys {
            self.by_key.insert(key, team.clone());
        }
    }

    /// The team that holds a key.
    pub fn find_by_key(&self, key: &str) -> Option<&Arc<Team>> {
        self.by_key.get(key)
    }
}

/// What callers may send and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head.
    pub head_max_bytes: usize,
    /// Largest request body.
    pub body_max_bytes: u64,
    /// Time for a request head, and for each pause within a body.
    pub head_timeout: Duration,
    /// Longest wait for the next request on a kept connection.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// What holds before the first configuration.
    fn default() -> Self {
        Self {
            head_max_bytes: 16 << 10,
            body_max_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Routing {
    /// Rises with each configuration; 0 before the first.
    pub version: u64,
    /// Routes by host; those of a host from the longest prefix on.
    routes: IndexMap<Arc<str>, Vec<Arc<Route>>>,
    /// Upstreams by name.
    pub upstreams: IndexMap<UpstreamName, UpstreamSpec>,
    /// `None` if callers need no keys at all.
    pub teams: Option<Teams>,
    /// Bounds for callers.
    pub limits: Limits,
}

impl Routing {
    /// Makes a configuration.
    pub fn new(version: u64, routes: impl IntoIterator<Item = Route>) -> Self {
        let mut by_host: IndexMap<Arc<str>, Vec<Arc<Route>>> = IndexMap::new();
        for route in routes {
            by_host
                .entry(route.host.clone())
                .or_default()
                .push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            routes: by_host,
            ..Self::default()
        }
    }

    /// The route of a request: the longest prefix of its host that begins its
    /// path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host);
        let routes = match self.routes.get(name) {
            Some(routes) => routes,
            None => self.routes.get(name.to_ascii_lowercase().as_str())?,
        };
        routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_ref()))
    }

    /// Ranks for which instances have room, from 0 for the most urgent.
    pub const RANKS: usize = 10;

    /// Rank of a request among all of this configuration, as a priority: by
    /// its team first, by its route among equal teams. A request without a
    /// team's priority counts by its route in both.
    pub fn priority(&self, team: Option<&Team>, route: &Route) -> Priority {
        let route_levels = levels(self.all_routes().map(|route| route.priority));
        let teams = self.teams.iter().flat_map(Teams::all);
        let team_levels = levels(
            teams
                .filter_map(|team| team.priority)
                .chain(route_levels.iter().copied()),
        );
        let team_priority = team
            .and_then(|team| team.priority)
            .unwrap_or(route.priority);
        let place = place_in(&team_levels, team_priority) * route_levels.len()
            + place_in(&route_levels, route.priority);
        let places = (team_levels.len() * route_levels.len()).max(1);
        let rank = match places <= Self::RANKS {
            true => place,
            false => place * Self::RANKS / places,
        };
        Priority(u8::MAX - rank as u8)
    }

    fn all_routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }

    /// Number of routes.
    pub fn routes(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

impl Route {
    /// The upstream of a request, by weight; `random` is a number drawn anew
    /// for each request.
    pub fn select_upstream(&self, random: u64) -> &UpstreamName {
        let total: u64 = self
            .weighted_upstreams
            .iter()
            .map(|weighted_upstream| u64::from(weighted_upstream.weight))
            .sum();
        let mut drawn = random % total.max(1);
        for weighted_upstream in &self.weighted_upstreams {
            let weight = u64::from(weighted_upstream.weight);
            if drawn < weight {
                return &weighted_upstream.upstream;
            }
            drawn -= weight;
        }
        &self.weighted_upstreams[0].upstream
    }
}

/// The different priorities, from the highest on.
fn levels(priorities: impl Iterator<Item = Priority>) -> Vec<Priority> {
    let mut levels: Vec<Priority> = priorities.collect();
    levels.sort_by_key(|priority| std::cmp::Reverse(*priority));
    levels.dedup();
    levels
}

fn place_in(levels: &[Priority], priority: Priority) -> usize {
    let place = levels.iter().position(|level| *level <= priority);
    place.unwrap_or(levels.len().saturating_sub(1))
}
