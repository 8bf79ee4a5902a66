//! Sends a request to one instance and evaluates its response.

use std::{future::poll_fn, time::Duration};

use bytes::Bytes;
use futures_lite::FutureExt;
use http::{Request as HttpRequest, Uri};
use policy::placement::Placement;
use types::{ErrorCode, Verdict};

use super::{
    exchange::{Exchange, LoadGuard},
    session::Session,
};
use crate::{
    app::lock,
    failure::Failure,
    header_codec::{ResponseMeta, UpstreamRequestMeta},
    response::{read_response_body, BodyError, BufferedResponse, EventBuffer},
    routing::ResponseMode,
    upstream::{Connection, ExchangeError, Lease, NotSent},
};

/// Time by which the deadline sent to an instance precedes the caller's, so
/// that the instance can still report in time whether the request ran.
const DEADLINE_MARGIN: Duration = Duration::from_millis(15);

/// Successful result of an attempt: a complete response, or a stream whose
/// first event has arrived.
pub(super) enum Received {
    Buffered(BufferedResponse),
    Streaming(Box<Exchange>, EventBuffer),
}

/// Result of a failed attempt.
pub(super) struct AttemptError {
    pub(super) verdict: Verdict,
    pub(super) reason: String,
    /// Error response of the instance, relayed if no further attempt is made.
    pub(super) response: Option<BufferedResponse>,
    /// Fault to report to the placer.
    pub(super) fault: InstanceFault,
    /// How far the attempt got before it failed.
    pub(super) progress: Progress,
    /// Whether the attempt failed because its connection broke.
    pub(super) connection_lost: bool,
    /// Whether the next attempt was already taken from the retry budget.
    pub(super) retry_reserved: bool,
}

/// How far an attempt got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// Nothing was sent.
    Unsent,
    /// The request was sent, or may have been.
    Sent,
    /// The response head arrived, but no event.
    Head,
    /// At least one event arrived.
    Events,
}

impl Progress {
    /// Returns the text form for log events.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Progress::Unsent => "unsent",
            Progress::Sent => "sent",
            Progress::Head => "head",
            Progress::Events => "events",
        }
    }
}

/// What a failed attempt shows about its instance.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum InstanceFault {
    /// The instance failed to respond correctly.
    Failed,
    /// The instance has no capacity for the request.
    Full,
    /// The address now belongs to a different instance.
    Replaced,
}

impl Session {
    /// Builds the request for the instance of `placement`; a stream resumes after
    /// the last event in `events`.
    pub(super) fn http_request(
        &self,
        placement: &Placement,
        events: &EventBuffer,
    ) -> Result<HttpRequest<Bytes>, Failure> {
        let request = &self.request;
        let remaining = self.remaining().saturating_sub(DEADLINE_MARGIN);
        let copy = placement.prefix_copy.requested();
        let view = self.app.view.load();
        let meta = UpstreamRequestMeta {
            instance: placement.instance.clone(),
            remaining: remaining.max(Duration::from_millis(1)),
            team: request.team.clone(),
            priority: request.priority,
            resume_after: events.last_id(),
            copy_from: copy.and_then(|copy| view.addr(&copy.source).cloned()),
        };
        let target: Uri = request.target.parse().map_err(|_| {
            Failure::not_run(ErrorCode::MalformedRequest, "the path cannot be forwarded")
        })?;
        let mut http_request = HttpRequest::new(request.body.clone());
        *http_request.method_mut() = request.method.clone();
        *http_request.uri_mut() = target;
        *http_request.headers_mut() = self
            .app
            .header_codec
            .upstream_headers(&request.headers, &meta);
        Ok(http_request)
    }

    /// Sends the request and waits for the complete response or the first event
    /// of a stream, until [`Self::wait_for_failover`] ends the wait.
    pub(super) async fn receive(
        &self,
        load_guard: LoadGuard,
        connection: Connection,
        lease: Lease,
        http_request: HttpRequest<Bytes>,
        events: &mut EventBuffer,
    ) -> Result<Received, AttemptError> {
        let instance = load_guard.instance.clone();
        let sent_at = self.app.now();
        let received = async {
            let response = match connection.send(http_request).await {
                Ok(Ok(response)) => response,
                Ok(Err(NotSent)) => return Err(AttemptError::not_sent()),
                Err(error) => return Err(AttemptError::exchange_failed(&error)),
            };
            let meta = self
                .app
                .header_codec
                .decode_response(response.status, &response.headers);
            let start = (&instance, self.incarnation);
            self.app
                .on_announced(&self.request.request_id, start, &meta);
            // Only an answer of the instance itself shows that it names no limit.
            if !meta.misdirected && (meta.limit_milli_per_s.is_some() || meta.signed) {
                let request_id = &self.request.request_id;
                self.app
                    .on_limit(request_id, sent_at, start, meta.limit_milli_per_s);
            }
            let exchange = Exchange::new(response, load_guard, lease);
            let handled = self.handle_response(exchange, &meta, events).await;
            handled.map_err(|error| error.with_progress(Progress::Head))
        };
        let ended = async {
            self.app.lifecycle.requests_ended().await;
            Err(AttemptError::failed("this process has to stop"))
        };
        received
            .or(self.wait_for_failover(&instance))
            .or(ended)
            .await
    }

