//! Preserves crash evidence across a restart, in the platform's object store
//! and on the other agents of the upstream.

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

/// Object kind; each object has the name of its agent's instance.
const EVIDENCE_KIND: &str = "crash-evidence";

/// Maximum number of evidence rows in the object; bounds its size.
const STORED_ROWS_MAX: usize = 512;

/// Maximum time that the start waits for earlier evidence.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of other agents asked for evidence at the start.
const LOAD_PEERS_MAX: usize = 3;

/// Minimum time between two writes of the object, also after a failed write.
const WRITE_INTERVAL: Duration = Duration::from_secs(5);

/// Mean time between two exchanges with a random other agent; each wait is
/// drawn from 0.5 to 1.5 times this value.
const EXCHANGE_INTERVAL_MS: u64 = 60_000;

/// Value of the stored object.
#[derive(Debug, Serialize, Deserialize)]
struct StoredEvidence {
    /// Time of the write, in milliseconds since the Unix epoch.
    written_unix_ms: u64,
    /// Evidence rows, with ages relative to `written_unix_ms`.
    evidence: Vec<Evidence>,
}

/// Loads the evidence of an earlier process of this instance from the store,
/// and from some agents of the upstream. Returns after [`LOAD_TIMEOUT`] with
/// what was loaded, since an agent with partial evidence is better than none.
pub(crate) async fn load_evidence(agent: &Agent) {
    let load = async {
        let stored = read(agent).await;
        if !stored.is_empty() {
            let now = agent.clock.now();
            agent.suspects().merge(now, &stored);
        }
        let mut addrs = agent.peer_addrs();
        addrs.truncate(LOAD_PEERS_MAX);
        agent.exchange_with(&addrs).await;
    };
    let timeout = async {
        Timer::after(LOAD_TIMEOUT).await;
    };
    load.or(timeout).await;
}

/// Writes new evidence to the store, retrying until a write succeeds, and
/// exchanges evidence with other agents periodically.
pub(crate) async fn persist_evidence(agent: Arc<Agent>) {
    async_global_executor::spawn(exchange_periodically(agent.clone())).detach();
    loop {
        agent.has_new_evidence.notified().await;
        while !write(&agent).await {
            Timer::after(WRITE_INTERVAL).await;
        }
        Timer::after(WRITE_INTERVAL).await;
    }
}

async fn exchange_periodically(agent: Arc<Agent>) {
    loop {
        let wait_ms = EXCHANGE_INTERVAL_MS / 2 + rand::random_range(0..EXCHANGE_INTERVAL_MS);
        Timer::after(Duration::from_millis(wait_ms)).await;
        let addrs = agent.peer_addrs();
        if !addrs.is_empty() {
            let index = rand::random_range(0..addrs.len());
            agent.exchange_with(&addrs[index..=index]).await;
        }
    }
}

async fn read(agent: &Agent) -> Vec<Evidence> {
    let object = agent.store.get(&key(agent)).await;
    let Ok(Some(object)) = object else {
        return Vec::new();
    };
    let Ok(mut stored) = serde_json::from_value::<StoredEvidence>(object.value) else {
        return Vec::new();
    };
    let since_ms = unix_ms().saturating_sub(stored.written_unix_ms);
    for evidence in &mut stored.evidence {
        evidence.age_ms = evidence.age_ms.saturating_add(since_ms);
    }
    stored.evidence
}

/// Writes the newest evidence; returns whether the write succeeded. A write
/// whose outcome is unknown can be repeated, since only the agent of this
/// instance writes the object and merging is idempotent.
async fn write(agent: &Agent) -> bool {
    let mut evidence = agent.suspects().export(agent.clock.now());
    evidence.sort_by_key(|row| row.age_ms);
    evidence.truncate(STORED_ROWS_MAX);
    let stored = StoredEvidence {
        written_unix_ms: unix_ms(),
        evidence,
    };
    let Ok(value) = serde_json::to_value(&stored) else {
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
