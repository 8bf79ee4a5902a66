//! The internal listener.

use std::{net::SocketAddr, sync::Arc};

use rpc::{DISPATCH_PATH, RPC_PATH};
use trillium::{Conn, Handler, Status, Swansong};
use trillium_router::Router;

use crate::{agent::Agent, calls, dispatch, RunError};

/// Binds the listener and starts to serve; returns the bound address.
pub(crate) fn start(agent: Arc<Agent>) -> Result<(SocketAddr, Swansong), RunError> {
    let listen_error = |reason: std::io::Error| RunError::Listen {
        addr: agent.settings.listen.to_string(),
        reason: reason.to_string(),
    };
    let (listener, addr) = net::listen(agent.settings.listen).map_err(listen_error)?;
    let handle = trillium_smol::config()
        .without_signals()
        .with_nodelay()
        .with_prebound_server(listener)
        .spawn(routes(agent));
    Ok((addr, handle.swansong()))
}

fn routes(agent: Arc<Agent>) -> impl Handler {
    let secrets = agent.settings.secrets.clone();
    let calls = calls::methods(agent.clone()).into_handler(secrets);
    let dispatching = agent.clone();
    let measured = agent.clone();
    Router::new()
        .post(DISPATCH_PATH, move |conn: Conn| {
            dispatch::serve(conn, dispatching.clone())
        })
        .post(RPC_PATH, calls)
        .get("/healthz", |conn: Conn| async move { conn.ok("ok\n") })
        .get("/readyz", move |conn: Conn| {
            let is_ready = is_ready(&agent);
            async move { ready(conn, is_ready) }
        })
        .get("/metrics", move |conn: Conn| {
            measured.meters.load(&measured.load());
            async move { conn.ok(telemetry::render_metrics()) }
        })
}

fn is_ready(agent: &Agent) -> bool {
    !agent.gate.is_draining() && agent.is_configured() && agent.is_informed()
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
