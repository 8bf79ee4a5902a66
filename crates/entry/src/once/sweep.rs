//! Deletes claims that are older than the time for which they are kept.

use std::{sync::Arc, time::Duration};

use coord::{claim::CLAIM_KIND, ReadResult};
use platform::{Condition, Key, Listed, ObjectStore};

use super::steps::read;
use crate::unix_time::unix_ms;

/// Claims that one sweep looks at; every entry picks its own at random, so
/// that together they get round without agreeing on anything.
const SWEEP_MAX: usize = 64;
/// Pause between two looks, which bounds the rate of store calls.
const SWEEP_PAUSE: Duration = Duration::from_secs(2);
/// Mean time between two sweeps.
const SWEEP_INTERVAL_MS: u64 = 600_000;

/// Sweeps for as long as the process lives.
pub(crate) async fn sweep_claims(store: Arc<dyn ObjectStore>, retention: Duration) {
    loop {
        let wait_ms = SWEEP_INTERVAL_MS / 2 + rand::random_range(0..SWEEP_INTERVAL_MS);
        smol::Timer::after(Duration::from_millis(wait_ms)).await;
        sweep_once(&store, retention, SWEEP_PAUSE).await;
    }
}

/// Looks at some claims and deletes the old ones.
async fn sweep_once(store: &Arc<dyn ObjectStore>, retention: Duration, pause: Duration) {
    let Ok(claims) = store.list(CLAIM_KIND).await else {
        return;
    };
    let count = claims.len();
    for _ in 0..SWEEP_MAX.min(count) {
        let claim = &claims[rand::random_range(0..count)];
        sweep_claim(store, claim, retention).await;
        smol::Timer::after(pause).await;
    }
}

async fn sweep_claim(store: &Arc<dyn ObjectStore>, claim: &Listed, retention: Duration) {
    let object = Key::new(CLAIM_KIND, &claim.name);
    let ReadResult::Found { version, record } = read(store, &object).await else {
        return;
    };
    let age_ms = unix_ms().saturating_sub(record.created_unix_ms);
    if u128::from(age_ms) > retention.as_millis() {
        // A failed delete is left to the next sweep.
        let _ = store.delete(&object, Condition::Version(version)).await;
    }
}
