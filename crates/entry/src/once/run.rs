//! Runs a claimed request to its end, whether or not its caller still waits.

use std::{
    sync::{atomic::Ordering, Arc},
    time::Duration,
};

use coord::claim::{Outcome, KEPT_ANSWER_MAX_BYTES};
use store::ObjectStore;
use telemetry::{emit, events::EntryEvent};
use types::{ErrorCode, Verdict};

use super::{
    steps::{claim, settle, Claimed},
    Claimant,
};
use crate::{
    answer::{AnswerForm, UpstreamAnswer},
    attempt::Session,
    failure::Failure,
};

/// Longest time that a caller's answer waits for its claim to be settled.
const SETTLE_WAIT: Duration = Duration::from_secs(1);

/// Claims and runs a request, in a task of its own: a caller that hangs up
/// does not leave a claim without an outcome.
///
/// # Errors
///
/// The claim's refusal, or the failure of the one run.
pub(crate) async fn run_once(
    store: Arc<dyn ObjectStore>,
    claimant: Claimant,
    session: Session,
    form: AnswerForm,
) -> Result<UpstreamAnswer, Failure> {
    let (tell, told) = smol::channel::bounded(1);
    async_global_executor::spawn(async move {
        let result = claim_and_run(store, claimant, session, form).await;
        // The caller may have hung up.
        let _ = tell.send(result).await;
    })
    .detach();
    told.recv().await.unwrap_or_else(|_| {
        Err(Failure::new(
            ErrorCode::OutcomeUnknown,
            Verdict::MayHaveRun,
            "the request may have run",
        ))
    })
}

async fn claim_and_run(
    store: Arc<dyn ObjectStore>,
    claimant: Claimant,
    session: Session,
    form: AnswerForm,
) -> Result<UpstreamAnswer, Failure> {
    let object = claimant.object.clone();
    let owned = match claim(&store, claimant).await {
        Ok(Claimed::Owned(owned)) => owned,
        Ok(Claimed::Kept(outcome)) => {
            log_claim(&session, "kept");
            return kept(outcome);
        }
        Err(failure) => {
            log_claim(&session, failure.code.as_str());
            session.log_failed(&failure);
            return Err(failure);
        }
    };
    log_claim(&session, "owned");
    session.app.claims_made.fetch_add(1, Ordering::Relaxed);
    let _held = session.hold();
    let result = run(session, form).await;
    let settling = match &result {
        Ok(answer) => owned.settle(outcome_of(answer)),
        Err(failure) if failure.verdict == Verdict::NotRun => owned.release(),
        Err(_) => owned.settle(Outcome::Unknown),
    };
    settle_for_a_while(settle(store, object, settling)).await;
    result
}

/// Runs the request. It is dispatched again only after a proved "not run".
async fn run(mut session: Session, form: AnswerForm) -> Result<UpstreamAnswer, Failure> {
    match session.open(0).await {
        Ok(answer) => form.read(session, answer).await,
        Err(failure) => {
            session.log_failed(&failure);
            Err(failure)
        }
    }
}

/// Waits for the settling, which goes on by itself if the store is slow.
async fn settle_for_a_while(settling: impl std::future::Future<Output = ()> + Send + 'static) {
    let (tell, told) = smol::channel::bounded::<()>(1);
    async_global_executor::spawn(async move {
        settling.await;
        drop(tell);
    })
    .detach();
    let settled = async {
        let _ = told.recv().await;
    };
    let late = async {
        smol::Timer::after(SETTLE_WAIT).await;
    };
    futures_lite::future::or(settled, late).await;
}

fn outcome_of(answer: &UpstreamAnswer) -> Outcome {
    let text = std::str::from_utf8(&answer.body);
    match text {
        Ok(text) if text.len() <= KEPT_ANSWER_MAX_BYTES => Outcome::Answer {
            status: answer.status,
            content_type: answer.content_type.clone(),
            body: text.to_owned(),
        },
        _ => Outcome::AnswerDigest {
            status: answer.status,
            body_digest: blake3::hash(&answer.body).to_hex().to_string(),
        },
    }
}

fn kept(outcome: Outcome) -> Result<UpstreamAnswer, Failure> {
    match outcome {
        Outcome::Answer {
            status,
            content_type,
            body,
        } => Ok(UpstreamAnswer {
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
            format!("the request ran and was answered with status {status}; the answer, with BLAKE3 digest {body_digest}, was too large to keep"),
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
