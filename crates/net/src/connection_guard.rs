//! Owns the boundaries between the requests of a connection, and limits the
//! resources that a slow or stalled caller can hold.
//!
//! The HTTP library calls the handler only once a request head is complete, so
//! a head that never completes must be detected below it. The same applies to a
//! caller that does not read its response, which would otherwise hold a slot of
//! an upstream indefinitely.
//!
//! A handler may respond before the body was read. The guard therefore follows the
//! framing of each request and passes on the bytes of one request at a time: what
//! follows waits until the response was written, so that a body is never taken for
//! the head of another request.

use std::{
    borrow::Cow,
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{ready, Context, Poll},
    time::Duration,
};

use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, FutureExt};
use smol::Timer;
use trillium_server_common::{Acceptor, Transport};

use crate::request_framing::{FramingError, RequestFramer, HEAD_MAX_BYTES};

/// Start of every response as the HTTP library writes it.
const STATUS_LINE_START: &[u8] = b"HTTP/1.1 ";

/// Start of an interim response as the HTTP library writes it.
const INTERIM_STATUS: &[u8] = b"HTTP/1.1 100 ";

/// Bytes that may be received beyond the current request. A caller that sends
/// more is not read from until its response was written.
const AHEAD_MAX_BYTES: usize = 64 << 10;

/// Bytes of a request that are read and discarded after its response.
const DISCARD_MAX_BYTES: u64 = 16 << 20;

