//! Tells other gateways the load of this one at each instance, and applies theirs.
//!
//! A report holds everything that this gateway has at the instances, split into
//! payloads that each cover a range of instances and can be applied alone. Values
//! not in a payload of their range are zero.

mod codec;
#[cfg(test)]
mod tests;

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex, Weak,
    },
    time::Duration,
};

use indexmap::IndexMap;
use peer_link::{Peer, PeerLink, Subscriber, Topic};
use policy::placement::{InstanceKey, LoadReport, PeerLoads, UpstreamTotals};
use telemetry::{emit, events::GatewayEvent};
use types::{InstanceId, UpstreamName};

use crate::app::{lock, App};
use codec::{encode, LoadPayload, OwnLoad, WireLoad};

/// Shortest interval between two reports. At 200 requests per second of a whole
/// fleet, 40 are placed meanwhile.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Longest interval between two reports while requests are in flight, in
/// milliseconds: less than the time for which a value counts.
const REFRESH_INTERVAL_MS: u64 = 1_000;

/// Loads of the other gateways and the names that their keys stand for.
#[derive(Debug, Default)]
pub(crate) struct LoadExchange {
    peers: Mutex<PeerLoads>,
    /// Whether load of another gateway counts at this time.
    is_shared: AtomicBool,
    /// Whether the load of all gateways is known.
    sees_fleet: AtomicBool,
}

impl LoadExchange {
    pub(crate) fn sees_fleet(&self) -> bool {
        self.sees_fleet.load(Ordering::Relaxed)
    }
}

/// Names of the instances and upstreams by the keys in reports.
#[derive(Debug, Default)]
pub(crate) struct LoadKeys {
    instances: IndexMap<InstanceKey, (UpstreamName, InstanceId)>,
    upstreams: IndexMap<u32, UpstreamName>,
}

impl LoadKeys {
    pub(crate) fn add(&mut self, upstream: &UpstreamName, instance: &InstanceId, incarnation: u64) {
        let named = (upstream.clone(), instance.clone());
        self.instances
            .insert(InstanceKey::new(instance, incarnation), named);
        self.upstreams
            .entry(upstream_key(upstream))
            .or_insert_with(|| upstream.clone());
    }
}

fn upstream_key(upstream: &UpstreamName) -> u32 {
    InstanceKey::new(&upstream.as_str().into(), 0).0
}

/// Applies reports of other gateways.
struct LoadSubscriber(Weak<App>);

impl Subscriber for LoadSubscriber {
    fn on_frame(&self, from: &Peer, payload: &[u8]) {
        let Some(app) = self.0.upgrade() else {
            return;
        };
        match postcard::from_bytes::<LoadPayload>(payload) {
            Ok(payload) => app.on_load(from, &payload),
            Err(error) => log::warn!("load of {}: {error}", from.instance),
        }
    }
}

/// Starts the exchange in the background if there is a link.
pub(crate) fn start(app: &Arc<App>) {
    let Some(link) = app.peer_link() else {
        return;
    };
    let subscriber = LoadSubscriber(Arc::downgrade(app));
    link.subscribe(Topic::Load, Arc::new(subscriber));
    async_global_executor::spawn(report(app.clone(), link)).detach();
}

/// Sends reports and removes expired ones. Never returns.
async fn report(app: Arc<App>, link: Arc<dyn PeerLink>) {
    let mut number = 0;
    let mut sent = OwnLoad::default();
    let mut sent_at = app.now();
    let mut next_at = app.now();
    loop {
        smol::Timer::after(REPORT_INTERVAL).await;
        app.expire_loads(link.peers().is_empty());
        let now = app.now();
        if now < next_at {
            continue;
        }
        let own = app.own_load();
        let is_due = !own.loads.is_empty() && now.since(sent_at) >= REFRESH_INTERVAL_MS;
        if own.loads == sent.loads && !is_due {
            continue;
        }
        number += 1;
        let payloads = encode(number, &own);
        next_at = now + link.broadcast_interval_ms() * payloads.len() as u64;
        for payload in &payloads {
            link.broadcast(Topic::Load, payload);
        }
        (sent, sent_at) = (own, now);
    }
}

impl App {
    fn own_load(&self) -> OwnLoad {
        let mut own = OwnLoad::default();
        self.for_each_placer(|upstream, placer| {
            own.loads.extend(placer.own_loads());
            let totals = placer.own_totals();
            if totals != UpstreamTotals::default() {
                own.upstreams.push((upstream_key(upstream), totals));
            }
        });
        own
    }

    fn on_load(&self, from: &Peer, payload: &LoadPayload) {
        let now = self.now();
        let report = LoadReport {
            number: payload.number,
            range: (
                u32::from_le_bytes(payload.range.0),
                u32::from_le_bytes(payload.range.1),
            ),
            loads: payload.loads.iter().map(WireLoad::load).collect(),
        };
        let mut peers = lock(&self.load_exchange.peers);
        let changed = peers.apply(now, &from.instance, from.run, &report);
        self.apply_sums(&peers, changed);
        drop(peers);
        let view = self.view.load();
        for upstream in &payload.upstreams {
            let key = u32::from_le_bytes(upstream.key);
            if let Some(name) = view.load_keys.upstreams.get(&key) {
                self.with_placer(name, |placer| {
                    placer.on_peer_totals(now, &from.instance, from.run, &upstream.totals());
                });
            }
        }
    }

    /// Removes expired loads. `is_alone` tells whether no other gateway is known.
    fn expire_loads(&self, is_alone: bool) {
        let now = self.now();
        let mut peers = lock(&self.load_exchange.peers);
        let changed = peers.expire(now);
        self.apply_sums(&peers, changed);
        let is_shared = !peers.is_empty();
        drop(peers);
        let sees_fleet = is_shared || is_alone;
        let exchange = &self.load_exchange;
        exchange.sees_fleet.store(sees_fleet, Ordering::Relaxed);
        self.for_each_placer(|_, placer| {
            placer.expire_peer_totals(now);
            placer.set_sees_fleet(sees_fleet);
        });
        if self
            .load_exchange
            .is_shared
            .swap(is_shared, Ordering::Relaxed)
            != is_shared
        {
            emit(&match is_shared {
                true => GatewayEvent::PeerLoadCounted {},
                false => GatewayEvent::PeerLoadAbsent {},
            });
        }
    }

    /// Passes the sums of these instances to the placers. The caller holds the lock
    /// of the loads, so that a later sum can't be overwritten by an earlier one.
    fn apply_sums(&self, peers: &PeerLoads, keys: Vec<InstanceKey>) {
        if keys.is_empty() {
            return;
        }
        let view = self.view.load();
        let named = keys.iter().filter_map(|key| {
            let (upstream, instance) = view.load_keys.instances.get(key)?;
            Some((upstream, instance, peers.sum(*key)))
        });
        self.set_peer_loads(named);
    }

    /// Passes the sums of all instances to the placers, after a change of the view.
    pub(crate) fn apply_all_loads(&self) {
        let peers = lock(&self.load_exchange.peers);
        let keys = peers.keys().collect();
        self.apply_sums(&peers, keys);
    }
}
