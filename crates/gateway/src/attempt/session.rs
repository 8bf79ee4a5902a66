//! A request with what its attempts have shown so far.

use std::{future::poll_fn, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_lite::FutureExt;
use http::{HeaderMap, Request as HttpRequest, Uri};
use http_body_util::Full;
use net::InFlight;
use policy::placement::Placement;
use rand::RngExt;
use telemetry::{emit, events::GatewayEvent};
use types::{ErrorCode, InstanceId, TimeMs, Verdict};

use super::exchange::{Exchange, Flight};
use crate::{
    answer::{read_whole, Events, Opened, WholeAnswer},
    app::App,
    dialect::{AnswerMeta, SendMeta},
    failure::Failure,
    request::Request,
    routing::{AnswerForm, Repeatable},
    upstream::{ConnectError, Connection, Cut, Lease, Unsent},
};

/// Connects that may fail before a request is given up. They cost callers up
/// to [`crate::upstream`]'s connect timeout each.
const CONNECTS_MAX: u32 = 3;

/// Time left below which no further attempt is made: less than any upstream
/// needs for an answer.
const ATTEMPT_TIME_MIN: Duration = Duration::from_millis(25);

/// How much earlier than the caller's deadline an instance is told to stop, so
/// that its own word on whether the request ran arrives in time.
const DEADLINE_MARGIN: Duration = Duration::from_millis(15);

/// Part of an instance's connections that one entry uses, as a divisor. With
/// up to 12 entries under full load no instance has to refuse one.
const CONNECTIONS_DIVISOR: u32 = 12;

/// Connections that one entry may always use.
const CONNECTIONS_MIN: u32 = 8;

/// Silence of an instance after which it is tried whether it can be reached
/// at all. Silence alone proves nothing: with a full queue an engine may not
/// answer for seconds. Callers give up on a stream after two seconds or more.
const SILENCE_MS: u64 = 700;

/// How often a waiting request looks what has become of its instance.
const CHECK_INTERVAL_MS: u64 = 200;

/// Multiple of a route's target after which a whole answer is asked for
/// elsewhere even if its instance is alive. Streams are never given up for
/// being late: their prompt would be read once more in a full queue.
const PATIENCE_TARGETS: u32 = 2;

/// Shortest patience with an instance that is alive.
const PATIENCE_MIN: Duration = Duration::from_millis(300);

/// Retry time told to callers when no instance can take the request: room
/// comes when running requests end, which takes some hundred milliseconds.
const NO_ROOM_RETRY_MS: std::ops::Range<u64> = 150..450;

/// What the caller gets.
pub(crate) enum Outcome {
    /// An instance's whole answer.
    Whole(WholeAnswer),
    /// A stream whose first event has come.
    Stream {
        /// Headers of the run that began it.
        headers: HeaderMap,
        /// The stream.
        opened: Box<Opened>,
    },
}

/// A whole answer, or the start of a stream.
enum Received {
    Whole(WholeAnswer),
    Begun(Box<Exchange>, Events),
}

/// An attempt without an answer for the caller.
struct Broken {
    verdict: Verdict,
    reason: String,
    /// An instance's own error answer, to be passed on if it stays the last.
    answer: Option<WholeAnswer>,
    /// What to remember of the instance.
    fault: Fault,
    /// Whether another attempt was taken from the budget already.
    retry_taken: bool,
}

/// What a broken attempt says of its instance.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// It failed.
    Failed,
    /// It has no room.
    Full,
    /// It is not there any more.
    Gone,
}

/// A request and its attempts.
pub(crate) struct Session {
    pub(crate) app: Arc<App>,
    pub(crate) request: Arc<Request>,
    pub(crate) attempts: u32,
    excluded: Vec<InstanceId>,
    may_have_run: bool,
    first_ms: u64,
    _in_flight: InFlight,
}

impl Session {
    pub(crate) fn new(app: Arc<App>, request: Request, in_flight: InFlight) -> Self {
        let now = app.now();
        app.with_budget(&request.upstream, |budget| budget.on_request(now));
        Self {
            app,
            request: Arc::new(request),
            attempts: 0,
            excluded: Vec::new(),
            may_have_run: false,
            first_ms: 0,
            _in_flight: in_flight,
        }
    }

    /// Time left until the request's deadline.
    pub(crate) fn remaining(&self) -> Duration {
        self.request.remaining(self.app.now())
    }

    /// Time since the request was received, in milliseconds.
    pub(crate) fn age_ms(&self) -> u64 {
        self.app.now().since(self.request.received_at)
    }

