//! A TCP connector whose errors tell a failed connect from a broken exchange.

use std::{io, net::SocketAddr, time::Duration};

use futures_lite::FutureExt;
use trillium_server_common::{Connector, Destination, Url};
use trillium_smol::{async_net::TcpStream, ClientConfig, SmolRuntime, SmolTransport};

/// Longest wait for a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// No connection was made: the peer has not seen a byte of the request.
#[derive(Debug, thiserror::Error)]
#[error("no connection: {0}")]
pub(crate) struct ConnectFailed(String);

impl ConnectFailed {
    /// Whether an error of a client call proves that nothing was sent.
    pub(crate) fn caused(error: &trillium_http::Error) -> bool {
        let trillium_http::Error::Io(error) = error else {
            return false;
        };
        error
            .get_ref()
            .is_some_and(|inner| inner.is::<ConnectFailed>())
    }
}

/// Connects with a timeout and marks errors as [`ConnectFailed`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct MarkingConnector(ClientConfig);

impl MarkingConnector {
    pub(crate) fn new() -> Self {
        Self(ClientConfig::default().with_nodelay(true))
    }

    async fn marked<T>(connect: impl std::future::Future<Output = io::Result<T>>) -> io::Result<T> {
        let late = async {
            smol::Timer::after(CONNECT_TIMEOUT).await;
            Err(io::Error::from(io::ErrorKind::TimedOut))
        };
        let connected = connect.or(late).await;
        connected.map_err(|error| io::Error::other(ConnectFailed(error.to_string())))
    }
}

impl Connector for MarkingConnector {
    type Runtime = SmolRuntime;
    type Transport = SmolTransport<TcpStream>;
    type Udp = <ClientConfig as Connector>::Udp;

    fn runtime(&self) -> Self::Runtime {
        self.0.runtime()
    }

    async fn connect(&self, url: &Url) -> io::Result<Self::Transport> {
        Self::marked(self.0.connect(url)).await
    }

    async fn connect_to(&self, destination: Destination) -> io::Result<Self::Transport> {
        Self::marked(self.0.connect_to(destination)).await
    }

    async fn resolve(&self, host: &str, port: u16) -> io::Result<Vec<SocketAddr>> {
        self.0.resolve(host, port).await
    }
}
