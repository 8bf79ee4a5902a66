//! Description of a cluster and its default configuration.

use std::time::Duration;

use config::{key_digest, Class, Document, Service, Team, Upstream, UpstreamKind};
use types::{ClassName, ModelName, RouteName, TeamName, UpstreamName};

use crate::{
    cluster::{ENGINE_MODEL, ENGINE_UPSTREAM, SERVICE_ROUTE, SERVICE_UPSTREAM},
    Programs,
};

/// API key of the team `clinic` in [`default_document`].
pub const CLINIC_KEY: &str = "clinic-key-for-tests";
/// API key of the team `cafe` in [`default_document`].
pub const CAFE_KEY: &str = "cafe-key-for-tests";

/// Number of processes of a cluster, their arguments and configuration. The
/// arguments are the command-line flags of each program.
#[derive(Clone, Debug, bon::Builder)]
pub struct ClusterPlan {
    /// Number of entries; 1 by default.
    #[builder(default = 1)]
    pub entries: usize,
    /// Number of engines, each with an agent; 1 by default.
    #[builder(default = 1)]
    pub engines: usize,
    /// Number of plain services, each with an agent; 0 by default.
    #[builder(default = 0)]
    pub services: usize,
    /// Number of availability zones, to which processes are assigned
    /// round-robin; 3 by default.
    #[builder(default = 3)]
    pub zones: usize,
    /// Configuration that is submitted before engines, agents and entries start;
    /// [`default_document`] by default.
    #[builder(default = default_document())]
    pub document: Document,
    /// Whether the document is submitted at the start; if not, submit one
    /// with [`Cluster::submit`](crate::Cluster::submit).
    #[builder(default = true)]
    pub is_configured: bool,
    /// Arguments of `standins platform` besides the listen address.
    #[builder(default)]
    pub platform_args: Vec<String>,
    /// Arguments of `standins engine` for each engine, besides those for the listen
    /// address, the name and the model.
    #[builder(default)]
    pub engine_args: Vec<String>,
    /// Arguments of `standins service` for each service, besides those for the
    /// listen address and the name.
    #[builder(default)]
    pub service_args: Vec<String>,
    /// Arguments of `limpetgw entry` for each entry, besides those for its
    /// addresses, name, zone and platform.
    #[builder(default)]
    pub entry_args: Vec<String>,
    /// Environment variables of each entry in addition to the inherited ones.
    #[builder(default)]
    pub entry_envs: Vec<(String, String)>,
    /// Arguments of `limpetgw agent` for each agent, besides those for its
    /// addresses, name, zone, platform and upstream.
    #[builder(default)]
    pub agent_args: Vec<String>,
    /// Directory of the executables; by default that of the running one
    /// ([`Programs::from_current_exe`]).
    pub programs: Option<Programs>,
    /// Timeout for all agents to become ready, and then again for all entries;
    /// 20 seconds by default.
    #[builder(default = Duration::from_secs(20))]
    pub ready_timeout: Duration,
}

/// Splits arguments at whitespace, as in `args("--batch-max 4 --token-ms 5")`.
pub fn args(text: &str) -> Vec<String> {
    text.split_whitespace().map(String::from).collect()
}

/// Returns the default configuration of a cluster: the classes `urgent`,
/// `standard` and `history`, two teams that may use all of them with `standard`
/// as default, the engine upstream, and the service upstream, whose calls below
/// `/orders` run at most once.
pub fn default_document() -> Document {
    let mut document = Document::default();
    let classes = [
        ("urgent", 200, 500, 30_000),
        ("standard", 100, 2_000, 60_000),
        ("history", 10, 10_000, 120_000),
    ];
    for (name, priority, first_token_target_ms, deadline_ms) in classes {
        let class = Class {
            priority,
            first_token_target_ms,
            token_gap_target_ms: 0,
            deadline_ms,
            min_share_permille: 50,
            queue_limit: 64,
        };
        document.classes.insert(ClassName::from(name), class);
    }
    for (name, key) in [("clinic", CLINIC_KEY), ("cafe", CAFE_KEY)] {
        let team = Team {
            key_digests: vec![key_digest(key)],
            classes: ["standard", "urgent", "history"]
                .map(ClassName::from)
                .into(),
            weight: 1,
        };
        document.teams.insert(TeamName::from(name), team.into());
    }
    let engines = Upstream {
        models: vec![ModelName::from(ENGINE_MODEL)],
        ..upstream(UpstreamKind::Engine)
    };
    document
        .upstreams
        .insert(UpstreamName::from(ENGINE_UPSTREAM), engines);
    document.upstreams.insert(
        UpstreamName::from(SERVICE_UPSTREAM),
        upstream(UpstreamKind::Service),
    );
    let service = Service {
        upstream: SERVICE_UPSTREAM.into(),
        at_most_once_prefixes: vec!["/orders".into()],
    };
    document
        .services
        .insert(RouteName::from(SERVICE_ROUTE), service);
    document
}

fn upstream(kind: UpstreamKind) -> Upstream {
    Upstream {
        kind,
        models: Vec::new(),
        adapters: Vec::new(),
        checks_fencing: false,
        running_min: 1,
        running_max: 16,
        reserved_slots: 0,
        idempotent: true,
    }
}