    /// Gets an answer for the caller.
    ///
    /// # Errors
    ///
    /// Why there is none; the verdict covers all attempts.
    pub(crate) async fn run(mut self) -> Result<Outcome, Failure> {
        let events = Events::after(self.request.resume_after);
        match self.open(events).await? {
            Received::Whole(answer) => {
                self.log_answered(answer.status, 0);
                Ok(Outcome::Whole(answer))
            }
            Received::Begun(exchange, events) => Ok(Outcome::Stream {
                headers: exchange.answer.headers.clone(),
                opened: Box::new(Opened {
                    session: self,
                    exchange: *exchange,
                    events,
                }),
            }),
        }
    }

    /// Opens the rest of a stream after the events delivered.
    ///
    /// # Errors
    ///
    /// Why it can't be opened.
    pub(crate) async fn open_events(
        &mut self,
        events: Events,
    ) -> Result<(Exchange, Events), Failure> {
        match self.open(events).await? {
            Received::Begun(exchange, events) => Ok((*exchange, events)),
            Received::Whole(answer) => Err(Failure::unsure(
                ErrorCode::UpstreamFailed,
                format!(
                    "the instance answered {} instead of going on",
                    answer.status
                ),
            )),
        }
    }

    async fn open(&mut self, mut events: Events) -> Result<Received, Failure> {
        loop {
            let (placement, flight, connection, lease) = self.connect().await?;
            self.attempts += 1;
            self.log_placed(&placement);
            let sent_at = self.app.now();
            let http_request = self.http_request(&placement.instance, &events)?;
            let attempt = self.receive(flight, connection, lease, http_request, &mut events);
            let broken = match Box::pin(attempt).await {
                Ok(received) => return Ok(received),
                Err(broken) => broken,
            };
            let after_ms = self.app.now().since(sent_at);
            self.note_broken(&placement.instance, &broken, events.last_id(), after_ms);
            self.excluded.push(placement.instance);
            if broken.retry_taken || self.may_try_again(broken.verdict) {
                continue;
            }
            if let Some(answer) = broken.answer {
                return Ok(Received::Whole(answer));
            }
            return Err(self.overall(&broken));
        }
    }

    /// Chooses an instance and gets a connection to it.
    async fn connect(&mut self) -> Result<(Placement, Flight, Connection, Lease), Failure> {
        let mut reason = String::from("no instance of the upstream can be used");
        for _ in 0..CONNECTS_MAX {
            if self.remaining() < ATTEMPT_TIME_MIN {
                return Err(self.late("no time is left for an attempt"));
            }
            let now = self.app.now();
            let view = self.app.view.load_full();
            let upstream = self.request.upstream.clone();
            let placed = self.app.with_placer(&upstream, |placer| {
                let placement = placer.choose(now, &self.request.demand, &self.excluded)?;
                let ticket = placer.on_sent(now, &self.request.demand, &placement);
                Some((placement, ticket))
            });
            let Some((placement, ticket)) = placed else {
                break;
            };
            let instance = placement.instance.clone();
            let flight = Flight::new(self.app.clone(), upstream.clone(), instance.clone(), ticket);
            let Some(addr) = view.addr(&instance) else {
                self.excluded.push(instance);
                continue;
            };
            let max = self.connections_max();
            match self.app.pool.take(addr, max).await {
                Ok((connection, lease)) => return Ok((placement, flight, connection, lease)),
                Err(error) => {
                    reason = error.to_string();
                    let now = self.app.now();
                    self.app.with_placer(&upstream, |placer| match error {
                        ConnectError::InUse(_) => placer.on_full(now, &instance),
                        ConnectError::Failed(_) => {
                            placer.on_unreachable(now, &instance);
                        }
                    });
                    self.log_broke(&instance, &reason, Verdict::NotRun, None, 0);
                    self.excluded.push(instance);
                }
            }
        }
        let retry_ms = rand::rng().random_range(NO_ROOM_RETRY_MS);
        Err(match self.may_have_run {
            true => Failure::unsure(ErrorCode::UpstreamFailed, reason),
            false => Failure::not_run(ErrorCode::NoUpstream, reason).retry_after(retry_ms),
        })
    }

    fn connections_max(&self) -> usize {
        let routing = self.app.routing.load();
        let spec = routing.upstreams.get(&self.request.upstream);
        let all = spec.map_or(u32::MAX, |spec| spec.connections_max);
        (all / CONNECTIONS_DIVISOR).max(CONNECTIONS_MIN) as usize
    }

    fn http_request(
        &self,
        instance: &InstanceId,
        events: &Events,
    ) -> Result<HttpRequest<Full<Bytes>>, Failure> {
        let request = &self.request;
        let remaining = self.remaining().saturating_sub(DEADLINE_MARGIN);
        let meta = SendMeta {
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
        *http_request.headers_mut() = self.app.dialect.send_headers(&request.headers, &meta);
        Ok(http_request)
    }

    /// Sends the request and waits for the whole answer or its first event.
    async fn receive(
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
            let meta = self.app.dialect.read_answer(answer.status, &answer.headers);
            let exchange = Exchange::new(answer, flight, lease);
            self.take_in(exchange, &meta, events).await
        };
        received.or(self.out_of_patience(&instance)).await
    }

