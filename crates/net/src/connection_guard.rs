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
    time::{Duration, Instant},
};

use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, FutureExt};
use smol::Timer;
use trillium_server_common::{Acceptor, Transport};

use policy::client_limits::{Activity, ClientLimits};

use crate::{
    client_budget::{BudgetExhausted, ClientAccount, ClientBudget, Component},
    request_framing::{FramingError, RequestFramer, HEAD_MAX_BYTES},
};

/// Start of every response as the HTTP library writes it.
const STATUS_LINE_START: &[u8] = b"HTTP/1.1 ";

/// Start of an interim response as the HTTP library writes it.
const INTERIM_STATUS: &[u8] = b"HTTP/1.1 100 ";

/// Bytes that may be received beyond the current request. A caller that sends
/// more is not read from until its response was written.
const AHEAD_MAX_BYTES: usize = 64 << 10;

/// Bytes of pipelined requests that need no room in the budget of all clients.
const AHEAD_FREE_BYTES: usize = 4 << 10;

/// Bytes of an incomplete head that need no room in the budget of all clients, and
/// the room that a longer one takes: it is kept here and by the HTTP library.
const HEAD_FREE_BYTES: usize = 4 << 10;
const HEAD_ROOM_BYTES: usize = 2 * HEAD_MAX_BYTES;

/// Fields of a head that need no room in the budget of all clients, and the room that
/// each further one takes: 140 heads with 2,200 fields each took 220 MiB of a gateway,
/// which keeps two maps of them.
const FIELDS_FREE: usize = 32;
const FIELD_ROOM_BYTES: usize = 800;

/// Fields of a head after which a connection ends with the response. The HTTP library
/// keeps the map of the fields, some 120 bytes each, for as long as the connection is
/// open, and an idle connection counts as 16 KiB.
const FIELDS_KEPT_MAX: usize = 128;

/// Bytes of a body, or of a response, that need no room in the budget of all clients,
/// as the buffers of a connection hold them.
const BODY_FREE_BYTES: u64 = 16 << 10;

/// Steps in which the room of a body of unknown length grows.
const CHUNKED_ROOM_BYTES: u64 = 64 << 10;

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
    /// The memory for requests of all clients is in use.
    NoMemory,
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

    /// Returns the time after which a stream that the caller does not read is ended:
    /// a response without a length, whose instance is at work meanwhile.
    fn stream_stall_timeout(&self) -> Duration {
        self.stall_timeout()
    }

    /// Returns the time without a byte after which a body is no longer awaited; `None`
    /// for no limit.
    fn body_timeout(&self) -> Option<Duration> {
        None
    }

    /// Returns the number of bytes of memory for a byte of a body.
    fn body_copies(&self) -> usize {
        1
    }

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
pub struct ConnectionGuard<P> {
    policy: Arc<P>,
    budget: Arc<ClientBudget>,
}

impl<P> ConnectionGuard<P> {
    /// Creates an acceptor that applies `policy` to each connection.
    pub fn new(policy: Arc<P>) -> Self {
        Self {
            policy,
            budget: ClientBudget::new(ClientLimits::UNLIMITED),
        }
    }

    /// Sets the budget of all clients, which the listeners of a process share.
    pub fn with_budget(mut self, budget: Arc<ClientBudget>) -> Self {
        self.budget = budget;
        self
    }
}

impl<P> Clone for ConnectionGuard<P> {
    fn clone(&self) -> Self {
        Self {
            policy: self.policy.clone(),
            budget: self.budget.clone(),
        }
    }
}

