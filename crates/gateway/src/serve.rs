//! One request of a caller, from its head to its answer.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_lite::FutureExt;
use http::{HeaderMap, Method};
use net::InFlight;
use policy::placement::Demand;
use telemetry::{emit, events::GatewayEvent};
use trillium::{Body, Conn, Status};
use types::{ErrorCode, RequestId, TimeMs};

use crate::{
    answer::{with_headers, StreamBody},
    app::App,
    attempt::{Outcome, Session},
    failure::Failure,
    header_codec::RequestMeta,
    headers,
    request::Request,
    routing::{Limits, ResponseMode, Route, Routing, Team},
};

/// Deadline of a caller that states none, beside its route's own bound.
const DEADLINE_UNSTATED: Duration = Duration::from_secs(60);

/// How long a request waits for the first configuration and list of instances.
/// A new process knows both some ten milliseconds after its start if the store
/// answers; after a power cut callers are there before that.
const FIRST_STATE_WAIT: Duration = Duration::from_millis(300);

/// How often a request looks whether they have come.
const FIRST_STATE_CHECK: Duration = Duration::from_millis(10);

/// Retry time told to callers before the first configuration.
const NOT_CONFIGURED_RETRY_MS: u64 = 400;

/// Retry time told to callers of a process that stops. The balancer sends the
/// next try elsewhere.
const DRAINING_RETRY_MS: u64 = 50;

/// Serves one request.
pub(crate) async fn serve(app: Arc<App>, mut conn: Conn) -> Conn {
    let received_at = app.now();
    let headers = headers::of_request(&conn);
    let meta = app.header_codec.decode_request(&headers);
    let request_id = match &meta {
        Ok(meta) => meta.request_id.clone(),
        Err(_) => None,
    };
    let Some(in_flight) = app.lifecycle.enter() else {
        let failure = Failure::not_run(ErrorCode::Draining, "this process is stopping");
        let failure = failure.retry_after(DRAINING_RETRY_MS);
        return refuse(&app, conn, request_id.as_ref(), &failure, received_at);
    };
    let filtered = match meta {
        Ok(meta) => filter(&app, &mut conn, headers, meta, received_at).await,
        Err(reason) => Err(Failure::not_run(ErrorCode::MalformedRequest, reason)),
    };
    let request = match filtered {
        Ok(request) => request,
        Err(failure) => return refuse(&app, conn, request_id.as_ref(), &failure, received_at),
    };
    // Boxed, since the server moves and nests the future of its handler.
    Box::pin(answer(app, conn, request, in_flight)).await
}

async fn answer(app: Arc<App>, mut conn: Conn, request: Request, in_flight: InFlight) -> Conn {
    let request_id = request.request_id.clone();
    let received_at = request.received_at;
    let session = Session::new(app.clone(), request, in_flight);
    match conn.cancel_on_disconnect(session.run()).await {
        Some(Ok(Outcome::Whole(answer))) => {
            let conn = with_close_if_draining(&app, conn);
            with_headers(conn, &answer.headers)
                .with_status(Status::try_from(answer.status).unwrap_or(Status::BadGateway))
                .with_body(answer.body)
                .halt()
        }
        // Never asked to close: a body of unknown length would then end with
        // the connection, and one that broke off would look whole. A stop
        // closes the connection once it is idle.
        Some(Ok(Outcome::Stream {
            headers,
            mut opened,
        })) => {
            opened.session.note_first_event();
            with_headers(conn, &headers)
                .with_status(Status::Ok)
                .with_body(Body::new_streaming(StreamBody::new(*opened), None))
                .halt()
        }
        Some(Err(failure)) => refuse(&app, conn, Some(&request_id), &failure, received_at),
        None => {
            emit(&GatewayEvent::CallerLeft {
                request_id,
                events: 0,
                total_ms: app.now().since(received_at),
            });
            metrics::counter!("limpetgw_gateway_callers_gone_total").increment(1);
            conn.halt()
        }
    }
}

/// Passes the request through the filters.
async fn filter(
    app: &Arc<App>,
    conn: &mut Conn,
    headers: HeaderMap,
    meta: RequestMeta,
    received_at: TimeMs,
) -> Result<Request, Failure> {
    await_first_state(app).await;
    let config = app.routing.load_full();
    if config.version == 0 {
        return Err(Failure::not_run(
            ErrorCode::NotConfigured,
            "this process has no configuration yet; try again shortly",
        )
        .retry_after(NOT_CONFIGURED_RETRY_MS));
    }
    check_head(conn, &headers, &config.limits)?;
    let route = find_route(conn, &config)?.clone();
    let team = identify(&meta, &route, &config)?;
    let Some(request_id) = meta.request_id else {
        return Err(Failure::not_run(
            ErrorCode::MalformedRequest,
            format!("send `{}`", app.header_codec.request_id_header()),
        ));
    };
    let method = Method::from_bytes(conn.method().as_str().as_bytes())
        .map_err(|_| Failure::not_run(ErrorCode::MalformedRequest, "the method is unknown"))?;
    let body = read_body(conn, &config.limits).await?;
    let timeout = meta
        .deadline
        .unwrap_or(DEADLINE_UNSTATED)
        .min(route.timeout);
    let demand = Demand {
        parts: meta.parts,
        prompt_tokens: meta.prompt_tokens,
        output_tokens: meta.output_tokens,
        target_ms: whole_ms(route.latency_target),
        pause_target_ms: match route.response_mode {
            ResponseMode::EventStream { event_gap_target } => whole_ms(event_gap_target),
            ResponseMode::Buffered => 0,
        },
    };
    Ok(Request {
        request_id,
        method,
        target: target_of(conn),
        headers: headers::end_to_end(headers),
        body,
        upstream: route.select_upstream(rand::random()).clone(),
        priority: config.priority(team.as_deref(), &route),
        team: team.map(|team| team.name.clone()),
        route,
        demand,
        resume_after: meta.resume_after,
        received_at,
        deadline: received_at + timeout.as_millis() as u64,
        config_version: config.version,
    })
}

