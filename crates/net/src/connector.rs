//! A TCP connector whose errors tell a failed connect from a broken exchange.

use std::{future::Future, io, net::SocketAddr, time::Duration};

use futures_lite::FutureExt;
use trillium_server_common::{Connector, Destination, Url};
use trillium_smol::{async_net::TcpStream, ClientConfig, SmolRuntime, SmolTransport};

/// No connection was made: the peer has not seen a byte of the request.
#[derive(Debug, thiserror::Error)]
#[error("no connection: {0}")]
pub struct ConnectFailed(io::Error);

impl ConnectFailed {
    /// Whether an error of a client call proves that nothing was sent.
    pub fn caused(error: &trillium_http::Error) -> bool {
        let trillium_http::Error::Io(error) = error else {
            return false;
        };
        error
            .get_ref()
            .is_some_and(|inner| inner.is::<ConnectFailed>())
    }
}

/// Connects with a timeout; every error is a [`ConnectFailed`].
#[derive(Clone, Copy, Debug)]
pub struct TimeoutConnector {
    inner: ClientConfig,
    timeout: Duration,
}

impl TimeoutConnector {
    /// Makes a connector that waits for a connection at most `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self {
            inner: ClientConfig::default().with_nodelay(true),
            timeout,
        }
    }

    async fn marked<T>(&self, connect: impl Future<Output = io::Result<T>>) -> io::Result<T> {
        let late = async {
            smol::Timer::after(self.timeout).await;
            Err(io::Error::from(io::ErrorKind::TimedOut))
        };
        let connected = connect.or(late).await;
        connected.map_err(|error| io::Error::new(error.kind(), ConnectFailed(error)))
    }
}

impl Connector for TimeoutConnector {
    type Runtime = SmolRuntime;
    type Transport = SmolTransport<TcpStream>;
    type Udp = <ClientConfig as Connector>::Udp;

    fn runtime(&self) -> Self::Runtime {
        self.inner.runtime()
    }

    async fn connect(&self, url: &Url) -> io::Result<Self::Transport> {
        self.marked(self.inner.connect(url)).await
    }

    async fn connect_to(&self, destination: Destination) -> io::Result<Self::Transport> {
        self.marked(self.inner.connect_to(destination)).await
    }

    async fn resolve(&self, host: &str, port: u16) -> io::Result<Vec<SocketAddr>> {
        self.inner.resolve(host, port).await
    }
}
