//! Deletes claims that are older than the retention time.

use std::{
    sync::{atomic::Ordering, Arc},
    time::Duration,
};

use coord::{claim::CLAIM_KIND, ReadResult};
use store::{Condition, Key, Listed, ObjectStore};

use super::claim::read;
use crate::{app::App, unix_time::unix_ms};

/// Number of claims that a sweep samples if no claim was made since the last one.
/// Entries sample at random, so that together they reach all claims without
/// coordination.
const SAMPLES_MIN: u64 = 64;
/// Additional samples for each claim that this entry made since its last sweep.
/// With 4, expired claims stay at or below a third of the claims in retention.
const SAMPLES_PER_CLAIM: u64 = 4;
/// Pause between two samples, which limits the rate of store calls.
const SAMPLE_PAUSE: Duration = Duration::from_millis(200);
/// Mean time between two sweeps; each wait is drawn from 0.5 to 1.5 of it.
const SWEEP_INTERVAL_MS: u64 = 600_000;

/// Sweeps at random intervals until the process exits.
pub(crate) async fn run_claim_sweeper(app: Arc<App>) {
    let retention = app.settings.claim_retention;
    loop {
        let wait_ms = SWEEP_INTERVAL_MS / 2 + rand::random_range(0..SWEEP_INTERVAL_MS);
        smol::Timer::after(Duration::from_millis(wait_ms)).await;
        let made = app.claims_made.swap(0, Ordering::Relaxed);
        let samples = SAMPLES_MIN + SAMPLES_PER_CLAIM * made;
        sweep_expired_claims(&app.store, retention, samples, SAMPLE_PAUSE).await;
    }
}

/// Samples up to `samples` claims at random and deletes those that are older than
/// `retention`. Waits for `pause` after each sample.
pub async fn sweep_expired_claims(
    store: &Arc<dyn ObjectStore>,
    retention: Duration,
    samples: u64,
    pause: Duration,
) {
    let Ok(claims) = store.list(CLAIM_KIND).await else {
        return;
    };
    let count = claims.len();
    if count == 0 {
        return;
    }
    for _ in 0..samples.min(count as u64) {
        let claim = &claims[rand::random_range(0..count)];
        delete_if_expired(store, claim, retention).await;
        smol::Timer::after(pause).await;
    }
}

async fn delete_if_expired(store: &Arc<dyn ObjectStore>, claim: &Listed, retention: Duration) {
    let object = Key::new(CLAIM_KIND, &claim.name);
    let ReadResult::Found { version, record } = read(store, &object).await else {
        return;
    };
    let age_ms = unix_ms().saturating_sub(record.created_unix_ms);
    if u128::from(age_ms) > retention.as_millis() {
        // After a failed delete, a later sweep retries.
        let _ = store.delete(&object, Condition::Version(version)).await;
    }
}
