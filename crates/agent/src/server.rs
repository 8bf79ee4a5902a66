//! The internal HTTP listener: dispatches, JSON-RPC, health checks and metrics.

use std::{net::SocketAddr, sync::Arc};

use rpc::{DISPATCH_PATH, RPC_PATH};
use trillium::{Conn, Handler, Status, Swansong};
use trillium_router::Router;

use crate::{agent::Agent, dispatch, rpc_methods, RunError};

/// Binds the listener and starts the server; returns the bound address and the
/// shutdown handle.
pub(crate) fn start(agent: Arc<Agent>) -> Result<(SocketAddr, Swansong), RunError> {
    let listen_error = |reason: std::io::Error| RunError::Listen {
        addr: agent.settings.listen.to_string(),
        reason: reason.to_string(),
    };
    let (listener, addr) = net::listen(agent.settings.listen).map_err(listen_error)?;
    let handle = net::server_config(listener).spawn(routes(agent));
    Ok((addr, handle.swansong()))
}

fn routes(agent: Arc<Agent>) -> impl Handler {
    let secrets = agent.settings.secrets.clone();
    let rpc_methods = rpc_methods::methods(agent.clone()).into_handler(secrets);
    let dispatch_agent = agent.clone();
    let metrics_agent = agent.clone();
    Router::new()
        .post(DISPATCH_PATH, move |conn: Conn| {
            dispatch::serve(conn, dispatch_agent.clone())
        })
        .post(RPC_PATH, rpc_methods)
        .get("/healthz", |conn: Conn| async move { conn.ok("ok\n") })
        .get("/readyz", move |conn: Conn| {
            let is_ready = is_ready(&agent);
            async move { ready(conn, is_ready) }
        })
        .get("/metrics", move |conn: Conn| {
            metrics_agent.meters.load(&metrics_agent.load());
            async move { conn.ok(telemetry::render_metrics()) }
        })
}

fn is_ready(agent: &Agent) -> bool {
    !agent.scheduler.is_draining() && agent.is_configured() && agent.is_evidence_loaded()
}

fn ready(conn: Conn, is_ready: bool) -> Conn {
    match is_ready {
        true => conn.ok("ready\n"),
        false => conn
            .with_status(Status::ServiceUnavailable)
            .with_body("not ready\n")
            .halt(),
    }
}
