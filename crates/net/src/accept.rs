//! Accepts connections without starving the connections that are open.
//!
//! Load pattern: thousands of clients connect in one burst. The accept loop of the HTTP
//! server does not wait while connections are queued, so that no task would run in
//! which a connection is refused or closed, until the last descriptor is taken; from
//! then on each accept fails at once, for good.

use std::{io, time::Duration};

use futures_lite::future::yield_now;
use rustix::io::Errno;
use smol::net::{TcpListener, TcpStream};
use trillium_server_common::{Config, Info, Server};
use trillium_smol::{SmolRuntime, SmolTransport, SmolUdpSocket};

/// Pause after an accept that failed for want of descriptors or memory. Connections
/// that end meanwhile free them; the kernel keeps the queue.
const EXHAUSTED_PAUSE: Duration = Duration::from_millis(20);

/// Listener whose accepts alternate with the work of the open connections, and go on
/// once descriptors are free again.
#[derive(Debug)]
pub struct PacedListener {
    socket: TcpListener,
    is_exhausted: bool,
}

impl PacedListener {
    /// Creates a listener from a bound socket.
    pub fn new(socket: TcpListener) -> Self {
        Self {
            socket,
            is_exhausted: false,
        }
    }

    fn on_accepted(&mut self) {
        if std::mem::take(&mut self.is_exhausted) {
            log::warn!("accepting connections again");
        }
    }

    fn on_exhausted(&mut self, error: &io::Error) {
        metrics::counter!("limpetgw_accepts_failed_total").increment(1);
        if !std::mem::replace(&mut self.is_exhausted, true) {
            log::warn!("no connection accepted until one is closed: {error}");
        }
    }
}

impl Server for PacedListener {
    type Runtime = SmolRuntime;
    type Transport = SmolTransport<TcpStream>;
    type UdpTransport = SmolUdpSocket;

    async fn accept(&mut self) -> io::Result<Self::Transport> {
        // The task of the connection before runs first: it may be refused, or another
        // one closed for it.
        yield_now().await;
        loop {
            match self.socket.accept().await {
                Ok((stream, _)) => {
                    self.on_accepted();
                    return Ok(stream.into());
                }
                Err(error) if is_exhausted(&error) => {
                    self.on_exhausted(&error);
                    smol::Timer::after(EXHAUSTED_PAUSE).await;
                }
                // The connection has ended in the queue.
                Err(error) => {
                    log::debug!("connection not accepted: {error}");
                    yield_now().await;
                }
            }
        }
    }

    fn init(&self, info: &mut Info) {
        if let Ok(addr) = self.socket.local_addr() {
            info.insert_shared_state(addr);
        }
    }

    fn runtime() -> Self::Runtime {
        SmolRuntime::default()
    }
}

/// Returns the configuration of an HTTP server on a bound socket. Signals are left to
/// the process.
pub fn server_config(socket: TcpListener) -> Config<PacedListener, ()> {
    Config::new()
        .with_prebound_server(PacedListener::new(socket))
        .without_signals()
        .with_nodelay()
}

fn is_exhausted(error: &io::Error) -> bool {
    let exhausted = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
    Errno::from_io_error(error).is_some_and(|errno| exhausted.contains(&errno))
}