/// Time for which a closed connection is read from, so that unread bytes do not
/// reset it before the caller has received the response (RFC 9112, section 9.6).
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

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
    /// The end of the request can't be determined.
    Malformed {
        /// Description of the error.
        reason: &'static str,
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

impl<T: Transport + Unpin + 'static, P: GuardPolicy> Acceptor<T> for ConnectionGuard<P> {
    type Output = GuardedConnection<T, P>;
    type Error = io::Error;

    async fn accept(&self, input: T) -> Result<Self::Output, Self::Error> {
        Ok(GuardedConnection {
            inner: Some(input),
            policy: self.0.clone(),
            framer: RequestFramer::new(),
            ahead: Vec::new(),
            phase: Phase::awaiting_request(),
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
    /// A request is awaited or received, or its response has not begun.
    Requesting {
        /// Idle timeout, started by the first read that has to wait.
        idle_timer: Option<Timer>,
        /// Timeout of the head, started by its first byte.
        head_timer: Option<Timer>,
        /// Bytes of an interim response that are still to be written.
        interim_bytes: usize,
    },
    /// The response has begun. The HTTP library writes it to its end before it
    /// reads again.
    Responding,
    /// The response was written, and the rest of its request is discarded.
    Discarding { timer: Timer, discarded_bytes: u64 },
    /// The response to a rejected head is being written.
    Rejecting { response: Vec<u8>, written: usize },
    /// Nothing more is read.
    Closing,
}

impl Phase {
    fn awaiting_request() -> Self {
        Phase::Requesting {
            idle_timer: None,
            head_timer: None,
            interim_bytes: 0,
        }
    }
}

/// A connection that passes on one request at a time, with timeouts for idling,
/// request heads and response writes.
///
/// # Invariants
///
/// - Bytes beyond the current request are passed on only after its response.
/// - The guard writes only while a head is incomplete, so never between the bytes
///   of a response or in place of one.
pub struct GuardedConnection<T: Transport + Unpin + 'static, P> {
    /// `None` only once the connection is being dropped.
    inner: Option<T>,
    policy: Arc<P>,
    framer: RequestFramer,
    /// Bytes received beyond the current request.
    ahead: Vec<u8>,
    phase: Phase,
    /// Started when a write blocks; fires after [`GuardPolicy::stall_timeout`].
    write_stall_timer: Option<Timer>,
    /// Responses that were begun.
    responses: u32,
}

impl<T: Transport + Unpin + 'static, P: GuardPolicy> GuardedConnection<T, P> {
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

    /// Records the result of a write of `bytes`: of the response, or of an interim
    /// response, after which the request goes on.
    fn on_written(&mut self, bytes: &[u8], wrote: &Poll<io::Result<usize>>) {
        let Phase::Requesting { interim_bytes, .. } = &mut self.phase else {
            return;
        };
        if bytes.starts_with(INTERIM_STATUS) {
            *interim_bytes = bytes.len();
        } else if bytes.starts_with(STATUS_LINE_START) {
            *interim_bytes = 0;
        }
        if *interim_bytes == 0 {
            self.responses += 1;
            self.phase = Phase::Responding;
        } else if let Poll::Ready(Ok(count)) = wrote {
            *interim_bytes = interim_bytes.saturating_sub(*count);
        }
    }

    /// Advances the phase at a read that follows a response.
    fn on_read_after_response(&mut self) {
        match &self.phase {
            Phase::Responding | Phase::Discarding { .. } if self.framer.is_complete() => {
                self.framer = RequestFramer::new();
                self.phase = Phase::awaiting_request();
            }
            // The HTTP library does not skip such a body, and the caller may send it or
            // another request next.
            Phase::Responding if self.framer.withholds_body() => self.phase = Phase::Closing,
            Phase::Responding => {
                self.phase = Phase::Discarding {
                    timer: Timer::after(self.policy.head_timeout()),
                    discarded_bytes: 0,
                };
            }
            _ => {}
        }
    }

    /// Starts to write the response to a rejected head.
    fn reject(&mut self, rejection: HeadRejection, received_bytes: usize) {
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

    /// Reads bytes of the current request, with the surplus kept in `ahead`.
    fn poll_request(&mut self, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let from_ahead = !self.ahead.is_empty();
        let count = if from_ahead {
            let count = self.ahead.len().min(buf.len());
            buf[..count].copy_from_slice(&self.ahead[..count]);
            count
        } else {
            let Some(inner) = &mut self.inner else {
                return Poll::Ready(Err(io::ErrorKind::NotConnected.into()));
            };
            ready!(Pin::new(inner).poll_read(cx, buf))?
        };
        let received_bytes = self.framer.head_bytes() + count;
        let consumed = match self.framer.consume(&buf[..count]) {
            Ok(consumed) => consumed,
            Err(error) => return self.fail_framing(cx, error, received_bytes),
        };
        if from_ahead {
            self.ahead.drain(..consumed);
        } else {
            self.ahead.extend_from_slice(&buf[consumed..count]);
        }
        Poll::Ready(Ok(consumed))
    }

    /// Rejects a head whose framing is invalid; fails the read within a body.
    fn fail_framing(
        &mut self,
        cx: &mut Context<'_>,
        error: FramingError,
        received_bytes: usize,
    ) -> Poll<io::Result<usize>> {
        let is_in_request = matches!(self.phase, Phase::Requesting { .. });
        if !is_in_request || !self.framer.is_in_head() {
            self.phase = Phase::Closing;
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
        }
        let rejection = match error {
            FramingError::HeadTooLarge => HeadRejection::TooLarge {
                max_bytes: HEAD_MAX_BYTES,
            },
            FramingError::Malformed(reason) => HeadRejection::Malformed { reason },
        };
        self.reject(rejection, received_bytes);
        self.poll_rejection(cx)
    }

    /// Waits for the caller to disconnect while its request is in progress. Bytes
    /// of the next request are kept.
    fn poll_disconnect(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let Some(inner) = &mut self.inner else {
            return Poll::Ready(Err(io::ErrorKind::NotConnected.into()));
        };
        while self.ahead.len() < AHEAD_MAX_BYTES {
            let mut bytes = [0; 2048];
            match ready!(Pin::new(&mut *inner).poll_read(cx, &mut bytes))? {
                0 => return Poll::Ready(Ok(0)),
                count => self.ahead.extend_from_slice(&bytes[..count]),
            }
        }
        Poll::Pending
    }

    /// Returns `Ready` if no more bytes may be awaited: the connection has been
    /// idle for too long, or the rest of a request did not arrive in time. A head
    /// that is late is rejected.
    fn poll_read_timeout(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        match &mut self.phase {
            Phase::Requesting { idle_timer, .. } if self.framer.is_unstarted() => {
                let Some(timeout) = self.policy.idle_timeout() else {
                    return Poll::Pending;
                };
                let timer = idle_timer.get_or_insert_with(|| Timer::after(timeout));
                ready!(Pin::new(timer).poll(cx));
                Poll::Ready(Ok(0))
            }
            Phase::Requesting { head_timer, .. } if self.framer.is_in_head() => {
                let timeout = self.policy.head_timeout();
                let timer = head_timer.get_or_insert_with(|| Timer::after(timeout));
                ready!(Pin::new(timer).poll(cx));
                let timeout_ms = timeout.as_millis() as u64;
                let received_bytes = self.framer.head_bytes();
                self.reject(HeadRejection::TimedOut { timeout_ms }, received_bytes);
                self.poll_rejection(cx)
            }
            Phase::Discarding { timer, .. } => {
                ready!(Pin::new(timer).poll(cx));
                self.phase = Phase::Closing;
                Poll::Ready(Ok(0))
            }
            _ => Poll::Pending,
        }
    }

    /// Writes the rejection response, closes the connection and fails the read.
    fn poll_rejection(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let Phase::Rejecting { response, written } = &mut self.phase else {
            return Poll::Pending;
        };
        let Some(inner) = &mut self.inner else {
            return Poll::Ready(Err(io::ErrorKind::NotConnected.into()));
        };
        while *written < response.len() {
            let wrote = Pin::new(&mut *inner).poll_write(cx, &response[*written..]);
            *written += ready!(wrote)?;
        }
        ready!(Pin::new(inner).poll_close(cx))?;
        Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
    }

    /// Counts bytes that are discarded, and ends the connection above the limit.
    fn on_discarded(&mut self, count: usize) {
        if let Phase::Discarding {
            discarded_bytes, ..
        } = &mut self.phase
        {
            *discarded_bytes += count as u64;
            if *discarded_bytes > DISCARD_MAX_BYTES {
                self.phase = Phase::Closing;
            }
        }
    }
}

impl<T: Transport + Unpin + 'static, P: GuardPolicy> AsyncRead for GuardedConnection<T, P> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.on_read_after_response();
        match self.phase {
            Phase::Rejecting { .. } => return self.poll_rejection(cx),
            Phase::Closing => return Poll::Ready(Ok(0)),
            _ => {}
        }
        if self.framer.is_complete() {
            return self.poll_disconnect(cx);
        }
        let read = self.poll_request(cx, buf);
        match &read {
            Poll::Ready(Ok(count)) => self.on_discarded(*count),
            Poll::Ready(Err(_)) => {}
            Poll::Pending if matches!(self.phase, Phase::Rejecting { .. }) => {}
            Poll::Pending => return self.poll_read_timeout(cx),
        }
        read
    }
}

