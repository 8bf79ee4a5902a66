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
    sync::Arc,
    task::{ready, Context, Poll},
    time::Duration,
};

use futures_lite::{AsyncRead, AsyncWrite};
use memchr::memmem;
use smol::Timer;
use trillium_server_common::{Acceptor, Transport};

/// End of a request's head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Largest head that is handed on, in bytes; smaller ones that are still too
/// large are answered by a filter.
const HEAD_MAX_BYTES: usize = 48 << 10;

/// Why a head is not handed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadRejection {
    /// It did not end in time.
    TimedOut {
        /// The time it had, in milliseconds.
        timeout_ms: u64,
    },
    /// It has more bytes than are ever handed on.
    TooLarge {
        /// The bound, in bytes.
        max_bytes: usize,
    },
}

/// What a listener allows its callers. Read anew for each connection and
/// head, so that it may follow a configuration.
pub trait GuardPolicy: Send + Sync + 'static {
    /// Time for a head, from its first byte.
    fn head_timeout(&self) -> Duration;

    /// Longest wait for the next request on a kept connection, if bounded.
    fn idle_timeout(&self) -> Option<Duration>;

    /// Longest wait for a caller that takes nothing of its answer.
    fn stall_timeout(&self) -> Duration;

    /// The answer to a refused head, as it goes over the connection.
    fn rejection_response(&self, rejection: HeadRejection) -> Vec<u8>;
}

/// Guards each accepted connection.
#[derive(Debug)]
pub struct ConnectionGuard<P>(Arc<P>);

impl<P> ConnectionGuard<P> {
    /// Makes a guard that keeps to `policy`.
    pub fn new(policy: Arc<P>) -> Self {
        Self(policy)
    }
}

impl<P> Clone for ConnectionGuard<P> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<T: Transport + 'static, P: GuardPolicy> Acceptor<T> for ConnectionGuard<P> {
    type Output = GuardedConnection<T, P>;
    type Error = io::Error;

    async fn accept(&self, input: T) -> Result<Self::Output, Self::Error> {
        Ok(GuardedConnection {
            inner: input,
            policy: self.0.clone(),
            phase: Phase::idle(),
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
    Idle {
        /// Started when the wait is first seen.
        timer: Option<Timer>,
    },
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

impl Phase {
    fn idle() -> Self {
        Phase::Idle { timer: None }
    }
}

/// A connection under guard.
pub struct GuardedConnection<T, P> {
    inner: T,
    policy: Arc<P>,
    phase: Phase,
    /// Runs out when the caller has taken nothing for too long.
    stalled: Option<Timer>,
}

impl<T: Transport, P: GuardPolicy> GuardedConnection<T, P> {
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
        let timeout = self.policy.stall_timeout();
        let timer = self.stalled.get_or_insert_with(|| Timer::after(timeout));
        ready!(Pin::new(timer).poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    fn on_read(&mut self, bytes: &[u8]) {
        if matches!(self.phase, Phase::Idle { .. }) {
            self.phase = Phase::Head {
                timer: Timer::after(self.policy.head_timeout()),
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
            self.reject(HeadRejection::TooLarge {
                max_bytes: HEAD_MAX_BYTES,
            });
        }
    }

    fn reject(&mut self, rejection: HeadRejection) {
        self.phase = Phase::Telling {
            answer: self.policy.rejection_response(rejection),
            written: 0,
        };
    }

    /// Ready once the head has taken too long.
    fn poll_late(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Phase::Head { timer, .. } = &mut self.phase else {
            return Poll::Pending;
        };
        ready!(Pin::new(timer).poll(cx));
        let timeout_ms = self.policy.head_timeout().as_millis() as u64;
        self.reject(HeadRejection::TimedOut { timeout_ms });
        Poll::Ready(())
    }

    /// Ready once a kept connection has been idle for too long.
    fn poll_idle(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Phase::Idle { timer } = &mut self.phase else {
            return Poll::Pending;
        };
        let Some(timeout) = self.policy.idle_timeout() else {
            return Poll::Pending;
        };
        let timer = timer.get_or_insert_with(|| Timer::after(timeout));
        ready!(Pin::new(timer).poll(cx));
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

impl<T: Transport, P: GuardPolicy> AsyncRead for GuardedConnection<T, P> {
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
        if read.is_pending() && self.poll_idle(cx).is_ready() {
            return Poll::Ready(Ok(0));
        }
        let late = read.is_pending() && self.poll_late(cx).is_ready();
        if late || matches!(self.phase, Phase::Telling { .. }) {
            return self.poll_tell(cx);
        }
        read
    }
}

impl<T: Transport, P: GuardPolicy> AsyncWrite for GuardedConnection<T, P> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.phase = Phase::idle();
        let wrote = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.watch_write(cx, wrote)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.phase = Phase::idle();
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

impl<T: Transport, P: GuardPolicy> Transport for GuardedConnection<T, P> {
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
