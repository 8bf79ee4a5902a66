//! Connections to instances that wait for their next request.

use std::{
    io,
    sync::{Arc, Mutex},
    time::Duration,
};

use indexmap::IndexMap;

use super::connection::Connection;
use crate::app::lock;

/// Longest wait for a connection. Instances answer within milliseconds; one
/// that is dark never does, and the request goes elsewhere.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// No connection could be had; nothing was sent.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConnectError {
    /// This process holds its share of the instance's connections.
    #[error("all {0} connections to the instance are in use")]
    InUse(usize),
    /// The instance can't be reached.
    #[error("no connection: {0}")]
    Failed(#[from] io::Error),
}

/// Connections of one process.
#[derive(Default)]
pub(crate) struct Pool {
    peers: Arc<Mutex<IndexMap<Arc<str>, Peer>>>,
}

/// Connections to one address.
#[derive(Default)]
struct Peer {
    idle: Vec<Connection>,
    /// Connections that carry an exchange or are being opened.
    in_use: usize,
}

/// Counts one connection as in use for as long as it lives.
pub(crate) struct Lease {
    peers: Arc<Mutex<IndexMap<Arc<str>, Peer>>>,
    addr: Arc<str>,
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(peer) = lock(&self.peers).get_mut(&self.addr) {
            peer.in_use = peer.in_use.saturating_sub(1);
        }
    }
}

impl Pool {
    /// A connection to `addr`: a kept one if there is a sound one, else a new
    /// one while fewer than `max` are in use.
    ///
    /// # Errors
    ///
    /// [`ConnectError`]; nothing was sent.
    pub(crate) async fn take(
        &self,
        addr: &Arc<str>,
        max: usize,
    ) -> Result<(Connection, Lease), ConnectError> {
        let lease = self.lease(addr, max)?;
        while let Some(mut connection) = self.pop_idle(addr) {
            if !connection.is_expired() && connection.is_sound() {
                return Ok((connection, lease));
            }
        }
        let connection = Connection::open(addr, CONNECT_TIMEOUT).await?;
        metrics::counter!("limpetgw_gateway_connections_opened_total").increment(1);
        Ok((connection, lease))
    }

    /// Opens a connection and keeps it for the next request.
    ///
    /// # Errors
    ///
    /// [`ConnectError`] if the instance can't be reached.
    pub(crate) async fn probe(&self, addr: &Arc<str>) -> Result<(), ConnectError> {
        let lease = self.lease(addr, usize::MAX)?;
        let connection = Connection::open(addr, CONNECT_TIMEOUT).await?;
        self.put(lease, connection);
        Ok(())
    }

    /// Keeps a connection for the next request.
    pub(crate) fn put(&self, lease: Lease, connection: Connection) {
        if let Some(peer) = lock(&self.peers).get_mut(&lease.addr) {
            peer.idle.push(connection);
        }
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn sweep(&self) {
        let mut peers = lock(&self.peers);
        for peer in peers.values_mut() {
            peer.idle.retain(|connection| !connection.is_expired());
        }
        peers.retain(|_, peer| peer.in_use > 0 || !peer.idle.is_empty());
    }

    fn lease(&self, addr: &Arc<str>, max: usize) -> Result<Lease, ConnectError> {
        let mut peers = lock(&self.peers);
        let peer = peers.entry(addr.clone()).or_default();
        if peer.in_use >= max {
            return Err(ConnectError::InUse(max));
        }
        peer.in_use += 1;
        Ok(Lease {
            peers: self.peers.clone(),
            addr: addr.clone(),
        })
    }

    /// The connection used last, so that those not needed run out.
    fn pop_idle(&self, addr: &Arc<str>) -> Option<Connection> {
        lock(&self.peers).get_mut(addr)?.idle.pop()
    }
}
