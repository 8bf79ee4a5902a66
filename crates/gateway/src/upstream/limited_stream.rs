//! Transport that fails once an instance sends too many bytes that advance no
//! response.
//!
//! A faulty instance may send bytes without end: interim responses, a chunk size
//! padded with zeros or spaces. An HTTP parser consumes these without ever
//! reporting a result, so they are bounded below it.

use std::{
    io,
    pin::Pin,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    task::{ready, Context, Poll},
};

use futures_lite::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

/// Number of bytes read since the response last advanced, shared between a
/// connection's transport and its user.
#[derive(Clone, Debug, Default)]
pub(super) struct UnproductiveBytes(Arc<AtomicUsize>);

impl UnproductiveBytes {
    /// Records that the response advanced: a head or body data was received, or
    /// a new request begins.
    pub(super) fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    /// Adds received bytes and returns the sum.
    fn add(&self, bytes: usize) -> usize {
        self.0.fetch_add(bytes, Ordering::Relaxed) + bytes
    }
}

/// TCP stream whose reads fail after `max_bytes` unproductive bytes.
#[derive(Debug)]
pub(super) struct LimitedStream {
    stream: TcpStream,
    max_bytes: usize,
    unproductive: UnproductiveBytes,
}

impl LimitedStream {
    pub(super) fn new(
        stream: TcpStream,
        max_bytes: usize,
        unproductive: UnproductiveBytes,
    ) -> Self {
        Self {
            stream,
            max_bytes,
            unproductive,
        }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read_bytes = ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if self.unproductive.add(read_bytes) > self.max_bytes {
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::InvalidData,
                format!(
                    "the instance sent more than {} bytes that advance no response",
                    self.max_bytes
                ),
            )));
        }
        Poll::Ready(Ok(read_bytes))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
