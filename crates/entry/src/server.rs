//! Starts, drains and stops the entry's two listeners.

use std::{net::SocketAddr, sync::Arc};

use net::{ClientBudget, ClientCounts, ConnectionGuard};
use policy::client_limits::ClientLimits;
use serde_json::json;
use shared_state::SharedState;
use store::ObjectStore;
use telemetry::{
    emit,
    events::{EntryEvent, GatewayEvent},
};
use trillium::{Conn, Handler, HttpConfig};
use trillium_server_common::ServerHandle;
use trillium_smol::async_net::TcpListener;

use crate::{
    app::App, at_most_once::run_claim_sweeper, evidence::exchange_periodically, guard::EntryGuard,
    operator, routes, RunError, Settings,
};

/// Size limit of a request head for the HTTP server. It is above the limit for
/// callers, so that heads between the two get a JSON error.
const HEAD_MAX_BYTES: usize = 64 << 10;

/// Components that an entry uses, created by its caller.
pub struct Dependencies {
    /// Configuration and membership, kept up to date in the background.
    pub shared: Arc<SharedState>,
    /// The platform's store, which holds claims.
    pub store: Arc<dyn ObjectStore>,
    /// RPC client for calls to agents and other entries.
    pub peers: rpc::Client,
}

/// An entry that is serving on both listeners.
pub struct Running {
    app: Arc<App>,
    callers: ServerHandle,
    operator: ServerHandle,
    /// Bound address of the callers' listener.
    pub addr: SocketAddr,
    /// Bound address of the operator's listener.
    pub operator_addr: SocketAddr,
}

/// Handle that starts the graceful shutdown of an entry.
#[derive(Clone)]
pub struct DrainHandle {
    app: Arc<App>,
}

impl DrainHandle {
    /// Starts the graceful shutdown; later calls have no effect.
    pub fn drain(&self) {
        if self.app.lifecycle.begin_drain() {
            emit(&EntryEvent::DrainBegun {
                instance: self.app.settings.instance.clone(),
                in_flight: self.app.lifecycle.in_flight(),
                balancer_lag_ms: self.app.settings.balancer_lag.as_millis() as u64,
            });
        }
    }
}

/// Binds both listeners and serves on them in the background. Also starts the
/// claim sweeper and the evidence exchange.
///
/// # Errors
///
/// [`RunError::Listen`] if an address can't be bound.
pub async fn serve(settings: Settings, dependencies: Dependencies) -> Result<Running, RunError> {
    let (callers_socket, addr) = bind(settings.listen)?;
    let (operator_socket, operator_addr) = bind(settings.operator_listen)?;
    let app = Arc::new(App::new(settings, dependencies));
    let drain = DrainHandle { app: app.clone() };
    let clients = ClientBudget::new(ClientLimits::of(app.settings.machine));
    let guard = ConnectionGuard::new(Arc::new(EntryGuard {
        request_timeout: app.settings.request_timeout,
    }))
    .with_budget(clients.clone());
    let callers = spawn(callers_socket, guard.clone(), callers_handler(app.clone()));
    let operator = spawn(
        operator_socket,
        guard,
        operator::handler(app.clone(), drain),
    );
    async_global_executor::spawn(run_claim_sweeper(app.clone())).detach();
    async_global_executor::spawn(exchange_periodically(app.clone())).detach();
    async_global_executor::spawn(report_clients(app.clone(), clients)).detach();
    emit(&EntryEvent::Listening {
        instance: app.settings.instance.clone(),
        addr: addr.to_string(),
    });
    Ok(Running {
        app,
        callers,
        operator,
        addr,
        operator_addr,
    })
}

impl Running {
    /// Returns a handle that starts the graceful shutdown.
    pub fn drain_handle(&self) -> DrainHandle {
        DrainHandle {
            app: self.app.clone(),
        }
    }

    /// Prints the bound addresses to stdout as one line of JSON.
    pub(crate) fn print_listening(&self) {
        let listening = json!({"listening": {
            "role": "entry",
            "instance": self.app.settings.instance,
            "addr": self.addr,
            "operator_addr": self.operator_addr,
        }});
        println!("{listening}");
    }

    /// Waits until a shutdown was started and the last request has ended, then
    /// stops both listeners.
    pub async fn finished(self) {
        let lifecycle = &self.app.lifecycle;
        lifecycle.drain_begun().await;
        lifecycle.drained(self.app.settings.balancer_lag).await;
        self.callers.shut_down().await;
        self.operator.shut_down().await;
        emit(&EntryEvent::Drained {
            instance: self.app.settings.instance.clone(),
        });
    }
}

/// Publishes the metrics of the clients' budget, and logs when it limits them.
async fn report_clients(app: Arc<App>, clients: Arc<ClientBudget>) {
    let on_limited = |before: ClientCounts, now: ClientCounts| {
        emit(&GatewayEvent::ClientsLimited {
            instance: app.settings.instance.clone(),
            disconnected: now.evicted - before.evicted,
            refused: now.refused - before.refused,
            held_bytes: now.held_bytes,
            connections: now.connections,
        });
    };
    clients.report_periodically(on_limited).await;
}

fn bind(addr: SocketAddr) -> Result<(TcpListener, SocketAddr), RunError> {
    net::listen(addr).map_err(|error| RunError::Listen {
        addr: addr.to_string(),
        reason: error.to_string(),
    })
}

fn spawn(
    socket: TcpListener,
    guard: ConnectionGuard<EntryGuard>,
    handler: impl Handler,
) -> ServerHandle {
    net::server_config(socket)
        .with_acceptor(guard)
        .with_http_config(HttpConfig::default().with_head_max_len(HEAD_MAX_BYTES))
        .spawn(handler)
}

fn callers_handler(app: Arc<App>) -> impl Handler {
    move |conn: Conn| routes::serve(app.clone(), conn)
}
