//! Pool of idle keep-alive connections to instances.

use std::{
    io,
    sync::{Arc, Mutex},
    time::Duration,
};

use indexmap::IndexMap;

use super::connection::Connection;
use crate::app::lock;

/// Timeout for opening a connection. Reachable instances accept within
/// milliseconds; after the timeout the request is sent to another instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Error in taking a connection; nothing was sent.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConnectError {
    /// This process already uses its share of the instance's connections.
    #[error("all {0} connections to the instance are in use")]
    InUse(usize),
    /// The connection could not be opened.
    #[error("connect failed: {0}")]
    Failed(#[from] io::Error),
}

/// Connections of this process to all instances, by address.
#[derive(Default)]
pub(crate) struct Pool {
    addr_pools: Arc<Mutex<IndexMap<Arc<str>, AddrPool>>>,
}

/// Pooled connections to one address.
#[derive(Default)]
struct AddrPool {
    idle: Vec<Connection>,
    /// Number of connections that carry an exchange or are being opened.
    in_use: usize,
}

/// Counts one connection as in use until it is dropped.
pub(crate) struct Lease {
    addr_pools: Arc<Mutex<IndexMap<Arc<str>, AddrPool>>>,
    addr: Arc<str>,
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(addr_pool) = lock(&self.addr_pools).get_mut(&self.addr) {
            addr_pool.in_use = addr_pool.in_use.saturating_sub(1);
        }
    }
}

impl Pool {
    /// Takes a usable idle connection to `addr`, or opens a new one.
    ///
    /// # Errors
    ///
    /// [`ConnectError`] if `max` connections are in use or the connect fails;
    /// nothing was sent.
    pub(crate) async fn take(
        &self,
        addr: &Arc<str>,
        max: usize,
    ) -> Result<(Connection, Lease), ConnectError> {
        let lease = self.lease(addr, max)?;
        while let Some(mut connection) = self.pop_idle(addr) {
            if !connection.is_expired() && connection.is_usable() {
                return Ok((connection, lease));
            }
        }
        let connection = Connection::open(addr, CONNECT_TIMEOUT).await?;
        metrics::counter!("limpetgw_gateway_connections_opened_total").increment(1);
        Ok((connection, lease))
    }

    /// Opens a connection to check that the instance is reachable, and adds it
    /// to the pool.
    ///
    /// # Errors
    ///
    /// [`ConnectError::Failed`] if the connection can't be opened.
    pub(crate) async fn probe(&self, addr: &Arc<str>) -> Result<(), ConnectError> {
        let lease = self.lease(addr, usize::MAX)?;
        let connection = Connection::open(addr, CONNECT_TIMEOUT).await?;
        self.put(lease, connection);
        Ok(())
    }

    /// Returns a connection to the pool.
    pub(crate) fn put(&self, lease: Lease, connection: Connection) {
        if let Some(addr_pool) = lock(&self.addr_pools).get_mut(&lease.addr) {
            addr_pool.idle.push(connection);
        }
    }

    /// Closes idle connections past their reuse time, and removes empty
    /// entries.
    pub(crate) fn close_expired(&self) {
        let mut addr_pools = lock(&self.addr_pools);
        for addr_pool in addr_pools.values_mut() {
            addr_pool.idle.retain(|connection| !connection.is_expired());
        }
        addr_pools.retain(|_, addr_pool| addr_pool.in_use > 0 || !addr_pool.idle.is_empty());
    }

    /// Counts a connection as in use if fewer than `max` are.
    fn lease(&self, addr: &Arc<str>, max: usize) -> Result<Lease, ConnectError> {
        let mut addr_pools = lock(&self.addr_pools);
        let addr_pool = addr_pools.entry(addr.clone()).or_default();
        if addr_pool.in_use >= max {
            return Err(ConnectError::InUse(max));
        }
        addr_pool.in_use += 1;
        Ok(Lease {
            addr_pools: self.addr_pools.clone(),
            addr: addr.clone(),
        })
    }

    /// Takes the most recently used idle connection, so that surplus ones
    /// expire.
    fn pop_idle(&self, addr: &Arc<str>) -> Option<Connection> {
        lock(&self.addr_pools).get_mut(addr)?.idle.pop()
    }
}
