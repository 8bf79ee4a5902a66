//! TCP connector that distinguishes connect failures from later errors.

use std::{future::Future, io, net::SocketAddr, time::Duration};

use futures_lite::FutureExt;
use trillium_server_common::{Connector, Destination, Url};
use trillium_smol::{async_net::TcpStream, ClientConfig, SmolRuntime, SmolTransport};

/// No connection was established, so the peer received nothing of the request.
#[derive(Debug, thiserror::Error)]
#[error("connect failed: {0}")]
pub struct ConnectFailed(io::Error);

impl ConnectFailed {
    /// Returns whether `error` was caused by a failed connect, which proves
    /// that nothing was sent.
    pub fn caused(error: &trillium_http::Error) -> bool {
        let trillium_http::Error::Io(error) = error else {
            return false;
        };
        error
            .get_ref()
            .is_some_and(|inner| inner.is::<ConnectFailed>())
    }
}

/// Connector with a timeout that wraps every connect error in
/// [`ConnectFailed`].
#[derive(Clone, Copy, Debug)]
pub struct TimeoutConnector {
    inner: ClientConfig,
    timeout: Duration,
}

impl TimeoutConnector {
    /// Creates a connector that waits at most `timeout` for a connection.
    pub fn new(timeout: Duration) -> Self {
        Self {
            inner: ClientConfig::default().with_nodelay(true),
            timeout,
        }
    }

    /// Bounds `connect` by the timeout and wraps its error in
    /// [`ConnectFailed`].
    async fn connect_with_timeout<T>(
        &self,
        connect: impl Future<Output = io::Result<T>>,
    ) -> io::Result<T> {
        let timed_out = async {
            smol::Timer::after(self.timeout).await;
            Err(io::Error::from(io::ErrorKind::TimedOut))
        };
        let connected = connect.or(timed_out).await;
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
        self.connect_with_timeout(self.inner.connect(url)).await
    }

    async fn connect_to(&self, destination: Destination) -> io::Result<Self::Transport> {
        self.connect_with_timeout(self.inner.connect_to(destination))
            .await
    }

    async fn resolve(&self, host: &str, port: u16) -> io::Result<Vec<SocketAddr>> {
        self.inner.resolve(host, port).await
    }
}
