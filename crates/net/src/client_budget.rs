//! Accounts for the memory and the connections of all clients of a process, and
//! disconnects the costliest one when a limit is reached.
//!
//! Decisions are in [`policy::client_limits`]; this module holds the counts. A
//! request that fits into the buffers of its connection touches none of them but the
//! time of its progress.

use std::{
    sync::{
        atomic::{AtomicBool, AtomicU64, AtomicU8, AtomicUsize, Ordering},
        Arc, Mutex, MutexGuard, PoisonError,
    },
    task::Waker,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use policy::client_limits::{costliest, Activity, ClientLimits, ClientState, Need};

/// Memory of a connection without a request: its task and the buffers of the HTTP
/// library.
const CONNECTION_BYTES: usize = 16 << 10;

/// Bytes that count as progress. A client that moves fewer at a time moves them too
/// slowly to be told from one that has stopped.
const PROGRESS_BYTES: usize = 4 << 10;

/// Clients that are disconnected for one request at most.
const EVICTIONS_MAX: usize = 8;

/// Interval of the metrics.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Component {
    /// Connections without their requests.
    Connections,
    /// Heads of requests.
    Heads,
    /// Bodies that are received, and kept until their response is written.
    Bodies,
    /// Pipelined requests.
    Pipelined,
    /// Responses that the caller does not read.
    Responses,
}

impl Component {
    const ALL: [Self; 5] = [
        Self::Connections,
        Self::Heads,
        Self::Bodies,
        Self::Pipelined,
        Self::Responses,
    ];

    /// Returns the label in metrics.
    fn label(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Heads => "heads",
            Self::Bodies => "bodies",
            Self::Pipelined => "pipelined",
            Self::Responses => "responses",
        }
    }
}

/// The budget has no room, and no client could be disconnected for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the memory for requests of all clients is in use")]
pub struct BudgetExhausted;

/// Clients that were disconnected or refused since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientCounts {
    /// Clients that were disconnected to make room.
    pub evicted: u64,
    /// Requests and connections for which there was no room.
    pub refused: u64,
    /// Memory that is held now, in bytes.
    pub held_bytes: usize,
    /// Connections that are open now.
    pub connections: usize,
}

/// Memory and connections of all clients of a process.
///
/// # Invariants
///
/// The sum of what the clients hold is `used_bytes`, and `leaving_bytes` for those
/// that were disconnected and have not ended yet.
#[derive(Debug)]
pub struct ClientBudget {
    limits: ClientLimits,
    used_bytes: AtomicUsize,
    leaving_bytes: AtomicUsize,
    by_component: [AtomicUsize; Component::ALL.len()],
    leaving_connections: AtomicUsize,
    clients: Mutex<IndexMap<u64, Arc<Client>>>,
    next_id: AtomicU64,
    evicted: AtomicU64,
    refused: AtomicU64,
    origin: Instant,
}

#[derive(Debug)]
struct Client {
    activity: AtomicU8,
    progress_at_ms: AtomicU64,
    is_evicted: AtomicBool,
    held: Mutex<Held>,
}

#[derive(Debug, Default)]
struct Held {
    by_component: [usize; Component::ALL.len()],
    /// Wakes the task of the connection.
    waker: Option<Waker>,
}

impl Held {
    fn bytes(&self) -> usize {
        self.by_component.iter().sum()
    }
}

impl Client {
    fn state(&self, now_ms: u64) -> ClientState {
        ClientState {
            activity: activity(self.activity.load(Ordering::Relaxed)),
            held_bytes: lock(&self.held).bytes(),
            quiet_ms: now_ms.saturating_sub(self.progress_at_ms.load(Ordering::Relaxed)),
        }
    }
}

impl ClientBudget {
    /// Creates a budget with the given limits.
    pub fn new(limits: ClientLimits) -> Arc<Self> {
        Arc::new(Self {
            limits,
            used_bytes: AtomicUsize::new(0),
            leaving_bytes: AtomicUsize::new(0),
            by_component: Default::default(),
            leaving_connections: AtomicUsize::new(0),
            clients: Mutex::default(),
            next_id: AtomicU64::new(0),
            evicted: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            origin: Instant::now(),
        })
    }

    /// Returns the limits.
    pub fn limits(&self) -> ClientLimits {
        self.limits
    }

    /// Returns what happened since the start, and what is held now.
    pub fn counts(&self) -> ClientCounts {
        ClientCounts {
            evicted: self.evicted.load(Ordering::Relaxed),
            refused: self.refused.load(Ordering::Relaxed),
            held_bytes: self.used_bytes.load(Ordering::Relaxed)
                + self.leaving_bytes.load(Ordering::Relaxed),
            connections: lock(&self.clients).len(),
        }
    }

    /// Returns whether clients hold more than they may, which responses that are
    /// written can cause. The costliest client is disconnected then.
    pub fn is_exceeded(&self) -> bool {
        let is_exceeded = || self.used_bytes.load(Ordering::Relaxed) > self.limits.memory_bytes;
        is_exceeded() && (!self.evict(Need::Memory) || is_exceeded())
    }

