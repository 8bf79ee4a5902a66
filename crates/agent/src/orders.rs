//! Orders to the engine: adapters that the configuration wants loaded.
//!
//! An order is only given under the lease of this instance, with its fencing
//! number, and the permission is asked for right before each order. The lease
//! is taken when there is something to order and released afterwards.

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

use crate::{agent::Agent, upstream::OrderEnd};

/// Kind of the lease objects; each is named after its instance.
const LEASE_KIND: &str = "order-lease";

/// Time between two comparisons of what is loaded with what is wanted.
const RECONCILE_PAUSE: Duration = Duration::from_secs(5);

/// Longest time between two looks at the lease while it is not granted.
const LEASE_LOOK_MS: u64 = 250;

/// Gives orders for as long as the process lives.
pub(crate) async fn reconcile(agent: Arc<Agent>) {
    loop {
        let wanted = Wanted::now(&agent);
        if !wanted.adapters.is_empty() && !agent.gate.is_draining() {
            load_missing(&agent, &wanted).await;
        }
        Timer::after(RECONCILE_PAUSE).await;
    }
}

/// What the configuration wants of the engine.
struct Wanted {
    generation: Generation,
    adapters: Vec<String>,
    checks_fencing: bool,
}

impl Wanted {
    fn now(agent: &Agent) -> Self {
        let snapshot = agent.shared.config();
        let upstream = snapshot.document.upstreams.get(&agent.settings.upstream);
        let engine = upstream.filter(|upstream| upstream.kind == UpstreamKind::Engine);
        Self {
            generation: snapshot.generation,
            adapters: engine.map_or(Vec::new(), |engine| engine.adapters.clone()),
            checks_fencing: engine.is_some_and(|engine| engine.checks_fencing),
        }
    }

    /// Whether this is still what is wanted.
    fn is_current(&self, agent: &Agent) -> bool {
        self.generation == agent.shared.config().generation && !agent.gate.is_draining()
    }
}

async fn load_missing(agent: &Agent, wanted: &Wanted) {
    let Ok(loaded) = agent.upstream.loaded_adapters().await else {
        return;
    };
    let missing = wanted.adapters.iter().filter(|name| !loaded.contains(name));
    let missing: Vec<&String> = missing.collect();
    if missing.is_empty() {
        return;
    }
    let mut holder = Holder::new(agent, wanted.checks_fencing);
    for name in missing {
        let Some(permit) = holder.permit(wanted).await else {
            telemetry::emit(&AgentEvent::OrderWithheld {
                instance: agent.settings.instance.clone(),
                adapter: name.clone(),
                generation: wanted.generation,
            });
            break;
        };
        give(agent, name, permit).await;
    }
    holder.release().await;
}

/// Gives one order, which ends or is given up by the permit's end.
async fn give(agent: &Agent, name: &str, permit: Permit) {
    let left_ms = permit.finish_by.since(agent.clock.now());
    let late = async {
        Timer::after(Duration::from_millis(left_ms)).await;
        OrderEnd::NoAnswer
    };
    let order = agent.upstream.load_adapter(name, permit.fencing);
    let end = order.or(late).await;
    telemetry::emit(&AgentEvent::OrderGiven {
        instance: agent.settings.instance.clone(),
        adapter: name.into(),
        fencing: permit.fencing,
        end: end.as_str(),
    });
}

/// The lease machine with its store.
struct Holder<'a> {
    agent: &'a Agent,
    key: Key,
    lease: Lease,
}

impl<'a> Holder<'a> {
    fn new(agent: &'a Agent, checks_fencing: bool) -> Self {
        let instance = &agent.settings.instance;
        let nonce = format!("{:032x}", rand::random::<u128>());
        Self {
            agent,
            key: Key::new(LEASE_KIND, instance.as_str()),
            lease: Lease::new(instance.clone(), nonce, Timing::DEFAULT, checks_fencing),
        }
    }

    /// Permission for one order, which the caller gives at once; `None` when
    /// it is not wanted any more.
    async fn permit(&mut self, wanted: &Wanted) -> Option<Permit> {
        while wanted.is_current(self.agent) {
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

    /// Gives the lease up; a lost answer only makes the next holder wait.
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
    let wait_ms = until.since(now).clamp(1, LEASE_LOOK_MS);
    Timer::after(Duration::from_millis(wait_ms)).await;
}
