//! Limits the resources that a slow or stalled caller can hold, by timeouts at
//! the transport level.
//!
//! The HTTP library calls the handler only once a request head is complete, so
//! a head that never completes must be detected below it. The same applies to a
//! caller that does not read its response, which would otherwise hold a slot of
//! an upstream indefinitely.

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

/// Terminator of a request head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Maximum size of a request head that is passed to the HTTP library, in bytes.
/// Request handlers reject smaller heads that exceed a configured limit.
const HEAD_MAX_BYTES: usize = 48 << 10;

/// Reason for rejecting a request head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadRejection {
    /// The head was not complete within the timeout.
    TimedOut {
        /// [`GuardPolicy::head_timeout`] at the time of the rejection, in
        /// milliseconds.
        timeout_ms: u64,
    },
    /// The head exceeds the maximum size for any configuration.
    TooLarge {
        /// Maximum size of a head, in bytes.
        max_bytes: usize,
    },
}

/// Timeouts and rejection responses of a listener. Evaluated for each
/// connection and head, so that changes of the configuration take effect
/// immediately.
pub trait GuardPolicy: Send + Sync + 'static {
    /// Returns the timeout for a complete head, counted from its first byte.
    fn head_timeout(&self) -> Duration;

    /// Returns the timeout for the first byte of a request on an idle
    /// connection; `None` for no limit.
    fn idle_timeout(&self) -> Option<Duration>;

    /// Returns the time after which a response write without progress fails.
    fn stall_timeout(&self) -> Duration;

    /// Returns the raw HTTP response to a rejected head. The connection is
    /// closed after it.
    fn rejection_response(&self, rejection: HeadRejection) -> Vec<u8>;

    /// Records that a head was rejected.
    fn on_rejected(&self, rejection: HeadRejection, context: RejectionContext);
}

/// What preceded the rejection of a head on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RejectionContext {
    /// Bytes of the head that were received.
    pub received_bytes: usize,
    /// Responses that were begun on the connection before.
    pub responses_before: u32,
}

/// Acceptor that wraps each accepted connection in a [`GuardedConnection`].
#[derive(Debug)]
pub struct ConnectionGuard<P>(Arc<P>);

impl<P> ConnectionGuard<P> {
    /// Creates an acceptor that applies `policy` to each connection.
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
            write_stall_timer: None,
            responses: 0,
        })
    }

    fn is_secure(&self) -> bool {
        false
    }
}

/// State of a connection in its request and response cycle.
enum Phase {
    /// Waiting for the first byte of a request head.
    Idle {
        /// Idle timeout, started by the first read that has to wait.
        timer: Option<Timer>,
    },
    /// A request head is being received.
    ReadingHead {
        timer: Timer,
        /// Last bytes of the head, as the terminator may span two reads.
        tail: Vec<u8>,
        size_bytes: usize,
    },
    /// The head is complete and the response has not begun.
    HeadComplete,
    /// The response to a rejected head is being written.
    Rejecting { response: Vec<u8>, written: usize },
}

impl Phase {
    fn idle() -> Self {
        Phase::Idle { timer: None }
    }
}

/// A connection with timeouts for idling, request heads and response writes.
pub struct GuardedConnection<T, P> {
    inner: T,
    policy: Arc<P>,
    phase: Phase,
    /// Started when a write blocks; fires after [`GuardPolicy::stall_timeout`].
    write_stall_timer: Option<Timer>,
    /// Responses that were begun.
    responses: u32,
}

