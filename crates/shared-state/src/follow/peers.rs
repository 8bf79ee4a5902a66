//! Discovers newer configurations by comparing generations with peers, and
//! fetches them.
//!
//! The watch of the store notifies most processes of a change within its round
//! trip time. If a watch hangs or the store is down, generations spread by
//! gossip: each process compares its generation with that of a random neighbour
//! every few seconds, and with several at once when its own has risen.

use std::{sync::Arc, time::Duration};

use futures_lite::FutureExt;
use rand::seq::SliceRandom;
use rpc::methods::{CompareGenerations, GetConfig};
use smol::channel::Receiver;
use telemetry::events::StateEvent;

use super::{config::read_from_store, neighbours::neighbours, timing::jittered};
use crate::{
    config_store::parse_head,
    settings::Settings,
    state::{Hint, SharedState},
};

/// Timeout of a call to a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Mean delay after a hint before the store is read, so that the watch can
/// return the change first.
const MEAN_WATCH_WAIT: Duration = Duration::from_millis(500);
/// Timeout of the store read, after which the configuration is fetched from the
/// peer.
const STORE_READ_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum number of peers with which a process compares generations at once
/// after it applied a newer configuration, or could not fetch one.
pub const GOSSIP_FANOUT: usize = 8;

/// Fetches the newer configurations that hints report: from the store if it is
/// reachable, else from the peer. Runs until the process ends.
pub(super) async fn fetch_on_hints(
    state: Arc<SharedState>,
    settings: Arc<Settings>,
    hints: Receiver<Hint>,
) {
    while let Ok(hint) = hints.recv().await {
        if hint.generation <= state.generation() {
            continue;
        }
        if state.is_store_reachable() && state.is_fetching(hint.generation) {
            continue;
        }
        if state.is_store_reachable() {
            smol::Timer::after(jittered(MEAN_WATCH_WAIT, rand::random())).await;
            read_store_for_hint(&state, &settings, &hint).await;
        }
        if hint.generation > state.generation() {
            fetch_from_peer(&state, &settings, &hint.peer_addr).await;
        }
    }
}

/// Reads the store unless the hint is outdated by now. A read that takes longer
/// than [`STORE_READ_TIMEOUT`] marks the store as unreachable.
async fn read_store_for_hint(state: &SharedState, settings: &Settings, hint: &Hint) {
    if hint.generation <= state.generation() {
        return;
    }
    let read = async {
        // A failure is recorded in `state`; the caller then calls the peer.
        let _ = read_from_store(state, settings).await;
    };
    let timed_out = async {
        smol::Timer::after(STORE_READ_TIMEOUT).await;
        state.set_store_reachable(false);
    };
    read.or(timed_out).await;
}

/// Fetches the configuration of a peer and applies it if it is newer and its
/// shards match the digests in its head.
async fn fetch_from_peer(state: &SharedState, settings: &Settings, peer_addr: &str) {
    let own = state.applied();
    let result = settings
        .peers
        .call::<GetConfig>(
            peer_addr,
            own.generation(),
            own.fetch_params(),
            PEER_TIMEOUT,
        )
        .await;
    let bundle = match result {
        Ok(response) => response.answer,
        Err(error) => {
            log::debug!("could not fetch a newer configuration from peer {peer_addr}: {error}");
            return;
        }
    };
    let Some(bundle) = bundle else {
        return;
    };
    let applied = parse_head(&bundle.head)
        .map_err(|error| error.to_string())
        .and_then(|head| {
            let shards = own.merge_shards(&head, bundle);
            state
                .apply(head, shards, "peer")
                .map_err(|error| error.to_string())
        });
    if let Err(reason) = applied {
        telemetry::emit(&StateEvent::PeerConfigurationRefused {
            peer_addr: peer_addr.into(),
            reason,
        });
    }
}

/// Compares generations with one random neighbour periodically, and with
/// several when `due` receives a message; runs until the process ends.
pub(super) async fn compare_generations(
    state: Arc<SharedState>,
    settings: Arc<Settings>,
    due: Receiver<()>,
) {
    loop {
        let interval = jittered(settings.compare_interval, rand::random());
        let comparison_due = async { due.recv().await.is_ok() };
        let interval_elapsed = async {
            smol::Timer::after(interval).await;
            false
        };
        let peer_count = if comparison_due.or(interval_elapsed).await {
            GOSSIP_FANOUT
        } else {
            1
        };
        compare_with(&state, &settings, peer_count).await;
    }
}

/// Compares generations with `count` random neighbours concurrently. A peer
/// with a higher generation is queued as a hint.
async fn compare_with(state: &Arc<SharedState>, settings: &Arc<Settings>, count: usize) {
    let calls: Vec<_> = random_peers(state, settings, count)
        .into_iter()
        .map(|addr| {
            let (state, settings) = (state.clone(), settings.clone());
            async_global_executor::spawn(async move {
                let result = settings
                    .peers
                    .call::<CompareGenerations>(&addr, state.generation(), (), PEER_TIMEOUT)
                    .await;
                if let Ok(response) = result {
                    state.on_peer_generation(&addr, response.generation);
                }
            })
        })
        .collect();
    for call in calls {
        call.await;
    }
}

/// Returns the addresses of up to `count` random neighbours, or of random seeds
/// while there is no instance list.
fn random_peers(state: &SharedState, settings: &Settings, count: usize) -> Vec<Arc<str>> {
    let membership = state.membership();
    let ids = membership.all.iter().map(|listed| &listed.instance);
    let mut addrs: Vec<Arc<str>> = neighbours(&settings.instance, ids)
        .into_iter()
        .map(|index| membership.all[index].addr.clone())
        .collect();
    if addrs.is_empty() {
        addrs = settings.seeds.clone();
    }
    addrs.shuffle(&mut rand::rng());
    addrs.truncate(count);
    addrs
}
