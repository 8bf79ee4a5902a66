//! State shared by all requests of one gateway process: settings, routing,
//! the usable instances, connection pools and retry budgets.

use std::{
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex, MutexGuard,
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use indexmap::{IndexMap, IndexSet};
use net::Lifecycle;
use peer_link::{PeerLink, UdpLink};
use policy::{
    announcement::Announcements,
    crash_evidence::{CrashLog, InstanceEnd, Suspect},
    named_limit::NamedLimits,
    placement::{Capacity, InstanceLoad, InstanceSpec, Placer},
    retry::WindowedRetryBudget,
    roster::{Member, Roster},
};
use smol::channel::{Receiver, Sender};
use telemetry::{emit, events::GatewayEvent};
use types::{InstanceId, TimeMs, UpstreamName};

use crate::{
    duties::Duties,
    header_codec::HeaderCodec,
    live::LiveSettings,
    load_exchange::{LoadExchange, LoadKeys},
    peers::{PeerDirectory, PeerExchange},
    response::LargeBodyPool,
    routing::Routing,
    upstream::Pool,
    Settings,
};

/// Time after a connection probe before the same instance is probed again.
/// Callers wait two seconds or more for an event, so a second probe within this
/// time would not help them.
const PROBE_INTERVAL: Duration = Duration::from_millis(800);

/// Time after the start for which the reports of other gateways are waited for, in
/// milliseconds.
const REPORTS_WAIT_MS: u64 = 1_000;

/// Immutable snapshot of the instances that requests may be placed on, built
/// from one roster revision.
#[derive(Debug, Default)]
pub(crate) struct RosterView {
    pub(crate) revision: u64,
    pub(crate) usable: usize,
    addrs: IndexMap<InstanceId, Arc<str>>,
    upstreams: IndexMap<InstanceId, UpstreamName>,
    incarnations: IndexMap<InstanceId, u64>,
    pub(crate) load_keys: LoadKeys,
}

impl RosterView {
    /// Returns whether the snapshot contains an instance of an upstream.
    pub(crate) fn serves(&self, instance: &InstanceId, upstream: &UpstreamName) -> bool {
        self.upstreams.get(instance) == Some(upstream)
    }

    /// Returns the address of an instance, or `None` if the snapshot does not
    /// contain it.
    pub(crate) fn addr(&self, instance: &InstanceId) -> Option<&Arc<str>> {
        self.addrs.get(instance)
    }

    /// Returns the incarnation of an instance, or `None` if the snapshot does
    /// not contain it.
    pub(crate) fn incarnation(&self, instance: &InstanceId) -> Option<u64> {
        self.incarnations.get(instance).copied()
    }
}

/// Shared state of one gateway process.
pub(crate) struct App {
    pub(crate) settings: Settings,
    pub(crate) live: ArcSwap<LiveSettings>,
    pub(crate) header_codec: Arc<dyn HeaderCodec>,
    pub(crate) routing: ArcSwap<Routing>,
    pub(crate) view: ArcSwap<RosterView>,
    pub(crate) roster: Mutex<Roster>,
    pub(crate) pool: Pool,
    pub(crate) large_bodies: LargeBodyPool,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) crash_log: Mutex<CrashLog>,
    pub(crate) named_limits: Mutex<NamedLimits>,
    pub(crate) announcements: Mutex<Announcements>,
    /// Instances that may have ended, with the suspects of the requests whose
    /// connections broke there.
    pub(crate) unconfirmed_ends: Mutex<IndexMap<InstanceEnd, Vec<Suspect>>>,
    pub(crate) peers: PeerExchange,
    pub(crate) peer_directory: Arc<dyn PeerDirectory>,
    /// Link to other gateways, with its bootstrapping; `None` if not enabled.
    pub(crate) udp_link: Option<Arc<UdpLink>>,
    pub(crate) load_exchange: LoadExchange,
    pub(crate) duties: Duties,
    /// Wakes the maintenance after a change of the roster.
    pub(crate) maintenance_due: (Sender<()>, Receiver<()>),
    placers: Mutex<IndexMap<UpstreamName, Placer>>,
    retry_budgets: Mutex<IndexMap<UpstreamName, WindowedRetryBudget>>,
    /// Instances with a connection probe in progress, or completed less than
    /// [`PROBE_INTERVAL`] ago.
    probing: Mutex<IndexSet<InstanceId>>,
    /// Whether the instance list has been received at least once.
    roster_received: AtomicBool,
    /// Time of the last confirmation by the platform, in milliseconds since
    /// process start.
    roster_confirmed_at: AtomicU64,
    origin: Instant,
}

