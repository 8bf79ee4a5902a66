//! Connects to a store and lets the kernel detect dead connections.
//!
//! Load pattern: a watch waits for tens of seconds without any traffic. If a
//! firewall or a failed host drops the connection without a reset, only probes
//! on the connection show it.

use std::{io, time::Duration};

use rustix::net::sockopt;
use smol::net::TcpStream;
use trillium_server_common::{url::Url, Connector, Destination};
use trillium_smol::{ClientConfig, SmolRuntime, SmolTransport};

/// Idle time of a connection before the first keep-alive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which the connection fails.
const KEEPALIVE_PROBES: u32 = 2;

/// [`ClientConfig`] with keep-alive probes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeepaliveConnector(ClientConfig);

impl KeepaliveConnector {
    pub(crate) fn new() -> Self {
        Self(ClientConfig::default().with_nodelay(true))
    }
}

impl Connector for KeepaliveConnector {
    type Runtime = SmolRuntime;
    type Transport = SmolTransport<TcpStream>;
    type Udp = <ClientConfig as Connector>::Udp;

    fn runtime(&self) -> Self::Runtime {
        self.0.runtime()
    }

    async fn connect(&self, url: &Url) -> io::Result<Self::Transport> {
        with_keepalive(self.0.connect(url).await?)
    }

    async fn connect_to(&self, destination: Destination) -> io::Result<Self::Transport> {
        with_keepalive(self.0.connect_to(destination).await?)
    }

    async fn resolve(&self, host: &str, port: u16) -> io::Result<Vec<std::net::SocketAddr>> {
        self.0.resolve(host, port).await
    }
}

fn with_keepalive(transport: SmolTransport<TcpStream>) -> io::Result<SmolTransport<TcpStream>> {
    let stream = transport.into_inner();
    sockopt::set_socket_keepalive(&stream, true)?;
    sockopt::set_tcp_keepidle(&stream, KEEPALIVE_IDLE)?;
    sockopt::set_tcp_keepintvl(&stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(&stream, KEEPALIVE_PROBES)?;
    Ok(SmolTransport::from(stream))
}
