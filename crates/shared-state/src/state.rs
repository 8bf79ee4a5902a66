//! The state itself: snapshots for readers, and the only ways to change them.

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
    applied::Applied,
    follow,
    membership::{Membership, MembershipTracker},
    settings::Settings,
};

/// Hints about newer configurations that wait at most.
const HINTS_MAX: usize = 64;

/// A peer was heard to have a newer configuration.
#[derive(Clone, Debug)]
pub(crate) struct Hint {
    pub(crate) peer_addr: Arc<str>,
    pub(crate) generation: Generation,
}

/// Handle on the shared state of this process.
///
/// # Invariants
///
/// The generation in force never falls.
#[derive(Debug)]
pub struct SharedState {
    applied: ArcSwap<Applied>,
    snapshot: ArcSwap<Snapshot>,
    /// Held while a newer configuration replaces the one in force.
    applying: Mutex<()>,
    membership: ArcSwap<Membership>,
    tracker: Mutex<MembershipTracker>,
    /// `None` while the platform answers.
    list_unconfirmed_since: Mutex<Option<Instant>>,
    store_answers: AtomicBool,
    /// Generation that is being fetched from the store; 0 if none is.
    fetching: AtomicU64,
    hints: Sender<Hint>,
    /// Holds a token when generations are to be compared with several peers.
    comparison_due: (Sender<()>, Receiver<()>),
}

impl SharedState {
    /// A state that never changes, for tests.
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
    /// from seeds) and keep it current. Returns at once; the configuration
    /// has generation 0 until a first one arrives.
    pub fn start(settings: Settings) -> Arc<Self> {
        let (hints, hints_in) = smol::channel::bounded(HINTS_MAX);
        let state = Arc::new(Self::empty(hints));
        follow::spawn(&state, settings, hints_in);
        state
    }

    fn empty(hints: Sender<Hint>) -> Self {
        Self {
            applied: ArcSwap::default(),
            snapshot: ArcSwap::default(),
            applying: Mutex::new(()),
            membership: ArcSwap::default(),
            tracker: Mutex::default(),
            list_unconfirmed_since: Mutex::new(None),
            store_answers: AtomicBool::new(true),
            fetching: AtomicU64::new(0),
            hints,
            comparison_due: smol::channel::bounded(1),
        }
    }

    /// The configuration in force.
    pub fn config(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// The membership now.
    pub fn membership(&self) -> Arc<Membership> {
        self.membership.load_full()
    }

    /// Notes the generation on a message from a peer. A lower one of ours
    /// starts a fetch from the store, or from that peer; a lower one of the
    /// peer's needs nothing, for the peer sees ours on the answer.
    pub fn on_peer_generation(&self, peer_addr: &str, generation: Generation) {
        if generation <= self.generation() {
            return;
        }
        // With a full queue a fetch is due anyway.
        let _ = self.hints.try_send(Hint {
            peer_addr: peer_addr.into(),
            generation,
        });
    }

    /// Notes the generation on a message from a peer whose address is known
    /// from the instance list only.
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

    /// Notes that an agent said that it is leaving: it gets no new work from
    /// here until the instance list agrees or shows it replaced.
    pub fn on_leaving(&self, instance: &InstanceId) {
        let mut tracker = lock(&self.tracker);
        if tracker.on_leaving(instance) {
            self.publish(&tracker);
            telemetry::emit(&StateEvent::InstanceSaidLeaving {
                instance: instance.clone(),
            });
        }
    }

    /// The configuration for a peer that is behind.
    pub fn config_bundle(&self, params: &GetConfigParams) -> Option<ConfigBundle> {
        self.applied().bundle(params)
    }

    /// The instance list in use, for a peer that starts in an outage.
    pub fn membership_view(&self) -> MembershipView {
        let age_ms = self.membership_age_ms();
        let tracker = lock(&self.tracker);
        MembershipView {
            list: tracker.list().clone(),
            leaving: tracker.tombstones().map(|(id, _)| id.clone()).collect(),
            age_ms,
        }
    }

    /// Time since the platform last confirmed the instance list, in
    /// milliseconds; 0 while its watch is being answered, and before it ever was.
    pub fn membership_age_ms(&self) -> u64 {
        let unconfirmed_since = *lock(&self.list_unconfirmed_since);
        unconfirmed_since.map_or(0, |at| {
            u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX)
        })
    }

    pub(crate) fn generation(&self) -> Generation {
        self.snapshot.load().generation
    }

    pub(crate) fn applied(&self) -> Arc<Applied> {
        self.applied.load_full()
    }

    /// Puts a configuration into force if it is newer; whether it was.
    ///
    /// # Errors
    ///
    /// [`ShardError`] when the objects are no valid configuration; nothing
    /// changes then.
    pub fn apply(&self, head: Head, shards: ShardTexts, source: &str) -> Result<bool, ShardError> {
        if head.generation <= self.generation() {
            return Ok(false);
        }
        let applied = Applied::new(head, shards, &self.applied())?;
        let _applying = lock(&self.applying);
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
        self.ask_peers_soon();
        Ok(true)
    }

    pub(crate) fn on_list(&self, list: InstanceList) {
        let mut tracker = lock(&self.tracker);
        if tracker.on_list(list) {
            self.publish(&tracker);
        }
    }

    pub(crate) fn on_taking_work(&self, instance: &InstanceId, addr: &str) {
        let mut tracker = lock(&self.tracker);
        if tracker.on_taking_work(instance, addr) {
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

    /// Notes whether the platform answered a call for its list.
    pub(crate) fn note_list(&self, answered: bool) {
        let mut since = lock(&self.list_unconfirmed_since);
        if answered {
            *since = None;
        } else if since.is_none() {
            *since = Some(Instant::now());
        }
    }

    /// Receives a token when generations are to be compared with several
    /// peers at once: after a rise, and after a known rise could not be fetched.
    pub(crate) fn comparisons_due(&self) -> Receiver<()> {
        self.comparison_due.1.clone()
    }

    /// Lets the generation be compared with several peers at once.
    pub(crate) fn ask_peers_soon(&self) {
        // A token that is there already tells the same.
        let _ = self.comparison_due.0.try_send(());
    }

    /// Whether the last call to the store was answered.
    pub(crate) fn store_answers(&self) -> bool {
        self.store_answers.load(Ordering::Relaxed)
    }

    pub(crate) fn note_store(&self, answers: bool) {
        if self.store_answers.swap(answers, Ordering::Relaxed) != answers {
            telemetry::emit(&StateEvent::StoreReachabilityChanged { answers });
        }
    }

    /// Notes which generation is being fetched from the store.
    pub(crate) fn note_fetching(&self, generation: Generation) {
        self.fetching.store(generation.0, Ordering::Relaxed);
    }

    /// Whether a generation, or a higher one, is being fetched from the store.
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

/// Locks a mutex whose data stays valid when a holder panics.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|error| error.into_inner())
}
