//! Routing configuration, indexed for lookup by request.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use policy::placement::CopyLink;
use types::{Priority, TeamName, UpstreamName};

/// Whether a request may be sent again after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The request is safe to run any number of times.
    Always,
    /// The request must run at most once: it is retried only if no attempt can
    /// have run it.
    NotRunOnly,
    /// The request may be retried; once events were delivered, another instance
    /// resumes the stream after the last one.
    ResumeStream,
}

/// How a response is delivered to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseMode {
    /// The body is buffered and relayed only once it is complete.
    Buffered,
    /// Server-sent events are relayed as they arrive.
    EventStream {
        /// Latency target for the gap between two events.
        event_gap_target: Duration,
    },
}

/// Position in the order of urgency, 0 for the most urgent. Only the order of ranks
/// counts: a configuration may space them as it likes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank(pub u64);

/// Upstream that receives a weighted share of the requests of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedUpstream {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Weight relative to the other upstreams of the route.
    pub weight: u32,
}

/// Rule that maps requests by host and path prefix to upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route; only logged.
    pub name: Arc<str>,
    /// Host that requests must name, without a port.
    pub host: Arc<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether failed attempts may be retried.
    pub retry_policy: RetryPolicy,
    /// How responses are delivered.
    pub response_mode: ResponseMode,
    /// Upper bound on the deadline of a request.
    pub timeout: Duration,
    /// Latency target for a buffered response, or for the first event of a
    /// stream.
    pub latency_target: Duration,
    /// Rank relative to other routes.
    pub rank: Rank,
    /// Upstreams that share the requests by weight. Empty only if the route is
    /// unavailable: requests that select it are refused as not run.
    pub weighted_upstreams: Vec<WeightedUpstream>,
    /// Maximum number of attempts for one request, at least 1.
    pub attempts_max: u32,
    /// Whether requests without a valid API key are accepted.
    pub public: bool,
}

/// Capacity of each instance of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamSpec {
    /// Maximum connections that one instance accepts from all clients.
    pub connections_max: u32,
    /// KV cache capacity of one instance, in tokens; `None` for a plain
    /// service.
    pub memory_tokens: Option<u64>,
    /// Links over which the instances copy cached prefixes from each other;
    /// `None` if they do not.
    pub copy_link: Option<CopyLink>,
}

/// Teams that may send requests, indexed by API key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Teams {
    by_key: IndexMap<Arc<str>, Arc<Team>>,
}

/// A team and its rank.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Name of the team, forwarded to instances.
    pub name: TeamName,
    /// Takes precedence over the rank of the route, which only orders requests of
    /// teams with equal rank. If `None`, the rank of the route is used instead.
    pub rank: Option<Rank>,
}

impl Teams {
    fn all(&self) -> impl Iterator<Item = &Team> {
        self.by_key.values().map(AsRef::as_ref)
    }

    /// Adds a team and indexes it by its keys. A key that was already present
    /// is reassigned.
    pub fn add(&mut self, team: Team, keys: impl IntoIterator<Item = Arc<str>>) {
        let team = Arc::new(team);
        for key in keys {
            self.by_key.insert(key, team.clone());
        }
    }

    /// Returns the team that owns an API key.
    pub fn find_by_key(&self, key: &str) -> Option<&Arc<Team>> {
        self.by_key.get(key)
    }
}

