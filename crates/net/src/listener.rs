//! Listeners with room for a surge of connections.

use std::{io, net::SocketAddr};

use smol::net::TcpListener;

/// Connections that wait to be accepted at most; the system may allow fewer.
///
/// The standard library's 128 is less than the callers of one second after a
/// power cut. The kernel drops what does not fit, and a caller's kernel then
/// tries again only after a second.
pub const BACKLOG_CONNECTIONS: i32 = 4_096;

/// Listens on `addr`; returns the listener and the address as bound.
///
/// # Errors
///
/// The system's error when the address can't be bound.
pub fn listen(addr: SocketAddr) -> io::Result<(TcpListener, SocketAddr)> {
    let listener = std::net::TcpListener::bind(addr)?;
    // A second `listen` on the same socket replaces the backlog.
    rustix::net::listen(&listener, BACKLOG_CONNECTIONS)?;
    let bound = listener.local_addr()?;
    Ok((TcpListener::try_from(listener)?, bound))
}
