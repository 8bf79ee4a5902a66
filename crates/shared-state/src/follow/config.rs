//! Watches the configuration in the platform's store.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use ::config::Head;
use store::StoreError;
use telemetry::events::StateEvent;
use types::Generation;

use super::timing::{delay_before_fetch, jittered, returned_too_early};
use crate::{
    config_store::{head_key, parse_head, read_head, read_shards, ReadError},
    settings::Settings,
    state::SharedState,
};

/// Mean delay before a retry after a failed call.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Number of consecutive watches without a change after which the head is read
/// directly. The read detects a store that was restored to an older version,
/// for which a watch would not return.
const IDLE_WATCHES_BEFORE_READ: u32 = 3;

/// Watches the head and applies each change; runs until the process ends.
pub(super) async fn watch_config(state: Arc<SharedState>, settings: Arc<Settings>) {
    let mut version = 0;
    let mut idle_watches = IDLE_WATCHES_BEFORE_READ;
    loop {
        let started_at = Instant::now();
        let is_watch = idle_watches < IDLE_WATCHES_BEFORE_READ;
        let result = if idle_watches >= IDLE_WATCHES_BEFORE_READ {
            read(&state, &settings).await
        } else {
            watch(&state, &settings, version).await
        };
        match result {
            Ok(Some(read_version)) => {
                let is_newer = read_version > version;
                version = read_version;
                idle_watches = 0;
                if is_watch && !is_newer && returned_too_early(started_at.elapsed()) {
                    sleep_before_retry().await;
                }
            }
            Ok(None) => {
                idle_watches += 1;
                if returned_too_early(started_at.elapsed()) {
                    sleep_before_retry().await;
                }
            }
            Err(error) => {
                log::debug!(
                    "could not read the configuration from the store: {error}; \
                     reading the head again in about {RETRY_INTERVAL:?}"
                );
                // The next call reads the head directly instead of watching it.
                idle_watches = IDLE_WATCHES_BEFORE_READ;
                sleep_before_retry().await;
            }
        }
    }
}

async fn sleep_before_retry() {
    smol::Timer::after(jittered(RETRY_INTERVAL, rand::random())).await;
}

/// Reads the head and applies it if it is newer. Returns the version of its
/// object; 0 if the object does not exist.
async fn read(state: &SharedState, settings: &Settings) -> Result<Option<u64>, ReadError> {
    let stored = read_head(&*settings.store).await;
    update_store_reachability(state, &stored);
    let Some(stored) = stored? else {
        // A watch after version 0 returns when the object is created.
        return Ok(Some(0));
    };
    fetch(state, settings, stored.head).await?;
    Ok(Some(stored.version))
}

/// Waits for a version of the head above `after` and applies it if it is newer.
/// Returns its version; `None` if the watch timed out.
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
    update_store_reachability(state, &watched);
    let Some(object) = watched? else {
        return Ok(None);
    };
    let head = parse_head(&object.value)?;
    if head.generation > state.generation() {
        state.set_fetching(head.generation);
        let processes = state.membership().all.len();
        smol::Timer::after(delay_before_fetch(processes, rand::random())).await;
    }
    let fetched = fetch(state, settings, head).await;
    state.set_fetching(Generation(0));
    if fetched.is_err() {
        // A peer may have the configuration that the store did not return.
        state.request_comparison();
    }
    fetched?;
    Ok(Some(object.version))
}

/// Reads the head from the store and applies it if it is newer.
pub(super) async fn read_from_store(
    state: &SharedState,
    settings: &Settings,
) -> Result<(), ReadError> {
    read(state, settings).await.map(|_| ())
}

/// Reads the shards of `head` and applies the configuration if it is newer than
/// the one in force.
async fn fetch(state: &SharedState, settings: &Settings, head: Head) -> Result<(), ReadError> {
    if head.generation <= state.generation() {
        report_older_head(state, &head);
        return Ok(());
    }
    let known = state.applied();
    let shards = read_shards(&*settings.store, &head, &known.shards).await;
    update_store_reachability(state, &shards);
    state.apply(head, shards?, "store")?;
    Ok(())
}

fn report_older_head(state: &SharedState, head: &Head) {
    let in_force = state.generation();
    if head.generation < in_force {
        telemetry::emit(&StateEvent::OlderConfigurationIgnored {
            generation: head.generation,
            in_force,
        });
    }
}

/// Records whether the store is reachable. An invalid response counts as
/// reachable.
fn update_store_reachability<T>(state: &SharedState, result: &Result<T, ReadError>) {
    let failed = matches!(
        result,
        Err(ReadError::Store(
            StoreError::Refused(_) | StoreError::OutcomeUnknown(_)
        ))
    );
    state.set_store_reachable(!failed);
}
