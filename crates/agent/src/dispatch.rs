//! `POST /dispatch`: one request from an entry to the upstream.

use std::{sync::Arc, time::Instant};

use policy::schedule::{End, Job, LoadReport};
use rpc::{DispatchMeta, Target, DISPATCH_HEADER, REPLY_HEADER, UPSTREAM_STATUS_HEADER};
use smol::channel::{bounded, Receiver, Sender};
use trillium::{Body, Conn, Status};
use types::{ErrorCode, RequestId, Verdict};

use crate::{
    agent::{Agent, InFlightGuard},
    gate::{Queued, Request},
    refusal::Refusal,
    relay::{run_call, run_completion, Completion, PipeReader, ServiceCall},
    upstream::CallAnswer,
};

/// What a dispatch comes to before its answer's body.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// The engine's checked events.
    Stream(PipeReader<InFlightGuard>),
    /// A plain service's whole answer.
    Call(CallAnswer),
    /// No answer.
    Refused(Refusal),
}

/// The entry, as the task of its request sees it until the answer begins.
#[derive(Debug)]
pub(crate) struct EntrySide(Sender<Outcome>);

impl EntrySide {
    /// Begins the answer; `false` when the entry is gone.
    pub(crate) fn answer(&self, outcome: Outcome) -> bool {
        self.0.try_send(outcome).is_ok()
    }

    /// Ends the dispatch without an answer.
    pub(crate) fn refuse(self, refusal: Refusal) {
        // Only fails when the entry is gone.
        let _ = self.0.try_send(Outcome::Refused(refusal));
    }
}

/// A request as the entry sent it.
#[derive(Debug)]
struct Dispatch {
    meta: DispatchMeta,
    body: Vec<u8>,
    run_alone: bool,
}

/// Serves a dispatch.
pub(crate) async fn serve(mut conn: Conn, agent: Arc<Agent>) -> Conn {
    if !rpc::is_from_peer(&conn, &agent.settings.secrets) {
        return rpc::reject_unauthenticated(conn);
    }
    let _in_flight = agent.in_flight.enter();
    let (meta, body) = match read_dispatch(&mut conn, &agent).await {
        Ok(dispatch) => dispatch,
        Err(refusal) => return refuse(conn, &agent, None, &refusal),
    };
    let request_id = meta.request_id.clone();
    agent
        .shared
        .on_sender_generation(&meta.sender, meta.generation);
    let outcome = match admit(&agent, meta, body) {
        Ok(outcome) => outcome,
        Err(refusal) => return refuse(conn, &agent, Some(&request_id), &refusal),
    };
    match conn.cancel_on_disconnect(outcome.recv()).await {
        Some(Ok(outcome)) => answer(conn, &agent, &request_id, outcome),
        Some(Err(_)) => refuse(conn, &agent, Some(&request_id), &lost()),
        None => {
            agent.gate.cancel(&request_id);
            conn.halt()
        }
    }
}

async fn read_dispatch(conn: &mut Conn, agent: &Agent) -> Result<(DispatchMeta, Vec<u8>), Refusal> {
    let body_max_bytes = agent.shared.config().document.limits.body_max_bytes;
    let meta = conn
        .request_headers()
        .get_str(DISPATCH_HEADER)
        .and_then(|text| serde_json::from_str::<DispatchMeta>(text).ok());
    let body = conn.request_body().with_max_len(body_max_bytes);
    let body = body.read_bytes().await.map_err(|error| match error {
        trillium_http::Error::ReceivedBodyTooLong(_) => Refusal::not_run(ErrorCode::BodyTooLarge),
        _ => Refusal::not_run(ErrorCode::MalformedRequest),
    })?;
    let meta = meta.ok_or_else(|| {
        Refusal::new(
            ErrorCode::MalformedRequest,
            Verdict::NotRun,
            "the limpetgw-dispatch header is missing or malformed; check the entry's version",
        )
    })?;
    Ok((meta, body))
}

/// Queues a request and starts its task.
fn admit(
    agent: &Arc<Agent>,
    meta: DispatchMeta,
    body: Vec<u8>,
) -> Result<Receiver<Outcome>, Refusal> {
    check_configured(agent, &meta)?;
    check_body(&meta, &body)?;
    let load = agent.load();
    let run_alone = agent.must_run_alone(meta.fingerprint)? || meta.suspect;
    let job = job(agent, &meta, run_alone);
    let request = agent.gate.submit(job)?;
    agent.note_queued(&meta, run_alone, &load);
    let (sender, outcome) = bounded(1);
    let dispatch = Dispatch {
        meta,
        body,
        run_alone,
    };
    let task = run(agent.clone(), request, dispatch, EntrySide(sender));
    async_global_executor::spawn(task).detach();
    Ok(outcome)
}

