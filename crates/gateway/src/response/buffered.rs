//! Reads a complete response before any of it is relayed.
//!
//! Load pattern: a faulty upstream sends bodies without end to hundreds of
//! callers at once. Each response may take a little memory; all that exceed it
//! share a bounded pool, so that the process stays within its machine's memory.

use std::{
    future::poll_fn,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
};

use http::HeaderMap;
use net::ClientBudget;

use crate::upstream::{ExchangeError, Response};

/// Maximum size of a buffered response, in bytes. Responses of plain services
/// have some kilobytes; the smallest machines have 88 MB of memory in total.
const RESPONSE_MAX_BYTES: usize = 4 << 20;

/// Part of a response body that needs no room in the [`LargeBodyPool`], in
/// bytes.
const SMALL_BODY_BYTES: usize = 64 << 10;

/// Memory for the bodies of all responses beyond [`SMALL_BODY_BYTES`] each, in
/// bytes.
const LARGE_BODY_POOL_BYTES: usize = 16 << 20;

/// Accounts for the memory of large response bodies that are being read. None grows
/// while callers hold more than they may, as those that read slowly can.
#[derive(Debug)]
pub(crate) struct LargeBodyPool {
    used_bytes: AtomicUsize,
    clients: Arc<ClientBudget>,
}

impl LargeBodyPool {
    pub(crate) fn new(clients: Arc<ClientBudget>) -> Self {
        Self {
            used_bytes: AtomicUsize::new(0),
            clients,
        }
    }
}

/// Memory taken from a [`LargeBodyPool`] by one response, returned on drop.
struct LargeBody<'a> {
    pool: &'a LargeBodyPool,
    taken_bytes: usize,
}

impl LargeBody<'_> {
    /// Takes as much memory as a body of `body_bytes` needs in total. Returns
    /// whether the pool has that much left.
    fn grow(&mut self, body_bytes: usize) -> bool {
        let needed_bytes = body_bytes.saturating_sub(SMALL_BODY_BYTES);
        let added_bytes = needed_bytes.saturating_sub(self.taken_bytes);
        if added_bytes > 0 && self.pool.clients.is_exceeded() {
            return false;
        }
        let used_bytes = &self.pool.used_bytes;
        let before_bytes = used_bytes.fetch_add(added_bytes, Ordering::Relaxed);
        if before_bytes + added_bytes > LARGE_BODY_POOL_BYTES {
            used_bytes.fetch_sub(added_bytes, Ordering::Relaxed);
            return false;
        }
        self.taken_bytes += added_bytes;
        true
    }
}

impl Drop for LargeBody<'_> {
    fn drop(&mut self) {
        self.pool
            .used_bytes
            .fetch_sub(self.taken_bytes, Ordering::Relaxed);
    }
}

/// Complete response of an instance.
#[derive(Debug)]
pub(crate) struct BufferedResponse {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Vec<u8>,
}

/// Error in reading a complete response body.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BodyError {
    /// The connection failed before the end of the body.
    #[error("response body truncated after {read_bytes} bytes: {error}")]
    Truncated {
        /// Number of body bytes read before the error.
        read_bytes: usize,
        /// Error of the connection.
        error: ExchangeError,
    },
    /// The body exceeds [`RESPONSE_MAX_BYTES`].
    #[error("response body is larger than {RESPONSE_MAX_BYTES} bytes")]
    TooLarge,
    /// The [`LargeBodyPool`] is exhausted.
    #[error(
        "response body has {read_bytes} bytes so far, and the {LARGE_BODY_POOL_BYTES} bytes for \
         large bodies are in use"
    )]
    PoolExhausted {
        /// Number of body bytes read before the error.
        read_bytes: usize,
    },
}

/// Reads the body to the end that its HTTP framing defines.
///
/// # Errors
///
/// [`BodyError`] if the body is truncated or too large.
pub(crate) async fn read_response_body(
    response: &mut Response,
    pool: &LargeBodyPool,
) -> Result<Vec<u8>, BodyError> {
    let mut body = Vec::new();
    let mut large_body = LargeBody {
        pool,
        taken_bytes: 0,
    };
    while let Some(data) = poll_fn(|cx| response.poll_data(cx)).await {
        let data = data.map_err(|error| BodyError::Truncated {
            read_bytes: body.len(),
            error,
        })?;
        if body.len() + data.len() > RESPONSE_MAX_BYTES {
            return Err(BodyError::TooLarge);
        }
        if !large_body.grow(body.len() + data.len()) {
            return Err(BodyError::PoolExhausted {
                read_bytes: body.len(),
            });
        }
        body.extend_from_slice(&data);
    }
    Ok(body)
}