    /// Publishes the metrics every second, and calls `on_limited` with the counts
    /// before and after a second in which a client was disconnected or refused. Never
    /// returns.
    pub async fn report_periodically(&self, on_limited: impl Fn(ClientCounts, ClientCounts)) {
        let mut before = self.counts();
        metrics::gauge!("limpetgw_client_memory_limit_bytes").set(self.limits.memory_bytes as f64);
        metrics::gauge!("limpetgw_client_connections_limit")
            .set(self.limits.connections_max as f64);
        loop {
            smol::Timer::after(REPORT_INTERVAL).await;
            let counts = self.counts();
            for (component, bytes) in Component::ALL.iter().zip(&self.by_component) {
                metrics::gauge!("limpetgw_client_memory_bytes", "component" => component.label())
                    .set(bytes.load(Ordering::Relaxed) as f64);
            }
            metrics::gauge!("limpetgw_client_connections").set(counts.connections as f64);
            metrics::counter!("limpetgw_clients_evicted_total").absolute(counts.evicted);
            metrics::counter!("limpetgw_clients_refused_total").absolute(counts.refused);
            if counts.evicted > before.evicted || counts.refused > before.refused {
                on_limited(before, counts);
            }
            before = counts;
        }
    }

    /// Registers a connection. At the limit, the costliest client is disconnected
    /// for it.
    ///
    /// # Errors
    ///
    /// [`BudgetExhausted`] if there is no room and no client may be disconnected.
    pub(crate) fn connect(self: &Arc<Self>) -> Result<ClientAccount, BudgetExhausted> {
        let client = Arc::new(Client {
            activity: AtomicU8::new(Activity::Idle as u8),
            progress_at_ms: AtomicU64::new(self.now_ms()),
            is_evicted: AtomicBool::new(false),
            held: Mutex::default(),
        });
        if !self.has_connection() {
            self.evict(Need::Connection);
        }
        if !self.has_connection() {
            self.refused.fetch_add(1, Ordering::Relaxed);
            return Err(BudgetExhausted);
        }
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        lock(&self.clients).insert(id, client.clone());
        let mut account = ClientAccount {
            budget: self.clone(),
            client,
            id,
            moved_bytes: 0,
        };
        account.hold_for(Need::Connection, Component::Connections, CONNECTION_BYTES)?;
        Ok(account)
    }

    /// Returns whether another connection may be open. An eighth of the limit, and at
    /// Returns whether disconnecting a client can make room for `added_bytes` more.
    fn eviction_helps(&self, held_bytes: usize, added_bytes: usize) -> bool {
        let used_bytes = self.used_bytes.load(Ordering::Relaxed);
        let leaving_bytes = self.leaving_bytes.load(Ordering::Relaxed);
        self.limits
            .eviction_helps(used_bytes, leaving_bytes, held_bytes, added_bytes)
    }

    /// least one, is lent against connections that are being closed.
    fn has_connection(&self) -> bool {
        let open = lock(&self.clients).len();
        let leaving = self.leaving_connections.load(Ordering::Relaxed);
        let max = self.limits.connections_max;
        open.saturating_sub(leaving) < max && open <= max + max / 8
    }

    fn now_ms(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64
    }

    fn try_use(&self, held_bytes: usize, added_bytes: usize) -> bool {
        let update = |used_bytes: usize| {
            let leaving_bytes = self.leaving_bytes.load(Ordering::Relaxed);
            self.limits
                .admits(used_bytes, leaving_bytes, held_bytes, added_bytes)
                .then(|| used_bytes + added_bytes)
        };
        self.used_bytes
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, update)
            .is_ok()
    }

    /// Disconnects the costliest client. Returns whether there was one.
    fn evict(&self, need: Need) -> bool {
        let now_ms = self.now_ms();
        let clients = lock(&self.clients);
        let states = clients
            .values()
            .filter(|client| !client.is_evicted.load(Ordering::Relaxed))
            .map(|client| (client, client.state(now_ms)));
        let Some(client) = costliest(need, states) else {
            return false;
        };
        let mut held = lock(&client.held);
        client.is_evicted.store(true, Ordering::Relaxed);
        self.leaving_bytes
            .fetch_add(held.bytes(), Ordering::Relaxed);
        self.used_bytes.fetch_sub(held.bytes(), Ordering::Relaxed);
        self.leaving_connections.fetch_add(1, Ordering::Relaxed);
        self.evicted.fetch_add(1, Ordering::Relaxed);
        if let Some(waker) = held.waker.take() {
            waker.wake();
        }
        true
    }
}

/// What one client holds of a [`ClientBudget`]. Gives it back when it is dropped.
#[derive(Debug)]
pub(crate) struct ClientAccount {
    budget: Arc<ClientBudget>,
    client: Arc<Client>,
    id: u64,
    /// Bytes moved since the last progress.
    moved_bytes: usize,
}

