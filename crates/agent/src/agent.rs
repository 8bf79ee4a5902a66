//! State shared by all tasks of an agent.

use std::{
    fmt,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Mutex, MutexGuard, PoisonError,
    },
};

use crate::{
    clock::Clock, meters::Meters, notify::Notify, scheduler::RequestScheduler, settings::Settings,
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

/// State of one agent; created at start and never replaced.
pub(crate) struct Agent {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) scheduler: Arc<RequestScheduler>,
    pub(crate) upstream: Upstream,
    pub(crate) shared: Arc<SharedState>,
    pub(crate) in_flight: InFlight,
    pub(crate) meters: Meters,
    pub(crate) store: Arc<dyn ObjectStore>,
    pub(crate) peers: rpc::Client,
    /// Set when there is evidence that is not yet in the store.
    pub(crate) has_new_evidence: Notify,
    /// Whether the attempt to load earlier evidence has ended, successfully or
    /// not; dispatches are refused until then.
    is_evidence_loaded: AtomicBool,
    suspects: Mutex<SuspectStore>,
}

/// Counter of dispatches whose response has not ended yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlight(Arc<AtomicUsize>);

/// Guard that decrements the [`InFlight`] counter when it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard(Arc<AtomicUsize>);

impl InFlight {
    /// Increments the counter until the returned guard is dropped.
    pub(crate) fn enter(&self) -> InFlightGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(self.0.clone())
    }

    /// Returns the number of live guards.
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
    /// Creates an agent without requests.
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
            scheduler: RequestScheduler::new(clock, schedule),
            upstream: Upstream::new(settings.upstream_addr.clone()),
            shared,
            in_flight: InFlight::default(),
            meters: Meters::new(),
            store,
            peers: rpc::Client::new(settings.instance.clone(), secrets),
            has_new_evidence: Notify::new(),
            is_evidence_loaded: AtomicBool::new(false),
            suspects: Mutex::new(SuspectStore::new()),
            settings,
        }
    }

    /// Applies the current configuration to the scheduler.
    pub(crate) fn reconfigure(&self) {
        let schedule = schedule_settings(&self.settings, &self.shared);
        self.scheduler.reconfigure(schedule);
    }

    /// Returns the reply header value that every response to an entry carries.
    pub(crate) fn reply(&self, load: LoadReport) -> DispatchReply {
        DispatchReply {
            sender: self.settings.instance.clone(),
            generation: self.shared.config().generation,
            load,
            leaving: self.scheduler.is_draining(),
        }
    }

    /// Returns the current load, with a running limit of 0 while the upstream
    /// is unreachable.
    pub(crate) fn load(&self) -> LoadReport {
        let mut load = self.scheduler.load();
        if !self.upstream.is_reachable() {
            load.running_limit = 0;
        }
        load
    }

    /// Starts a drain: refuses new requests and completes the accepted ones.
    /// Later calls have no effect.
    pub(crate) fn drain(&self) {
        if self.scheduler.drain() {
            telemetry::emit(&AgentEvent::DrainStarted {
                instance: self.settings.instance.clone(),
                held: u32::try_from(self.scheduler.request_count()).unwrap_or(u32::MAX),
            });
        }
    }

    /// Whether the attempt to load the evidence of an earlier process has ended,
    /// successfully or not. Dispatches are refused before that, since the agent
    /// cannot yet identify quarantined contents.
    pub(crate) fn is_evidence_loaded(&self) -> bool {
        self.is_evidence_loaded.load(Ordering::Acquire)
    }

    /// Records that the attempt to load earlier evidence has ended, successfully
    /// or not.
    pub(crate) fn set_evidence_loaded(&self) {
        self.is_evidence_loaded.store(true, Ordering::Release);
    }

    /// Whether the current configuration contains the agent's upstream.
    pub(crate) fn is_configured(&self) -> bool {
        let snapshot = self.shared.config();
        snapshot
            .document
            .upstreams
            .contains_key(&self.settings.upstream)
    }

    /// Locks and returns the store of suspected contents.
    pub(crate) fn suspects(&self) -> MutexGuard<'_, SuspectStore> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Derives the scheduler settings from the current configuration.
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
