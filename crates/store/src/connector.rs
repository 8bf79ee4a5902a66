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
pub(crate) struct KeepaliveConnector {
    config: ClientConfig,
    /// Time after which the kernel discards data that the peer has not
    /// acknowledged. Closing discards it at once. `None` for the usual behaviour,
    /// which delivers data also after a close.
    unacknowledged_max: Option<Duration>,
}

impl KeepaliveConnector {
    pub(crate) fn new() -> Self {
        Self {
            config: ClientConfig::default().with_nodelay(true),
            unacknowledged_max: None,
        }
    }

    /// Creates a connector whose connections deliver nothing after they are closed,
    /// nor later than `unacknowledged_max` after it was sent.
    pub(crate) fn without_late_delivery(unacknowledged_max: Duration) -> Self {
        Self {
            unacknowledged_max: Some(unacknowledged_max),
            ..Self::new()
        }
    }

    fn configure(
        &self,
        transport: SmolTransport<TcpStream>,
    ) -> io::Result<SmolTransport<TcpStream>> {
        let transport = with_keepalive(transport)?;
        let Some(unacknowledged_max) = self.unacknowledged_max else {
            return Ok(transport);
        };
        let stream = transport.into_inner();
        let timeout_ms = unacknowledged_max.as_millis() as u32;
        sockopt::set_tcp_user_timeout(&stream, timeout_ms)?;
        // A close with a reset discards what the kernel has not sent.
        sockopt::set_socket_linger(&stream, Some(Duration::ZERO))?;
        Ok(SmolTransport::from(stream))
    }
}

impl Connector for KeepaliveConnector {
    type Runtime = SmolRuntime;
    type Transport = SmolTransport<TcpStream>;
    type Udp = <ClientConfig as Connector>::Udp;

    fn runtime(&self) -> Self::Runtime {
        self.config.runtime()
    }

    async fn connect(&self, url: &Url) -> io::Result<Self::Transport> {
        self.configure(self.config.connect(url).await?)
    }

    async fn connect_to(&self, destination: Destination) -> io::Result<Self::Transport> {
        self.configure(self.config.connect_to(destination).await?)
    }

    async fn resolve(&self, host: &str, port: u16) -> io::Result<Vec<std::net::SocketAddr>> {
        self.config.resolve(host, port).await
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
