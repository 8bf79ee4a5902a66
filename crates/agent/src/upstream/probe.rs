//! Looks whether the upstream instance still takes connections.

use std::{net::SocketAddr, time::Duration};

use futures_lite::{AsyncReadExt, FutureExt};
use smol::net::TcpStream;

/// Longest wait for a connect to the instance beside this process.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time that a crashed process takes to close all its sockets.
const CLOSING_MAX: Duration = Duration::from_millis(200);

/// Whether a process at `addr` takes a connection and keeps it.
///
/// A process that crashes closes its sockets one after the other: for
/// some moments it still seems to listen.
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
