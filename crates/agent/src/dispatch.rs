//! Handler of `POST /dispatch`, which sends one request of an entry to the
//! upstream instance.

use std::{sync::Arc, time::Instant};

use policy::schedule::{End, Job, LoadReport};
use rpc::{DispatchMeta, Target, DISPATCH_HEADER, REPLY_HEADER, UPSTREAM_STATUS_HEADER};
use smol::channel::{bounded, Receiver, Sender};
use trillium::{Body, Conn, Status};
use types::{ErrorCode, RequestId, Verdict};

use crate::{
    agent::{Agent, InFlightGuard},
    refusal::Refusal,
    relay::{run_call, run_completion, Completion, PipeReader, ServiceCall},
    scheduler::{Queued, Request},
    upstream::ServiceResponse,
};

/// Result of a dispatch up to the point where the response body begins.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// Event stream of an engine, validated event by event.
    Stream(PipeReader<InFlightGuard>),
    /// Complete response of a plain service.
    Call(ServiceResponse),
    /// The request was refused or failed before its response began.
    Refused(Refusal),
}

/// Channel from the task of a request to the HTTP handler that serves the entry.
#[derive(Debug)]
pub(crate) struct ResponseSender(Sender<Outcome>);

impl ResponseSender {
    /// Starts the response; returns `false` if the entry has disconnected.
    pub(crate) fn send(&self, outcome: Outcome) -> bool {
        self.0.try_send(outcome).is_ok()
    }

    /// Ends the dispatch with an error response.
    pub(crate) fn refuse(self, refusal: Refusal) {
        // Fails only if the entry has disconnected.
        let _ = self.0.try_send(Outcome::Refused(refusal));
    }
}

/// Request received from an entry.
#[derive(Debug)]
struct Dispatch {
    meta: DispatchMeta,
    body: Vec<u8>,
    /// Whether the request may start only while no other one runs, because its
    /// content is a suspect.
    run_alone: bool,
}

/// Handles one dispatch: reads it, queues it and returns the response. Cancels
/// the request if the entry disconnects before the response begins.
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
        Some(Ok(outcome)) => respond(conn, &agent, &request_id, outcome),
        Some(Err(_)) => refuse(conn, &agent, Some(&request_id), &task_lost()),
        None => {
            agent.scheduler.cancel(&request_id);
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
            "the limpetgw-dispatch header is missing or malformed; check the version of the entry",
        )
    })?;
    Ok((meta, body))
}

/// Queues a request and spawns its task; the returned channel yields the outcome.
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
    let request = agent.scheduler.submit(job)?;
    agent.record_queued(&meta, run_alone, &load);
    let (sender, outcome) = bounded(1);
    let dispatch = Dispatch {
        meta,
        body,
        run_alone,
    };
    let task = run(agent.clone(), request, dispatch, ResponseSender(sender));
    async_global_executor::spawn(task).detach();
    Ok(outcome)
}

async fn run(
    agent: Arc<Agent>,
    request: Request<Queued>,
    dispatch: Dispatch,
    entry: ResponseSender,
) {
    let queued_at = Instant::now();
    let started = match request.wait_for_start().await {
        Ok(started) => started,
        Err(refusal) => return entry.refuse(refusal),
    };
    let quarantine_check = recheck_quarantine(&agent, &dispatch);
    let Dispatch { meta, body, .. } = dispatch;
    if let Err(refusal) = quarantine_check {
        started.finish(End::Cancelled);
        return entry.refuse(refusal);
    }
    let (queued, priority) = (queued_at.elapsed(), started.engine_priority());
    agent.record_started(&meta.request_id, queued, priority, meta.resume_from);
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

/// Checks the quarantine status again before anything is sent, since the
/// content may have crashed another upstream while it was queued here. A content
/// that has become a suspect since then is refused, because other requests may
/// be running.
fn recheck_quarantine(agent: &Agent, dispatch: &Dispatch) -> Result<(), Refusal> {
    let must_run_alone = agent.must_run_alone(dispatch.meta.fingerprint)?;
    match must_run_alone && !dispatch.run_alone {
        true => Err(Refusal::not_run(ErrorCode::NoUpstream)),
        false => Ok(()),
    }
}

fn check_configured(agent: &Agent, meta: &DispatchMeta) -> Result<(), Refusal> {
    let snapshot = agent.shared.config();
    let has_class = snapshot.document.classes.contains_key(&meta.class);
    match has_class && agent.is_configured() && agent.is_evidence_loaded() {
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

fn respond(conn: Conn, agent: &Agent, request_id: &RequestId, outcome: Outcome) -> Conn {
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
    agent.record_refused(request_id, refusal, &load);
    with_reply(conn, agent, load)
        .with_status(status)
        .with_response_header("content-type", "application/json")
        .with_body(body)
        .halt()
}

fn with_reply(conn: Conn, agent: &Agent, load: LoadReport) -> Conn {
    // Serialization of a flat struct of strings and numbers cannot fail.
    let reply = serde_json::to_string(&agent.reply(load)).unwrap_or_default();
    conn.with_response_header(REPLY_HEADER, reply)
}

/// Returns the refusal for a request whose task ended without an outcome.
fn task_lost() -> Refusal {
    Refusal::may_have_run(
        ErrorCode::UpstreamFailed,
        "the request's task ended without a result; retry if the request is idempotent",
    )
}
