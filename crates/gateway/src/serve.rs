//! Handles one request of a caller, from the head to the response.

use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

use bytes::Bytes;
use futures_lite::FutureExt;
use http::{HeaderMap, Method};
use net::BodyError;
use policy::placement::Demand;
use telemetry::{emit, events::GatewayEvent};
use trillium::{Body, Conn, Status};
use types::{ErrorCode, RequestId, TimeMs};

use crate::{
    app::App,
    attempt::{Outcome, Session},
    failure::{stopping_not_run, unless_ended, Failure},
    guard::no_memory,
    header_codec::RequestMeta,
    headers,
    request::Request,
    response::{with_headers, StreamBody},
    routing::{Limits, ResponseMode, Route, Routing, Team},
};

/// Deadline of a request that specifies none. The timeout of the route still
/// applies.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// Longest wait of a request for the first configuration and instance list. If
/// the store responds, a new process has both some ten milliseconds after its
/// start; after a power outage the first requests arrive earlier.
const INITIAL_STATE_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval at which a waiting request checks for the initial state.
const INITIAL_STATE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Suggested retry delay while the process has no configuration.
const NOT_CONFIGURED_RETRY_MS: u64 = 400;

/// Suggested retry delay while the route of a request has no upstream.
const UNAVAILABLE_ROUTE_RETRY_MS: u64 = 2_000;

/// Serves one request and returns the connection with its response.
pub(crate) async fn serve(app: Arc<App>, mut conn: Conn) -> Conn {
    let received_at = app.now();
    let headers = headers::from_conn(&conn);
    let meta = app.header_codec.decode_request(&headers);
    let request_id = match &meta {
        Ok(meta) => meta.request_id.clone(),
        Err(_) => None,
    };
    let Some(in_flight) = app.lifecycle.enter() else {
        return reject(
            &app,
            conn,
            request_id.as_ref(),
            &stopping_not_run(),
            received_at,
        );
    };
    // The process must not exit before the response was written.
    let inner: &mut trillium_http::Conn<_> = conn.as_mut();
    inner.after_send(move |_| drop(in_flight));
    let admitted = match meta {
        Ok(meta) => {
            let admitted = admit(&app, &mut conn, headers, meta, received_at);
            unless_ended(&app.lifecycle, admitted, stopping_not_run).await
        }
        Err(reason) => Err(Failure::not_run(ErrorCode::MalformedRequest, reason)),
    };
    let request = match admitted {
        Ok(request) => request,
        Err(failure) => return reject(&app, conn, request_id.as_ref(), &failure, received_at),
    };
    // Boxed because the server moves and nests the handler future by value.
    Box::pin(forward(app, conn, request)).await
}