impl<T: Transport + Unpin + 'static, P: GuardPolicy> AsyncWrite for GuardedConnection<T, P> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Some(inner) = &mut self.inner else {
            return Poll::Ready(Err(io::ErrorKind::NotConnected.into()));
        };
        let wrote = Pin::new(inner).poll_write(cx, buf);
        self.on_written(buf, &wrote);
        self.fail_stalled_write(cx, wrote)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let Some(inner) = &mut self.inner else {
            return Poll::Ready(Err(io::ErrorKind::NotConnected.into()));
        };
        let wrote = Pin::new(inner).poll_write_vectored(cx, bufs);
        self.on_written(bufs.first().map_or(&[], |buf| &buf[..]), &wrote);
        self.fail_stalled_write(cx, wrote)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut self.inner {
            Some(inner) => Pin::new(inner).poll_flush(cx),
            None => Poll::Ready(Ok(())),
        }
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut self.inner {
            Some(inner) => Pin::new(inner).poll_close(cx),
            None => Poll::Ready(Ok(())),
        }
    }
}

impl<T: Transport + Unpin + 'static, P> Drop for GuardedConnection<T, P> {
    fn drop(&mut self) {
        let is_rejecting = matches!(self.phase, Phase::Rejecting { .. });
        let is_within_request = !self.framer.is_complete() && !self.framer.is_unstarted();
        let has_unread = self.responses > 0 && (is_within_request || !self.ahead.is_empty());
        if let (true, Some(inner)) = (is_rejecting || has_unread, self.inner.take()) {
            async_global_executor::spawn(linger(inner)).detach();
        }
    }
}

/// Closes the sending direction and reads until the caller has closed the other
/// one, for a limited time and number of bytes.
async fn linger<T: Transport + Unpin>(mut inner: T) {
    let discard = async {
        inner.close().await?;
        let mut bytes = vec![0; 8 << 10];
        let mut discarded_bytes = 0;
        while discarded_bytes <= DISCARD_MAX_BYTES {
            match inner.read(&mut bytes).await? {
                0 => break,
                count => discarded_bytes += count as u64,
            }
        }
        Ok::<(), io::Error>(())
    };
    let timed_out = async {
        Timer::after(LINGER_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    // The response is written; a caller that resets the connection has gone.
    if let Err(error) = discard.or(timed_out).await {
        log::debug!("closing a connection with unread bytes: {error}");
    }
}

impl<T: Transport + Unpin + 'static, P: GuardPolicy> Transport for GuardedConnection<T, P> {
    fn set_linger(&mut self, linger: Option<Duration>) -> io::Result<()> {
        match &mut self.inner {
            Some(inner) => inner.set_linger(linger),
            None => Ok(()),
        }
    }

    fn set_nodelay(&mut self, nodelay: bool) -> io::Result<()> {
        match &mut self.inner {
            Some(inner) => inner.set_nodelay(nodelay),
            None => Ok(()),
        }
    }

    fn set_ip_ttl(&mut self, ttl: u32) -> io::Result<()> {
        match &mut self.inner {
            Some(inner) => inner.set_ip_ttl(ttl),
            None => Ok(()),
        }
    }

    fn peer_addr(&self) -> io::Result<Option<SocketAddr>> {
        match &self.inner {
            Some(inner) => inner.peer_addr(),
            None => Ok(None),
        }
    }

    /// Keeps the server from accepting HTTP/2 with prior knowledge, whose frames
    /// the guard can't follow.
    fn negotiated_alpn(&self) -> Option<Cow<'_, [u8]>> {
        Some(Cow::Borrowed(b"http/1.1"))
    }
}