    async fn take_in(
        &self,
        mut exchange: Exchange,
        meta: &AnswerMeta,
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
        if is_success && matches!(self.request.route.form, AnswerForm::Events { .. }) {
            return self.first_event(exchange, std::mem::take(events)).await;
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
        mut exchange: Exchange,
        mut events: Events,
    ) -> Result<Received, Broken> {
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
        Ok(Received::Begun(Box::new(exchange), events))
    }

    /// Ends when the request should not wait for this instance any more.
    async fn out_of_patience(&self, instance: &InstanceId) -> Result<Received, Broken> {
        let sent_at = self.app.now();
        let patience_ms = self.patience_ms();
        loop {
            let now = self.app.now();
            let remaining = self.request.remaining(now);
            let waited_ms = now.since(sent_at);
            if remaining.is_zero() {
                return Err(Broken::failed("no answer before the request's deadline"));
            }
            if waited_ms >= SILENCE_MS && self.is_silent(now, instance) {
                self.app.probe(&self.request.upstream, instance);
            }
            let may_leave = waited_ms >= patience_ms || self.is_lost(now, instance);
            if may_leave && self.has_alternative() && self.may_try_again(Verdict::MayHaveRun) {
                return Err(Broken::left("no answer in time; another instance is asked"));
            }
            let next_ms = match patience_ms.min(SILENCE_MS) {
                first_ms if waited_ms < first_ms => first_ms - waited_ms,
                _ => CHECK_INTERVAL_MS,
            };
            smol::Timer::after(remaining.min(Duration::from_millis(next_ms))).await;
        }
    }

    /// Longest wait for an instance that is alive, in milliseconds.
    fn patience_ms(&self) -> u64 {
        match self.request.route.form {
            AnswerForm::Events { .. } => u64::MAX,
            AnswerForm::Whole => {
                let patience = self.request.route.target * PATIENCE_TARGETS;
                patience.max(PATIENCE_MIN).as_millis() as u64
            }
        }
    }

    fn is_silent(&self, now: TimeMs, instance: &InstanceId) -> bool {
        self.app.with_placer(&self.request.upstream, |placer| {
            placer.is_silent(now, instance, SILENCE_MS)
        })
    }

    /// Whether the instance is dark or hangs, rather than being busy.
    fn is_lost(&self, now: TimeMs, instance: &InstanceId) -> bool {
        self.app.with_placer(&self.request.upstream, |placer| {
            placer.is_unreachable(instance) || placer.is_hanging(now, instance)
        })
    }

    /// Whether another attempt would be allowed if this one is given up.
    fn has_alternative(&self) -> bool {
        self.attempts < self.request.route.attempts_max
            && self.request.route.repeatable != Repeatable::Never
            && self.remaining() > ATTEMPT_TIME_MIN
    }

    /// Whether a stream that has stalled may be taken away from its instance:
    /// only if that is dark or hangs.
    pub(crate) fn may_leave_stalled(&self, exchange: &Exchange) -> bool {
        let instance = &exchange.flight.instance;
        let now = self.app.now();
        if self.is_silent(now, instance) {
            self.app.probe(&self.request.upstream, instance);
        }
        self.may_resume_if(self.has_alternative()) && self.is_lost(now, instance)
    }

    fn may_resume_if(&self, allowed: bool) -> bool {
        allowed && self.request.route.repeatable == Repeatable::ByResuming
    }

    /// Whether a broken stream may go on at another instance; takes the
    /// attempt from the budget.
    pub(crate) fn may_resume(&mut self) -> bool {
        self.may_resume_if(self.has_alternative()) && self.may_try_again(Verdict::MayHaveRun)
    }

    /// Notes that a stream broke after its first event.
    pub(crate) fn on_broken(&mut self, exchange: Exchange, reason: &str, last_id: Option<u64>) {
        let instance = exchange.flight.instance.clone();
        drop(exchange);
        let broken = Broken::failed(reason);
        self.note_broken(&instance, &broken, last_id, self.age_ms());
        self.excluded.push(instance);
    }

    fn note_broken(
        &mut self,
        instance: &InstanceId,
        broken: &Broken,
        last_id: Option<u64>,
        after_ms: u64,
    ) {
        let now = self.app.now();
        self.app
            .with_placer(&self.request.upstream, |placer| match broken.fault {
                Fault::Failed => placer.on_failure(now, instance),
                Fault::Full => placer.on_full(now, instance),
                Fault::Gone => placer.on_unreachable(now, instance),
            });
        self.may_have_run |= broken.verdict != Verdict::NotRun;
        self.log_broke(instance, &broken.reason, broken.verdict, last_id, after_ms);
    }

    /// Whether the request may be sent once more; takes it from the budget.
    fn may_try_again(&self, verdict: Verdict) -> bool {
        let repeatable = match self.request.route.repeatable {
            Repeatable::Always | Repeatable::ByResuming => true,
            Repeatable::Never => verdict == Verdict::NotRun && !self.may_have_run,
        };
        let now = self.app.now();
        repeatable
            && self.attempts < self.request.route.attempts_max
            && self.remaining() > ATTEMPT_TIME_MIN
            && self
                .app
                .with_budget(&self.request.upstream, |budget| budget.try_take(now))
    }

    /// The failure over all attempts.
    fn overall(&self, broken: &Broken) -> Failure {
        if self.remaining().is_zero() {
            return self.late(&broken.reason);
        }
        if self.may_have_run {
            return Failure::unsure(ErrorCode::UpstreamFailed, broken.reason.clone());
        }
        let retry_ms = rand::rng().random_range(NO_ROOM_RETRY_MS);
        Failure::not_run(ErrorCode::NoUpstream, broken.reason.clone()).retry_after(retry_ms)
    }

    fn late(&self, reason: &str) -> Failure {
        match self.may_have_run {
            true => Failure::unsure(ErrorCode::DeadlineExceeded, reason),
            false => Failure::not_run(ErrorCode::NoUpstream, reason),
        }
    }

    fn log_placed(&self, placement: &Placement) {
        let view = self.app.view.load();
        emit(&GatewayEvent::RequestPlaced {
            request_id: self.request.request_id.clone(),
            attempt: self.attempts,
            route: self.request.route.name.clone(),
            upstream: self.request.upstream.clone(),
            instance: placement.instance.clone(),
            priority: self.request.priority.0,
            predicted_ms: placement.predicted_ms as u64,
            cached_tokens: placement.cached_tokens,
            prompt_tokens: self.request.demand.prompt_tokens,
            home_rank: placement.home_rank,
            in_flight: placement.in_flight,
            remaining_ms: self.remaining().as_millis() as u64,
            config_version: self.request.config_version,
            roster_revision: view.revision,
            roster_age_ms: self.app.roster_age_ms(),
        });
    }

    fn log_broke(
        &self,
        instance: &InstanceId,
        reason: &str,
        verdict: Verdict,
        last_id: Option<u64>,
        after_ms: u64,
    ) {
        emit(&GatewayEvent::AttemptBroke {
            request_id: self.request.request_id.clone(),
            attempt: self.attempts,
            instance: instance.clone(),
            reason: reason.into(),
            verdict,
            after_ms,
            last_event: last_id.unwrap_or_default(),
        });
        metrics::counter!("limpetgw_gateway_attempts_broken_total", "verdict" => verdict.as_str())
            .increment(1);
    }

    /// Logs a whole answer.
    pub(crate) fn log_answered(&self, status: u16, events: u32) {
        let total_ms = self.age_ms();
        let first_ms = match self.first_ms {
            0 => total_ms,
            first_ms => first_ms,
        };
        emit(&GatewayEvent::RequestAnswered {
            request_id: self.request.request_id.clone(),
            status,
            attempts: self.attempts,
            events,
            first_ms,
            total_ms,
        });
        metrics::counter!("limpetgw_gateway_answers_total", "status" => status.to_string())
            .increment(1);
        metrics::histogram!("limpetgw_gateway_first_event_seconds")
            .record(first_ms as f64 / 1_000.0);
    }

    /// Notes that the first event goes to the caller now.
    pub(crate) fn note_first_event(&mut self) {
        self.first_ms = self.age_ms();
    }

    /// Logs that the caller hung up.
    pub(crate) fn log_caller_left(&self, events: u32) {
        emit(&GatewayEvent::CallerLeft {
            request_id: self.request.request_id.clone(),
            events,
            total_ms: self.age_ms(),
        });
        metrics::counter!("limpetgw_gateway_callers_gone_total").increment(1);
    }
}

impl Broken {
    fn unsent() -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason: "the kept connection had closed before anything was sent".into(),
            answer: None,
            fault: Fault::Failed,
            retry_taken: false,
        }
    }

    fn cut(cut: &Cut) -> Self {
        Self::failed(cut.to_string())
    }

    fn failed(reason: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            reason: reason.into(),
            answer: None,
            fault: Fault::Failed,
            retry_taken: false,
        }
    }

    /// Gives an instance up for another one.
    fn left(reason: &str) -> Self {
        Self {
            retry_taken: true,
            ..Self::failed(reason)
        }
    }
}
