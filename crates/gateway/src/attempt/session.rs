//! A request with what its attempts have shown so far.

use std::{sync::Arc, time::Duration};

use http::HeaderMap;
use net::InFlight;
use policy::placement::{Placement, Urgency};
use rand::RngExt;
use types::{ErrorCode, InstanceId, Verdict};

use super::{
    exchange::{Exchange, Flight},
    log::log_border,
    patience::ATTEMPT_TIME_MIN,
    receive::{Broken, Fault, Received},
};
use crate::{
    answer::{Events, Opened, WholeAnswer},
    app::App,
    failure::Failure,
    request::Request,
    upstream::{ConnectError, Connection, Lease},
};

/// Connects that may fail before a request is given up. They cost callers up
/// to [`crate::upstream`]'s connect timeout each.
const CONNECTS_MAX: u32 = 3;

/// Part of an instance's connections that one entry uses, as a divisor. With
/// up to 12 entries under full load no instance has to refuse one.
const CONNECTIONS_DIVISOR: u32 = 12;

/// Connections that one entry may always use.
const CONNECTIONS_MIN: u32 = 8;

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

/// A request and its attempts.
pub(crate) struct Session {
    pub(crate) app: Arc<App>,
    pub(crate) request: Arc<Request>,
    pub(crate) attempts: u32,
    pub(super) excluded: Vec<InstanceId>,
    pub(super) may_have_run: bool,
    pub(super) first_ms: u64,
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

    /// Refuses a request that would only wait for too long.
    fn check_overload(&self) -> Result<(), Failure> {
        let now = self.app.now();
        let request = &self.request;
        let urgency = Urgency {
            priority: request.priority,
            remaining_ms: self.remaining().as_millis() as u64,
        };
        let overload = self.app.with_placer(&request.upstream, |placer| {
            placer.overload(now, &request.demand, &urgency)
        });
        let Some(overload) = overload else {
            return Ok(());
        };
        let wait_ms = overload.wait_ms as u64;
        let reason = format!("prompts like this one wait for {wait_ms} ms at all instances");
        let retry_ms = overload.retry_after_ms(rand::random());
        Err(Failure::not_run(ErrorCode::QueueFull, reason).retry_after(retry_ms))
    }

    async fn open(&mut self, mut events: Events) -> Result<Received, Failure> {
        if self.attempts == 0 {
            self.check_overload()?;
        }
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
            // The next run goes on after the last whole event.
            events.restart();
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
                let before = placer.lane_split();
                let ticket = placer.on_sent(now, &self.request.demand, &placement);
                Some((placement, ticket, before, placer.lane_split()))
            });
            let Some((placement, ticket, before, border)) = placed else {
                break;
            };
            if before.short_instances != border.short_instances {
                log_border(&upstream, &before, &border);
            }
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
}