/// Sends an admitted request to an instance and relays the response.
async fn forward(app: Arc<App>, mut conn: Conn, request: Request) -> Conn {
    let request_id = request.request_id.clone();
    let received_at = request.received_at;
    let session = Session::new(app.clone(), request);
    match conn.cancel_on_disconnect(session.run()).await {
        Some(Ok(Outcome::Buffered(response))) => {
            let Ok(status) = Status::try_from(response.status) else {
                let failure = unknown_status(response.status);
                return reject(&app, conn, Some(&request_id), &failure, received_at);
            };
            let conn = with_close_if_draining(&app, conn);
            with_headers(conn, &response.headers)
                .with_status(status)
                .with_body(response.body)
                .halt()
        }
        // No `connection: close` here, even when draining: the end of a body of
        // unknown length would then be the end of the connection, so that a
        // truncated stream would look complete. The shutdown closes the
        // connection once it is idle.
        Some(Ok(Outcome::Stream {
            status,
            headers,
            mut opened,
        })) => {
            let Ok(status) = Status::try_from(status) else {
                let failure = unknown_status(status);
                return reject(&app, conn, Some(&request_id), &failure, received_at);
            };
            opened.session.record_first_event();
            with_headers(conn, &headers)
                .with_status(status)
                .with_body(Body::new_streaming(StreamBody::new(*opened), None))
                .halt()
        }
        Some(Err(failure)) => reject(&app, conn, Some(&request_id), &failure, received_at),
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

/// Returns the failure for a response whose status the HTTP library can't send. The
/// headers of the instance would belong to a response with another status.
fn unknown_status(status: u16) -> Failure {
    let reason = format!("the instance responded {status}, which is not a registered status");
    Failure::may_have_run(ErrorCode::UpstreamFailed, reason)
}

/// Routes, authenticates and reads a request. Returns the error response for
/// the caller if a check fails.
async fn admit(
    app: &Arc<App>,
    conn: &mut Conn,
    headers: HeaderMap,
    meta: RequestMeta,
    received_at: TimeMs,
) -> Result<Request, Failure> {
    wait_for_initial_state(app).await;
    let config = app.routing.load_full();
    if config.version == 0 {
        return Err(Failure::not_run(
            ErrorCode::NotConfigured,
            "this process has not received its configuration yet; retry shortly",
        )
        .retry_after(NOT_CONFIGURED_RETRY_MS));
    }
    check_head(conn, &headers, &config.limits)?;
    let route = find_route(conn, &config)?.clone();
    let Some(upstream) = route.select_upstream(rand::random()).cloned() else {
        return Err(unavailable_route(&route, &config));
    };
    let team = authenticate(&meta, &route, &config)?;
    let Some(request_id) = meta.request_id else {
        return Err(Failure::not_run(
            ErrorCode::MalformedRequest,
            format!(
                "header `{}` is missing",
                app.header_codec.request_id_header()
            ),
        ));
    };
    let method = Method::from_bytes(conn.method().as_str().as_bytes())
        .map_err(|_| Failure::not_run(ErrorCode::MalformedRequest, "invalid HTTP method"))?;
    let body = read_body(conn, &config.limits).await?;
    let timeout = meta.deadline.unwrap_or(DEFAULT_DEADLINE).min(route.timeout);
    let priority = config.priority(team.as_deref(), &route);
    let demand = Demand {
        priority,
        parts: meta.parts,
        prompt_tokens: meta.prompt_tokens,
        output_tokens: meta.output_tokens,
        target_ms: to_millis(route.latency_target),
        pause_target_ms: match route.response_mode {
            ResponseMode::EventStream { event_gap_target } => to_millis(event_gap_target),
            ResponseMode::Buffered => 0,
        },
    };
    Ok(Request {
        request_id,
        method,
        target: request_target(conn),
        headers: headers::without_hop_by_hop(headers),
        body,
        upstream,
        priority,
        team: team.map(|team| team.name.clone()),
        route,
        demand,
        resume_after: meta.resume_after,
        received_at,
        deadline: received_at + timeout.as_millis() as u64,
        config_version: config.version,
        suspects: OnceLock::new(),
    })
}

/// Waits until a configuration and the instance list have been received, at
/// most [`INITIAL_STATE_TIMEOUT`].
async fn wait_for_initial_state(app: &App) {
    let mut waited = Duration::ZERO;
    while !app.has_initial_state() && waited < INITIAL_STATE_TIMEOUT {
        smol::Timer::after(INITIAL_STATE_POLL_INTERVAL).await;
        waited += INITIAL_STATE_POLL_INTERVAL;
    }
}

/// Checks the size of the request head against the configured limit.
fn check_head(conn: &Conn, headers: &HeaderMap, limits: &Limits) -> Result<(), Failure> {
    let field_bytes: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    let head_bytes = field_bytes + conn.path().len() + conn.querystring().len();
    if head_bytes > limits.head_max_bytes {
        return Err(Failure::not_run(
            ErrorCode::HeadersTooLarge,
            format!(
                "request head is larger than {} bytes",
                limits.head_max_bytes
            ),
        ));
    }
    Ok(())
}

fn find_route<'a>(conn: &Conn, config: &'a Routing) -> Result<&'a Arc<Route>, Failure> {
    let host = conn.host().unwrap_or_default();
    config.route(host, conn.path()).ok_or_else(|| {
        Failure::not_run(
            ErrorCode::UnknownRoute,
            format!(
                "no route of configuration {} matches host and path",
                config.version
            ),
        )
    })
}

/// Returns the failure for a request of a route that could not be decoded.
fn unavailable_route(route: &Route, config: &Routing) -> Failure {
    let reason = format!(
        "route {}{} of configuration {} can't be read",
        route.host, route.prefix, config.version
    );
    Failure::not_run(ErrorCode::NotConfigured, reason).retry_after(UNAVAILABLE_ROUTE_RETRY_MS)
}

/// Returns the team that owns the API key of the request; `None` if the route
/// or the configuration does not require a key.
fn authenticate(
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
            "missing or unknown API key",
        )),
    }
}

/// Reads the body. A body without progress ends by the timeout of the listener; a
/// slow one has until the longest deadline.
async fn read_body(conn: &mut Conn, limits: &Limits) -> Result<Bytes, Failure> {
    let max_bytes = limits.body_max_bytes;
    let read = async {
        let body = net::read_body(conn.request_body().into(), max_bytes);
        body.await.map_err(|error| match error {
            BodyError::TooLarge => body_too_large(max_bytes),
            BodyError::Stalled => body_timed_out(limits.idle_timeout),
            BodyError::NoMemory(_) => no_memory(),
            BodyError::Invalid(error) => Failure::not_run(
                ErrorCode::MalformedRequest,
                format!("request body is truncated or has invalid HTTP framing: {error}"),
            ),
        })
    };
    let timed_out = async {
        smol::Timer::after(DEFAULT_DEADLINE).await;
        Err(body_timed_out(DEFAULT_DEADLINE))
    };
    read.or(timed_out).await.map(Bytes::from)
}

fn body_timed_out(timeout: Duration) -> Failure {
    let timeout_ms = timeout.as_millis();
    Failure::not_run(
        ErrorCode::RequestTimeout,
        format!("request body not complete, or without progress, within {timeout_ms} ms"),
    )
}

fn body_too_large(max_bytes: u64) -> Failure {
    Failure::not_run(
        ErrorCode::BodyTooLarge,
        format!("request body is larger than {max_bytes} bytes"),
    )
}

/// Converts a configured duration to milliseconds, saturating at `u32::MAX`.
fn to_millis(time: Duration) -> u32 {
    time.as_millis().try_into().unwrap_or(u32::MAX)
}

/// Returns path and query unchanged from the caller.
fn request_target(conn: &Conn) -> String {
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

/// Responds with `failure`, and logs and counts it.
fn reject(
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