impl<T: Transport, P: GuardPolicy> GuardedConnection<T, P> {
    /// Replaces the result of a write that has blocked for the stall timeout by
    /// an error.
    fn fail_stalled_write<R>(
        &mut self,
        cx: &mut Context<'_>,
        wrote: Poll<io::Result<R>>,
    ) -> Poll<io::Result<R>> {
        if wrote.is_ready() {
            self.write_stall_timer = None;
            return wrote;
        }
        let timeout = self.policy.stall_timeout();
        let timer = self
            .write_stall_timer
            .get_or_insert_with(|| Timer::after(timeout));
        ready!(Pin::new(timer).poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Advances the state by the bytes that were read.
    fn on_read(&mut self, bytes: &[u8]) {
        if matches!(self.phase, Phase::Idle { .. }) {
            self.phase = Phase::ReadingHead {
                timer: Timer::after(self.policy.head_timeout()),
                tail: Vec::new(),
                size_bytes: 0,
            };
        }
        let Phase::ReadingHead {
            tail, size_bytes, ..
        } = &mut self.phase
        else {
            return;
        };
        *size_bytes += bytes.len();
        let size_bytes = *size_bytes;
        if completes_head(tail, bytes) {
            self.phase = Phase::HeadComplete;
        } else if size_bytes > HEAD_MAX_BYTES {
            self.reject(HeadRejection::TooLarge {
                max_bytes: HEAD_MAX_BYTES,
            });
        }
    }

    /// Records that the response is being written.
    fn begin_response(&mut self) {
        if !matches!(self.phase, Phase::Idle { .. }) {
            self.responses += 1;
        }
        self.phase = Phase::idle();
    }

    /// Starts to write the response to a rejected head.
    fn reject(&mut self, rejection: HeadRejection) {
        let received_bytes = match self.phase {
            Phase::ReadingHead { size_bytes, .. } => size_bytes,
            _ => 0,
        };
        let context = RejectionContext {
            received_bytes,
            responses_before: self.responses,
        };
        self.policy.on_rejected(rejection, context);
        self.phase = Phase::Rejecting {
            response: self.policy.rejection_response(rejection),
            written: 0,
        };
    }

    /// Returns `Ready` once the head timeout has expired, and then rejects the
    /// head.
    fn poll_head_timeout(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Phase::ReadingHead { timer, .. } = &mut self.phase else {
            return Poll::Pending;
        };
        ready!(Pin::new(timer).poll(cx));
        let timeout_ms = self.policy.head_timeout().as_millis() as u64;
        self.reject(HeadRejection::TimedOut { timeout_ms });
        Poll::Ready(())
    }

    /// Returns `Ready` once the idle timeout of the connection has expired.
    fn poll_idle_timeout(&mut self, cx: &mut Context<'_>) -> Poll<()> {
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

    /// Writes the rejection response, closes the connection and fails the read.
    fn poll_rejection(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let Phase::Rejecting { response, written } = &mut self.phase else {
            return Poll::Pending;
        };
        while *written < response.len() {
            let wrote = Pin::new(&mut self.inner).poll_write(cx, &response[*written..]);
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
        if matches!(self.phase, Phase::Rejecting { .. }) {
            return self.poll_rejection(cx);
        }
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        if let Poll::Ready(Ok(count)) = read {
            if count > 0 {
                self.on_read(&buf[..count]);
            }
        }
        if read.is_pending() && self.poll_idle_timeout(cx).is_ready() {
            return Poll::Ready(Ok(0));
        }
        let timed_out = read.is_pending() && self.poll_head_timeout(cx).is_ready();
        if timed_out || matches!(self.phase, Phase::Rejecting { .. }) {
            return self.poll_rejection(cx);
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
        self.begin_response();
        let wrote = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.fail_stalled_write(cx, wrote)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.begin_response();
        let wrote = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.fail_stalled_write(cx, wrote)
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

/// Returns whether `bytes`, which follow `tail`, contain the end of the head,
/// and updates `tail`.
fn completes_head(tail: &mut Vec<u8>, bytes: &[u8]) -> bool {
    let split = bytes.len().min(HEAD_END.len() - 1);
    tail.extend_from_slice(&bytes[..split]);
    let found = memmem::find(tail, HEAD_END).is_some() || memmem::find(bytes, HEAD_END).is_some();
    tail.extend_from_slice(&bytes[split..]);
    let excess = tail.len().saturating_sub(HEAD_END.len() - 1);
    tail.drain(..excess);
    found
}
