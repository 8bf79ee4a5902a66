//! The gateway's two listeners and its shutdown.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use net::ConnectionGuard;
use policy::roster::Member;
use telemetry::{emit, events::GatewayEvent};
use trillium::{Conn, Handler, HttpConfig, Status};
use trillium_router::Router;
use trillium_server_common::ServerHandle;
use trillium_smol::async_net::TcpListener;

use crate::{
    app::App, feed::Feed, guard::CallerGuard, header_codec::HeaderCodec, live, routing::Routing,
    serve, state, RunError, Settings,
};

/// Largest request head that is read at all, in bytes. Heads between the
/// configured bound and this one get a clear answer.
const HEAD_MAX_BYTES: usize = 64 << 10;

/// How often a stopping process looks whether its last request has ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time before the end of the grace period at which the process ends by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(250);

/// What a gateway works with, beside its settings.
pub struct PlatformAdapter {
    /// Header names.
    pub header_codec: Arc<dyn HeaderCodec>,
    /// Configurations.
    pub routing: Arc<dyn Feed<Routing>>,
    /// Instances.
    pub roster: Arc<dyn Feed<Member>>,
}

/// A serving gateway.
pub struct Running {
    app: Arc<App>,
    callers: ServerHandle,
    operator: ServerHandle,
    /// Callers' listener as bound.
    pub addr: SocketAddr,
    /// Operator's listener as bound.
    pub operator_addr: SocketAddr,
}

/// Starts the graceful shutdown of a gateway.
#[derive(Clone)]
pub struct DrainHandle {
    app: Arc<App>,
}

impl DrainHandle {
    /// Starts the shutdown; later calls do nothing.
    pub fn drain(&self) {
        if self.app.lifecycle.begin_drain() {
            emit(&GatewayEvent::GatewayDrainBegun {
                instance: self.app.settings.instance.clone(),
                in_flight: self.app.lifecycle.in_flight(),
            });
        }
    }
}

/// Binds both listeners and serves on them in the background.
///
/// # Errors
///
/// [`RunError::Listen`] when an address can't be bound.
pub async fn start(settings: Settings, parts: PlatformAdapter) -> Result<Running, RunError> {
    let (callers_socket, addr) = bind(settings.listen)?;
    let (operator_socket, operator_addr) = bind(settings.operator_listen)?;
    let app = Arc::new(App::new(settings, parts.header_codec));
    live::reread(&app, false);
    emit(&GatewayEvent::GatewayListening {
        instance: app.settings.instance.clone(),
        zone: app.settings.zone.to_string(),
        addr: addr.to_string(),
        operator_addr: operator_addr.to_string(),
        store_addr: app.settings.store_addr.to_string(),
    });
    async_global_executor::spawn(state::follow_routing(app.clone(), parts.routing)).detach();
    async_global_executor::spawn(state::follow_roster(app.clone(), parts.roster)).detach();
    async_global_executor::spawn(state::tidy(app.clone())).detach();
    async_global_executor::spawn(live::reread_now_and_then(app.clone())).detach();
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
    /// A handle that starts the graceful shutdown.
    pub fn drain_handle(&self) -> DrainHandle {
        DrainHandle {
            app: self.app.clone(),
        }
    }

    /// Reads the settings file again.
    pub(crate) fn reread_at_signal(&self) -> impl Fn() + Send + 'static {
        let app = self.app.clone();
        move || live::reread(&app, true)
    }

    /// Returns once a shutdown was started and the last request has ended, or
    /// the grace period has.
    pub async fn finished(self) {
        let app = &self.app;
        app.lifecycle.drain_begun().await;
        let settings = &app.settings;
        let until = app.live.load().grace.saturating_sub(GRACE_MARGIN);
        // The balancer sends new connections until it has asked for readiness.
        let lag = settings.balancer_lag.min(until);
        smol::Timer::after(lag).await;
        // Closes the listener and kept connections that are idle: a request
        // taken later might not end within the grace period. Not awaited, as
        // a connection that lasts would hold up the end.
        drop(self.callers.shut_down());
        let mut waited = lag;
        while app.lifecycle.in_flight() > 0 && waited < until {
            smol::Timer::after(DRAIN_CHECK_INTERVAL).await;
            waited += DRAIN_CHECK_INTERVAL;
        }
        emit(&GatewayEvent::GatewayStopped {
            instance: settings.instance.clone(),
            in_flight: app.lifecycle.in_flight(),
        });
        drop(self.operator.shut_down());
        smol::Timer::after(DRAIN_CHECK_INTERVAL).await;
    }
}

fn bind(addr: SocketAddr) -> Result<(TcpListener, SocketAddr), RunError> {
    net::listen(addr).map_err(|error| RunError::Listen {
        addr: addr.to_string(),
        reason: error.to_string(),
    })
}

fn spawn(socket: TcpListener, app: &Arc<App>, handler: impl Handler) -> ServerHandle {
    trillium_smol::config()
        .with_prebound_server(socket)
        .without_signals()
        .with_nodelay()
        .with_acceptor(ConnectionGuard::new(Arc::new(CallerGuard(app.clone()))))
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