impl App {
    pub(crate) fn new(
        settings: Settings,
        header_codec: Arc<dyn HeaderCodec>,
        peer_directory: Arc<dyn PeerDirectory>,
        udp_link: Option<Arc<UdpLink>>,
    ) -> Self {
        Self {
            live: ArcSwap::from_pointee(settings.live),
            settings,
            header_codec,
            routing: ArcSwap::default(),
            view: ArcSwap::default(),
            roster: Mutex::default(),
            pool: Pool::default(),
            large_bodies: LargeBodyPool::default(),
            lifecycle: Lifecycle::default(),
            crash_log: Mutex::default(),
            named_limits: Mutex::default(),
            announcements: Mutex::default(),
            unconfirmed_ends: Mutex::default(),
            peers: PeerExchange::default(),
            peer_directory,
            udp_link,
            load_exchange: LoadExchange::default(),
            duties: Duties::default(),
            maintenance_due: smol::channel::bounded(1),
            placers: Mutex::default(),
            retry_budgets: Mutex::default(),
            probing: Mutex::default(),
            roster_received: AtomicBool::new(false),
            roster_confirmed_at: AtomicU64::new(0),
            origin: Instant::now(),
        }
    }

    /// Returns the time since process start on the monotonic clock.
    pub(crate) fn now(&self) -> TimeMs {
        TimeMs(self.origin.elapsed().as_millis() as u64)
    }

    /// Returns the link to other gateways; `None` if it is not enabled.
    pub(crate) fn peer_link(&self) -> Option<Arc<dyn PeerLink>> {
        let link = self.udp_link.clone()?;
        Some(link)
    }

    /// Returns whether the readiness endpoint reports ready: the gateway has
    /// its initial state and no drain has begun.
    pub(crate) fn is_ready(&self) -> bool {
        !self.lifecycle.is_draining() && self.has_initial_state()
    }

    /// Returns whether a configuration, the instance list and the reports of
    /// other gateways have been received. Reports are waited for only during
    /// [`REPORTS_WAIT_MS`], since requests can be served without them.
    pub(crate) fn has_initial_state(&self) -> bool {
        self.roster_received.load(Ordering::Relaxed)
            && self.routing.load().version > 0
            && (self.peers.has_listed() || self.now().0 >= REPORTS_WAIT_MS)
    }

    /// Records that the platform has just sent or confirmed the roster.
    pub(crate) fn on_roster_confirmed(&self) {
        self.roster_received.store(true, Ordering::Relaxed);
        self.roster_confirmed_at
            .store(self.now().0, Ordering::Relaxed);
    }

    /// Returns the time since the platform last confirmed the roster, in
    /// milliseconds.
    pub(crate) fn roster_age_ms(&self) -> u64 {
        self.now()
            .since(TimeMs(self.roster_confirmed_at.load(Ordering::Relaxed)))
    }

    /// Runs `change` on the placer of an upstream, which is created on first
    /// use. Holds the lock of all placers meanwhile.
    pub(crate) fn with_placer<T>(
        &self,
        upstream: &UpstreamName,
        change: impl FnOnce(&mut Placer) -> T,
    ) -> T {
        let mut placers = lock(&self.placers);
        let placer = placers.entry(upstream.clone());
        change(placer.or_insert_with(|| self.new_placer()))
    }

    fn new_placer(&self) -> Placer {
        let mut placer = Placer::default();
        if let Some(link) = &self.udp_link {
            placer.count_peers(link.endpoint().run);
            placer.set_sees_fleet(self.load_exchange.sees_fleet());
        }
        placer
    }

    /// Runs `visit` on all placers, whose lock it holds meanwhile.
    pub(crate) fn for_each_placer(&self, mut visit: impl FnMut(&UpstreamName, &mut Placer)) {
        for (upstream, placer) in lock(&self.placers).iter_mut() {
            visit(upstream, placer);
        }
    }

