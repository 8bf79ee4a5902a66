//! [`SharedState`]: snapshots for readers, and the methods that replace them.

use std::{
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex, MutexGuard,
    },
    time::Instant,
};

use arc_swap::ArcSwap;
use config::{Head, ShardError, ShardTexts, Snapshot};
use rpc::methods::{ConfigBundle, GetConfigParams, MembershipView};
use smol::channel::{Receiver, Sender};
use store::{Instance, InstanceList};
use telemetry::events::StateEvent;
use types::{Generation, InstanceId};

use crate::{
    applied_config::AppliedConfig,
    follow,
    membership::{Membership, MembershipTracker},
    settings::Settings,
};

/// Capacity of the queue of [`Hint`]s.
const HINT_QUEUE_CAPACITY: usize = 64;

/// A peer whose message carried a higher generation than that of this process.
#[derive(Clone, Debug)]
pub(crate) struct Hint {
    pub(crate) peer_addr: Arc<str>,
    pub(crate) generation: Generation,
}

/// The configuration and membership snapshots of this process.
///
/// # Invariants
///
/// The generation in force never decreases.
#[derive(Debug)]
pub struct SharedState {
    applied: ArcSwap<AppliedConfig>,
    snapshot: ArcSwap<Snapshot>,
    /// Serializes the replacement of `snapshot` and `applied`.
    apply_lock: Mutex<()>,
    membership: ArcSwap<Membership>,
    tracker: Mutex<MembershipTracker>,
    /// Start of the current run of failed calls for the instance list; `None`
    /// if the last call succeeded.
    list_unconfirmed_since: Mutex<Option<Instant>>,
    /// Whether the last call to the store got a response.
    store_reachable: AtomicBool,
    /// Generation that is being fetched from the store; 0 if there is none.
    fetching: AtomicU64,
    hints: Sender<Hint>,
    /// Channel of capacity 1; a message triggers a comparison with several
    /// peers.
    comparison_due: (Sender<()>, Receiver<()>),
}

impl SharedState {
    /// Creates a state without background tasks, for tests.
    pub fn fixed(config: Snapshot, instances: Vec<Instance>) -> Arc<Self> {
        let (hints, _) = smol::channel::bounded(1);
        let state = Self::empty(hints);
        state.snapshot.store(Arc::new(config));
        state.on_list(InstanceList {
            version: 1,
            instances,
        });
        Arc::new(state)
    }

    /// Starts the background tasks that load the state (from the store, then
    /// from seeds) and keep it current. Returns without waiting for them; the
    /// configuration has generation 0 until the first one is loaded.
    pub fn start(settings: Settings) -> Arc<Self> {
        let (hints, hint_receiver) = smol::channel::bounded(HINT_QUEUE_CAPACITY);
        let state = Arc::new(Self::empty(hints));
        follow::spawn(&state, settings, hint_receiver);
        state
    }

    fn empty(hints: Sender<Hint>) -> Self {
        Self {
            applied: ArcSwap::default(),
            snapshot: ArcSwap::default(),
            apply_lock: Mutex::new(()),
            membership: ArcSwap::default(),
            tracker: Mutex::default(),
            list_unconfirmed_since: Mutex::new(None),
            store_reachable: AtomicBool::new(true),
            fetching: AtomicU64::new(0),
            hints,
            comparison_due: smol::channel::bounded(1),
        }
    }

    /// Returns a snapshot of the configuration in force.
    pub fn config(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Returns a snapshot of the listed instances and of those that may take new
    /// work.
    pub fn membership(&self) -> Arc<Membership> {
        self.membership.load_full()
    }

    /// Handles the generation in a message from a peer. If it is higher than
    /// that of this process, a fetch from the store or from that peer is queued.
    /// If it is lower, nothing is done: the response carries the generation of
    /// this process, so the peer fetches the configuration by itself.
    pub fn on_peer_generation(&self, peer_addr: &str, generation: Generation) {
        if generation <= self.generation() {
            return;
        }
        // If the queue is full, a fetch is pending anyway.
        let _ = self.hints.try_send(Hint {
            peer_addr: peer_addr.into(),
            generation,
        });
    }

    /// Like [`SharedState::on_peer_generation`], for a peer that is identified
    /// by its id. Looks its address up in the instance list; does nothing if
    /// the instance is not listed.
    pub fn on_sender_generation(&self, sender: &InstanceId, generation: Generation) {
        if generation <= self.generation() {
            return;
        }
        let addr = self
            .membership()
            .find(sender)
            .map(|instance| instance.addr.clone());
        if let Some(addr) = addr {
            self.on_peer_generation(&addr, generation);
        }
    }

    /// Records that an agent announced that it is leaving. This process sends
    /// it no new work until the instance list shows it as leaving, removed or
    /// replaced, or until it reports that it accepts work again.
    pub fn on_leaving(&self, instance: &InstanceId) {
        let mut tracker = lock(&self.tracker);
        if tracker.on_leaving(instance) {
            self.publish(&tracker);
            telemetry::emit(&StateEvent::InstanceSaidLeaving {
                instance: instance.clone(),
            });
        }
    }

    /// Returns the configuration in force for a peer with a lower generation;
    /// `None` if the peer's generation is not lower.
    pub fn config_bundle(&self, params: &GetConfigParams) -> Option<ConfigBundle> {
        self.applied().bundle(params)
    }

    /// Returns the instance list in use, for a peer that starts while the
    /// platform is unavailable.
    pub fn membership_view(&self) -> MembershipView {
        let age_ms = self.membership_age_ms();
        let tracker = lock(&self.tracker);
        MembershipView {
            list: tracker.list().clone(),
            leaving: tracker.tombstones().map(|(id, _)| id.clone()).collect(),
            age_ms,
        }
    }

    /// Returns the time since calls for the instance list began to fail, in
    /// milliseconds; 0 if the last call succeeded or none was made yet.
    pub fn membership_age_ms(&self) -> u64 {
        let unconfirmed_since = *lock(&self.list_unconfirmed_since);
        unconfirmed_since.map_or(0, |at| {
            u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX)
        })
    }

