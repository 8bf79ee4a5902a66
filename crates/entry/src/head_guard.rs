//! Bounds what a caller may hold by being slow, on its connection.
//!
//! The HTTP library hands a request on once its head is complete, so a caller
//! that never completes one is only seen here; so is one that takes nothing of
//! its answer, which would otherwise hold an upstream's slot for ever.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    task::{ready, Context, Poll},
    time::Duration,
};

use futures_lite::{AsyncRead, AsyncWrite};
use memchr::memmem;
use smol::Timer;
use trillium_server_common::{Acceptor, Transport};
use types::{ErrorCode, RequestId};

use crate::{
    failure::{Failure, REQUEST_ID_HEADER},
    filters::request_id,
};

/// End of a request's head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Largest head that is handed on, in bytes; smaller ones that are still too
/// large are answered by a filter.
const HEAD_MAX_BYTES: usize = 48 << 10;

/// Guards each accepted connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeadGuard {
    timeout: Duration,
}

impl HeadGuard {
    /// Makes a guard that gives each head `timeout` from its first byte.
    pub(crate) fn new(timeout: Duration) -> Self {
        Self { timeout }
    }
}

impl<T: Transport + 'static> Acceptor<T> for HeadGuard {
    type Output = Guarded<T>;
    type Error = io::Error;

    async fn accept(&self, input: T) -> Result<Self::Output, Self::Error> {
        Ok(Guarded {
            inner: input,
            timeout: self.timeout,
            phase: Phase::Idle,
            stalled: None,
        })
    }

    fn is_secure(&self) -> bool {
        false
    }
}

/// Where a connection is in the exchange of requests and answers.
enum Phase {
    /// Waiting for the first byte of a head.
    Idle,
    /// A head is coming in.
    Head {
        timer: Timer,
        /// The last bytes, in case the end straddles two reads.
        tail: Vec<u8>,
        size_bytes: usize,
    },
    /// The head is complete; the answer has not begun.
    Handed,
    /// The caller is told why its head is refused.
    Telling { answer: Vec<u8>, written: usize },
}

/// A connection under guard.
pub(crate) struct Guarded<T> {
    inner: T,
    timeout: Duration,
    phase: Phase,
    /// Runs out when the caller has taken nothing for too long.
    stalled: Option<Timer>,
}

impl<T: Transport> Guarded<T> {
    /// Fails a write that has waited too long for the caller.
    fn watch_write<R>(
        &mut self,
        cx: &mut Context<'_>,
        wrote: Poll<io::Result<R>>,
    ) -> Poll<io::Result<R>> {
        if wrote.is_ready() {
            self.stalled = None;
            return wrote;
        }
        let timeout = self.timeout;
        let timer = self.stalled.get_or_insert_with(|| Timer::after(timeout));
        ready!(Pin::new(timer).poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    fn on_read(&mut self, bytes: &[u8]) {
        if matches!(self.phase, Phase::Idle) {
            self.phase = Phase::Head {
                timer: Timer::after(self.timeout),
                tail: Vec::new(),
                size_bytes: 0,
            };
        }
        let Phase::Head {
            tail, size_bytes, ..
        } = &mut self.phase
        else {
            return;
        };
        *size_bytes += bytes.len();
        let size_bytes = *size_bytes;
        if ends_head(tail, bytes) {
            self.phase = Phase::Handed;
        } else if size_bytes > HEAD_MAX_BYTES {
            self.refuse(Failure::not_run(
                ErrorCode::HeadersTooLarge,
                format!("send a request head of at most {HEAD_MAX_BYTES} bytes"),
            ));
        }
    }

    fn refuse(&mut self, failure: Failure) {
        self.phase = Phase::Telling {
            answer: raw_answer(&failure, &request_id::from_header(None)),
            written: 0,
        };
    }

    /// Ready once the head has taken too long.
    fn poll_late(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Phase::Head { timer, .. } = &mut self.phase else {
            return Poll::Pending;
        };
        ready!(Pin::new(timer).poll(cx));
        let timeout_ms = self.timeout.as_millis();
        self.refuse(Failure::not_run(
            ErrorCode::RequestTimeout,
            format!("send the whole request within {timeout_ms} ms"),
        ));
        Poll::Ready(())
    }

    fn poll_tell(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let Phase::Telling { answer, written } = &mut self.phase else {
            return Poll::Pending;
        };
        while *written < answer.len() {
            let wrote = Pin::new(&mut self.inner).poll_write(cx, &answer[*written..]);
            *written += ready!(wrote)?;
        }
        ready!(Pin::new(&mut self.inner).poll_close(cx))?;
        Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
    }
}

impl<T: Transport> AsyncRead for Guarded<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if matches!(self.phase, Phase::Telling { .. }) {
            return self.poll_tell(cx);
        }
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        if let Poll::Ready(Ok(count)) = read {
            if count > 0 {
                self.on_read(&buf[..count]);
            }
        }
        let late = read.is_pending() && self.poll_late(cx).is_ready();
        if late || matches!(self.phase, Phase::Telling { .. }) {
            return self.poll_tell(cx);
        }
        read
    }
}

impl<T: Transport> AsyncWrite for Guarded<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.phase = Phase::Idle;
        let wrote = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.watch_write(cx, wrote)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.phase = Phase::Idle;
        let wrote = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.watch_write(cx, wrote)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}

impl<T: Transport> Transport for Guarded<T> {
    fn set_linger(&mut self, linger: Option<Duration>) -> io::Result<()> {
        self.inner.set_linger(linger)
    }

    fn set_nodelay(&mut self, nodelay: bool) -> io::Result<()> {
        self.inner.set_nodelay(nodelay)
    }

    fn set_ip_ttl(&mut self, ttl: u32) -> io::Result<()> {
        self.inner.set_ip_ttl(ttl)
    }

    fn peer_addr(&self) -> io::Result<Option<SocketAddr>> {
        self.inner.peer_addr()
    }
}

/// Whether `bytes`, which follow `tail`, complete the head. Keeps the new tail.
fn ends_head(tail: &mut Vec<u8>, bytes: &[u8]) -> bool {
    let border = bytes.len().min(HEAD_END.len() - 1);
    tail.extend_from_slice(&bytes[..border]);
    let ends = memmem::find(tail, HEAD_END).is_some() || memmem::find(bytes, HEAD_END).is_some();
    tail.extend_from_slice(&bytes[border..]);
    let kept = tail.len().saturating_sub(HEAD_END.len() - 1);
    tail.drain(..kept);
    ends
}

/// The answer as it goes over the connection, which is closed after it.
fn raw_answer(failure: &Failure, request_id: &RequestId) -> Vec<u8> {
    let status = failure.code.http_status();
    let body = serde_json::to_string(&failure.body(request_id)).unwrap_or_default();
    let length = body.len();
    format!(
        "HTTP/1.1 {status} Refused\r\nconnection: close\r\ncontent-type: application/json\r\n\
         {REQUEST_ID_HEADER}: {request_id}\r\ncontent-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}
