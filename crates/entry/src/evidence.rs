//! Exchanges evidence of upstream crashes with agents and other entries.
//!
//! Two processes at a time exchange all their evidence: an entry with the agent
//! of a failed attempt immediately, and with a random process periodically. This
//! gossip spreads evidence to every process without tracking which process has
//! which evidence.

use std::{sync::Arc, time::Duration};

use rpc::methods::ExchangeEvidence;

use crate::app::{lock, App};

/// Time limit of one exchange call; without a response, nothing is merged.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Mean time between exchanges with a random process; each wait is drawn from 0.5
/// to 1.5 of it.
const EXCHANGE_INTERVAL_MS: u64 = 2_000;
/// Number of exchanges at start-up, so that a new entry enforces existing
/// quarantines early.
const STARTUP_EXCHANGES: u32 = 3;
/// Delay before the first exchange, by when the membership should have arrived.
const STARTUP_DELAY: Duration = Duration::from_millis(100);

/// Sends all evidence to the process at `addr` and merges the evidence that it
/// returns. Merges nothing if the call fails.
pub(crate) async fn exchange(app: &App, addr: &str) {
    let evidence = lock(&app.suspects).export(app.now());
    let generation = app.shared.config().generation;
    let call = app
        .peers
        .call::<ExchangeEvidence>(addr, generation, evidence, EXCHANGE_TIMEOUT);
    let Ok(response) = Box::pin(call).await else {
        return;
    };
    app.shared.on_peer_generation(addr, response.generation);
    lock(&app.suspects).merge(app.now(), &response.answer);
}

/// Exchanges evidence with random processes until this process exits.
pub(crate) async fn exchange_periodically(app: Arc<App>) {
    smol::Timer::after(STARTUP_DELAY).await;
    for _ in 0..STARTUP_EXCHANGES {
        exchange_with_random_peer(&app).await;
    }
    loop {
        let wait_ms = EXCHANGE_INTERVAL_MS / 2 + rand::random_range(0..EXCHANGE_INTERVAL_MS);
        smol::Timer::after(Duration::from_millis(wait_ms)).await;
        exchange_with_random_peer(&app).await;
    }
}

async fn exchange_with_random_peer(app: &App) {
    let membership = app.shared.membership();
    if membership.all.is_empty() {
        return;
    }
    let peer = &membership.all[rand::random_range(0..membership.all.len())];
    if peer.instance != app.settings.instance {
        exchange(app, &peer.addr).await;
    }
}