impl ClientAccount {
    /// Holds memory. Where there is no room, the costliest clients are disconnected.
    ///
    /// # Errors
    ///
    /// [`BudgetExhausted`] if there is no room for it.
    pub(crate) fn hold(
        &mut self,
        component: Component,
        bytes: usize,
    ) -> Result<(), BudgetExhausted> {
        self.hold_for(Need::Memory, component, bytes)
    }

    fn hold_for(
        &mut self,
        need: Need,
        component: Component,
        bytes: usize,
    ) -> Result<(), BudgetExhausted> {
        let held_bytes = lock(&self.client.held).bytes();
        for _ in 0..=EVICTIONS_MAX {
            if self.budget.try_use(held_bytes, bytes) {
                self.add(component, bytes);
                return Ok(());
            }
            // One client is disconnected in any case: it makes room for later requests.
            if !self.budget.evict(need) || !self.budget.eviction_helps(held_bytes, bytes) {
                break;
            }
        }
        self.budget.refused.fetch_add(1, Ordering::Relaxed);
        Err(BudgetExhausted)
    }

    /// Holds memory that is in use already. Where there is no room, the costliest
    /// client is disconnected.
    pub(crate) fn hold_used(&mut self, component: Component, bytes: usize) {
        let held_bytes = lock(&self.client.held).bytes();
        if !self.budget.try_use(held_bytes, bytes) {
            self.budget.evict(Need::Memory);
            self.budget.used_bytes.fetch_add(bytes, Ordering::Relaxed);
        }
        self.add(component, bytes);
    }

    /// Adds memory that is counted in `used_bytes` to what the client holds.
    fn add(&mut self, component: Component, bytes: usize) {
        let mut held = lock(&self.client.held);
        held.by_component[component as usize] += bytes;
        self.budget.by_component[component as usize].fetch_add(bytes, Ordering::Relaxed);
        if self.is_evicted() {
            self.budget.used_bytes.fetch_sub(bytes, Ordering::Relaxed);
            self.budget
                .leaving_bytes
                .fetch_add(bytes, Ordering::Relaxed);
        }
    }

    /// Gives back all memory of a component.
    pub(crate) fn release(&mut self, component: Component) {
        let mut held = lock(&self.client.held);
        let bytes = std::mem::take(&mut held.by_component[component as usize]);
        self.budget.by_component[component as usize].fetch_sub(bytes, Ordering::Relaxed);
        let counter = match self.is_evicted() {
            true => &self.budget.leaving_bytes,
            false => &self.budget.used_bytes,
        };
        counter.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Records what the client does now, which is progress.
    pub(crate) fn begin(&mut self, activity: Activity) {
        self.client
            .activity
            .store(activity as u8, Ordering::Relaxed);
        self.progress();
    }

    /// Records that the client does something else without progress.
    pub(crate) fn set_activity(&mut self, activity: Activity) {
        self.client
            .activity
            .store(activity as u8, Ordering::Relaxed);
    }

    /// Records that bytes were sent or received.
    pub(crate) fn on_moved(&mut self, bytes: usize) {
        self.moved_bytes += bytes;
        if self.moved_bytes >= PROGRESS_BYTES {
            self.progress();
        }
    }

    fn progress(&mut self) {
        self.moved_bytes = 0;
        self.client
            .progress_at_ms
            .store(self.budget.now_ms(), Ordering::Relaxed);
    }

    /// Gives back what is held for requests and responses.
    pub(crate) fn release_requests(&mut self) {
        for component in Component::ALL {
            if component != Component::Connections {
                self.release(component);
            }
        }
    }

    /// Returns whether the client has to be disconnected.
    pub(crate) fn is_evicted(&self) -> bool {
        self.client.is_evicted.load(Ordering::Relaxed)
    }

    /// Has the task woken once the client has to be disconnected. Returns whether
    /// that is the case already.
    pub(crate) fn wake_on_eviction(&self, waker: &Waker) -> bool {
        let mut held = lock(&self.client.held);
        match &held.waker {
            Some(known) if known.will_wake(waker) => {}
            _ => held.waker = Some(waker.clone()),
        }
        self.is_evicted()
    }
}

impl Drop for ClientAccount {
    fn drop(&mut self) {
        for component in Component::ALL {
            self.release(component);
        }
        lock(&self.budget.clients).swap_remove(&self.id);
        if self.is_evicted() {
            self.budget
                .leaving_connections
                .fetch_sub(1, Ordering::Relaxed);
        }
    }
}

fn activity(number: u8) -> Activity {
    [
        Activity::Idle,
        Activity::Sending,
        Activity::Waiting,
        Activity::Reading,
    ]
    .into_iter()
    .find(|activity| *activity as u8 == number)
    .unwrap_or(Activity::Waiting)
}

/// Locks a mutex and ignores poisoning: no code panics while it is held.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
