//! Relays an engine's response, and resumes it on another instance after a
//! truncation.

use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use smol::Timer;
use telemetry::{emit, events::EntryEvent};
use types::{ErrorCode, RequestId, TimeMs, Verdict};

use super::sse::{EventError, EventSplitter};
use crate::{
    attempt::{is_alive, OpenResponse, Session},
    failure::Failure,
};

/// Interval at which a relay that waits for bytes checks its deadline and the
/// time since the last bytes.
const WATCHDOG_INTERVAL: Duration = Duration::from_millis(500);
/// Time without new bytes after which the relay probes the agent.
const STALL_MS: u64 = 1_500;

type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Progress of reading the response from upstream instances.
enum State {
    /// The response of the current attempt is being read.
    Reading(Box<Reading>),
    /// The rest of the response is being requested from another instance.
    Reopening(BoxFuture<(Box<Session>, Result<OpenResponse, Failure>)>),
    /// The complete response has been read.
    Complete,
    /// The response could not be completed.
    Failed(Failure),
}

struct Reading {
    session: Box<Session>,
    response: OpenResponse,
    probe: Option<BoxFuture<bool>>,
}

/// One contiguous token stream of an engine, over all attempts that deliver it.
///
/// Dropping it before the end of the response counts as a disconnect of the caller.
pub(crate) struct Relay {
    state: State,
    splitter: EventSplitter,
    watchdog: Timer,
    request_id: RequestId,
    received_at: TimeMs,
    deadline: TimeMs,
    last_bytes_at: TimeMs,
    first_token_ms: Option<u64>,
    app: std::sync::Arc<crate::app::App>,
}

impl Relay {
    pub(crate) fn new(session: Session, response: OpenResponse) -> Self {
        let app = session.app.clone();
        Self {
            request_id: session.request.request_id.clone(),
            received_at: session.request.received_at,
            deadline: session.request.deadline,
            state: State::Reading(Box::new(Reading {
                session: Box::new(session),
                response,
                probe: None,
            })),
            splitter: EventSplitter::new(),
            watchdog: Timer::interval(WATCHDOG_INTERVAL),
            last_bytes_at: app.now(),
            first_token_ms: None,
            app,
        }
    }

    /// Id of the request whose response is relayed.
    pub(crate) fn request_id(&self) -> &RequestId {
        &self.request_id
    }

    /// Number of tokens released to the caller so far, over all attempts.
    pub(crate) fn tokens(&self) -> u32 {
        self.splitter.tokens()
    }

    /// Time from the request's arrival to its first token; 0 before the first
    /// token.
    pub(crate) fn first_token_ms(&self) -> u64 {
        self.first_token_ms.unwrap_or_default()
    }