/// Size and time limits for requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head_max_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_max_bytes: u64,
    /// Maximum time to receive a request head, and again to receive the body.
    pub head_timeout: Duration,
    /// Maximum idle time of a keep-alive connection between requests.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns the limits that apply before the first configuration.
    fn default() -> Self {
        Self {
            head_max_bytes: 16 << 10,
            body_max_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Part of a configuration that could not be decoded and is not in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadablePart {
    /// Path of the part in the document, such as `routes.2`.
    pub path: String,
    /// Decoding error, for the log.
    pub reason: String,
}

/// A complete routing configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Routing {
    /// Version, increasing with each configuration; 0 before the first.
    pub version: u64,
    /// Routes by host, each list sorted by descending prefix length.
    routes: IndexMap<Arc<str>, Vec<Arc<Route>>>,
    /// Capacity of the upstreams by name.
    pub upstreams: IndexMap<UpstreamName, UpstreamSpec>,
    /// Teams by API key; `None` if no route requires a key.
    pub teams: Option<Teams>,
    /// Size and time limits for requests.
    pub limits: Limits,
    /// Parts of the document that are not in force.
    pub unreadable_parts: Vec<UnreadablePart>,
}

impl Routing {
    /// Builds a configuration from its routes, without teams and with default
    /// limits.
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

    /// Returns the route with the longest prefix of `path` among those of
    /// `host`. A port in `host` is ignored.
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

    /// Number of priorities that instances distinguish.
    pub const PRIORITIES: usize = 10;

    /// Returns the priority of a request within this configuration, from
    /// `u8::MAX` for the most urgent downwards. Requests are ordered by the rank of
    /// the team, then of the route. Without a rank of the team, the rank of the
    /// route is used for both. Routes without an upstream have no part in the order.
    pub fn priority(&self, team: Option<&Team>, route: &Route) -> Priority {
        let routes = self.all_routes().filter(|route| route.is_available());
        let route_ranks = distinct_ranks(routes.map(|route| route.rank));
        let teams = self.teams.iter().flat_map(Teams::all);
        let team_ranks = distinct_ranks(
            teams
                .filter_map(|team| team.rank)
                .chain(route_ranks.iter().copied()),
        );
        let team_rank = team.and_then(|team| team.rank).unwrap_or(route.rank);
        let position = rank_index(&team_ranks, team_rank) * route_ranks.len()
            + rank_index(&route_ranks, route.rank);
        let position_count = (team_ranks.len() * route_ranks.len()).max(1);
        let priority = match position_count <= Self::PRIORITIES {
            true => position,
            false => position * Self::PRIORITIES / position_count,
        };
        Priority(u8::MAX - priority as u8)
    }

    fn all_routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }

    /// Returns the number of routes of all hosts.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

impl Route {
    /// Creates a route that selects requests, but has no upstream for them.
    pub fn unavailable(host: Arc<str>, prefix: Arc<str>) -> Self {
        Self {
            name: prefix.clone(),
            host,
            prefix,
            retry_policy: RetryPolicy::NotRunOnly,
            response_mode: ResponseMode::Buffered,
            timeout: Duration::ZERO,
            latency_target: Duration::ZERO,
            rank: Rank(u64::MAX),
            weighted_upstreams: Vec::new(),
            attempts_max: 1,
            public: false,
        }
    }

    /// Returns whether the route has an upstream.
    pub fn is_available(&self) -> bool {
        !self.weighted_upstreams.is_empty()
    }

    /// Selects an upstream by weight, `None` if the route is unavailable. `random`
    /// must be uniformly distributed and drawn anew for each request.
    pub fn select_upstream(&self, random: u64) -> Option<&UpstreamName> {
        let total: u64 = self
            .weighted_upstreams
            .iter()
            .map(|weighted_upstream| u64::from(weighted_upstream.weight))
            .sum();
        let mut drawn = random % total.max(1);
        for weighted_upstream in &self.weighted_upstreams {
            let weight = u64::from(weighted_upstream.weight);
            if drawn < weight {
                return Some(&weighted_upstream.upstream);
            }
            drawn -= weight;
        }
        let first = self.weighted_upstreams.first()?;
        Some(&first.upstream)
    }
}

/// Returns the distinct ranks, the most urgent first.
fn distinct_ranks(ranks: impl Iterator<Item = Rank>) -> Vec<Rank> {
    let mut ranks: Vec<Rank> = ranks.collect();
    ranks.sort();
    ranks.dedup();
    ranks
}

/// Returns the index of the first of `ranks` that is not more urgent than `rank`, or
/// of the last one if all are.
fn rank_index(ranks: &[Rank], rank: Rank) -> usize {
    let position = ranks.iter().position(|other| *other >= rank);
    position.unwrap_or(ranks.len().saturating_sub(1))
}
