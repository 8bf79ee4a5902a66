//! Store operations for the claim state machine of `coord::claim`.

use std::{sync::Arc, time::Duration};

use coord::{
    claim::{
        Abandoned, ClaimRecord, Claiming, ExistingClaim, Outcome, Owned, Progress, Settling, Step,
    },
    ReadResult, WriteResult,
};
use futures_lite::FutureExt;
use store::{Condition, Key, ObjectStore, StoreError};
use types::{ErrorCode, Verdict};

use super::NewClaim;
use crate::{failure::Failure, unix_time::unix_ms};

/// Time limit of a single store call. A write without a response counts as
/// unsure: it may have taken effect.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause before a write is repeated.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Limit of reads and deletes that remove a claim whose creation failed but may
/// still take effect.
const CLEANUP_ATTEMPTS_MAX: u32 = 10;
/// Pause between cleanup attempts.
const CLEANUP_PAUSE: Duration = Duration::from_secs(3);
/// Expected wait for a claim in progress; callers get a retry time jittered
/// around it.
const IN_PROGRESS_WAIT_MS: u64 = 1_000;
/// Expected wait for an unavailable store; callers get a retry time jittered
/// around it.
const STORE_WAIT_MS: u64 = 5_000;

/// Decision on a submission whose claim was created or found.
pub(crate) enum ClaimDecision {
    /// This submission owns the claim and must dispatch the request.
    Dispatch(Owned),
    /// An earlier submission ran; its stored outcome is returned.
    Replay(Outcome),
}

/// Creates the claim that permits a dispatch, or finds an existing one.
///
/// # Errors
///
/// `in_progress`, `outcome_unknown` or `idempotency_key_reused` if another
/// submission holds the claim; `store_unavailable` if the store does not confirm
/// the claim.
pub(crate) async fn claim(
    store: &Arc<dyn ObjectStore>,
    new_claim: NewClaim,
) -> Result<ClaimDecision, Failure> {
    let NewClaim { object, record } = new_claim;
    let mut claiming = Claiming::new(record, unix_ms());
    loop {
        let progress = match claiming.step() {
            Step::Create(record) => {
                let written = write(store, &object, &record, Condition::Absent).await;
                if matches!(written, WriteResult::Refused | WriteResult::OutcomeUnknown) {
                    smol::Timer::after(STORE_RETRY_PAUSE).await;
                }
                claiming.on_create(written)
            }
            _ => claiming.on_read(read(store, &object).await),
        };
        match progress {
            Progress::Continue(next) => claiming = next,
            Progress::Owned(owned) => return Ok(ClaimDecision::Dispatch(owned)),
            Progress::Existing(ExistingClaim::Ran(outcome)) => {
                return Ok(ClaimDecision::Replay(outcome))
            }
            Progress::Existing(existing) => return Err(refusal(&existing)),
            Progress::StoreUnavailable(abandoned) => {
                async_global_executor::spawn(clean_up(store.clone(), object, abandoned)).detach();
                return Err(Failure::not_run(
                    ErrorCode::StoreUnavailable,
                    "requests that run at most once need the platform's store, which is unavailable; send the request again after the time in `retry-after`",
                )
                .retry_after(STORE_WAIT_MS));
            }
        }
    }
}

fn refusal(existing: &ExistingClaim) -> Failure {
    match existing {
        ExistingClaim::KeyReused => Failure::not_run(
            ErrorCode::IdempotencyKeyReused,
            "this idempotency key was used with a different request; use a new key for a new request",
        ),
        ExistingClaim::InProgress => Failure::new(
            ErrorCode::InProgress,
            Verdict::MayHaveRun,
            "a request with this idempotency key is in progress; send the same request again to get its response",
        )
        .retry_after(IN_PROGRESS_WAIT_MS),
        ExistingClaim::OutcomeUnknown | ExistingClaim::Ran(_) => Failure::new(
            ErrorCode::OutcomeUnknown,
            Verdict::MayHaveRun,
            "a request with this idempotency key may have run and will not run again; check its effect at the service before you use a new key",
        ),
    }
}

/// Writes the outcome of a claim or deletes it, with retries as decided by
/// [`Settling`].
pub(crate) async fn settle(store: Arc<dyn ObjectStore>, object: Key, mut settling: Settling) {
    loop {
        let result = match settling.step() {
            Step::Replace(version, record) => {
                write(&store, &object, record, Condition::Version(*version)).await
            }
            Step::Delete(version) => delete(&store, &object, *version).await,
            Step::Create(_) | Step::Read => return,
        };
        match settling.on_result(result) {
            Some(retry) => settling = retry,
            None => return,
        }
        smol::Timer::after(STORE_RETRY_PAUSE).await;
    }
}

/// Removes a claim whose creation took effect after its submission was refused;
/// otherwise the key would stay blocked.
async fn clean_up(store: Arc<dyn ObjectStore>, object: Key, mut abandoned: Abandoned) {
    for _ in 0..CLEANUP_ATTEMPTS_MAX {
        let next = match abandoned.step() {
            Step::Delete(version) => abandoned.on_deleted(delete(&store, &object, version).await),
            _ => abandoned.on_read(read(&store, &object).await),
        };
        match next {
            Some(retry) if matches!(retry.step(), Step::Delete(_)) => abandoned = retry,
            Some(retry) => {
                abandoned = retry;
                smol::Timer::after(CLEANUP_PAUSE).await;
            }
            None => return,
        }
    }
}

async fn write(
    store: &Arc<dyn ObjectStore>,
    object: &Key,
    record: &ClaimRecord,
    condition: Condition,
) -> WriteResult {
    // A record holds only strings and numbers, so serialization can't fail.
    let value = serde_json::to_value(record).unwrap_or_default();
    let put = store.put(object, &value, condition);
    match put.or(store_timeout()).await {
        Ok(version) => WriteResult::Written(version),
        Err(error) => write_result(&error),
    }
}

async fn delete(store: &Arc<dyn ObjectStore>, object: &Key, version: u64) -> WriteResult {
    let deleted = store.delete(object, Condition::Version(version));
    match deleted.or(store_timeout()).await {
        Ok(()) => WriteResult::Written(version),
        Err(error) => write_result(&error),
    }
}

fn write_result(error: &StoreError) -> WriteResult {
    match error {
        StoreError::Conflict => WriteResult::Conflict,
        StoreError::Refused(_) | StoreError::TooLarge { .. } => WriteResult::Refused,
        StoreError::OutcomeUnknown(_) => WriteResult::OutcomeUnknown,
    }
}

pub(super) async fn read(store: &Arc<dyn ObjectStore>, object: &Key) -> ReadResult<ClaimRecord> {
    match store.get(object).or(store_timeout()).await {
        Ok(None) => ReadResult::Absent,
        Ok(Some(found)) => match serde_json::from_value(found.value) {
            Ok(record) => ReadResult::Found {
                version: found.version,
                record,
            },
            Err(_) => ReadResult::Failed,
        },
        Err(_) => ReadResult::Failed,
    }
}

async fn store_timeout<T>() -> Result<T, StoreError> {
    smol::Timer::after(STORE_TIMEOUT).await;
    Err(StoreError::OutcomeUnknown(
        "the store did not answer in time".into(),
    ))
}