    /// Copies released bytes into `buf`. An event that does not fit is split
    /// across calls. Returns 0 at the end of a complete response.
    pub(crate) fn poll_events(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<Result<usize, Failure>> {
        loop {
            let ready = self.splitter.ready();
            if !ready.is_empty() {
                let count = ready.len().min(buf.len());
                buf[..count].copy_from_slice(&ready[..count]);
                self.splitter.consume(count);
                return Poll::Ready(Ok(count));
            }
            match &mut self.state {
                State::Complete => return Poll::Ready(Ok(0)),
                State::Failed(failure) => return Poll::Ready(Err(failure.clone())),
                State::Reopening(reopen) => {
                    let Poll::Ready((session, opened)) = reopen.as_mut().poll(cx) else {
                        return Poll::Pending;
                    };
                    self.on_reopened(session, opened);
                }
                State::Reading(reading) => {
                    let read = reading.response.poll_read(cx, self.splitter.space());
                    match read {
                        Poll::Ready(Ok(0)) => self.on_end(),
                        Poll::Ready(Ok(count)) => self.on_bytes(count),
                        Poll::Ready(Err(_)) => self.on_truncated(EventError::Truncated),
                        Poll::Pending => {
                            if self.poll_watchdog(cx).is_pending() {
                                return Poll::Pending;
                            }
                        }
                    }
                }
            }
        }
    }

    fn on_bytes(&mut self, count: usize) {
        let tokens_before = self.splitter.tokens();
        let result = self.splitter.on_bytes_read(count);
        let now = self.app.now();
        let tokens = self.splitter.tokens() - tokens_before;
        self.app.meters.tokens(tokens);
        if let State::Reading(reading) = &mut self.state {
            reading.probe = None;
            if tokens > 0 && self.first_token_ms.is_none() {
                self.first_token_ms = Some(now.since(self.received_at));
                reading.response.on_first_token(now);
            } else if tokens > 0 {
                let gap_ms = now.since(self.last_bytes_at) / u64::from(tokens);
                reading.response.on_token_gap(now, gap_ms);
            }
        }
        self.last_bytes_at = now;
        if let Err(error) = result {
            self.on_truncated(error);
        }
    }

    fn on_end(&mut self) {
        if let Err(error) = self.splitter.finish() {
            return self.on_truncated(error);
        }
        let State::Reading(reading) = std::mem::replace(&mut self.state, State::Complete) else {
            return;
        };
        reading.response.finish();
        reading
            .session
            .log_finished(self.splitter.tokens(), self.first_token_ms());
    }

    /// Drops the truncated or invalid response, and resumes it on another instance
    /// if the request is idempotent.
    fn on_truncated(&mut self, error: EventError) {
        let truncation = Failure::new(
            ErrorCode::UpstreamFailed,
            Verdict::MayHaveRun,
            format!("the upstream failed before the response was complete: {error}"),
        );
        let State::Reading(reading) =
            std::mem::replace(&mut self.state, State::Failed(truncation.clone()))
        else {
            return;
        };
        reading.response.on_failure();
        drop(reading.response);
        self.splitter.restart();
        let tokens = self.splitter.tokens();
        let mut session = reading.session;
        if !session.request.idempotent {
            return self.fail(&session, truncation);
        }
        self.state = State::Reopening(Box::pin(async move {
            let opened = session.reopen(tokens, truncation).await;
            (session, opened)
        }));
    }

    fn on_reopened(&mut self, session: Box<Session>, opened: Result<OpenResponse, Failure>) {
        match opened {
            Ok(response) => {
                self.last_bytes_at = self.app.now();
                self.state = State::Reading(Box::new(Reading {
                    session,
                    response,
                    probe: None,
                }));
            }
            Err(mut failure) => {
                failure.verdict = Verdict::MayHaveRun;
                self.fail(&session, failure);
            }
        }
    }

    fn fail(&mut self, session: &Session, failure: Failure) {
        session.log_failed(&failure);
        self.state = State::Failed(failure);
    }

    /// Checks the deadline and the agent; ready if the state has changed.
    fn poll_watchdog(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.poll_probe(cx).is_ready() {
            self.on_truncated(EventError::Truncated);
            return Poll::Ready(());
        }
        while Pin::new(&mut self.watchdog).poll(cx).is_ready() {
            let now = self.app.now();
            if now >= self.deadline {
                self.on_deadline();
                return Poll::Ready(());
            }
            if now.since(self.last_bytes_at) >= STALL_MS {
                self.start_probe();
            }
        }
        self.poll_probe(cx)
            .map(|()| self.on_truncated(EventError::Truncated))
    }

    fn start_probe(&mut self) {
        let State::Reading(reading) = &mut self.state else {
            return;
        };
        if reading.probe.is_some() {
            return;
        }
        let app = self.app.clone();
        let addr = reading.response.addr.clone();
        reading.probe = Some(Box::pin(async move { is_alive(&app, &addr).await }));
    }

    /// Polls the probe; ready if the agent did not answer it.
    fn poll_probe(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let State::Reading(reading) = &mut self.state else {
            return Poll::Pending;
        };
        let Some(probe) = &mut reading.probe else {
            return Poll::Pending;
        };
        match probe.as_mut().poll(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(true) => {
                // The agent answers, so its engine is slow: probe again later.
                reading.probe = None;
                Poll::Pending
            }
            Poll::Ready(false) => Poll::Ready(()),
        }
    }

    fn on_deadline(&mut self) {
        let failure = Failure::new(
            ErrorCode::DeadlineExceeded,
            Verdict::MayHaveRun,
            "the deadline passed before the response was complete; the request was cancelled",
        );
        let previous = std::mem::replace(&mut self.state, State::Failed(failure.clone()));
        if let State::Reading(reading) = previous {
            self.fail(&reading.session, failure);
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if matches!(self.state, State::Complete | State::Failed(_)) {
            return;
        }
        self.app.meters.caller_gone();
        emit(&EntryEvent::CallerGone {
            request_id: self.request_id.clone(),
            tokens: self.splitter.tokens(),
        });
    }
}
