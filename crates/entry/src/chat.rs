//! Handler of `POST /v1/chat/completions`.

use std::sync::Arc;

use net::InFlight;
use rpc::Target;
use telemetry::{emit, events::EntryEvent};
use trillium::{Body, Conn, Status};
use types::{ErrorCode, Fingerprint, ModelName, RequestId};

use crate::{
    app::App,
    at_most_once::{parse_idempotency_key, run_at_most_once, NewClaim},
    attempt::Session,
    failure::{Failure, REQUEST_ID_HEADER},
    filters::{
        admit::{admit, AdmissionSlot},
        chat_body,
        classify::classify,
        head::check_head,
        identify::identify,
        quarantine::check_quarantine,
        read_body::read_body,
    },
    request::Request,
    response::{read_completion, Relay, ResponseMode, StreamBody},
    services::respond,
};

/// Route name of chat completions in claims.
const CHAT_ROUTE: &str = "v1/chat/completions";

/// A request that passed the filters and holds an admission slot.
struct AdmittedRequest {
    request: Request,
    stream: bool,
    slot: AdmissionSlot,
    /// Idempotency key; present if the request runs at most once.
    idempotency_key: Option<String>,
}

/// Serves a chat completion. The request is cancelled if the caller disconnects,
/// unless it runs at most once.
pub(crate) async fn serve(
    app: Arc<App>,
    mut conn: Conn,
    request_id: RequestId,
    in_flight: InFlight,
) -> Conn {
    let admitted = match filter(&app, &mut conn, &request_id).await {
        Ok(admitted) => admitted,
        Err(failure) => return refuse(&app, conn, &request_id, &failure),
    };
    let AdmittedRequest {
        request,
        stream,
        slot,
        idempotency_key,
    } = admitted;
    if let Some(key) = idempotency_key {
        let new_claim = NewClaim::new(&app, &request, CHAT_ROUTE, &key);
        let session = Session::new(app, request, slot, in_flight);
        return serve_at_most_once(conn, new_claim, session, stream).await;
    }
    let mut session = Session::new(app, request, slot, in_flight);
    let opened = async move {
        match session.open(0).await {
            Ok(response) => Ok(Relay::new(session, response)),
            Err(failure) => {
                session.log_failed(&failure);
                Err(failure)
            }
        }
    };
    if stream {
        let opened = conn.cancel_on_disconnect(opened).await;
        return respond_stream(conn, &request_id, opened);
    }
    let completion = async move { read_completion(opened.await?).await };
    match conn.cancel_on_disconnect(completion).await {
        Some(Ok(response)) => respond_json(conn, &request_id, response.to_string()),
        Some(Err(failure)) => failure.respond(conn, &request_id),
        None => conn.halt(),
    }
}

/// Serves a chat completion that runs at most once. The complete response is read
/// before any of it is sent, so that the claim can store it.
async fn serve_at_most_once(
    mut conn: Conn,
    new_claim: NewClaim,
    session: Session,
    stream: bool,
) -> Conn {
    let mode = match stream {
        true => ResponseMode::EventStream,
        false => ResponseMode::Completion,
    };
    let request_id = session.request.request_id.clone();
    let store = session.app.store.clone();
    let result = run_at_most_once(store, new_claim, session, mode);
    match conn.cancel_on_disconnect(result).await {
        Some(Ok(response)) => respond(conn, &request_id, response),
        Some(Err(failure)) => failure.respond(conn, &request_id),
        None => conn.halt(),
    }
}

/// Applies the filters to a request, up to admission.
async fn filter(
    app: &Arc<App>,
    conn: &mut Conn,
    request_id: &RequestId,
) -> Result<AdmittedRequest, Failure> {
    let received_at = app.now();
    check_head(conn)?;
    let config = app.shared.config();
    let team = identify(conn, &config)?;
    let resolved_class = classify(conn, &config, &team)?;
    let limits = &config.document.limits;
    let body = read_body(conn, limits.body_max_bytes, app.settings.request_timeout).await?;
    let chat = chat_body::parse(&body)
        .map_err(|reason| Failure::not_run(ErrorCode::MalformedRequest, reason))?;
    let upstream = config
        .upstream_of_model(&chat.model)
        .and_then(|name| config.document.upstreams.get_key_value(name));
    let Some((upstream_name, upstream)) = upstream else {
        return Err(Failure::not_run(
            ErrorCode::UnknownModel,
            "no upstream serves this model; `GET /v1/models` lists the available models",
        ));
    };
    emit(&EntryEvent::RequestClassified {
        request_id: request_id.clone(),
        team: team.clone(),
        class: resolved_class.class.clone(),
    });
    let idempotency_key = match upstream.idempotent {
        true => None,
        false => Some(parse_idempotency_key(conn)?),
    };
    let fingerprint = Fingerprint::of(&chat.model, &body);
    let suspect = check_quarantine(app, fingerprint)?;
    let slot = admit(app, &resolved_class)?;
    let request = Request {
        request_id: request_id.clone(),
        team,
        class: resolved_class.class,
        upstream: upstream_name.clone(),
        target: Target::Completion {
            model: ModelName::from(chat.model),
        },
        body,
        fingerprint,
        suspect,
        idempotent: upstream.idempotent,
        prompt_tokens: chat.prompt_tokens,
        max_tokens: chat.max_tokens,
        prefix_hash: chat.prefix_hash,
        first_token_target_ms: resolved_class.first_token_target_ms,
        received_at,
        deadline: received_at + resolved_class.deadline.as_millis() as u64,
    };
    Ok(AdmittedRequest {
        request,
        stream: chat.stream,
        slot,
        idempotency_key,
    })
}

/// Logs and counts a request that did not pass the filters, and answers it with
/// the error.
pub(crate) fn refuse(app: &App, conn: Conn, request_id: &RequestId, failure: &Failure) -> Conn {
    app.meters.refused(failure.code);
    emit(&EntryEvent::RequestRefused {
        request_id: request_id.clone(),
        code: failure.code,
        retry_after_ms: failure.retry_after_ms.unwrap_or_default(),
    });
    failure.respond(conn, request_id)
}

fn respond_stream(
    conn: Conn,
    request_id: &RequestId,
    opened: Option<Result<Relay, Failure>>,
) -> Conn {
    match opened {
        Some(Ok(relay)) => conn
            .with_status(Status::Ok)
            .with_response_header("content-type", "text/event-stream")
            .with_response_header("cache-control", "no-store")
            .with_response_header(REQUEST_ID_HEADER, request_id.as_str().to_owned())
            .with_body(Body::new_streaming(StreamBody::new(relay), None))
            .halt(),
        Some(Err(failure)) => failure.respond(conn, request_id),
        None => conn.halt(),
    }
}

/// Answers with status 200 and a JSON body.
pub(crate) fn respond_json(conn: Conn, request_id: &RequestId, json: String) -> Conn {
    conn.with_status(Status::Ok)
        .with_response_header("content-type", "application/json")
        .with_response_header(REQUEST_ID_HEADER, request_id.as_str().to_owned())
        .with_body(json)
        .halt()
}