    /// Replaces the load of other gateways at these instances.
    pub(crate) fn set_peer_loads<'a>(
        &self,
        loads: impl Iterator<Item = (&'a UpstreamName, &'a InstanceId, InstanceLoad)>,
    ) {
        let mut placers = lock(&self.placers);
        for (upstream, instance, load) in loads {
            if let Some(placer) = placers.get_mut(upstream) {
                placer.set_peer_load(instance, load);
            }
        }
    }

    /// Runs `change` on the retry budget of an upstream, which is created on
    /// first use with the bound in force.
    pub(crate) fn with_retry_budget<T>(
        &self,
        upstream: &UpstreamName,
        change: impl FnOnce(&mut WindowedRetryBudget) -> T,
    ) -> T {
        let mut retry_budgets = lock(&self.retry_budgets);
        let budget = retry_budgets.entry(upstream.clone()).or_insert_with(|| {
            let bound = self.live.load().retry_bound;
            WindowedRetryBudget::new(bound.ratio, bound.allowance, bound.window_ms)
        });
        change(budget)
    }

    /// Applies a changed retry bound to all existing budgets. Attempts already
    /// counted in the window stay counted.
    pub(crate) fn on_retry_bound_changed(&self) {
        let bound = self.live.load().retry_bound;
        for budget in lock(&self.retry_budgets).values_mut() {
            budget.set_bound(bound.ratio, bound.allowance, bound.window_ms);
        }
    }

    /// Checks in the background whether an instance accepts connections. This
    /// only shows that the host is reachable, not that the process responds.
    /// The opened connection goes to the pool for the next request.
    pub(crate) fn probe(self: &Arc<Self>, upstream: &UpstreamName, instance: &InstanceId) {
        let Some(addr) = self.view.load().addr(instance).cloned() else {
            return;
        };
        if !lock(&self.probing).insert(instance.clone()) {
            return;
        }
        let (app, upstream, instance) = (self.clone(), upstream.clone(), instance.clone());
        async_global_executor::spawn(async move {
            let probed = app.pool.probe(&addr).await;
            let now = app.now();
            if probed.is_err() {
                app.with_placer(&upstream, |placer| placer.on_unreachable(now, &instance));
            }
            emit(&GatewayEvent::InstanceProbed {
                error: probed
                    .err()
                    .map_or_else(String::new, |error| error.to_string()),
                instance: instance.clone(),
            });
            smol::Timer::after(PROBE_INTERVAL).await;
            lock(&app.probing).swap_remove(&instance);
        })
        .detach();
    }

    /// Rebuilds the view and the members of the placers from the current roster
    /// and configuration, and returns the new view.
    pub(crate) fn refresh_view(&self) -> Arc<RosterView> {
        // Held throughout: a concurrent call must not store what it read earlier.
        let mut placers = lock(&self.placers);
        let (revision, usable) = {
            let roster = lock(&self.roster);
            (roster.revision(), roster.usable())
        };
        let routing = self.routing.load();
        for (upstream, placer) in placers.iter_mut() {
            if !usable.contains_key(upstream) {
                placer.set_members(&[]);
            }
        }
        let mut view = RosterView {
            revision,
            ..RosterView::default()
        };
        for (upstream, members) in usable {
            let spec = routing.upstreams.get(&upstream);
            let memory_tokens = spec.and_then(|spec| spec.memory_tokens);
            let specs: Vec<InstanceSpec> = members
                .iter()
                .map(|member| instance_spec(member, memory_tokens))
                .collect();
            let placer = placers.entry(upstream);
            placer
                .or_insert_with(|| self.new_placer())
                .set_members(&specs);
            view.usable += members.len();
            for member in members {
                let incarnation = member.incarnation;
                view.load_keys
                    .add(&member.upstream, &member.instance, incarnation);
                view.incarnations
                    .insert(member.instance.clone(), incarnation);
                view.upstreams
                    .insert(member.instance.clone(), member.upstream);
                view.addrs.insert(member.instance, member.addr);
            }
        }
        let view = Arc::new(view);
        self.view.store(view.clone());
        drop(placers);
        self.apply_all_loads();
        let is_listed = |instance: &InstanceId, incarnation: u64| {
            view.incarnation(instance) == Some(incarnation)
        };
        if lock(&self.named_limits).retain(is_listed) {
            self.peers.notify_changed();
        }
        view
    }
}

fn instance_spec(member: &Member, memory_tokens: Option<u64>) -> InstanceSpec {
    let slots = member.slots;
    InstanceSpec {
        instance: member.instance.clone(),
        incarnation: member.incarnation,
        capacity: match memory_tokens {
            Some(memory_tokens) => Capacity::Engine {
                slots,
                memory_tokens,
            },
            None => Capacity::Service { slots },
        },
    }
}

/// Locks a mutex and ignores poisoning: no code path panics between related
/// updates of a guarded value, so the value is consistent.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
