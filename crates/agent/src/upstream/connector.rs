//! Connects to the upstream, and tells a failed connect from all else.

use std::{io, net::SocketAddr, time::Duration};

use futures_lite::{AsyncReadExt, FutureExt};
use smol::net::TcpStream;
use trillium_server_common::{url::Url, Connector, Destination};
use trillium_smol::ClientConfig;

/// Longest wait for a connect to the instance beside this process.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time that a crashed process takes to close all its sockets.
const CLOSING_MAX: Duration = Duration::from_millis(200);

/// No connection was made, so that no byte of the request was sent.
#[derive(Debug, thiserror::Error)]
#[error("connect failed: {0}")]
pub(super) struct ConnectFailed(io::Error);

/// A connector with a timeout whose errors are always [`ConnectFailed`].
#[derive(Clone, Copy, Debug)]
pub(super) struct UpstreamConnector {
    inner: ClientConfig,
}

impl UpstreamConnector {
    /// Makes the connector.
    pub(super) fn new() -> Self {
        Self {
            inner: ClientConfig::new().with_nodelay(true),
        }
    }

    /// Whether a process at `addr` takes a connection and keeps it.
    ///
    /// A process that crashes closes its sockets one after the other: for
    /// some moments it still seems to listen.
    pub(super) async fn probe(&self, addr: &str) -> bool {
        let Ok(addr) = addr.parse::<SocketAddr>() else {
            return false;
        };
        let connect = async {
            match TcpStream::connect(addr).await {
                Ok(connection) => stays_open(connection).await,
                Err(_) => false,
            }
        };
        let timeout = async {
            smol::Timer::after(CONNECT_TIMEOUT).await;
            false
        };
        connect.or(timeout).await
    }
}

/// Whether a connection without a request is still open after a time.
async fn stays_open(mut connection: TcpStream) -> bool {
    let closed = async {
        // Nothing was asked, so that any end of the wait is a closed connection.
        let _ = connection.read(&mut [0; 1]).await;
        false
    };
    let open = async {
        smol::Timer::after(CLOSING_MAX).await;
        true
    };
    closed.or(open).await
}

/// Whether an exchange failed before a byte was sent.
pub(super) fn is_connect_failure(error: &trillium_http::Error) -> bool {
    let trillium_http::Error::Io(error) = error else {
        return false;
    };
    error
        .get_ref()
        .is_some_and(|inner| inner.is::<ConnectFailed>())
}

impl Connector for UpstreamConnector {
    type Transport = <ClientConfig as Connector>::Transport;
    type Runtime = <ClientConfig as Connector>::Runtime;
    type Udp = <ClientConfig as Connector>::Udp;

    fn runtime(&self) -> Self::Runtime {
        self.inner.runtime()
    }

    async fn connect(&self, url: &Url) -> io::Result<Self::Transport> {
        self.connect_to(Destination::from_url(url)?).await
    }

    async fn connect_to(&self, destination: Destination) -> io::Result<Self::Transport> {
        let timeout = async {
            smol::Timer::after(CONNECT_TIMEOUT).await;
            Err(io::Error::from(io::ErrorKind::TimedOut))
        };
        let connected = self.inner.connect_to(destination).or(timeout).await;
        connected.map_err(|error| io::Error::new(error.kind(), ConnectFailed(error)))
    }

    async fn resolve(&self, host: &str, port: u16) -> io::Result<Vec<SocketAddr>> {
        self.inner.resolve(host, port).await
    }
}