    /// Checks that the response belongs to the request, then reads the complete
    /// body or the first event.
    pub(super) async fn handle_response(
        &self,
        mut exchange: Exchange,
        meta: &ResponseMeta,
        events: &mut EventBuffer,
    ) -> Result<Received, AttemptError> {
        let status = exchange.response.status;
        let id_matches = meta.request_id.as_ref() == Some(&self.request.request_id);
        if meta.request_id.is_some() && !id_matches {
            return Err(AttemptError::failed(
                "the response belongs to a different request",
            ));
        }
        if meta.misdirected || meta.not_run {
            let fault = match meta.misdirected {
                true => InstanceFault::Replaced,
                false => InstanceFault::Full,
            };
            // A connection can be reused only after the body was read.
            let body = read_response_body(&mut exchange.response, &self.app.large_bodies).await;
            if body.is_ok() {
                exchange.release_connection(&self.app);
            }
            return Err(AttemptError {
                verdict: Verdict::NotRun,
                reason: format!("the instance responded {status} and did not run the request"),
                response: None,
                fault,
                progress: Progress::Head,
                connection_lost: false,
                retry_reserved: false,
            });
        }
        if !net::is_final_status(status) {
            return Err(AttemptError::failed(format!(
                "the instance responded {status}, which is not the status of a final response"
            )));
        }
        let is_success = (200..300).contains(&status);
        let is_buffered = matches!(self.request.route.response_mode, ResponseMode::Buffered);
        if id_matches && (is_buffered || !is_success) {
            // Also if the body does not arrive: the instance has begun to run it. A
            // stream that succeeds begins with its first event.
            self.on_begun();
        }
        if is_success && (!meta.signed || meta.encoded || !id_matches) {
            return Err(AttemptError::failed(
                "the response is unsigned, encoded or lacks the request id",
            ));
        }
        if is_success
            && matches!(
                self.request.route.response_mode,
                ResponseMode::EventStream { .. }
            )
        {
            self.read_first_event(&mut exchange, events).await?;
            let events = std::mem::take(events);
            return Ok(Received::Streaming(Box::new(exchange), events));
        }
        let body = read_response_body(&mut exchange.response, &self.app.large_bodies)
            .await
            .map_err(|error| match error {
                BodyError::Truncated { .. } => AttemptError::connection_lost(error.to_string()),
                error => AttemptError::failed(error.to_string()),
            })?;
        let response = BufferedResponse {
            status,
            headers: exchange.response.headers.clone(),
            body,
        };
        if status >= 500 {
            exchange.release_connection(&self.app);
            return Err(AttemptError {
                verdict: Verdict::MayHaveRun,
                reason: format!("the instance responded {status}"),
                response: (meta.signed && id_matches).then_some(response),
                fault: InstanceFault::Failed,
                progress: Progress::Head,
                connection_lost: false,
                retry_reserved: false,
            });
        }
        self.on_first_event(&mut exchange);
        exchange.release_connection(&self.app);
        Ok(Received::Buffered(response))
    }

    /// Reads until a new event is complete or the body ends.
    async fn read_first_event(
        &self,
        exchange: &mut Exchange,
        events: &mut EventBuffer,
    ) -> Result<(), AttemptError> {
        let before = events.count();
        while events.count() == before {
            match poll_fn(|cx| exchange.poll_data(cx)).await {
                Some(Ok(bytes)) => events
                    .push(&bytes)
                    .map_err(|error| AttemptError::failed(error.to_string()))?,
                Some(Err(error)) => return Err(AttemptError::exchange_failed(&error)),
                None if exchange.response.ends_with_connection() => {
                    return Err(AttemptError::connection_lost(
                        "the connection was closed before the first event",
                    ));
                }
                None if events.is_at_event_boundary() => break,
                None => return Err(AttemptError::failed("the response ended within an event")),
            }
        }
        if events.count() > before {
            self.on_begun();
        }
        self.on_first_event(exchange);
        Ok(())
    }

    /// Records that the instance has begun to answer.
    fn on_first_event(&self, exchange: &mut Exchange) {
        exchange.load_guard.on_first_event();
        if !lock(&self.app.crash_log).is_clean() {
            self.app.on_response_begun(self.request.suspects());
        }
    }
}

impl AttemptError {
    /// Creates the error for a pooled connection that was closed before the
    /// request was sent.
    pub(super) fn not_sent() -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason: "the pooled connection was closed before the request was sent".into(),
            response: None,
            fault: InstanceFault::Failed,
            progress: Progress::Unsent,
            connection_lost: false,
            retry_reserved: false,
        }
    }

    /// Creates the error for an instance to which no connection could be taken.
    pub(super) fn unconnected(reason: String) -> Self {
        Self {
            reason,
            ..Self::not_sent()
        }
    }

    /// Creates the error for a connection that failed after the request may
    /// have been sent.
    pub(super) fn exchange_failed(error: &ExchangeError) -> Self {
        Self::connection_lost(error.to_string())
    }

    /// Creates the error for a connection that broke after the request may have
    /// been sent.
    fn connection_lost(reason: impl Into<String>) -> Self {
        Self {
            connection_lost: true,
            ..Self::failed(reason)
        }
    }

    /// Returns whether the connection broke while the request was waiting for
    /// its first event.
    pub(super) fn is_connection_lost_before_first_event(&self) -> bool {
        self.connection_lost && matches!(self.progress, Progress::Sent | Progress::Head)
    }

    /// Creates the error for a failed attempt that may have run the request.
    pub(super) fn failed(reason: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            reason: reason.into(),
            response: None,
            fault: InstanceFault::Failed,
            progress: Progress::Sent,
            connection_lost: false,
            retry_reserved: false,
        }
    }

    /// Sets how far the attempt got.
    pub(super) fn with_progress(mut self, progress: Progress) -> Self {
        self.progress = progress;
        self
    }

    /// Creates the error for an abandoned attempt whose retry was already
    /// taken from the budget.
    pub(super) fn failed_over(reason: &str) -> Self {
        Self {
            retry_reserved: true,
            ..Self::failed(reason)
        }
    }
}
