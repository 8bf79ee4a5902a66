//! What all requests of one gateway share.

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
use policy::{
    placement::{Capacity, InstanceSpec, Placer},
    retry::WindowedRetryBudget,
    roster::{Member, Roster},
};
use telemetry::{emit, events::GatewayEvent};
use types::{InstanceId, TimeMs, UpstreamName};

use crate::{
    header_codec::HeaderCodec, live::LiveSettings, routing::Routing, upstream::Pool, Settings,
};

/// Time between two tries of one instance: a second one within it would tell
/// nothing new to streams whose callers wait two seconds or more.
const PROBE_INTERVAL: Duration = Duration::from_millis(800);

/// The instances that requests may be placed on, as of one roster.
#[derive(Debug, Default)]
pub(crate) struct View {
    pub(crate) revision: u64,
    pub(crate) usable: usize,
    addrs: IndexMap<InstanceId, Arc<str>>,
}

impl View {
    /// Address of an instance.
    pub(crate) fn addr(&self, instance: &InstanceId) -> Option<&Arc<str>> {
        self.addrs.get(instance)
    }
}

/// State of one gateway.
pub(crate) struct App {
    pub(crate) settings: Settings,
    pub(crate) live: ArcSwap<LiveSettings>,
    pub(crate) header_codec: Arc<dyn HeaderCodec>,
    pub(crate) routing: ArcSwap<Routing>,
    pub(crate) view: ArcSwap<View>,
    pub(crate) roster: Mutex<Roster>,
    pub(crate) pool: Pool,
    pub(crate) lifecycle: Lifecycle,
    placers: Mutex<IndexMap<UpstreamName, Placer>>,
    budgets: Mutex<IndexMap<UpstreamName, WindowedRetryBudget>>,
    /// Instances that are being tried.
    probing: Mutex<IndexSet<InstanceId>>,
    /// Whether the list of instances has been seen.
    listed: AtomicBool,
    roster_confirmed_at: AtomicU64,
    origin: Instant,
}

impl App {
    pub(crate) fn new(settings: Settings, header_codec: Arc<dyn HeaderCodec>) -> Self {
        Self {
            live: ArcSwap::from_pointee(settings.live),
            settings,
            header_codec,
            routing: ArcSwap::default(),
            view: ArcSwap::default(),
            roster: Mutex::default(),
            pool: Pool::default(),
            lifecycle: Lifecycle::default(),
            placers: Mutex::default(),
            budgets: Mutex::default(),
            probing: Mutex::default(),
            listed: AtomicBool::new(false),
            roster_confirmed_at: AtomicU64::new(0),
            origin: Instant::now(),
        }
    }

    /// Time now, on the process's own monotonic clock.
    pub(crate) fn now(&self) -> TimeMs {
        TimeMs(self.origin.elapsed().as_millis() as u64)
    }

    /// Whether the balancer may send requests.
    pub(crate) fn is_ready(&self) -> bool {
        !self.lifecycle.is_draining() && self.has_state()
    }

    /// Whether a configuration and the instances are known.
    pub(crate) fn has_state(&self) -> bool {
        self.listed.load(Ordering::Relaxed) && self.routing.load().version > 0
    }

    /// Notes that the platform confirmed the roster just now.
    pub(crate) fn on_roster_confirmed(&self) {
        self.listed.store(true, Ordering::Relaxed);
        self.roster_confirmed_at
            .store(self.now().0, Ordering::Relaxed);
    }

    /// Time since the platform last confirmed the roster, in milliseconds.
    pub(crate) fn roster_age_ms(&self) -> u64 {
        self.now()
            .since(TimeMs(self.roster_confirmed_at.load(Ordering::Relaxed)))
    }

    /// Runs `change` on the placer of an upstream.
    pub(crate) fn with_placer<T>(
        &self,
        upstream: &UpstreamName,
        change: impl FnOnce(&mut Placer) -> T,
    ) -> T {
        let mut placers = lock(&self.placers);
        change(placers.entry(upstream.clone()).or_default())
    }

    /// Runs `change` on the retry budget of an upstream.
    pub(crate) fn with_budget<T>(
        &self,
        upstream: &UpstreamName,
        change: impl FnOnce(&mut WindowedRetryBudget) -> T,
    ) -> T {
        let mut budgets = lock(&self.budgets);
        let budget = budgets.entry(upstream.clone()).or_insert_with(|| {
            let bound = self.live.load().retry_bound;
            WindowedRetryBudget::new(bound.ratio, bound.allowance, bound.window_ms)
        });
        change(budget)
    }

    /// Takes over a changed retry bound; attempts made so far stay counted.
    pub(crate) fn on_retry_bound_changed(&self) {
        let bound = self.live.load().retry_bound;
        for budget in lock(&self.budgets).values_mut() {
            budget.set_bound(bound.ratio, bound.allowance, bound.window_ms);
        }
    }

    /// Tries in the background whether an instance takes connections. That
    /// proves the machine only, not that its program works; the connection is
    /// kept for the next request.
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

    /// Takes over the roster and the configuration for new requests.
    pub(crate) fn refresh_view(&self) -> Arc<View> {
        let (revision, usable) = {
            let roster = lock(&self.roster);
            (roster.revision(), roster.usable())
        };
        let routing = self.routing.load();
        let mut placers = lock(&self.placers);
        for (upstream, placer) in placers.iter_mut() {
            if !usable.contains_key(upstream) {
                placer.set_members(self.now(), &[]);
            }
        }
        let mut view = View {
            revision,
            ..View::default()
        };
        for (upstream, members) in usable {
            let spec = routing.upstreams.get(&upstream);
            let memory_tokens = spec.and_then(|spec| spec.memory_tokens);
            let placeable: Vec<InstanceSpec> = members
                .iter()
                .map(|member| placeable(member, memory_tokens))
                .collect();
            placers
                .entry(upstream)
                .or_default()
                .set_members(self.now(), &placeable);
            view.usable += members.len();
            for member in members {
                view.addrs.insert(member.instance, member.addr);
            }
        }
        drop(placers);
        let view = Arc::new(view);
        self.view.store(view.clone());
        view
    }
}

fn placeable(member: &Member, memory_tokens: Option<u64>) -> InstanceSpec {
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

/// Locks a mutex; a panic elsewhere never leaves the guarded values half
/// changed, so a poisoned lock is used as it is.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
