//! Learns of newer configurations from peers.
//!
//! The store's watch tells most processes of a change within its round trip.
//! Where a watch hangs or the store is down, generations spread from process
//! to process: each compares its generation with a random neighbour's every
//! few seconds, and with several at once when its own has risen.

use std::{sync::Arc, time::Duration};

use futures_lite::FutureExt;
use rand::seq::SliceRandom;
use rpc::methods::{CompareGenerations, GetConfig};
use smol::channel::Receiver;
use telemetry::events::StateEvent;

use super::{config::read_from_store, neighbours::neighbours, pace::jittered};
use crate::{
    config_store::parse_head,
    settings::Settings,
    state::{Hint, SharedState},
};

/// Longest wait for a peer's answer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Mean time that a process waits for the store's watch to bring what a peer
/// has already.
const WATCH_HEAD_START: Duration = Duration::from_millis(500);
/// Longest wait for the store before a peer is asked.
const STORE_HEAD_START: Duration = Duration::from_millis(700);
/// Peers told at once of a newer configuration.
pub const GOSSIP_FANOUT: usize = 8;

/// Fetches newer configurations that peers were heard to have.
pub(super) async fn follow_hints(
    state: Arc<SharedState>,
    settings: Arc<Settings>,
    hints: Receiver<Hint>,
) {
    while let Ok(hint) = hints.recv().await {
        if hint.generation <= state.generation() {
            continue;
        }
        if state.store_answers() && state.is_fetching(hint.generation) {
            continue;
        }
        if state.store_answers() {
            smol::Timer::after(jittered(WATCH_HEAD_START, rand::random())).await;
            ask_store(&state, &settings, &hint).await;
        }
        if hint.generation > state.generation() {
            fetch_from_peer(&state, &settings, &hint.peer_addr).await;
        }
    }
}

async fn ask_store(state: &SharedState, settings: &Settings, hint: &Hint) {
    if hint.generation <= state.generation() {
        return;
    }
    let read = async {
        // A failure is noted, and the peer is asked next.
        let _ = read_from_store(state, settings).await;
    };
    let late = async {
        smol::Timer::after(STORE_HEAD_START).await;
        state.note_store(false);
    };
    read.or(late).await;
}

/// Fetches the configuration of a peer; the digests are checked.
async fn fetch_from_peer(state: &SharedState, settings: &Settings, peer_addr: &str) {
    let own = state.applied();
    let answer = settings
        .peers
        .call::<GetConfig>(
            peer_addr,
            own.generation(),
            own.fetch_params(),
            PEER_TIMEOUT,
        )
        .await;
    let bundle = match answer {
        Ok(answered) => answered.answer,
        Err(error) => {
            log::debug!("a newer configuration could not be fetched: {error}");
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

/// Compares generations with random neighbours; runs as long as the process.
pub(super) async fn compare_generations(
    state: Arc<SharedState>,
    settings: Arc<Settings>,
    due: Receiver<()>,
) {
    loop {
        let pause = jittered(settings.compare_interval, rand::random());
        let due_now = async { due.recv().await.is_ok() };
        let quiet = async {
            smol::Timer::after(pause).await;
            false
        };
        let peers_asked = if due_now.or(quiet).await {
            GOSSIP_FANOUT
        } else {
            1
        };
        compare_with(&state, &settings, peers_asked).await;
    }
}

/// Compares generations with some random neighbours at the same time.
async fn compare_with(state: &Arc<SharedState>, settings: &Arc<Settings>, count: usize) {
    let calls: Vec<_> = random_peers(state, settings, count)
        .into_iter()
        .map(|addr| {
            let (state, settings) = (state.clone(), settings.clone());
            async_global_executor::spawn(async move {
                let answer = settings
                    .peers
                    .call::<CompareGenerations>(&addr, state.generation(), (), PEER_TIMEOUT)
                    .await;
                if let Ok(answered) = answer {
                    state.on_peer_generation(&addr, answered.generation);
                }
            })
        })
        .collect();
    for call in calls {
        call.await;
    }
}

/// Addresses of random neighbours, or of random seeds while there is no list.
fn random_peers(state: &SharedState, settings: &Settings, count: usize) -> Vec<Arc<str>> {
    let membership = state.membership();
    let ids = membership.all.iter().map(|one| &one.instance);
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