    pub(crate) fn generation(&self) -> Generation {
        self.snapshot.load().generation
    }

    pub(crate) fn applied(&self) -> Arc<AppliedConfig> {
        self.applied.load_full()
    }

    /// Replaces the configuration in force if the given one is newer. Returns
    /// whether it was replaced. `source` is only used in the logged event.
    ///
    /// # Errors
    ///
    /// Returns [`ShardError`] and keeps the configuration in force if the
    /// objects are not a valid configuration.
    pub fn apply(&self, head: Head, shards: ShardTexts, source: &str) -> Result<bool, ShardError> {
        if head.generation <= self.generation() {
            return Ok(false);
        }
        let applied = AppliedConfig::new(head, shards, &self.applied())?;
        let _guard = lock(&self.apply_lock);
        if applied.generation() <= self.generation() {
            return Ok(false);
        }
        telemetry::emit(&StateEvent::ConfigurationApplied {
            generation: applied.generation(),
            source: source.into(),
        });
        metrics::gauge!("limpetgw_config_generation").set(applied.generation().0 as f64);
        self.snapshot.store(applied.snapshot.clone());
        self.applied.store(Arc::new(applied));
        self.request_comparison();
        Ok(true)
    }

    pub(crate) fn on_list(&self, list: InstanceList) {
        let mut tracker = lock(&self.tracker);
        if tracker.on_list(list) {
            self.publish(&tracker);
        }
    }

    pub(crate) fn on_accepting_work(&self, instance: &InstanceId, addr: &str) {
        let mut tracker = lock(&self.tracker);
        if tracker.on_accepting_work(instance, addr) {
            self.publish(&tracker);
        }
    }

    pub(crate) fn list_version(&self) -> u64 {
        lock(&self.tracker).list().version
    }

    pub(crate) fn tombstones(&self) -> Vec<(InstanceId, Arc<str>)> {
        let tracker = lock(&self.tracker);
        tracker
            .tombstones()
            .map(|(id, addr)| (id.clone(), addr.clone()))
            .collect()
    }

    /// Records whether a call for the instance list succeeded, for
    /// [`SharedState::membership_age_ms`].
    pub(crate) fn on_list_call(&self, succeeded: bool) {
        let mut since = lock(&self.list_unconfirmed_since);
        if succeeded {
            *since = None;
        } else if since.is_none() {
            *since = Some(Instant::now());
        }
    }

    /// Returns a channel that receives a message when generations are to be
    /// compared with several peers at once: after a newer configuration was
    /// applied, and after one could not be fetched from the store.
    pub(crate) fn comparisons_due(&self) -> Receiver<()> {
        self.comparison_due.1.clone()
    }

    /// Triggers a comparison of generations with several peers at once.
    pub(crate) fn request_comparison(&self) {
        // If the channel is full, a comparison is pending anyway.
        let _ = self.comparison_due.0.try_send(());
    }

    /// Returns whether the last call to the store got a response.
    pub(crate) fn is_store_reachable(&self) -> bool {
        self.store_reachable.load(Ordering::Relaxed)
    }

    /// Records whether a call to the store got a response, and emits an event
    /// if that differs from the call before.
    pub(crate) fn set_store_reachable(&self, answers: bool) {
        if self.store_reachable.swap(answers, Ordering::Relaxed) != answers {
            telemetry::emit(&StateEvent::StoreReachabilityChanged { answers });
        }
    }

    /// Records which generation is being fetched from the store; 0 for none.
    pub(crate) fn set_fetching(&self, generation: Generation) {
        self.fetching.store(generation.0, Ordering::Relaxed);
    }

    /// Returns whether this generation or a higher one is being fetched from
    /// the store.
    pub(crate) fn is_fetching(&self, generation: Generation) -> bool {
        self.fetching.load(Ordering::Relaxed) >= generation.0
    }

    fn publish(&self, tracker: &MembershipTracker) {
        let view = tracker.view();
        telemetry::emit(&StateEvent::MembershipChanged {
            list_version: tracker.list().version,
            instances: view.all.len(),
            live: view.live.len(),
        });
        self.membership.store(Arc::new(view));
    }
}

/// Locks a mutex and ignores poisoning: the protected data stays valid if a
/// thread panics while it holds the lock.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|error| error.into_inner())
}
