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
const FIRST_EXCHANGES: u32 = 3;
/// Pause until a new entry knows whom to ask.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Exchanges evidence with the process at `addr`; a silent one is left alone.
pub(crate) async fn exchange(app: &App, addr: &str) {
    let known = lock(&app.suspects).export(app.now());
    let generation = app.shared.config().generation;
    let call = app
        .peers
        .call::<ExchangeEvidence>(addr, generation, known, EXCHANGE_TIMEOUT);
    let Ok(answered) = Box::pin(call).await else {
        return;
    };
    app.shared.on_peer_generation(addr, answered.generation);
    lock(&app.suspects).merge(app.now(), &answered.answer);
}

/// Exchanges with random processes for as long as the process lives.
pub(crate) async fn exchange_now_and_then(app: Arc<App>) {
    smol::Timer::after(FIRST_PAUSE).await;
    for _ in 0..FIRST_EXCHANGES {
        exchange_with_any(&app).await;
    }
    loop {
        let wait_ms = EXCHANGE_INTERVAL_MS / 2 + rand::random_range(0..EXCHANGE_INTERVAL_MS);
        smol::Timer::after(Duration::from_millis(wait_ms)).await;
        exchange_with_any(&app).await;
    }
}

async fn exchange_with_any(app: &App) {
    let membership = app.shared.membership();
    if membership.all.is_empty() {
        return;
    }
    let any = &membership.all[rand::random_range(0..membership.all.len())];
    if any.instance != app.settings.instance {
        exchange(app, &any.addr).await;
    }
}
