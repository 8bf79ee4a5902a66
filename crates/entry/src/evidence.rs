//! Learns from agents and other entries which contents crash upstreams.
//!
//! Evidence travels by exchange between two processes at a time: with the
//! agent of a failed attempt at once, and with a random process now and then,
//! so that it reaches every process without a list of who knows what.

use std::{sync::Arc, time::Duration};

use rpc::methods::ExchangeEvidence;

use crate::app::{lock, App};

/// Longest wait for an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Mean time between two exchanges with a random process, in milliseconds.
const EXCHANGE_INTERVAL_MS: u64 = 2_000;
/// Exchanges that a new entry makes at once.
const STARTUP_EXCHANGES: u32 = 3;
/// Pause until a new entry knows whom to ask.
const STARTUP_DELAY: Duration = Duration::from_millis(100);

/// Exchanges evidence with the process at `addr`; a silent one is left alone.
pub(crate) async fn exchange(app: &App, addr: &str) {
    let evidence = lock(&app.suspects).export(app.now());
    let generation = app.shared.config().generation;
    let call = app
        .peers
        .call::<ExchangeEvidence>(addr, generation, evidence, EXCHANGE_TIMEOUT);
    let Ok(answered) = Box::pin(call).await else {
        return;
    };
    app.shared.on_peer_generation(addr, answered.generation);
    lock(&app.suspects).merge(app.now(), &answered.answer);
}

/// Exchanges with random processes for as long as the process lives.
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
