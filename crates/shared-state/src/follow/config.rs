//! Follows the configuration in the platform's store.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use ::config::Head;
use store::StoreError;
use telemetry::events::StateEvent;
use types::Generation;

use super::pace::{delay_before_fetch, ended_too_soon, jittered};
use crate::{
    config_store::{head_key, parse_head, read_head, read_shards, ReadError},
    settings::Settings,
    state::SharedState,
};

/// Mean time between tries while the store fails.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Watches that end without news before the head is read once without one:
/// this finds a store that was set back to older versions.
const QUIET_WATCHES_BEFORE_READ: u32 = 3;

/// Watches the head; runs as long as the process.
pub(super) async fn follow(state: Arc<SharedState>, settings: Arc<Settings>) {
    let mut version = 0;
    let mut quiet = QUIET_WATCHES_BEFORE_READ;
    loop {
        let asked_at = Instant::now();
        let is_watch = quiet < QUIET_WATCHES_BEFORE_READ;
        let seen = if quiet >= QUIET_WATCHES_BEFORE_READ {
            read(&state, &settings).await
        } else {
            watch(&state, &settings, version).await
        };
        match seen {
            Ok(Some(seen)) => {
                let is_news = seen > version;
                version = seen;
                quiet = 0;
                if is_watch && !is_news && ended_too_soon(asked_at.elapsed()) {
                    pause().await;
                }
            }
            Ok(None) => {
                quiet += 1;
                if ended_too_soon(asked_at.elapsed()) {
                    pause().await;
                }
            }
            Err(error) => {
                log::debug!("reading the configuration failed: {error}");
                // After a failed watch the head is read without one.
                quiet = QUIET_WATCHES_BEFORE_READ;
                pause().await;
            }
        }
    }
}

async fn pause() {
    smol::Timer::after(jittered(RETRY_INTERVAL, rand::random())).await;
}

/// Reads the head and applies it; returns its object's version.
async fn read(state: &SharedState, settings: &Settings) -> Result<Option<u64>, ReadError> {
    let stored = read_head(&*settings.store).await;
    note_store(state, &stored);
    let Some(stored) = stored? else {
        // The watch of an absent object waits for its first version.
        return Ok(Some(0));
    };
    fetch(state, settings, stored.head).await?;
    Ok(Some(stored.version))
}

async fn watch(
    state: &SharedState,
    settings: &Settings,
    after: u64,
) -> Result<Option<u64>, ReadError> {
    let watched = settings
        .store
        .watch(&head_key(), after, settings.watch_timeout)
        .await;
    let watched = watched.map_err(ReadError::from);
    note_store(state, &watched);
    let Some(object) = watched? else {
        return Ok(None);
    };
    let head = parse_head(&object.value)?;
    if head.generation > state.generation() {
        state.note_fetching(head.generation);
        let processes = state.membership().all.len();
        smol::Timer::after(delay_before_fetch(processes, rand::random())).await;
    }
    let fetched = fetch(state, settings, head).await;
    state.note_fetching(Generation(0));
    if fetched.is_err() {
        // Peers may have what the store does not give.
        state.ask_peers_soon();
    }
    fetched?;
    Ok(Some(object.version))
}

/// Reads the store's head and applies it if it is newer.
pub(super) async fn read_from_store(
    state: &SharedState,
    settings: &Settings,
) -> Result<(), ReadError> {
    read(state, settings).await.map(|_| ())
}

async fn fetch(state: &SharedState, settings: &Settings, head: Head) -> Result<(), ReadError> {
    if head.generation <= state.generation() {
        note_older_head(state, &head);
        return Ok(());
    }
    let known = state.applied();
    let shards = read_shards(&*settings.store, &head, &known.shards).await;
    note_store(state, &shards);
    state.apply(head, shards?, "store")?;
    Ok(())
}

fn note_older_head(state: &SharedState, head: &Head) {
    let in_force = state.generation();
    if head.generation < in_force {
        telemetry::emit(&StateEvent::OlderConfigurationIgnored {
            generation: head.generation,
            in_force,
        });
    }
}

/// An answer whose content is wrong is an answer too: peers may have better.
fn note_store<T>(state: &SharedState, result: &Result<T, ReadError>) {
    let failed = matches!(
        result,
        Err(ReadError::Store(
            StoreError::Refused(_) | StoreError::OutcomeUnknown(_)
        ))
    );
    state.note_store(!failed);
}
