//! Transport to an instance that fails where an HTTP parser would accept a faulty
//! response.
//!
//! A faulty instance may send bytes without end: interim responses, a chunk size
//! padded with zeros or spaces. A parser consumes these without ever reporting a
//! result, so they are bounded below it.
//!
//! A response without a length ends with its connection. If the instance ends the
//! connection before it has received the request, it broke off, and its response must
//! not count as complete. Buffers on the way may take the rest of the request before the
//! end arrives, so a response that began before the request was sent can't end so either.

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

use super::request_body::UploadState;

/// Number of bytes that are written without a look for the response, so that an early one
/// is noticed, and other tasks of the thread have their turn. The HTTP library writes a
/// whole body in one poll where the instance reads as fast.
const WRITTEN_IN_TURN_MAX_BYTES: usize = 256 << 10;

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

/// TCP stream whose reads fail after `max_bytes` unproductive bytes, and instead of
/// reporting an end of the connection if the response began, or the connection ends, before
/// all that was written has been sent.
#[derive(Debug)]
pub(super) struct InstanceStream {
    stream: TcpStream,
    max_bytes: usize,
    unproductive: UnproductiveBytes,
    upload: UploadState,
    /// Whether the user of the stream has more to write of what it has buffered, or a
    /// write failed. The error of a reset is reported only once: after a write reported
    /// it, reads see a clean end.
    is_write_pending: bool,
    /// Number of bytes written since the last read or pause.
    written_in_turn_bytes: usize,
}

impl InstanceStream {
    pub(super) fn new(
        stream: TcpStream,
        max_bytes: usize,
        unproductive: UnproductiveBytes,
        upload: UploadState,
    ) -> Self {
        Self {
            stream,
            max_bytes,
            unproductive,
            upload,
            is_write_pending: false,
            written_in_turn_bytes: 0,
        }
    }
}

impl AsyncRead for InstanceStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.written_in_turn_bytes = 0;
        let read_bytes = ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let is_sending = self.is_write_pending || self.upload.has_unsent();
        if is_sending && read_bytes > 0 {
            self.upload.on_early_response();
        }
        let breaks_off = is_sending || self.upload.was_responded_early();
        if read_bytes == 0 && !buf.is_empty() && breaks_off {
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::ConnectionAborted,
                "the instance ended the connection before it had received the request",
            )));
        }
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

impl AsyncWrite for InstanceStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.is_write_pending = true;
        if self.written_in_turn_bytes >= WRITTEN_IN_TURN_MAX_BYTES {
            self.written_in_turn_bytes = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let written_bytes = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.written_in_turn_bytes += written_bytes;
        Poll::Ready(Ok(written_bytes))
    }

    /// Called once all that is buffered was written.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.is_write_pending = false;
        Poll::Ready(Ok(()))
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
