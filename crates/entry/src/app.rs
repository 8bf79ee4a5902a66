//! State that all requests of an entry share.

use std::{
    sync::{atomic::AtomicU64, Arc, Mutex},
    time::Instant,
};

use indexmap::{IndexMap, IndexSet};
use net::Lifecycle;
use policy::{admission::InFlightLimiter, quarantine::SuspectStore, retry::RetryBudget};
use shared_state::SharedState;
use store::ObjectStore;
use types::{ClassName, RequestId, TimeMs};

use crate::{attempt::Transport, meters::Meters, pools::Pools, Settings};

/// Admission state: the in-flight limiter and the displaced requests.
pub(crate) struct AdmissionState {
    in_flight_max: u32,
    pub(crate) limiter: InFlightLimiter,
    /// Ids of the slots whose requests were displaced. Each request fails, and its
    /// id is removed, when it is about to be dispatched.
    pub(crate) displaced: IndexSet<RequestId>,
}

impl AdmissionState {
    fn new(in_flight_max: u32) -> Self {
        Self {
            in_flight_max,
            limiter: InFlightLimiter::new(in_flight_max),
            displaced: IndexSet::new(),
        }
    }

    /// Applies a changed limit. Requests admitted under the old limit finish
    /// without being counted against the new one.
    pub(crate) fn resize(&mut self, in_flight_max: u32) {
        if self.in_flight_max != in_flight_max {
            *self = Self::new(in_flight_max);
        }
    }
}

/// Shared state of an entry.
pub(crate) struct App {
    pub(crate) settings: Settings,
    pub(crate) shared: Arc<SharedState>,
    pub(crate) store: Arc<dyn ObjectStore>,
    pub(crate) peers: rpc::Client,
    pub(crate) transport: Transport,
    pub(crate) pools: Pools,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) meters: Meters,
    pub(crate) admission: Mutex<AdmissionState>,
    pub(crate) suspects: Mutex<SuspectStore>,
    /// Number of claims made since the last sweep; determines the size of the
    /// next one.
    pub(crate) claims_made: AtomicU64,
    budgets: Mutex<IndexMap<ClassName, RetryBudget>>,
    origin: Instant,
}

impl App {
    pub(crate) fn new(settings: Settings, dependencies: crate::Dependencies) -> Self {
        let in_flight_max = dependencies
            .shared
            .config()
            .document
            .limits
            .entry_in_flight_max;
        Self {
            transport: Transport::new(settings.secrets.clone()),
            pools: Pools::new(&settings),
            lifecycle: Lifecycle::default(),
            meters: Meters::new(),
            admission: Mutex::new(AdmissionState::new(in_flight_max)),
            suspects: Mutex::new(SuspectStore::new()),
            claims_made: AtomicU64::new(0),
            budgets: Mutex::new(IndexMap::new()),
            origin: Instant::now(),
            shared: dependencies.shared,
            store: dependencies.store,
            peers: dependencies.peers,
            settings,
        }
    }

    /// Returns the time since this state was created, on the monotonic clock. Not
    /// comparable between processes.
    pub(crate) fn now(&self) -> TimeMs {
        TimeMs(self.origin.elapsed().as_millis() as u64)
    }

    /// Applies `change` to the retry budget of a class, which is created on first
    /// use.
    pub(crate) fn with_budget<T>(
        &self,
        class: &ClassName,
        change: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = lock(&self.budgets);
        change(budgets.entry(class.clone()).or_default())
    }
}

/// Locks a mutex and ignores poisoning, since a panic can't leave the guarded
/// values partially updated.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
