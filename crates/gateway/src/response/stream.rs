//! Body of a streamed response. If its instance fails, the stream resumes on
//! another one where the route allows it.

use std::{
    future::Future,
    io,
    pin::Pin,
    task::{ready, Context, Poll},
    time::Duration,
};

use futures_lite::AsyncRead;
use smol::Timer;
use telemetry::{emit, events::GatewayEvent};

use super::EventBuffer;
use crate::{
    attempt::{Exchange, Session},
    failure::Failure,
};

/// Time without data after which a stream checks whether its instance is still
/// reachable, and interval of further checks. Must be well below the two
/// seconds without an event after which callers disconnect.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(600);

/// Factor by which the number of events may exceed the number of tokens that the
/// caller allows. Each event holds at least one token.
const EVENTS_PER_TOKEN_MAX: u32 = 2;

/// Events that any stream may have in addition, such as comments and the end
/// marker.
const EXTRA_EVENTS_MAX: u32 = 64;

/// A stream whose first event has arrived.
pub(crate) struct OpenedStream {
    pub(crate) session: Session,
    pub(crate) exchange: Exchange,
    pub(crate) events: EventBuffer,
}

/// Future that resumes the stream on another instance. Returns the session
/// together with the new exchange or the failure.
type ResumeFuture =
    Pin<Box<dyn Future<Output = (Session, Result<(Exchange, EventBuffer), Failure>)> + Send>>;

/// State of a stream, which determines where its next events come from.
enum Source {
    /// An instance is sending events.
    Active(Box<(Session, Exchange)>),
    /// The stream failed and is being resumed on another instance.
    Resuming(ResumeFuture),
    /// The response was received completely.
    Complete(Box<Session>),
    /// The stream failed and can't be resumed.
    Failed,
}

/// Response body that relays events to the caller.
///
/// # Invariants
///
/// The body ends cleanly only after a complete response; otherwise it fails
/// after the last complete event.
pub(crate) struct StreamBody {
    source: Source,
    events: EventBuffer,
    /// Fires at the deadline of the request.
    deadline: Timer,
    /// Completes when the process has to stop.
    requests_ended: Pin<Box<dyn Future<Output = ()> + Send>>,
    /// Fires after [`STALL_CHECK_INTERVAL`] without data.
    stall_timer: Timer,
    /// Whether the server had the chance to write out the last events before
    /// the body fails.
    flushed: bool,
    /// Whether the end of the body was reported to the server.
    delivered: bool,
}

impl StreamBody {
    pub(crate) fn new(opened: OpenedStream) -> Self {
        let remaining = opened.session.remaining();
        let app = opened.session.app.clone();
        Self {
            requests_ended: Box::pin(async move { app.lifecycle.requests_ended().await }),
            source: Source::Active(Box::new((opened.session, opened.exchange))),
            events: opened.events,
            deadline: Timer::after(remaining),
            stall_timer: Timer::after(STALL_CHECK_INTERVAL),
            flushed: false,
            delivered: false,
        }
    }

