//! Startup of the two listeners and background tasks, and graceful shutdown.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use net::{ClientCounts, ConnectionGuard};
use peer_link::{OwnIdentity, PeerLink, UdpLink};
use policy::roster::Member;
use telemetry::{emit, events::GatewayEvent};
use trillium::{Conn, Handler, HttpConfig, Status};
use trillium_router::Router;
use trillium_server_common::ServerHandle;
use trillium_smol::async_net::TcpListener;

use crate::{
    app::App,
    duties::{
        detect_pauses, exchange_usage, flush_usage, perform_duties, DutyApiFactory, DutyStore,
    },
    feed::Feed,
    guard::CallerGuardPolicy,
    header_codec::HeaderCodec,
    live, load_exchange,
    peers::{publish_own_record, start_link, sync_peers, PeerDirectory},
    platform_sync,
    routing::Routing,
    serve, RunError, Settings,
};

/// Maximum size of a request head that the HTTP library parses, in bytes. Above
/// the limit of [`ConnectionGuard`], so that larger heads than configured are
/// rejected there or by the request handler, whose error responses name the
/// limit.
const HEAD_MAX_BYTES: usize = 64 << 10;

/// Time for which the listeners may close before the process exits.
const LISTENER_CLOSE_TIME: Duration = Duration::from_millis(20);

/// Time before the end of the grace period at which the process exits by
/// itself, before it would be killed.
const GRACE_MARGIN: Duration = Duration::from_millis(250);

/// Time before the end of the grace period at which the requests in flight have
/// to end, so that their error responses can be written before the exit.
const END_MARGIN: Duration = Duration::from_millis(500);

/// Interfaces to the platform that a gateway runs on.
pub struct PlatformAdapter {
    /// Decoder and encoder of the request metadata in headers.
    pub header_codec: Arc<dyn HeaderCodec>,
    /// Source of routing configurations.
    pub routing: Arc<dyn Feed<Routing>>,
    /// Source of the instance list.
    pub roster: Arc<dyn Feed<Member>>,
    /// Records that gateways exchange.
    pub peers: Arc<dyn PeerDirectory>,
    /// Tickets of the lease of the duties, and fixed counts.
    pub duty_store: Arc<dyn DutyStore>,
    /// Creates the client for the platform's API of the duties.
    pub duty_api: DutyApiFactory,
}

/// A gateway whose listeners accept connections.
pub struct Running {
    app: Arc<App>,
    callers: ServerHandle,
    operator: ServerHandle,
    /// Bound address of the callers' listener.
    pub addr: SocketAddr,
    /// Bound address of the listener for `/readyz` and `/metrics`.
    pub operator_addr: SocketAddr,
}

/// Handle that starts the graceful shutdown of a gateway. Cheap to clone.
#[derive(Clone)]
pub struct DrainHandle {
    app: Arc<App>,
}

impl DrainHandle {
    /// Starts the graceful shutdown; later calls have no effect.
    pub fn drain(&self) {
        if self.app.lifecycle.begin_drain() {
            emit(&GatewayEvent::GatewayDrainBegun {
                instance: self.app.settings.instance.clone(),
                in_flight: self.app.lifecycle.in_flight(),
            });
            // Other gateways take over the shares of limits.
            self.app.peers.notify_changed();
        }
    }
}

