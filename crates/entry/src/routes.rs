//! Routing of requests on the callers' listener.

use std::sync::Arc;

use net::InFlight;
use trillium::{Conn, Method, Status};
use types::{ErrorCode, RequestId};

use crate::{
    app::App,
    chat::{self, refuse},
    failure::Failure,
    filters::request_id,
    models,
    services::{self, SERVICES_PREFIX},
};

/// Expected wait for callers of a draining entry, who get a retry time jittered
/// around it. Short, since the balancer sends the retry to another entry.
const DRAINING_WAIT_MS: u64 = 200;

/// Serves a caller's request. Health checks are not counted as in flight, and so
/// work during a drain.
pub(crate) async fn serve(app: Arc<App>, conn: Conn) -> Conn {
    match conn.path() {
        "/healthz" => return conn.ok("ok\n").halt(),
        "/readyz" => return ready(&app, conn),
        _ => {}
    }
    let request_id = request_id::from_header(conn.request_headers().get_str("x-request-id"));
    let Some(in_flight) = app.lifecycle.enter() else {
        let failure = Failure::not_run(
            ErrorCode::Draining,
            "this entry is shutting down; send the request again to reach another entry",
        );
        return refuse(
            &app,
            conn,
            &request_id,
            &failure.retry_after(DRAINING_WAIT_MS),
        );
    };
    // Boxed to keep the handler's future small: the server moves it and embeds it
    // in others.
    Box::pin(route(app, conn, request_id, in_flight)).await
}

async fn route(app: Arc<App>, conn: Conn, request_id: RequestId, in_flight: InFlight) -> Conn {
    match (conn.method(), conn.path()) {
        (Method::Post, "/v1/chat/completions") => {
            chat::serve(app, conn, request_id, in_flight).await
        }
        (Method::Get, "/v1/models") => models::serve(&app, conn, &request_id),
        (_, path) if path.starts_with(SERVICES_PREFIX) => {
            services::serve(app, conn, request_id, in_flight).await
        }
        _ => {
            let failure = Failure::not_run(
                ErrorCode::UnknownRoute,
                "unknown route; use `POST /v1/chat/completions`, `GET /v1/models` or `/services/NAME/...`",
            );
            refuse(&app, conn, &request_id, &failure)
        }
    }
}

/// Answers a readiness check of the balancer: 503 during a drain or before the
/// first configuration, else 200.
pub(crate) fn ready(app: &App, conn: Conn) -> Conn {
    if app.lifecycle.is_draining() {
        return conn
            .with_status(Status::ServiceUnavailable)
            .with_body("draining\n")
            .halt();
    }
    if app.shared.config().generation.0 == 0 {
        return conn
            .with_status(Status::ServiceUnavailable)
            .with_body("not configured\n")
            .halt();
    }
    conn.ok("ready\n").halt()
}
