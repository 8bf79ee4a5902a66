//! Sends a request to one instance and takes in what comes back.

use std::{future::poll_fn, time::Duration};

use bytes::Bytes;
use futures_lite::FutureExt;
use http::{Request as HttpRequest, Uri};
use http_body_util::Full;
use types::{ErrorCode, InstanceId, Verdict};

use super::{
    exchange::{Exchange, Flight},
    session::Session,
};
use crate::{
    answer::{read_whole, Events, WholeAnswer},
    failure::Failure,
    header_codec::{ResponseMeta, UpstreamRequestMeta},
    routing::ResponseMode,
    upstream::{Connection, Cut, Lease, Unsent},
};

/// How much earlier than the caller's deadline an instance is told to stop, so
/// that its own word on whether the request ran arrives in time.
const DEADLINE_MARGIN: Duration = Duration::from_millis(15);

/// A whole answer, or the start of a stream.
pub(super) enum Received {
    Whole(WholeAnswer),
    Begun(Box<Exchange>, Events),
}

/// An attempt without an answer for the caller.
pub(super) struct Broken {
    pub(super) verdict: Verdict,
    pub(super) reason: String,
    /// An instance's own error answer, to be passed on if it stays the last.
    pub(super) answer: Option<WholeAnswer>,
    /// What to remember of the instance.
    pub(super) fault: Fault,
    /// Whether another attempt was taken from the budget already.
    pub(super) retry_taken: bool,
}

/// What a broken attempt says of its instance.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    /// It failed.
    Failed,
    /// It has no room.
    Full,
    /// It is not there any more.
    Gone,
}

impl Session {
    pub(super) fn http_request(
        &self,
        instance: &InstanceId,
        events: &Events,
    ) -> Result<HttpRequest<Full<Bytes>>, Failure> {
        let request = &self.request;
        let remaining = self.remaining().saturating_sub(DEADLINE_MARGIN);
        let meta = UpstreamRequestMeta {
            instance: instance.clone(),
            remaining: remaining.max(Duration::from_millis(1)),
            team: request.team.clone(),
            priority: request.priority,
            resume_after: events.last_id(),
        };
        let target: Uri = request.target.parse().map_err(|_| {
            Failure::not_run(ErrorCode::MalformedRequest, "the path can't be passed on")
        })?;
        let mut http_request = HttpRequest::new(Full::new(request.body.clone()));
        *http_request.method_mut() = request.method.clone();
        *http_request.uri_mut() = target;
        *http_request.headers_mut() = self
            .app
            .header_codec
            .upstream_headers(&request.headers, &meta);
        Ok(http_request)
    }

    /// Sends the request and waits for the whole answer or its first event.
    pub(super) async fn receive(
        &self,
        flight: Flight,
        connection: Connection,
        lease: Lease,
        http_request: HttpRequest<Full<Bytes>>,
        events: &mut Events,
    ) -> Result<Received, Broken> {
        let instance = flight.instance.clone();
        let received = async {
            let answer = match connection.send(http_request).await {
                Ok(Ok(answer)) => answer,
                Ok(Err(Unsent)) => return Err(Broken::unsent()),
                Err(cut) => return Err(Broken::cut(&cut)),
            };
            let meta = self
                .app
                .header_codec
                .decode_response(answer.status, &answer.headers);
            let exchange = Exchange::new(answer, flight, lease);
            self.take_in(exchange, &meta, events).await
        };
        received.or(self.out_of_patience(&instance)).await
    }

    pub(super) async fn take_in(
        &self,
        mut exchange: Exchange,
        meta: &ResponseMeta,
        events: &mut Events,
    ) -> Result<Received, Broken> {
        let status = exchange.answer.status;
        let is_own = meta.request_id.as_ref() == Some(&self.request.request_id);
        if meta.request_id.is_some() && !is_own {
            return Err(Broken::failed("an answer to another request came"));
        }
        if meta.misdirected || meta.not_run {
            let fault = match meta.misdirected {
                true => Fault::Gone,
                false => Fault::Full,
            };
            // Read to its end, so that the connection can be kept.
            if read_whole(&mut exchange.answer).await.is_ok() {
                exchange.keep(&self.app);
            }
            return Err(Broken {
                verdict: Verdict::NotRun,
                reason: format!("the instance answered {status} and did not run the request"),
                answer: None,
                fault,
                retry_taken: false,
            });
        }
        let is_success = (200..300).contains(&status);
        if is_success && (!meta.signed || meta.encoded || !is_own) {
            return Err(Broken::failed("the answer is not the instance's own"));
        }
        if is_success
            && matches!(
                self.request.route.response_mode,
                ResponseMode::EventStream { .. }
            )
        {
            self.first_event(&mut exchange, events).await?;
            let events = std::mem::take(events);
            return Ok(Received::Begun(Box::new(exchange), events));
        }
        let body = read_whole(&mut exchange.answer)
            .await
            .map_err(|error| Broken::failed(error.to_string()))?;
        let answer = WholeAnswer {
            status,
            headers: exchange.answer.headers.clone(),
            body,
        };
        if status >= 500 {
            exchange.keep(&self.app);
            return Err(Broken {
                verdict: Verdict::MayHaveRun,
                reason: format!("the instance answered {status}"),
                answer: (meta.signed && is_own).then_some(answer),
                fault: Fault::Failed,
                retry_taken: false,
            });
        }
        exchange.flight.on_first_event();
        exchange.keep(&self.app);
        Ok(Received::Whole(answer))
    }

    async fn first_event(
        &self,
        exchange: &mut Exchange,
        events: &mut Events,
    ) -> Result<(), Broken> {
        let before = events.count();
        while events.count() == before {
            match poll_fn(|cx| exchange.poll_data(cx)).await {
                Some(Ok(bytes)) => events
                    .push(&bytes)
                    .map_err(|error| Broken::failed(error.to_string()))?,
                Some(Err(cut)) => return Err(Broken::cut(&cut)),
                None if events.is_whole() => break,
                None => return Err(Broken::failed("the answer ended within an event")),
            }
        }
        exchange.flight.on_first_event();
        Ok(())
    }
}

impl Broken {
    pub(super) fn unsent() -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason: "the kept connection had closed before anything was sent".into(),
            answer: None,
            fault: Fault::Failed,
            retry_taken: false,
        }
    }

    pub(super) fn cut(cut: &Cut) -> Self {
        Self::failed(cut.to_string())
    }

    pub(super) fn failed(reason: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            reason: reason.into(),
            answer: None,
            fault: Fault::Failed,
            retry_taken: false,
        }
    }

    /// Gives an instance up for another one.
    pub(super) fn left(reason: &str) -> Self {
        Self {
            retry_taken: true,
            ..Self::failed(reason)
        }
    }
}
