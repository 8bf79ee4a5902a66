//! What the agent's tasks share.

use std::{
    fmt,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Mutex, MutexGuard, PoisonError,
    },
};

use crate::{
    clock::Clock, gate::Gate, meters::Meters, notify::Notify, settings::Settings,
    upstream::Upstream,
};
use policy::{
    quarantine::SuspectStore,
    schedule::{ClassRules, LoadReport, Settings as ScheduleSettings},
};
use rpc::DispatchReply;
use shared_state::SharedState;
use store::ObjectStore;
use telemetry::events::AgentEvent;

/// The state of one agent.
pub(crate) struct Agent {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) gate: Arc<Gate>,
    pub(crate) upstream: Upstream,
    pub(crate) shared: Arc<SharedState>,
    pub(crate) in_flight: InFlight,
    pub(crate) meters: Meters,
    pub(crate) store: Arc<dyn ObjectStore>,
    pub(crate) peers: rpc::Client,
    /// Set when there is evidence that the store does not have.
    pub(crate) has_new_evidence: Notify,
    /// Whether earlier evidence was looked for; until then nothing is taken.
    is_informed: AtomicBool,
    suspects: Mutex<SuspectStore>,
}

/// Counts exchanges with entries that have not ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlight(Arc<AtomicUsize>);

/// One exchange; counted until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard(Arc<AtomicUsize>);

impl InFlight {
    /// Counts an exchange.
    pub(crate) fn enter(&self) -> InFlightGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(self.0.clone())
    }

    /// Exchanges now.
    pub(crate) fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

impl fmt::Debug for Agent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Agent")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Agent {
    /// Makes an agent that holds no request.
    pub(crate) fn new(
        settings: Settings,
        shared: Arc<SharedState>,
        store: Arc<dyn ObjectStore>,
    ) -> Self {
        let secrets = settings.secrets.clone();
        let clock = Clock::new();
        let schedule = schedule_settings(&settings, &shared);
        Self {
            clock,
            gate: Gate::new(clock, schedule),
            upstream: Upstream::new(settings.upstream_addr.clone()),
            shared,
            in_flight: InFlight::default(),
            meters: Meters::new(),
            store,
            peers: rpc::Client::new(settings.instance.clone(), secrets),
            has_new_evidence: Notify::new(),
            is_informed: AtomicBool::new(false),
            suspects: Mutex::new(SuspectStore::new()),
            settings,
        }
    }

    /// Applies the configuration in force to the scheduler.
    pub(crate) fn reconfigure(&self) {
        let schedule = schedule_settings(&self.settings, &self.shared);
        self.gate.reconfigure(schedule);
    }

    /// What every answer to an entry says about this agent.
    pub(crate) fn reply(&self, load: LoadReport) -> DispatchReply {
        DispatchReply {
            sender: self.settings.instance.clone(),
            generation: self.shared.config().generation,
            load,
            leaving: self.gate.is_draining(),
        }
    }

    /// The load now; without capacity while the upstream can't be reached.
    pub(crate) fn load(&self) -> LoadReport {
        let mut load = self.gate.load();
        if !self.upstream.is_reachable() {
            load.running_limit = 0;
        }
        load
    }

    /// Refuses new requests from now on and finishes those that are held.
    pub(crate) fn drain(&self) {
        if self.gate.drain() {
            telemetry::emit(&AgentEvent::DrainStarted {
                instance: self.settings.instance.clone(),
                held: u32::try_from(self.gate.held()).unwrap_or(u32::MAX),
            });
        }
    }

    /// Whether the agent may take requests: it is configured, and has looked
    /// for evidence that an earlier process left.
    pub(crate) fn is_informed(&self) -> bool {
        self.is_informed.load(Ordering::Acquire)
    }

    /// Notes that earlier evidence was looked for.
    pub(crate) fn set_informed(&self) {
        self.is_informed.store(true, Ordering::Release);
    }

    /// Whether the configuration in force names the agent's upstream.
    pub(crate) fn is_configured(&self) -> bool {
        let snapshot = self.shared.config();
        snapshot
            .document
            .upstreams
            .contains_key(&self.settings.upstream)
    }

    /// The memory of suspected contents.
    pub(crate) fn suspects(&self) -> MutexGuard<'_, SuspectStore> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The scheduler's settings from the configuration in force.
fn schedule_settings(settings: &Settings, shared: &SharedState) -> ScheduleSettings {
    let snapshot = shared.config();
    let document = &snapshot.document;
    let upstream = document.upstreams.get(&settings.upstream);
    let classes = document.classes.iter().map(|(name, class)| {
        let rules = ClassRules {
            priority: types::Priority(class.priority),
            first_token_target_ms: class.first_token_target_ms,
            min_share_permille: class.min_share_permille,
            queue_limit: class.queue_limit,
        };
        (name.clone(), rules)
    });
    let weights = document.teams.iter().filter(|(_, team)| team.weight != 1);
    ScheduleSettings::builder()
        .discipline(settings.discipline)
        .running_min(upstream.map_or(1, |upstream| upstream.running_min))
        .running_max(upstream.map_or(1, |upstream| upstream.running_max))
        .reserved_slots(upstream.map_or(0, |upstream| upstream.reserved_slots))
        .classes(classes.collect())
        .team_weights(
            weights
                .map(|(name, team)| (name.clone(), team.weight))
                .collect(),
        )
        .build()
}
