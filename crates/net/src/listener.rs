//! TCP listeners with a backlog for bursts of connections.

use std::{io, net::SocketAddr};

use smol::net::TcpListener;

/// Maximum number of connections waiting to be accepted; the operating system
/// may use a lower limit.
///
/// The default of 128 in the standard library is lower than the number of
/// callers that connect within one second after a power outage. The kernel drops
/// connections beyond the backlog, and the kernel of the caller retries only
/// after 1 s.
pub const BACKLOG_CONNECTIONS: i32 = 4_096;

/// Binds a listener to `addr` and returns it with the bound address.
///
/// # Errors
///
/// The I/O error if the address can't be bound.
pub fn listen(addr: SocketAddr) -> io::Result<(TcpListener, SocketAddr)> {
    let listener = std::net::TcpListener::bind(addr)?;
    // `bind` already listens; a second `listen` call only changes the backlog.
    rustix::net::listen(&listener, BACKLOG_CONNECTIONS)?;
    let bound = listener.local_addr()?;
    Ok((TcpListener::try_from(listener)?, bound))
}
