//! Watches the platform's instance list.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rpc::methods::{GetMembership, GetStatus};

use super::timing::{jittered, returned_too_early};
use crate::{settings::Settings, state::SharedState};

/// Mean delay before a retry after a failed call for the list.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Mean interval between status checks of the instances that announced that
/// they are leaving.
const RECHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Timeout of a call to a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Approximate size of one list item as JSON text.
const LIST_ITEM_BYTES: usize = 150;
/// Maximum average rate at which a process reads lists, in bytes per second.
const LIST_BYTES_PER_S: usize = 8_000;

/// Watches the list and applies each change; runs until the process ends.
pub(super) async fn watch_instances(state: Arc<SharedState>, settings: Arc<Settings>) {
    let mut after = None;
    loop {
        let started_at = Instant::now();
        let before = state.list_version();
        let result = settings
            .instances
            .instances(after, settings.watch_timeout)
            .await;
        state.on_list_call(result.is_ok());
        match result {
            Ok(list) => {
                if let Some(list) = list {
                    let items = list.instances.len();
                    state.on_list(list);
                    smol::Timer::after(delay_after_list(items)).await;
                }
                let is_newer = state.list_version() > before;
                if !is_newer && after.is_some() && returned_too_early(started_at.elapsed()) {
                    sleep_before_retry().await;
                }
                after = Some(state.list_version());
            }
            Err(error) => {
                log::debug!(
                    "could not read the instance list: {error}; \
                     retrying in about {RETRY_INTERVAL:?}"
                );
                if state.list_version() == 0 {
                    fetch_list_from_seeds(&state, &settings).await;
                }
                // A list whose versions were reset is only returned by a call
                // without a version.
                after = None;
                sleep_before_retry().await;
            }
        }
    }
}

async fn sleep_before_retry() {
    smol::Timer::after(jittered(RETRY_INTERVAL, rand::random())).await;
}

/// Returns the delay before the next watch after a list was read. It limits the
/// average read rate; changes during the delay are read together.
fn delay_after_list(items: usize) -> Duration {
    let bytes = items.saturating_mul(LIST_ITEM_BYTES);
    Duration::from_secs_f64(bytes as f64 / LIST_BYTES_PER_S as f64)
}

/// Applies the list of the first seed that responds with one.
async fn fetch_list_from_seeds(state: &SharedState, settings: &Settings) {
    for seed in &settings.seeds {
        let result = settings
            .peers
            .call::<GetMembership>(seed, state.generation(), (), PEER_TIMEOUT)
            .await;
        let Ok(response) = result else {
            continue;
        };
        state.on_peer_generation(seed, response.generation);
        let view = response.answer;
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

/// Checks periodically whether instances that announced that they are leaving,
/// but that the list still shows as live, accept work again; runs until the
/// process ends.
pub(super) async fn recheck_leaving(state: Arc<SharedState>, settings: Arc<Settings>) {
    loop {
        smol::Timer::after(jittered(RECHECK_INTERVAL, rand::random())).await;
        recheck_once(&state, &settings).await;
    }
}

async fn recheck_once(state: &SharedState, settings: &Settings) {
    for (instance, addr) in state.tombstones() {
        let result = settings
            .peers
            .call::<GetStatus>(&addr, state.generation(), (), PEER_TIMEOUT)
            .await;
        let accepts_work = result.is_ok_and(|response| {
            response.answer.instance == instance && !response.answer.draining
        });
        if accepts_work {
            state.on_accepting_work(&instance, &addr);
        }
    }
}
