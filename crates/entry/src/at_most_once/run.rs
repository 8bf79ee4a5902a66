//! Runs a claimed request to its end, even if its caller disconnects.

use std::{
    sync::{atomic::Ordering, Arc},
    time::Duration,
};

use coord::claim::{Outcome, STORED_RESPONSE_MAX_BYTES};
use store::ObjectStore;
use telemetry::{emit, events::EntryEvent};
use types::{ErrorCode, Verdict};

use super::{
    claim::{claim, settle, ClaimDecision},
    NewClaim,
};
use crate::{
    attempt::Session,
    failure::Failure,
    response::{ResponseMode, UpstreamResponse},
};

/// Time limit for which a caller's response is held back until its claim is
/// settled.
const SETTLE_WAIT: Duration = Duration::from_secs(1);

/// Claims and runs a request in a separate task, so that the claim gets an
/// outcome even if the caller disconnects.
///
/// # Errors
///
/// The refusal of the claim, or the failure of the run.
pub(crate) async fn run_at_most_once(
    store: Arc<dyn ObjectStore>,
    new_claim: NewClaim,
    session: Session,
    mode: ResponseMode,
) -> Result<UpstreamResponse, Failure> {
    let (sender, receiver) = smol::channel::bounded(1);
    async_global_executor::spawn(async move {
        let result = claim_and_run(store, new_claim, session, mode).await;
        // Sending fails if the caller has disconnected.
        let _ = sender.send(result).await;
    })
    .detach();
    receiver.recv().await.unwrap_or_else(|_| {
        Err(Failure::new(
            ErrorCode::OutcomeUnknown,
            Verdict::MayHaveRun,
            "the task of the request ended without a result; the request may have run",
        ))
    })
}

async fn claim_and_run(
    store: Arc<dyn ObjectStore>,
    new_claim: NewClaim,
    session: Session,
    mode: ResponseMode,
) -> Result<UpstreamResponse, Failure> {
    let object = new_claim.object.clone();
    let owned = match claim(&store, new_claim).await {
        Ok(ClaimDecision::Dispatch(owned)) => owned,
        Ok(ClaimDecision::Replay(outcome)) => {
            log_claim(&session, "kept");
            return replay(outcome);
        }
        Err(failure) => {
            log_claim(&session, failure.code.as_str());
            session.log_failed(&failure);
            return Err(failure);
        }
    };
    log_claim(&session, "owned");
    session.app.claims_made.fetch_add(1, Ordering::Relaxed);
    let _in_flight = session.hold_in_flight();
    let result = run(session, mode).await;
    let settling = match &result {
        Ok(response) => owned.settle(outcome_of(response)),
        Err(failure) if failure.verdict == Verdict::NotRun => owned.release(),
        Err(_) => owned.settle(Outcome::Unknown),
    };
    settle_with_timeout(settle(store, object, settling)).await;
    result
}

/// Runs the request. It is dispatched again only after a failure with the
/// verdict "not run".
async fn run(mut session: Session, mode: ResponseMode) -> Result<UpstreamResponse, Failure> {
    match session.open(0).await {
        Ok(response) => mode.read(session, response).await,
        Err(failure) => {
            session.log_failed(&failure);
            Err(failure)
        }
    }
}

/// Waits up to [`SETTLE_WAIT`] for the claim to be settled. After that, settling
/// continues in the background.
async fn settle_with_timeout(settling: impl std::future::Future<Output = ()> + Send + 'static) {
    let (sender, receiver) = smol::channel::bounded::<()>(1);
    async_global_executor::spawn(async move {
        settling.await;
        drop(sender);
    })
    .detach();
    let settled = async {
        let _ = receiver.recv().await;
    };
    let timeout = async {
        smol::Timer::after(SETTLE_WAIT).await;
    };
    futures_lite::future::or(settled, timeout).await;
}

fn outcome_of(response: &UpstreamResponse) -> Outcome {
    let text = std::str::from_utf8(&response.body);
    match text {
        Ok(text) if text.len() <= STORED_RESPONSE_MAX_BYTES => Outcome::Answer {
            status: response.status,
            content_type: response.content_type.clone(),
            body: text.to_owned(),
        },
        _ => Outcome::AnswerDigest {
            status: response.status,
            body_digest: blake3::hash(&response.body).to_hex().to_string(),
        },
    }
}

fn replay(outcome: Outcome) -> Result<UpstreamResponse, Failure> {
    match outcome {
        Outcome::Answer {
            status,
            content_type,
            body,
        } => Ok(UpstreamResponse {
            status,
            content_type,
            body: body.into_bytes(),
            tokens: 0,
            first_token_ms: 0,
            replayed: true,
        }),
        Outcome::AnswerDigest {
            status,
            body_digest,
        } => Err(Failure::new(
            ErrorCode::OutcomeUnknown,
            Verdict::Ran,
            format!("the request ran and returned status {status}; its response was too large to store and has the BLAKE3 digest {body_digest}"),
        )),
        Outcome::Unknown => Err(Failure::new(
            ErrorCode::OutcomeUnknown,
            Verdict::MayHaveRun,
            "a request with this idempotency key may have run and will not run again",
        )),
    }
}

fn log_claim(session: &Session, result: &str) {
    session.app.meters.claimed(result);
    emit(&EntryEvent::Claimed {
        request_id: session.request.request_id.clone(),
        team: session.request.team.clone(),
        result: result.into(),
    });
}
