//! Handler of `/services/NAME/...`: calls to plain services, which are upstreams
//! that are not language models and generate no tokens.

use std::sync::Arc;

use config::{Service, Snapshot};
use net::InFlight;
use rpc::Target;
use telemetry::{emit, events::EntryEvent};
use trillium::{Conn, Method, Status};
use types::{ErrorCode, Fingerprint, RequestId, Verdict};

use crate::{
    app::App,
    at_most_once::{parse_idempotency_key, run_at_most_once, NewClaim, IDEMPOTENCY_KEY_HEADER},
    attempt::Session,
    chat::refuse,
    failure::{Failure, REQUEST_ID_HEADER},
    filters::{
        admit::{admit, AdmissionSlot},
        classify::classify,
        head::check_head,
        identify::identify,
        quarantine::check_quarantine,
        read_body::read_body,
    },
    request::{Request, ResolvedClass},
    response::{read_call_response, ResponseMode, UpstreamResponse},
};

/// Path prefix of all calls to plain services.
pub(crate) const SERVICES_PREFIX: &str = "/services/";

/// Header that marks the stored response of an earlier submission.
const REPLAYED_HEADER: &str = "limpetgw-replayed";

/// The service that a path addresses.
struct Route<'a> {
    service: &'a Service,
    name: &'a str,
    /// Path after the service's name, with the leading `/`.
    path: &'a str,
}

/// A call that passed the filters and holds an admission slot.
struct AdmittedRequest {
    request: Request,
    slot: AdmissionSlot,
    /// Present if the call runs at most once.
    claim_key: Option<ClaimKey>,
}

/// Route and idempotency key, which together with the team identify a call that
/// runs at most once.
struct ClaimKey {
    route: String,
    key: String,
}

/// Serves a call. It is cancelled if the caller disconnects, unless it runs at
/// most once.
pub(crate) async fn serve(
    app: Arc<App>,
    mut conn: Conn,
    request_id: RequestId,
    in_flight: InFlight,
) -> Conn {
    let AdmittedRequest {
        request,
        slot,
        claim_key,
    } = match filter(&app, &mut conn, &request_id).await {
        Ok(admitted) => admitted,
        Err(failure) => return refuse(&app, conn, &request_id, &failure),
    };
    let new_claim =
        claim_key.map(|claim_key| NewClaim::new(&app, &request, &claim_key.route, &claim_key.key));
    let store = app.store.clone();
    let mut session = Session::new(app, request, slot, in_flight);
    let response = async move {
        match new_claim {
            Some(new_claim) => {
                run_at_most_once(store, new_claim, session, ResponseMode::Call).await
            }
            None => call(&mut session).await,
        }
    };
    match conn.cancel_on_disconnect(response).await {
        Some(Ok(response)) => respond(conn, &request_id, response),
        Some(Err(failure)) => failure.respond(conn, &request_id),
        None => conn.halt(),
    }
}

/// Makes an idempotent call; repeats it on another instance after a truncated
/// response.
async fn call(session: &mut Session) -> Result<UpstreamResponse, Failure> {
    let mut opened = session.open(0).await;
    loop {
        let read = match opened {
            Ok(response) => read_call_response(response).await,
            Err(failure) => {
                session.log_failed(&failure);
                return Err(failure);
            }
        };
        match read {
            Ok(response) => {
                session.log_call_finished();
                return Ok(response);
            }
            Err(truncation) => opened = session.reopen(0, truncation).await,
        }
    }
}

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
    let full_path = conn.path().to_owned();
    let route = find_route(&config, &full_path)?;
    let claim_key = if is_at_most_once(conn.method(), &route, &config) {
        Some(ClaimKey {
            route: route.name.to_owned(),
            key: parse_idempotency_key(conn)?,
        })
    } else {
        None
    };
    let path = path_and_query(conn, &route);
    let fingerprint_target = format!("{team} {} {}{path}", conn.method(), route.name);
    let target = target(conn, path);
    let limits = &config.document.limits;
    let body = read_body(conn, limits.body_max_bytes, app.settings.request_timeout).await?;
    emit(&EntryEvent::RequestClassified {
        request_id: request_id.clone(),
        team: team.clone(),
        class: resolved_class.class.clone(),
    });
    let fingerprint = Fingerprint::of(&fingerprint_target, &body);
    let suspect = check_quarantine(app, fingerprint)?;
    let slot = admit(app, &resolved_class)?;
    let ResolvedClass {
        class,
        deadline,
        first_token_target_ms,
        ..
    } = resolved_class;
    let request = Request {
        request_id: request_id.clone(),
        team,
        class,
        upstream: route.service.upstream.clone(),
        target,
        body,
        fingerprint,
        suspect,
        idempotent: claim_key.is_none(),
        prompt_tokens: 0,
        max_tokens: 0,
        prefix_hash: 0,
        first_token_target_ms,
        received_at,
        deadline: received_at + deadline.as_millis() as u64,
    };
    Ok(AdmittedRequest {
        request,
        slot,
        claim_key,
    })
}

fn find_route<'a>(config: &'a Snapshot, full_path: &'a str) -> Result<Route<'a>, Failure> {
    let rest = full_path.strip_prefix(SERVICES_PREFIX).unwrap_or_default();
    let (name, path) = match rest.find('/') {
        Some(at) => rest.split_at(at),
        None => (rest, "/"),
    };
    let service = config.document.services.get(name);
    let service = service.ok_or_else(|| {
        Failure::not_run(
            ErrorCode::UnknownRoute,
            "unknown service; check NAME in the path `/services/NAME/...`",
        )
    })?;
    Ok(Route {
        service,
        name,
        path,
    })
}

fn is_at_most_once(method: Method, route: &Route<'_>, config: &Snapshot) -> bool {
    if matches!(method, Method::Get | Method::Head) {
        return false;
    }
    let upstream = config.document.upstreams.get(&route.service.upstream);
    let matches_prefix = route
        .service
        .at_most_once_prefixes
        .iter()
        .any(|prefix| route.path.starts_with(prefix.as_str()));
    matches_prefix || upstream.is_some_and(|upstream| !upstream.idempotent)
}

fn path_and_query(conn: &Conn, route: &Route<'_>) -> String {
    match conn.querystring() {
        "" => route.path.to_owned(),
        query => format!("{}?{query}", route.path),
    }
}

fn target(conn: &Conn, path: String) -> Target {
    let headers = conn.request_headers();
    Target::Call {
        method: conn.method().as_str().to_owned(),
        path,
        content_type: headers.get_str("content-type").map(str::to_owned),
        idempotency_key: headers.get_str(IDEMPOTENCY_KEY_HEADER).map(str::to_owned),
    }
}

/// Answers the caller with the complete response of an upstream.
pub(crate) fn respond(conn: Conn, request_id: &RequestId, response: UpstreamResponse) -> Conn {
    let Ok(status) = Status::try_from(response.status) else {
        let message = format!(
            "the upstream responded {}, which is not a registered status",
            response.status
        );
        let failure = Failure::new(ErrorCode::UpstreamFailed, Verdict::Ran, message);
        return failure.respond(conn, request_id);
    };
    let mut conn = conn
        .with_status(status)
        .with_response_header(REQUEST_ID_HEADER, request_id.as_str().to_owned())
        .with_body(response.body);
    if response.replayed {
        conn.insert_response_header(REPLAYED_HEADER, "true");
    }
    if let Some(content_type) = response.content_type {
        conn.insert_response_header("content-type", content_type);
    }
    conn.halt()
}
