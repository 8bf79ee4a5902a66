//! Keeps evidence over a restart: in the platform's store, and with the other
//! agents of the upstream.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use futures_lite::FutureExt;
use policy::quarantine::Evidence;
use serde::{Deserialize, Serialize};
use smol::Timer;
use store::{Condition, Key};

use crate::agent::Agent;

/// Kind of the objects; each is named after its agent's instance.
const EVIDENCE_KIND: &str = "crash-evidence";

/// Rows of evidence kept in the object at most, so that it stays small.
const KEPT_MAX: usize = 512;

/// Longest wait for evidence at the start.
const START_TIMEOUT: Duration = Duration::from_secs(1);

/// Agents asked at the start.
const ASKED_AT_START: usize = 3;

/// Time between two writes of the object at least, also after a failed one.
const WRITE_PAUSE: Duration = Duration::from_secs(5);

/// Mean time between two exchanges with another agent, in milliseconds.
const EXCHANGE_INTERVAL_MS: u64 = 60_000;

/// The object's value.
#[derive(Debug, Serialize, Deserialize)]
struct Kept {
    /// When it was written, in milliseconds since the Unix epoch.
    written_unix_ms: u64,
    /// What was known then.
    evidence: Vec<Evidence>,
}

/// Reads back what an earlier process for this instance knew, and asks some
/// agents of the upstream. Gives up after a time: an agent that knows less is
/// better than none.
pub(crate) async fn recall_evidence(agent: &Agent) {
    let recall = async {
        let kept = read(agent).await;
        if !kept.is_empty() {
            let now = agent.clock.now();
            agent.suspects().merge(now, &kept);
        }
        let mut addrs = agent.peer_addrs();
        addrs.truncate(ASKED_AT_START);
        agent.exchange_with(&addrs).await;
    };
    let timeout = async {
        Timer::after(START_TIMEOUT).await;
    };
    recall.or(timeout).await;
}

/// Writes new evidence to the store, and exchanges it now and then.
pub(crate) async fn keep(agent: Arc<Agent>) {
    async_global_executor::spawn(exchange_now_and_then(agent.clone())).detach();
    loop {
        agent.has_new_evidence.notified().await;
        while !write(&agent).await {
            Timer::after(WRITE_PAUSE).await;
        }
        Timer::after(WRITE_PAUSE).await;
    }
}

async fn exchange_now_and_then(agent: Arc<Agent>) {
    loop {
        let wait_ms = EXCHANGE_INTERVAL_MS / 2 + rand::random_range(0..EXCHANGE_INTERVAL_MS);
        Timer::after(Duration::from_millis(wait_ms)).await;
        let addrs = agent.peer_addrs();
        if !addrs.is_empty() {
            let any = rand::random_range(0..addrs.len());
            agent.exchange_with(&addrs[any..=any]).await;
        }
    }
}

async fn read(agent: &Agent) -> Vec<Evidence> {
    let object = agent.store.get(&key(agent)).await;
    let Ok(Some(object)) = object else {
        return Vec::new();
    };
    let Ok(mut kept) = serde_json::from_value::<Kept>(object.value) else {
        return Vec::new();
    };
    let since_ms = unix_ms().saturating_sub(kept.written_unix_ms);
    for evidence in &mut kept.evidence {
        evidence.age_ms = evidence.age_ms.saturating_add(since_ms);
    }
    kept.evidence
}

/// Writes what is known; whether it took effect. Only this instance's agent
/// writes the object and merging is idempotent, so that a lost answer is
/// settled by writing again.
async fn write(agent: &Agent) -> bool {
    let mut evidence = agent.suspects().export(agent.clock.now());
    evidence.sort_by_key(|one| one.age_ms);
    evidence.truncate(KEPT_MAX);
    let kept = Kept {
        written_unix_ms: unix_ms(),
        evidence,
    };
    let Ok(value) = serde_json::to_value(&kept) else {
        return true;
    };
    let written = agent.store.put(&key(agent), &value, Condition::None).await;
    written.is_ok()
}

fn key(agent: &Agent) -> Key {
    Key::new(EVIDENCE_KIND, agent.settings.instance.as_str())
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |span| {
        u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
    })
}
