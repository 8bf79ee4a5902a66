//! TCP proxy on loopback that injects network faults: it delays bytes, holds
//! them back in one or both directions, or closes connections.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

use crate::{lock, plan::LinkFault};

/// Interval at which a blocked direction checks whether it is unblocked.
const BLOCKED_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Direction of a byte stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

#[derive(Debug)]
struct ProxyState {
    target: Mutex<SocketAddr>,
    fault: Mutex<Option<LinkFault>>,
    /// Number of resets so far. A connection that was accepted at a lower count
    /// is closed.
    reset_count: AtomicU64,
}

/// Handle to a running proxy. Clones control the same proxy.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// Address at which the proxy accepts connections.
    pub addr: SocketAddr,
    state: Arc<ProxyState>,
}

impl Proxy {
    /// Starts a proxy that forwards connections to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if no loopback port can be bound.
    pub fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let state = Arc::new(ProxyState {
            target: Mutex::new(target),
            fault: Mutex::new(None),
            reset_count: AtomicU64::new(0),
        });
        let listener_state = state.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let connection_state = listener_state.clone();
                thread::spawn(move || relay_connection(client, &connection_state));
            }
        });
        Ok(Self { addr, state })
    }

    /// Forwards new connections to another address; open ones are unaffected.
    pub fn set_target(&self, target: SocketAddr) {
        *lock(&self.state.target) = target;
    }

    /// Injects a fault, which lasts until [`Proxy::clear`]. A reset happens
    /// once and needs no clearing.
    pub fn inject(&self, fault: LinkFault) {
        match fault {
            LinkFault::Reset => {
                self.state.reset_count.fetch_add(1, Ordering::Relaxed);
            }
            fault => *lock(&self.state.fault) = Some(fault),
        }
    }

    /// Ends the fault and forwards the bytes that were held back.
    pub fn clear(&self) {
        *lock(&self.state.fault) = None;
    }
}

impl ProxyState {
    fn fault(&self) -> Option<LinkFault> {
        *lock(&self.fault)
    }

    fn is_blocked(&self, direction: Direction) -> bool {
        match self.fault() {
            Some(LinkFault::Silence) => true,
            Some(LinkFault::CutForth) => direction == Direction::ToServer,
            Some(LinkFault::CutBack) => direction == Direction::ToClient,
            _ => false,
        }
    }
}

fn relay_connection(client: TcpStream, state: &Arc<ProxyState>) {
    let initial_reset_count = state.reset_count.load(Ordering::Relaxed);
    while state.is_blocked(Direction::ToServer) {
        thread::sleep(BLOCKED_POLL_INTERVAL);
    }
    let target = *lock(&state.target);
    let Ok(server) = TcpStream::connect(target) else {
        return;
    };
    let (Ok(client_writer), Ok(server_reader)) = (client.try_clone(), server.try_clone()) else {
        return;
    };
    // Setting the option fails only on a closed connection, which the next read
    // reports.
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let upload_state = state.clone();
    thread::spawn(move || {
        relay(
            client,
            server,
            Direction::ToServer,
            initial_reset_count,
            &upload_state,
        )
    });
    relay(
        server_reader,
        client_writer,
        Direction::ToClient,
        initial_reset_count,
        state,
    );
}

/// Forwards bytes in one direction until either side closes, a read or write
/// fails, or the connection is reset; then closes both sides. If the server has ended its
/// response, the client may send on until one of them closes.
fn relay(
    mut from: TcpStream,
    mut to: TcpStream,
    direction: Direction,
    initial_reset_count: u64,
    state: &ProxyState,
) {
    let is_reset = || state.reset_count.load(Ordering::Relaxed) != initial_reset_count;
    let mut buffer = vec![0; 16 << 10];
    // Setting the timeout fails only on a closed connection.
    let _ = from.set_read_timeout(Some(BLOCKED_POLL_INTERVAL * 5));
    let mut has_ended = false;
    loop {
        if is_reset() {
            break;
        }
        let count = match from.read(&mut buffer) {
            Ok(0) => {
                has_ended = true;
                break;
            }
            Ok(count) => count,
            Err(error) if is_timeout(&error) => continue,
            Err(_) => break,
        };
        while state.is_blocked(direction) && !is_reset() {
            thread::sleep(BLOCKED_POLL_INTERVAL);
        }
        if let Some(LinkFault::Delay { ms }) = state.fault() {
            thread::sleep(Duration::from_millis(ms));
        }
        if is_reset() || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    // Shutdown fails only if the side is closed already.
    if has_ended && direction == Direction::ToClient {
        let _ = to.shutdown(Shutdown::Write);
        return;
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

fn is_timeout(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{Interrupted, TimedOut, WouldBlock};

    matches!(error.kind(), Interrupted | TimedOut | WouldBlock)
}