/// Binds both listeners, and serves them and runs the periodic tasks in the
/// background.
///
/// # Errors
///
/// [`RunError::Listen`] when an address can't be bound.
pub async fn start(settings: Settings, platform: PlatformAdapter) -> Result<Running, RunError> {
    let (callers_socket, addr) = bind(settings.listen)?;
    let (operator_socket, operator_addr) = bind(settings.operator_listen)?;
    let udp_link = bind_link(&settings)?;
    let app = Arc::new(App::new(
        settings,
        platform.header_codec,
        platform.peers.clone(),
        udp_link,
    ));
    live::reload(&app, false);
    emit(&GatewayEvent::GatewayListening {
        instance: app.settings.instance.clone(),
        zone: app.settings.zone.to_string(),
        addr: addr.to_string(),
        operator_addr: operator_addr.to_string(),
        store_addr: app.settings.store_addr.to_string(),
    });
    async_global_executor::spawn(platform_sync::sync_routing(app.clone(), platform.routing))
        .detach();
    async_global_executor::spawn(platform_sync::sync_roster(app.clone(), platform.roster)).detach();
    async_global_executor::spawn(sync_peers(app.clone(), platform.peers.clone())).detach();
    async_global_executor::spawn(publish_own_record(app.clone(), platform.peers)).detach();
    start_link(&app);
    load_exchange::start(&app);
    async_global_executor::spawn(platform_sync::run_maintenance(app.clone())).detach();
    async_global_executor::spawn(live::reload_periodically(app.clone())).detach();
    async_global_executor::spawn(detect_pauses(app.clone())).detach();
    async_global_executor::spawn(exchange_usage(app.clone())).detach();
    let duties = perform_duties(app.clone(), platform.duty_store, platform.duty_api);
    async_global_executor::spawn(duties).detach();
    async_global_executor::spawn(report_clients(app.clone())).detach();
    let callers = spawn(callers_socket, &app, callers_handler(app.clone()));
    let operator = spawn(operator_socket, &app, operator_handler(app.clone()));
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

    /// Returns the link to other gateways; `None` if it is not enabled.
    pub fn peer_link(&self) -> Option<Arc<dyn PeerLink>> {
        self.app.peer_link()
    }

    /// Returns the handler of SIGHUP, which reloads the settings file.
    pub(crate) fn reload_on_signal(&self) -> impl Fn() + Send + 'static {
        let app = self.app.clone();
        move || live::reload(&app, true)
    }

    /// Waits for a drain to begin, then until no request is in flight, and closes
    /// the listeners. Requests that are still in flight when the grace period is
    /// nearly over are ended.
    pub async fn finished(self) {
        let app = &self.app;
        app.lifecycle.drain_begun().await;
        let settings = &app.settings;
        let drain_begun_at = Instant::now();
        let grace = app.live.load().grace;
        let end_after = grace.saturating_sub(END_MARGIN);
        // The balancer opens connections until its next readiness check.
        smol::Timer::after(settings.balancer_lag.min(end_after)).await;
        // Closes the listener and idle keep-alive connections: a request
        // accepted later might not end within the grace period. Not awaited,
        // because a long-lived connection would delay the exit.
        drop(self.callers.shut_down());
        if !app.lifecycle.is_idle_by(drain_begun_at + end_after).await {
            emit(&GatewayEvent::RequestsEnded {
                instance: settings.instance.clone(),
                in_flight: app.lifecycle.in_flight(),
            });
            app.lifecycle.end_requests();
            let exit_after = grace.saturating_sub(GRACE_MARGIN);
            app.lifecycle.is_idle_by(drain_begun_at + exit_after).await;
        }
        flush_usage(app).await;
        emit(&GatewayEvent::GatewayStopped {
            instance: settings.instance.clone(),
            in_flight: app.lifecycle.in_flight(),
        });
        drop(self.operator.shut_down());
        smol::Timer::after(LISTENER_CLOSE_TIME).await;
    }
}

/// Publishes the metrics of the clients' budget, and logs when it limits them.
async fn report_clients(app: Arc<App>) {
    let on_limited = |before: ClientCounts, now: ClientCounts| {
        emit(&GatewayEvent::ClientsLimited {
            instance: app.settings.instance.clone(),
            disconnected: now.evicted - before.evicted,
            refused: now.refused - before.refused,
            held_bytes: now.held_bytes,
            connections: now.connections,
        });
    };
    app.clients.report_periodically(on_limited).await;
}

fn bind(addr: SocketAddr) -> Result<(TcpListener, SocketAddr), RunError> {
    net::listen(addr).map_err(|error| RunError::Listen {
        addr: addr.to_string(),
        reason: error.to_string(),
    })
}

/// Opens the socket of the link to other gateways, if it is enabled.
fn bind_link(settings: &Settings) -> Result<Option<Arc<UdpLink>>, RunError> {
    let Some(addr) = settings.peer_listen else {
        return Ok(None);
    };
    let identity = OwnIdentity {
        instance: settings.instance.clone(),
        strength: settings.strength,
    };
    match UdpLink::bind(identity, addr) {
        Ok(link) => Ok(Some(link)),
        Err(error) => Err(RunError::Listen {
            addr: addr.to_string(),
            reason: error.to_string(),
        }),
    }
}

fn spawn(socket: TcpListener, app: &Arc<App>, handler: impl Handler) -> ServerHandle {
    let guard = ConnectionGuard::new(Arc::new(CallerGuardPolicy(app.clone())));
    net::server_config(socket)
        .with_acceptor(guard.with_budget(app.clients.clone()))
        .with_http_config(HttpConfig::default().with_head_max_len(HEAD_MAX_BYTES))
        .spawn(handler)
}

fn callers_handler(app: Arc<App>) -> impl Handler {
    move |conn: Conn| serve::serve(app.clone(), conn)
}

fn operator_handler(app: Arc<App>) -> impl Handler {
    Router::new()
        .get("/readyz", move |conn: Conn| {
            let app = app.clone();
            async move {
                match app.is_ready() {
                    true => conn.ok("ready\n"),
                    false => conn
                        .with_status(Status::ServiceUnavailable)
                        .with_body("not ready\n")
                        .halt(),
                }
            }
        })
        .get("/metrics", |conn: Conn| async move {
            conn.ok(telemetry::render_metrics())
        })
}