async fn run(agent: Arc<Agent>, request: Request<Queued>, dispatch: Dispatch, entry: EntrySide) {
    let queued_at = Instant::now();
    let started = match request.admitted().await {
        Ok(started) => started,
        Err(refusal) => return entry.refuse(refusal),
    };
    let standing = check_again(&agent, &dispatch);
    let Dispatch { meta, body, .. } = dispatch;
    if let Err(refusal) = standing {
        started.finish(End::Cancelled);
        return entry.refuse(refusal);
    }
    let (queued, priority) = (queued_at.elapsed(), started.engine_priority());
    agent.note_started(&meta.request_id, queued, priority, meta.resume_from);
    match meta.target {
        Target::Completion { .. } => {
            let completion = Completion {
                request_id: meta.request_id,
                fingerprint: meta.fingerprint,
                resume_from: meta.resume_from,
                body,
            };
            run_completion(&agent, started, completion, entry).await;
        }
        target => {
            let call = ServiceCall {
                target,
                fingerprint: meta.fingerprint,
                is_idempotent: meta.idempotent,
                body,
            };
            run_call(&agent, started, call, entry).await;
        }
    }
}

/// Looks at the content's standing again, since it may have crashed another
/// upstream while it was queued here. Nothing has been sent yet.
fn check_again(agent: &Agent, dispatch: &Dispatch) -> Result<(), Refusal> {
    let must_run_alone = agent.must_run_alone(dispatch.meta.fingerprint)?;
    match must_run_alone && !dispatch.run_alone {
        true => Err(Refusal::not_run(ErrorCode::NoUpstream)),
        false => Ok(()),
    }
}

fn check_configured(agent: &Agent, meta: &DispatchMeta) -> Result<(), Refusal> {
    let snapshot = agent.shared.config();
    let is_known = snapshot.document.classes.contains_key(&meta.class);
    match is_known && agent.is_configured() && agent.is_informed() {
        true => Ok(()),
        false => Err(Refusal::not_run(ErrorCode::NotConfigured)),
    }
}

fn check_body(meta: &DispatchMeta, body: &[u8]) -> Result<(), Refusal> {
    let is_completion = matches!(meta.target, Target::Completion { .. });
    if is_completion && crate::upstream::completion_body(body, 0, 0).is_err() {
        return Err(Refusal::not_run(ErrorCode::MalformedRequest));
    }
    Ok(())
}

fn job(agent: &Agent, meta: &DispatchMeta, run_alone: bool) -> Job {
    Job {
        request_id: meta.request_id.clone(),
        team: meta.team.clone(),
        class: meta.class.clone(),
        fingerprint: meta.fingerprint,
        run_alone,
        resumable: matches!(meta.target, Target::Completion { .. }),
        prompt_tokens: meta.prompt_tokens,
        max_tokens: meta.max_tokens,
        deadline: agent.clock.now() + meta.remaining_ms,
    }
}

fn answer(conn: Conn, agent: &Agent, request_id: &RequestId, outcome: Outcome) -> Conn {
    match outcome {
        Outcome::Stream(reader) => with_reply(conn, agent, agent.load())
            .with_status(Status::Ok)
            .with_response_header("content-type", "text/event-stream")
            .with_body(Body::new_streaming(reader, None))
            .halt(),
        Outcome::Call(call) => {
            let mut conn = with_reply(conn, agent, agent.load())
                .with_status(Status::Ok)
                .with_response_header(UPSTREAM_STATUS_HEADER, call.status.to_string());
            if let Some(content_type) = call.content_type {
                conn = conn.with_response_header("content-type", content_type);
            }
            conn.with_body(call.body).halt()
        }
        Outcome::Refused(refusal) => refuse(conn, agent, Some(request_id), &refusal),
    }
}

fn refuse(conn: Conn, agent: &Agent, request_id: Option<&RequestId>, refusal: &Refusal) -> Conn {
    let body = serde_json::to_string(&refusal.body(request_id)).unwrap_or_default();
    let status = Status::try_from(refusal.code.http_status()).unwrap_or(Status::BadGateway);
    let load = agent.load();
    agent.note_refused(request_id, refusal, &load);
    with_reply(conn, agent, load)
        .with_status(status)
        .with_response_header("content-type", "application/json")
        .with_body(body)
        .halt()
}

fn with_reply(conn: Conn, agent: &Agent, load: LoadReport) -> Conn {
    // A reply is a flat struct of names and numbers: serialization can't fail.
    let reply = serde_json::to_string(&agent.reply(load)).unwrap_or_default();
    conn.with_response_header(REPLY_HEADER, reply)
}

/// The request's task ended without an outcome.
fn lost() -> Refusal {
    Refusal::may_have_run(
        ErrorCode::UpstreamFailed,
        "the agent lost the request; retry if it may be repeated",
    )
}