impl<T: Transport + Unpin + 'static, P: GuardPolicy> Acceptor<T> for ConnectionGuard<P> {
    type Output = GuardedConnection<T, P>;
    type Error = io::Error;

    async fn accept(&self, input: T) -> Result<Self::Output, Self::Error> {
        let account = self.budget.connect().map_err(io::Error::other)?;
        Ok(GuardedConnection {
            inner: Some(input),
            account: Some(account),
            policy: self.policy.clone(),
            framer: RequestFramer::new(),
            ahead: Vec::new(),
            phase: Phase::awaiting_request(),
            write_stall_timer: None,
            responses: 0,
            head_has_room: false,
            has_many_fields: false,
            body_room_bytes: 0,
            body_read_bytes: 0,
            body_read_at: None,
            has_length: false,
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
        /// Timeout of a body that stops, started by the first read of it that has to
        /// wait.
        body_timer: Option<Timer>,
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
            body_timer: None,
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
    /// What the client holds; `None` only once the connection is being dropped.
    account: Option<ClientAccount>,
    policy: Arc<P>,
    framer: RequestFramer,
    /// Bytes received beyond the current request.
    ahead: Vec<u8>,
    phase: Phase,
    /// Started when a write blocks; fires after [`GuardPolicy::stall_timeout`].
    write_stall_timer: Option<Timer>,
    /// Responses that were begun.
    responses: u32,
    /// Whether room is held for a long head.
    head_has_room: bool,
    /// Whether a head had more than [`FIELDS_KEPT_MAX`] fields.
    has_many_fields: bool,
    /// Room that is held for the body of the request, in bytes of the body.
    body_room_bytes: u64,
    /// Bytes of the body and its framing that were passed on.
    body_read_bytes: u64,
    /// Time of the last bytes of the body.
    body_read_at: Option<Instant>,
    /// Whether the response that is being written has a length.
    has_length: bool,
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
        if let Some(account) = &mut self.account {
            account.set_activity(Activity::Reading);
            if account.wake_on_eviction(cx.waker()) {
                return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
            }
        }
        let timeout = match self.has_length {
            true => self.policy.stall_timeout(),
            false => self.policy.stream_stall_timeout(),
        };
        let timer = self
            .write_stall_timer
            .get_or_insert_with(|| Timer::after(timeout));
        ready!(Pin::new(timer).poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Returns the error of a write that has blocked for the stall timeout. Checked
    /// before the next try, because the kernel takes some more bytes at times although
    /// the caller reads none.
    fn write_stall(&mut self, cx: &mut Context<'_>) -> Option<io::Error> {
        let timer = self.write_stall_timer.as_mut()?;
        // The write of a complete response is tried first: the kernel reports room
        // only once a third of its buffer is free, so that a client that reads
        // slowly would seem to have stopped.
        if self.has_length {
            return None;
        }
        let is_over = Pin::new(timer).poll(cx).is_ready();
        is_over.then(|| io::ErrorKind::TimedOut.into())
    }

    /// Records the result of a write of `bytes`: of the response, or of an interim
    /// response, after which the request goes on.
    fn on_written(&mut self, bytes: &[u8], wrote: &Poll<io::Result<usize>>) {
        let mut is_interim = false;
        let mut begins = false;
        if let Phase::Requesting { interim_bytes, .. } = &mut self.phase {
            if bytes.starts_with(INTERIM_STATUS) {
                *interim_bytes = bytes.len();
            } else if bytes.starts_with(STATUS_LINE_START) {
                *interim_bytes = 0;
            }
            is_interim = *interim_bytes > 0;
            begins = !is_interim;
            if let (true, Poll::Ready(Ok(count))) = (is_interim, wrote) {
                *interim_bytes = interim_bytes.saturating_sub(*count);
            }
        }
        if let (Poll::Ready(Ok(count)), Some(account)) = (wrote, &mut self.account) {
            account.on_moved(*count);
            // The client sends its body after an interim response.
            account.set_activity(match is_interim {
                true => Activity::Sending,
                false => Activity::Waiting,
            });
        }
        if begins {
            self.responses += 1;
            self.phase = Phase::Responding;
            self.on_response(bytes);
        }
    }

    /// Holds room for a response that has just begun with `bytes`.
    fn on_response(&mut self, bytes: &[u8]) {
        let length = response_length(bytes);
        self.has_length = length.is_some();
        let length = length.unwrap_or(0);
        if length > BODY_FREE_BYTES {
            let bytes = usize::try_from(length).unwrap_or(usize::MAX);
            if let Some(account) = &mut self.account {
                account.hold_used(Component::Responses, bytes);
            }
        }
    }

    /// Gives back what was held for a request and its response.
    fn end_request(&mut self) {
        self.head_has_room = false;
        self.body_room_bytes = 0;
        self.body_read_bytes = 0;
        self.body_read_at = None;
        let Some(account) = &mut self.account else {
            return;
        };
        account.release(Component::Heads);
        account.release(Component::Bodies);
        account.release(Component::Responses);
        account.begin(Activity::Idle);
    }

    fn hold(&mut self, component: Component, bytes: usize) -> Result<(), BudgetExhausted> {
        match &mut self.account {
            Some(account) => account.hold(component, bytes),
            None => Ok(()),
        }
    }

    /// Holds room for the part of the body that the next read may return. A declared
    /// length is held as a whole, so that a body is refused before it is read.
    fn hold_body(&mut self, read_max_bytes: usize) -> Result<(), BudgetExhausted> {
        let wanted_bytes = match self.framer.remaining_bytes() {
            Some(remaining) => self.body_read_bytes + remaining,
            None => self.body_read_bytes + read_max_bytes as u64,
        };
        if wanted_bytes <= self.body_room_bytes.max(BODY_FREE_BYTES) {
            return Ok(());
        }
        let room_bytes = match self.framer.remaining_bytes() {
            Some(_) => wanted_bytes,
            None => wanted_bytes.max(self.body_room_bytes + CHUNKED_ROOM_BYTES),
        };
        let added_bytes = usize::try_from(room_bytes - self.body_room_bytes).unwrap_or(usize::MAX);
        let copies = self.policy.body_copies();
        self.hold(Component::Bodies, added_bytes.saturating_mul(copies))?;
        self.body_room_bytes = room_bytes;
        Ok(())
    }

    /// Holds room for a head that is long or has many fields.
    fn hold_head(&mut self) -> Result<(), BudgetExhausted> {
        if self.framer.is_in_head() {
            let is_long = self.framer.head_bytes() > HEAD_FREE_BYTES;
            if is_long && !self.head_has_room {
                self.hold(Component::Heads, HEAD_ROOM_BYTES)?;
                self.head_has_room = true;
            }
            return Ok(());
        }
        self.has_many_fields |= self.framer.fields() > FIELDS_KEPT_MAX;
        match self.framer.fields().saturating_sub(FIELDS_FREE) {
            0 => Ok(()),
            fields => self.hold(Component::Heads, fields * FIELD_ROOM_BYTES),
        }
    }

    /// Advances the phase at a read that follows a response.
    fn on_read_after_response(&mut self) {
        match &self.phase {
            // Its memory is free once it is closed.
            Phase::Responding | Phase::Discarding { .. }
                if self.framer.is_complete() && self.has_many_fields =>
            {
                self.phase = Phase::Closing;
            }
            Phase::Responding | Phase::Discarding { .. } if self.framer.is_complete() => {
                self.framer = RequestFramer::new();
                self.phase = Phase::awaiting_request();
                self.end_request();
            }
            // The HTTP library does not skip such a body, and the caller may send it or
            // another request next.
            Phase::Responding if self.framer.withholds_body() => self.phase = Phase::Closing,
            Phase::Responding => {
                self.phase = Phase::Discarding {
                    timer: Timer::after(self.policy.head_timeout()),
                    discarded_bytes: 0,
                };
                self.end_request();
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
        let is_requesting = matches!(self.phase, Phase::Requesting { .. });
        let was_in_head = self.framer.is_in_head();
        if is_requesting && !was_in_head {
            self.hold_body(buf.len()).map_err(io::Error::other)?;
        }
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
        let was_unstarted = self.framer.is_unstarted();
        let received_bytes = self.framer.head_bytes() + count;
        let consumed = match self.framer.consume(&buf[..count]) {
            Ok(consumed) => consumed,
            Err(error) => return self.fail_framing(cx, error, received_bytes),
        };
        if from_ahead {
            self.ahead.drain(..consumed);
            self.release_ahead();
        } else {
            self.ahead.extend_from_slice(&buf[consumed..count]);
        }
        if is_requesting {
            self.on_received(consumed, was_unstarted, was_in_head);
            if was_in_head && self.hold_head().is_err() {
                self.reject(HeadRejection::NoMemory, received_bytes);
                return self.poll_rejection(cx);
            }
        }
        Poll::Ready(Ok(consumed))
    }

    /// Records bytes of the request that were passed on.
    fn on_received(&mut self, bytes: usize, was_unstarted: bool, was_in_head: bool) {
        if !was_in_head {
            self.body_read_bytes += bytes as u64;
            self.body_read_at = Some(Instant::now());
        }
        let Some(account) = &mut self.account else {
            return;
        };
        if self.framer.is_complete() {
            account.begin(Activity::Waiting);
        } else if was_unstarted && !self.framer.is_unstarted() {
            account.begin(Activity::Sending);
        } else {
            account.on_moved(bytes);
        }
    }

    /// Gives back the room of pipelined requests once they were passed on.
    fn release_ahead(&mut self) {
        if !self.ahead.is_empty() || self.ahead.capacity() <= AHEAD_FREE_BYTES {
            return;
        }
        self.ahead = Vec::new();
        if let Some(account) = &mut self.account {
            account.release(Component::Pipelined);
        }
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
    /// of the next request are kept, as far as there is room for them.
    fn poll_disconnect(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        while self.ahead.len() < AHEAD_MAX_BYTES {
            let is_long = self.ahead.len() > AHEAD_FREE_BYTES;
            let has_room = self.ahead.capacity() >= AHEAD_MAX_BYTES;
            if is_long && !has_room {
                if self.hold(Component::Pipelined, AHEAD_MAX_BYTES).is_err() {
                    // Not read until the response was written.
                    return Poll::Pending;
                }
                self.ahead.reserve_exact(AHEAD_MAX_BYTES);
            }
            let Some(inner) = &mut self.inner else {
                return Poll::Ready(Err(io::ErrorKind::NotConnected.into()));
            };
            let mut bytes = [0; 2048];
            match ready!(Pin::new(inner).poll_read(cx, &mut bytes))? {
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
            Phase::Requesting { body_timer, .. } if !self.framer.is_complete() => {
                let Some(timeout) = self.policy.body_timeout() else {
                    return Poll::Pending;
                };
                let timer = body_timer.get_or_insert_with(|| Timer::after(timeout));
                while Pin::new(&mut *timer).poll(cx).is_ready() {
                    let quiet = self.body_read_at.map_or(timeout, |at| at.elapsed());
                    if quiet >= timeout {
                        return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
                    }
                    timer.set_after(timeout - quiet);
                }
                Poll::Pending
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

    /// Reads on behalf of the HTTP library, within the timeouts.
    fn poll_read_guarded(
        &mut self,
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
        let read = self.poll_read_guarded(cx, buf);
        let is_evicted = match (&self.account, &read) {
            (Some(account), Poll::Pending) => account.wake_on_eviction(cx.waker()),
            (Some(account), Poll::Ready(_)) => account.is_evicted(),
            (None, _) => false,
        };
        match is_evicted {
            // A handler that reads a body refuses the request for the true reason.
            true => Poll::Ready(Err(io::Error::other(BudgetExhausted))),
            false => read,
        }
    }
}

impl<T: Transport + Unpin + 'static, P: GuardPolicy> AsyncWrite for GuardedConnection<T, P> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if let Some(error) = self.write_stall(cx) {
            return Poll::Ready(Err(error));
        }
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
        if let Some(error) = self.write_stall(cx) {
            return Poll::Ready(Err(error));
        }
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
        let account = self.account.take();
        if account.as_ref().is_some_and(ClientAccount::is_evicted) {
            return;
        }
        if let (true, Some(inner)) = (is_rejecting || has_unread, self.inner.take()) {
            async_global_executor::spawn(linger(inner, account)).detach();
        }
    }
}

/// Closes the sending direction and reads until the caller has closed the other
/// one, for a limited time and number of bytes. The connection counts meanwhile, and
/// nothing else of the client.
async fn linger<T: Transport + Unpin>(mut inner: T, mut account: Option<ClientAccount>) {
    if let Some(account) = &mut account {
        account.release_requests();
    }
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

/// Returns the length of a response whose head begins `bytes`; `None` if it has none
/// or its head is incomplete.
fn response_length(bytes: &[u8]) -> Option<u64> {
    let end = memchr::memmem::find(bytes, b"\r\n\r\n")?;
    let mut lines = bytes[..end].split(|byte| *byte == b'\n');
    lines.find_map(|line| {
        let colon = memchr::memchr(b':', line)?;
        let is_length = line[..colon].eq_ignore_ascii_case(b"content-length");
        let text = std::str::from_utf8(&line[colon + 1..]).ok()?;
        is_length.then(|| text.trim().parse().ok())?
    })
}
