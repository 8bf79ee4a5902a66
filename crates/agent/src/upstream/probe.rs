//! Probe that checks whether the upstream instance accepts connections.

use std::{net::SocketAddr, time::Duration};

use futures_lite::{AsyncReadExt, FutureExt};
use smol::net::TcpStream;

/// Timeout for connecting to the instance, which runs beside this process.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum time that a crashed process takes to close all its sockets.
const CRASH_CLOSE_MAX: Duration = Duration::from_millis(200);

/// Checks whether a process at `addr` accepts a connection and keeps it open.
///
/// A crashing process closes its sockets one after the other, so its listener
/// can accept connections for a short time after other sockets were closed.
pub(super) async fn probe(addr: &str) -> bool {
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

/// Checks whether an idle connection stays open for [`CRASH_CLOSE_MAX`].
async fn stays_open(mut connection: TcpStream) -> bool {
    let closed = async {
        // No request was sent, so a read ends only if the connection is closed.
        let _ = connection.read(&mut [0; 1]).await;
        false
    };
    let open = async {
        smol::Timer::after(CRASH_CLOSE_MAX).await;
        true
    };
    closed.or(open).await
}
