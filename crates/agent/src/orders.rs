//! Orders to the engine to load the adapters listed in the configuration.
//!
//! An order is sent only while this process holds the lease of its instance,
//! and carries the fencing number of the lease. A permit is requested
//! immediately before each order. The lease is acquired when an adapter is
//! missing and released afterwards.

use std::{sync::Arc, time::Duration};

use config::UpstreamKind;
use coord::{
    lease::{Lease, LeaseRecord, Permit, Step, Timing},
    ReadResult, WriteResult,
};
use futures_lite::FutureExt;
use smol::Timer;
use store::{Condition, Key, StoreError};
use telemetry::events::AgentEvent;
use types::{Generation, TimeMs};

use crate::{agent::Agent, upstream::OrderOutcome};

/// Object kind of the leases; each object has the name of its instance.
const LEASE_KIND: &str = "order-lease";

/// Time between two comparisons of the loaded with the configured adapters.
const RECONCILE_INTERVAL: Duration = Duration::from_secs(5);

/// Upper bound for the wait before the next step to acquire the lease.
const LEASE_POLL_MAX_MS: u64 = 250;

/// Loads missing adapters periodically until the process ends.
pub(crate) async fn reconcile_adapters(agent: Arc<Agent>) {
    loop {
        let desired = DesiredAdapters::current(&agent);
        if !desired.adapters.is_empty() && !agent.scheduler.is_draining() {
            load_missing_adapters(&agent, &desired).await;
        }
        Timer::after(RECONCILE_INTERVAL).await;
    }
}

/// Adapters that the engine should have loaded according to the configuration.
struct DesiredAdapters {
    generation: Generation,
    adapters: Vec<String>,
    checks_fencing: bool,
}

impl DesiredAdapters {
    fn current(agent: &Agent) -> Self {
        let snapshot = agent.shared.config();
        let upstream = snapshot.document.upstreams.get(&agent.settings.upstream);
        let engine = upstream.filter(|upstream| upstream.kind == UpstreamKind::Engine);
        Self {
            generation: snapshot.generation,
            adapters: engine.map_or(Vec::new(), |engine| engine.adapters.clone()),
            checks_fencing: engine.is_some_and(|engine| engine.checks_fencing),
        }
    }

    /// Whether the configuration is unchanged and no drain has begun.
    fn is_current(&self, agent: &Agent) -> bool {
        self.generation == agent.shared.config().generation && !agent.scheduler.is_draining()
    }
}

async fn load_missing_adapters(agent: &Agent, desired: &DesiredAdapters) {
    let Ok(loaded) = agent.upstream.loaded_adapters().await else {
        return;
    };
    let missing = desired
        .adapters
        .iter()
        .filter(|name| !loaded.contains(name));
    let missing: Vec<&String> = missing.collect();
    if missing.is_empty() {
        return;
    }
    let mut holder = LeaseHolder::new(agent, desired.checks_fencing);
    for name in missing {
        let Some(permit) = holder.permit(desired).await else {
            telemetry::emit(&AgentEvent::OrderWithheld {
                instance: agent.settings.instance.clone(),
                adapter: name.clone(),
                generation: desired.generation,
            });
            break;
        };
        send_order(agent, name, permit).await;
    }
    holder.release().await;
}

/// Sends one order and drops it if it has not ended when the permit expires.
async fn send_order(agent: &Agent, name: &str, permit: Permit) {
    let remaining_ms = permit.finish_by.since(agent.clock.now());
    let timeout = async {
        Timer::after(Duration::from_millis(remaining_ms)).await;
        OrderOutcome::NoResponse
    };
    let order = agent.upstream.load_adapter(name, permit.fencing);
    let outcome = order.or(timeout).await;
    telemetry::emit(&AgentEvent::OrderGiven {
        instance: agent.settings.instance.clone(),
        adapter: name.into(),
        fencing: permit.fencing,
        end: outcome.as_str(),
    });
}

/// Lease state machine, connected to the object store.
struct LeaseHolder<'a> {
    agent: &'a Agent,
    key: Key,
    lease: Lease,
}

impl<'a> LeaseHolder<'a> {
    fn new(agent: &'a Agent, checks_fencing: bool) -> Self {
        let instance = &agent.settings.instance;
        let nonce = format!("{:032x}", rand::random::<u128>());
        Self {
            agent,
            key: Key::new(LEASE_KIND, instance.as_str()),
            lease: Lease::new(instance.clone(), nonce, Timing::DEFAULT, checks_fencing),
        }
    }

    /// Acquires a permit for one order, which the caller sends immediately.
    /// Returns `None` if the order has become obsolete.
    async fn permit(&mut self, desired: &DesiredAdapters) -> Option<Permit> {
        while desired.is_current(self.agent) {
            let permit = self.lease.permit(self.agent.clock.now());
            if permit.is_some() {
                return permit;
            }
            self.step().await;
        }
        None
    }

    async fn step(&mut self) {
        let now = self.agent.clock.now();
        match self.lease.next(now) {
            Step::Read => {
                let result = self.read().await;
                self.lease.on_read(self.agent.clock.now(), result);
            }
            Step::Write { if_version, record } => {
                self.lease.on_write_started(self.agent.clock.now());
                let result = self.write(if_version, &record).await;
                self.lease.on_written(self.agent.clock.now(), result);
            }
            Step::WaitUntil(until) => wait(now, until).await,
        }
    }

    /// Releases the lease. A failed write is ignored: the next holder then
    /// waits until the lease expires.
    async fn release(self) {
        let Self { agent, key, lease } = self;
        let Some((version, record)) = lease.release() else {
            return;
        };
        if let Ok(value) = serde_json::to_value(&record) {
            let condition = Condition::Version(version);
            let _ = agent.store.put(&key, &value, condition).await;
        }
    }

    async fn read(&self) -> ReadResult<LeaseRecord> {
        match self.agent.store.get(&self.key).await {
            Ok(None) => ReadResult::Absent,
            Ok(Some(object)) => match serde_json::from_value(object.value) {
                Ok(record) => ReadResult::Found {
                    version: object.version,
                    record,
                },
                Err(_) => ReadResult::Failed,
            },
            Err(_) => ReadResult::Failed,
        }
    }

    async fn write(&self, if_version: Option<u64>, record: &LeaseRecord) -> WriteResult {
        let condition = if_version.map_or(Condition::Absent, Condition::Version);
        let Ok(value) = serde_json::to_value(record) else {
            return WriteResult::Refused;
        };
        match self.agent.store.put(&self.key, &value, condition).await {
            Ok(version) => WriteResult::Written(version),
            Err(StoreError::Conflict) => WriteResult::Conflict,
            Err(StoreError::Refused(_) | StoreError::TooLarge { .. }) => WriteResult::Refused,
            Err(StoreError::OutcomeUnknown(_)) => WriteResult::OutcomeUnknown,
        }
    }
}

async fn wait(now: TimeMs, until: TimeMs) {
    let wait_ms = until.since(now).clamp(1, LEASE_POLL_MAX_MS);
    Timer::after(Duration::from_millis(wait_ms)).await;
}