/// Returns once configuration and instances are known, or after a bounded wait.
async fn await_first_state(app: &App) {
    let mut waited = Duration::ZERO;
    while !app.has_state() && waited < FIRST_STATE_WAIT {
        smol::Timer::after(FIRST_STATE_CHECK).await;
        waited += FIRST_STATE_CHECK;
    }
}

fn check_head(conn: &Conn, headers: &HeaderMap, limits: &Limits) -> Result<(), Failure> {
    let fields: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    let head_bytes = fields + conn.path().len() + conn.querystring().len();
    if head_bytes > limits.head_max_bytes {
        return Err(Failure::not_run(
            ErrorCode::HeadersTooLarge,
            format!("send a head of at most {} bytes", limits.head_max_bytes),
        ));
    }
    Ok(())
}

fn find_route<'a>(conn: &Conn, config: &'a Routing) -> Result<&'a Arc<Route>, Failure> {
    let host = conn.host().unwrap_or_default();
    config.route(host, conn.path()).ok_or_else(|| {
        Failure::not_run(
            ErrorCode::UnknownRoute,
            format!("no route of configuration {} begins so", config.version),
        )
    })
}

/// The caller's team; none if the route or the configuration asks for no key.
fn identify(
    meta: &RequestMeta,
    route: &Route,
    config: &Routing,
) -> Result<Option<Arc<Team>>, Failure> {
    let Some(teams) = &config.teams else {
        return Ok(None);
    };
    let team = meta.api_key.as_ref().and_then(|key| teams.find_by_key(key));
    match team {
        Some(team) => Ok(Some(team.clone())),
        None if route.public => Ok(None),
        None => Err(Failure::not_run(
            ErrorCode::InvalidApiKey,
            "no team has this key",
        )),
    }
}

async fn read_body(conn: &mut Conn, limits: &Limits) -> Result<Bytes, Failure> {
    let max_bytes = limits.body_max_bytes;
    let body = conn.request_body().with_max_len(max_bytes);
    if body.content_length().is_some_and(|len| len > max_bytes) {
        return Err(too_large(max_bytes));
    }
    let read = async {
        body.read_bytes().await.map_err(|error| match error {
            trillium_http::Error::ReceivedBodyTooLong(_) => too_large(max_bytes),
            error => Failure::not_run(
                ErrorCode::MalformedRequest,
                format!("the body broke off or is not framed as HTTP asks for: {error}"),
            ),
        })
    };
    let timeout = limits.head_timeout;
    let late = async {
        smol::Timer::after(timeout).await;
        let timeout_ms = timeout.as_millis();
        Err(Failure::not_run(
            ErrorCode::RequestTimeout,
            format!("send the whole body within {timeout_ms} ms"),
        ))
    };
    read.or(late).await.map(Bytes::from)
}

fn too_large(max_bytes: u64) -> Failure {
    Failure::not_run(
        ErrorCode::BodyTooLarge,
        format!("send a body of at most {max_bytes} bytes"),
    )
}

/// Milliseconds of a time that a configuration states.
fn whole_ms(time: Duration) -> u32 {
    time.as_millis().try_into().unwrap_or(u32::MAX)
}

/// Path and query as the caller sent them.
fn target_of(conn: &Conn) -> String {
    match conn.querystring() {
        "" => conn.path().to_owned(),
        query => format!("{}?{query}", conn.path()),
    }
}

fn with_close_if_draining(app: &App, conn: Conn) -> Conn {
    match app.lifecycle.is_draining() {
        true => conn.with_response_header("connection", "close"),
        false => conn,
    }
}

/// Answers and logs a request that gets no instance's answer.
fn refuse(
    app: &App,
    conn: Conn,
    request_id: Option<&RequestId>,
    failure: &Failure,
    received_at: TimeMs,
) -> Conn {
    metrics::counter!("limpetgw_gateway_turned_away_total", "code" => failure.code.as_str())
        .increment(1);
    emit(&GatewayEvent::RequestTurnedAway {
        request_id: request_id.cloned().unwrap_or_else(|| "".into()),
        code: failure.code,
        verdict: failure.verdict,
        reason: failure.reason.clone(),
        retry_after_ms: failure.retry_after_ms.unwrap_or_default(),
        total_ms: app.now().since(received_at),
        config_version: app.routing.load().version,
    });
    let conn = with_close_if_draining(app, conn);
    failure.respond(conn, app.header_codec.as_ref(), request_id)
}
