//! Follows the platform's instance list.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rpc::methods::{GetMembership, GetStatus};

use super::pace::{ended_too_soon, jittered};
use crate::{settings::Settings, state::SharedState};

/// Mean time between tries while the list is unavailable.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Mean time between two rounds of asking instances that said that they are
/// leaving whether they do.
const RECHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Longest wait for a peer's answer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of one line of the list as JSON text, in bytes, about.
const LINE_BYTES: usize = 150;
/// Bytes per second that reading the list may cost a process.
const LIST_BYTES_PER_S: usize = 8_000;

/// Follows the list; runs as long as the process.
pub(super) async fn follow(state: Arc<SharedState>, settings: Arc<Settings>) {
    let mut after = None;
    loop {
        let asked_at = Instant::now();
        let before = state.list_version();
        let answer = settings
            .instances
            .instances(after, settings.watch_timeout)
            .await;
        state.note_list(answer.is_ok());
        match answer {
            Ok(list) => {
                if let Some(list) = list {
                    let lines = list.instances.len();
                    state.on_list(list);
                    smol::Timer::after(pause_after(lines)).await;
                }
                let is_news = state.list_version() > before;
                if !is_news && after.is_some() && ended_too_soon(asked_at.elapsed()) {
                    pause().await;
                }
                after = Some(state.list_version());
            }
            Err(error) => {
                log::debug!("reading the instance list failed: {error}");
                if state.list_version() == 0 {
                    ask_seeds(&state, &settings).await;
                }
                // A list that was started anew is seen without a version.
                after = None;
                pause().await;
            }
        }
    }
}

async fn pause() {
    smol::Timer::after(jittered(RETRY_INTERVAL, rand::random())).await;
}

/// Pause after a list of so many lines was read: changes in quick succession
/// are read as one.
fn pause_after(lines: usize) -> Duration {
    let bytes = lines.saturating_mul(LINE_BYTES);
    Duration::from_secs_f64(bytes as f64 / LIST_BYTES_PER_S as f64)
}

/// Takes the list of the first seed that has one.
async fn ask_seeds(state: &SharedState, settings: &Settings) {
    for seed in &settings.seeds {
        let answer = settings
            .peers
            .call::<GetMembership>(seed, state.generation(), (), PEER_TIMEOUT)
            .await;
        let Ok(answered) = answer else {
            continue;
        };
        state.on_peer_generation(seed, answered.generation);
        let view = answered.answer;
        if view.list.version == 0 {
            continue;
        }
        state.on_list(view.list);
        for instance in &view.leaving {
            state.on_leaving(instance);
        }
        return;
    }
}

/// Asks instances that said that they are leaving, and that the list still
/// shows as live, whether they take work again; runs as long as the process.
pub(super) async fn recheck_leaving(state: Arc<SharedState>, settings: Arc<Settings>) {
    loop {
        smol::Timer::after(jittered(RECHECK_INTERVAL, rand::random())).await;
        recheck_once(&state, &settings).await;
    }
}

async fn recheck_once(state: &SharedState, settings: &Settings) {
    for (instance, addr) in state.tombstones() {
        let answer = settings
            .peers
            .call::<GetStatus>(&addr, state.generation(), (), PEER_TIMEOUT)
            .await;
        let takes_work = answer.is_ok_and(|answered| {
            answered.answer.instance == instance && !answered.answer.draining
        });
        if takes_work {
            state.on_accepting_work(&instance, &addr);
        }
    }
}