    /// Advances the stream until events are ready, or it is complete or failed.
    fn poll_source(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            if !self.events.ready().is_empty() {
                return Poll::Ready(());
            }
            if Pin::new(&mut self.deadline).poll(cx).is_ready() {
                self.abort("the request deadline has passed");
            }
            if self.is_ended(cx) {
                self.abort("this process has to stop");
            }
            match &mut self.source {
                Source::Complete(_) | Source::Failed => return Poll::Ready(()),
                Source::Active(_) => ready!(self.poll_active(cx)),
                Source::Resuming(_) => ready!(self.poll_resuming(cx)),
            }
        }
    }

    /// Returns whether the process has to stop before the stream is complete.
    fn is_ended(&mut self, cx: &mut Context<'_>) -> bool {
        let is_open = matches!(self.source, Source::Active(_) | Source::Resuming(_));
        is_open && self.requests_ended.as_mut().poll(cx).is_ready()
    }

    /// Reads from the instance; on a stall or an error, resumes the stream on
    /// another one if allowed.
    fn poll_active(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Source::Active(active) = &mut self.source else {
            return Poll::Ready(());
        };
        let (session, exchange) = active.as_mut();
        let data = match exchange.poll_data(cx) {
            Poll::Ready(data) => data,
            Poll::Pending => {
                ready!(Pin::new(&mut self.stall_timer).poll(cx));
                self.stall_timer = Timer::after(STALL_CHECK_INTERVAL);
                if session.may_fail_over_stalled(exchange) {
                    self.resume_or_abort("no event, and the instance is unreachable or hangs");
                }
                return Poll::Ready(());
            }
        };
        self.stall_timer = Timer::after(STALL_CHECK_INTERVAL);
        match data {
            Some(Ok(bytes)) => {
                exchange.on_next_event();
                session.record_next_event();
                let pushed = self.events.push(&bytes);
                let events_max = events_max(session.request.demand.output_tokens);
                if let Err(error) = pushed {
                    self.resume_or_abort(&error.to_string());
                } else if events_max.is_some_and(|max| self.events.count() > max) {
                    // Not resumed: the events relayed so far are not a response.
                    self.abort("the stream has more events than the caller allows tokens");
                }
            }
            Some(Err(error)) => self.resume_or_abort(&error.to_string()),
            None if !self.events.is_at_event_boundary() => {
                self.resume_or_abort("the response ended within an event")
            }
            None => self.finish(),
        }
        Poll::Ready(())
    }

    /// Polls the attempt to resume and continues with its result.
    fn poll_resuming(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Source::Resuming(resuming) = &mut self.source else {
            return Poll::Ready(());
        };
        let (session, resumed) = ready!(resuming.as_mut().poll(cx));
        match resumed {
            Ok((exchange, events)) => {
                self.events = events;
                self.source = Source::Active(Box::new((session, exchange)));
            }
            Err(failure) => {
                log_stream_failed(&session, &self.events, &failure.reason);
                self.source = Source::Failed;
            }
        }
        self.stall_timer = Timer::after(STALL_CHECK_INTERVAL);
        Poll::Ready(())
    }

    /// Starts to resume the stream on another instance; fails the stream if
    /// that is not allowed.
    fn resume_or_abort(&mut self, reason: &str) {
        let source = std::mem::replace(&mut self.source, Source::Failed);
        let Source::Active(active) = source else {
            self.source = source;
            return;
        };
        let (mut session, exchange) = *active;
        self.events.discard_partial();
        session.on_stream_error(exchange, reason, self.events.last_id());
        if !session.try_reserve_resume() {
            log_stream_failed(&session, &self.events, reason);
            return;
        }
        let events = std::mem::take(&mut self.events);
        let after = events.last_id();
        self.events = EventBuffer::resuming_after(after);
        self.source = Source::Resuming(Box::pin(async move {
            let resumed = session.resume_stream(events).await;
            (session, resumed)
        }));
    }

    /// Fails the stream unless it is complete. Logs the reason only if an
    /// instance is sending events, not while the stream is being resumed.
    fn abort(&mut self, reason: &str) {
        let source = std::mem::replace(&mut self.source, Source::Failed);
        match source {
            Source::Active(active) => log_stream_failed(&active.0, &self.events, reason),
            Source::Complete(session) => self.source = Source::Complete(session),
            Source::Resuming(_) | Source::Failed => {}
        }
    }

    /// Completes the stream and returns its connection to the pool.
    fn finish(&mut self) {
        let source = std::mem::replace(&mut self.source, Source::Failed);
        let Source::Active(active) = source else {
            return;
        };
        let (session, exchange) = *active;
        exchange.release_connection(&session.app);
        self.source = Source::Complete(Box::new(session));
    }
}

/// Returns the largest plausible number of events in a stream; `None` if the
/// request does not limit the length of the response.
fn events_max(output_tokens: u32) -> Option<u32> {
    (output_tokens > 0).then(|| {
        output_tokens
            .saturating_mul(EVENTS_PER_TOKEN_MAX)
            .saturating_add(EXTRA_EVENTS_MAX)
    })
}

impl AsyncRead for StreamBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_source(cx));
        let ready = self.events.ready();
        if !ready.is_empty() {
            let count = ready.len().min(buf.len());
            buf[..count].copy_from_slice(&ready[..count]);
            self.events.consume(count);
            return Poll::Ready(Ok(count));
        }
        if let Source::Complete(session) = &self.source {
            if !self.delivered {
                session.log_completed(200, self.events.count());
            }
            self.delivered = true;
            return Poll::Ready(Ok(0));
        }
        if !self.flushed {
            // The server writes buffered data while the body is pending, but
            // discards it when the body fails.
            self.flushed = true;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()))
    }
}

impl Drop for StreamBody {
    fn drop(&mut self) {
        if let Source::Active(active) = &self.source {
            active.0.log_caller_disconnected(self.events.count());
        }
    }
}

/// Logs and counts a stream that failed after its first event.
fn log_stream_failed(session: &Session, events: &EventBuffer, reason: &str) {
    emit(&GatewayEvent::AnswerCut {
        request_id: session.request.request_id.clone(),
        reason: reason.into(),
        attempts: session.attempts,
        events: events.count(),
        total_ms: session.age_ms(),
    });
    metrics::counter!("limpetgw_gateway_answers_cut_total").increment(1);
}
