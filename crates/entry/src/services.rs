//! `/services/NAME/...`: calls to plain services.

use std::sync::Arc;

use config::{Service, Snapshot};
use rpc::Target;
use telemetry::{emit, events::EntryEvent};
use trillium::{Conn, Method, Status};
use types::{ErrorCode, Fingerprint, RequestId, TeamName};

use crate::{
    answer::{read_call, CallAnswer},
    app::App,
    attempt::Session,
    chat::refuse,
    failure::{Failure, REQUEST_ID_HEADER},
    filters::{
        admit::{admit, Place},
        classify::classify,
        head::check_head,
        identify::identify,
        quarantine::check_quarantine,
        read_body::read_body,
    },
    lifecycle::InFlight,
    request::{Classed, Request},
};

/// Start of the path of every call to a plain service.
pub(crate) const SERVICES_PREFIX: &str = "/services/";
/// Header that names a call that must not be repeated.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Where a call goes.
struct Route<'a> {
    service: &'a Service,
    name: &'a str,
    /// Path below the route, with the leading `/`.
    path: &'a str,
}

/// Serves one call.
pub(crate) async fn serve(
    app: Arc<App>,
    mut conn: Conn,
    request_id: RequestId,
    in_flight: InFlight,
) -> Conn {
    let (request, place) = match filter(&app, &mut conn, &request_id).await {
        Ok(filtered) => filtered,
        Err(failure) => return refuse(conn, &request_id, &failure),
    };
    let mut session = Session::new(app, request, place, in_flight);
    let called = async move { call(&mut session).await };
    match conn.cancel_on_disconnect(called).await {
        Some(Ok(answer)) => respond(conn, &request_id, answer),
        Some(Err(failure)) => failure.respond(conn, &request_id),
        None => conn.halt(),
    }
}

/// Makes a repeatable call, on another instance where an answer breaks off.
async fn call(session: &mut Session) -> Result<CallAnswer, Failure> {
    let mut opened = session.open(0).await;
    loop {
        let read = match opened {
            Ok(answer) => read_call(answer).await,
            Err(failure) => {
                session.log_failed(&failure);
                return Err(failure);
            }
        };
        match read {
            Ok(answer) => {
                session.log_finished(0, 0);
                return Ok(answer);
            }
            Err(cut) => opened = session.reopen(0, cut).await,
        }
    }
}

async fn filter(
    app: &Arc<App>,
    conn: &mut Conn,
    request_id: &RequestId,
) -> Result<(Request, Place), Failure> {
    let received_at = app.now();
    check_head(conn)?;
    let config = app.shared.config();
    let team = identify(conn, &config)?;
    let classed = classify(conn, &config, &team)?;
    let full_path = conn.path().to_owned();
    let route = find_route(&config, &full_path)?;
    let at_most_once = runs_at_most_once(conn.method(), &route, &config);
    let target = target(conn, &route);
    let limits = &config.document.limits;
    let body = read_body(conn, limits.body_max_bytes, app.settings.request_timeout).await?;
    emit(&EntryEvent::RequestClassified {
        request_id: request_id.clone(),
        team: team.clone(),
        class: classed.class.clone(),
    });
    let fingerprint = fingerprint(&team, &route, conn.method(), &body);
    let suspect = check_quarantine(app, fingerprint)?;
    let place = admit(app, &classed)?;
    let Classed {
        class, deadline, ..
    } = classed;
    let request = Request {
        request_id: request_id.clone(),
        team,
        class,
        upstream: route.service.upstream.clone(),
        target,
        body,
        fingerprint,
        suspect,
        idempotent: !at_most_once,
        prompt_tokens: 0,
        max_tokens: 0,
        prefix_hash: 0,
        received_at,
        deadline: received_at + deadline.as_millis() as u64,
    };
    Ok((request, place))
}

fn find_route<'a>(config: &'a Snapshot, full_path: &'a str) -> Result<Route<'a>, Failure> {
    let below = full_path.strip_prefix(SERVICES_PREFIX).unwrap_or_default();
    let (name, path) = match below.find('/') {
        Some(at) => below.split_at(at),
        None => (below, "/"),
    };
    let service = config.document.services.get(name);
    let service = service.ok_or_else(|| {
        Failure::not_run(
            ErrorCode::UnknownRoute,
            "no service has this name; check the path `/services/NAME/...`",
        )
    })?;
    Ok(Route {
        service,
        name,
        path,
    })
}

fn runs_at_most_once(method: Method, route: &Route<'_>, config: &Snapshot) -> bool {
    if matches!(method, Method::Get | Method::Head) {
        return false;
    }
    let upstream = config.document.upstreams.get(&route.service.upstream);
    let marked = route
        .service
        .at_most_once_prefixes
        .iter()
        .any(|prefix| route.path.starts_with(prefix.as_str()));
    marked || upstream.is_some_and(|upstream| !upstream.idempotent)
}

fn target(conn: &Conn, route: &Route<'_>) -> Target {
    let headers = conn.request_headers();
    let query = conn.querystring();
    let path = match query {
        "" => route.path.to_owned(),
        query => format!("{}?{query}", route.path),
    };
    Target::Call {
        method: conn.method().as_str().to_owned(),
        path,
        content_type: headers.get_str("content-type").map(str::to_owned),
        idempotency_key: headers.get_str(IDEMPOTENCY_KEY_HEADER).map(str::to_owned),
    }
}

fn fingerprint(team: &TeamName, route: &Route<'_>, method: Method, body: &[u8]) -> Fingerprint {
    let target = format!("{team} {method} {}{}", route.name, route.path);
    Fingerprint::of(&target, body)
}

fn respond(conn: Conn, request_id: &RequestId, answer: CallAnswer) -> Conn {
    let status = Status::try_from(answer.status).unwrap_or(Status::Ok);
    let mut conn = conn
        .with_status(status)
        .with_response_header(REQUEST_ID_HEADER, request_id.as_str().to_owned())
        .with_body(answer.body);
    if let Some(content_type) = answer.content_type {
        conn.insert_response_header("content-type", content_type);
    }
    conn.halt()
}
