//! State of one request across its attempts.

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    time::Duration,
};

use http::HeaderMap;
use policy::{
    crash_evidence::InstanceEnd,
    placement::{Placement, Urgency},
};
use rand::RngExt;
use types::{ErrorCode, InstanceId, TimeMs, Verdict};

use super::{
    exchange::{Exchange, LoadGuard},
    failover::ATTEMPT_TIME_MIN,
    log::{log_capacity_change, log_lane_split},
    receive::{AttemptError, InstanceFault, Progress, Received},
};
use crate::{
    app::{lock, App},
    failure::{stopping_may_have_run, stopping_not_run, unless_ended, Failure},
    request::Request,
    response::{BufferedResponse, EventBuffer, OpenedStream},
    upstream::{ConnectError, Connection, Lease},
};

/// Maximum connect attempts before the request fails. Each can take the connect
/// timeout of [`crate::upstream`].
const CONNECTS_MAX: u32 = 3;

/// Divisor for the share of an instance's connections that one gateway may use.
/// With up to 12 gateways under full load, no instance has to refuse a
/// connection.
const CONNECTIONS_DIVISOR: u32 = 12;

/// Connections to an instance that one gateway may always use.
const CONNECTIONS_MIN: u32 = 8;

/// Range of the suggested retry delay when no instance can accept the request.
/// Capacity becomes available when running requests end, which takes some
/// hundred milliseconds.
const NO_CAPACITY_RETRY_MS: std::ops::Range<u64> = 150..450;

/// Response to relay to the caller.
pub(crate) enum Outcome {
    /// A complete response of an instance.
    Buffered(BufferedResponse),
    /// A stream whose first event has arrived.
    Stream {
        /// Status of the attempt that opened the stream, 200 to 299.
        status: u16,
        /// Response headers of the attempt that opened the stream.
        headers: HeaderMap,
        /// The opened stream, from which the body is relayed.
        opened: Box<OpenedStream>,
    },
}

/// A request and the state of its attempts.
pub(crate) struct Session {
    pub(crate) app: Arc<App>,
    pub(crate) request: Arc<Request>,
    pub(crate) attempts: u32,
    pub(super) excluded: Vec<InstanceId>,
    pub(super) may_have_run: bool,
    /// Incarnation of the instance that the last attempt was sent to.
    pub(super) incarnation: u64,
    /// Time from receipt until the first event, in milliseconds; 0 before it.
    pub(super) first_ms: u64,
    /// Time from receipt until the last event, in milliseconds; 0 before the
    /// first one.
    pub(super) event_at_ms: u64,
    /// Longest time between two events, in milliseconds.
    pub(super) longest_pause_ms: u64,
    /// Whether the request was counted as begun.
    has_begun: AtomicBool,
}

impl Session {
    pub(crate) fn new(app: Arc<App>, request: Request) -> Self {
        let now = app.now();
        app.with_retry_budget(&request.upstream, |budget| budget.on_request(now));
        Self {
            app,
            request: Arc::new(request),
            attempts: 0,
            excluded: Vec::new(),
            may_have_run: false,
            incarnation: 0,
            first_ms: 0,
            event_at_ms: 0,
            longest_pause_ms: 0,
            has_begun: AtomicBool::new(false),
        }
    }

    /// Counts the request for its team when an instance has begun to run it, unless
    /// it was counted or continues a stream that was begun before.
    pub(super) fn on_begun(&self) {
        let Some(team) = &self.request.team else {
            return;
        };
        if self.request.resume_after.is_none() && !self.has_begun.swap(true, Ordering::Relaxed) {
            self.app.duties.on_begun(team);
        }
    }

    /// Returns the time left until the deadline of the request.
    pub(crate) fn remaining(&self) -> Duration {
        self.request.remaining(self.app.now())
    }

    /// Returns the time since the request was received, in milliseconds.
    pub(crate) fn age_ms(&self) -> u64 {
        self.app.now().since(self.request.received_at)
    }

    /// Makes attempts until an instance responds.
    ///
    /// # Errors
    ///
    /// The [`Failure`] to send to the caller; its verdict covers all attempts.
    pub(crate) async fn run(mut self) -> Result<Outcome, Failure> {
        let events = EventBuffer::resuming_after(self.request.resume_after);
        match self.run_attempts(events).await? {
            Received::Buffered(response) => {
                self.log_completed(response.status, 0);
                Ok(Outcome::Buffered(response))
            }
            Received::Streaming(exchange, events) => Ok(Outcome::Stream {
                status: exchange.response.status,
                headers: exchange.response.headers.clone(),
                opened: Box::new(OpenedStream {
                    session: self,
                    exchange: *exchange,
                    events,
                }),
            }),
        }
    }

    /// Resumes a stream on another instance after the events delivered so far.
    ///
    /// # Errors
    ///
    /// The [`Failure`] that ended the attempts.
    pub(crate) async fn resume_stream(
        &mut self,
        events: EventBuffer,
    ) -> Result<(Exchange, EventBuffer), Failure> {
        match self.run_attempts(events).await? {
            Received::Streaming(exchange, events) => Ok((*exchange, events)),
            Received::Buffered(response) => Err(Failure::may_have_run(
                ErrorCode::UpstreamFailed,
                format!(
                    "the instance responded {} instead of resuming the stream",
                    response.status
                ),
            )),
        }
    }

    /// Rejects the request if the predicted queueing time at every instance is
    /// too long for it.
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
        let reason = format!("the predicted wait for this prompt is {wait_ms} ms on all instances");
        let retry_ms = overload.retry_after_ms(rand::random());
        Err(Failure::not_run(ErrorCode::QueueFull, reason).retry_after(retry_ms))
    }

    /// Rejects the request if it is quarantined for crashing instances.
    async fn check_quarantine(&self) -> Result<(), Failure> {
        if lock(&self.app.crash_log).is_clean() {
            return Ok(());
        }
        let screened = self
            .app
            .screen(&self.request.request_id, self.request.suspects())
            .await;
        screened.map_err(|mut failure| {
            if self.may_have_run {
                failure = Failure::may_have_run(ErrorCode::UpstreamFailed, failure.reason);
            }
            failure
        })
    }

    /// Makes attempts until one succeeds or no retry is allowed.
    async fn run_attempts(&mut self, mut events: EventBuffer) -> Result<Received, Failure> {
        loop {
            let (app, may_have_run) = (self.app.clone(), self.may_have_run);
            let stopping = || stopping_failure(may_have_run);
            unless_ended(&app.lifecycle, self.check_quarantine(), stopping).await?;
            if self.attempts == 0 {
                self.check_overload()?;
            }
            let (placement, load_guard, connection, lease) =
                unless_ended(&app.lifecycle, self.connect(), stopping).await?;
            self.attempts += 1;
            self.log_placed(&placement);
            self.log_prefix_copy(&placement);
            let sent_at = self.app.now();
            let http_request = self.http_request(&placement, &events)?;
            let attempt = self.receive(load_guard, connection, lease, http_request, &mut events);
            let attempt_error = match Box::pin(attempt).await {
                Ok(received) => return Ok(received),
                Err(attempt_error) => attempt_error,
            };
            // The next attempt resumes after the last complete event.
            events.discard_partial();
            let after_ms = self.app.now().since(sent_at);
            self.record_attempt_error(
                &placement.instance,
                &attempt_error,
                events.last_id(),
                after_ms,
            );
            self.excluded.push(placement.instance);
            if attempt_error.retry_reserved || self.try_reserve_retry(attempt_error.verdict) {
                continue;
            }
            if let Some(response) = attempt_error.response {
                return Ok(Received::Buffered(response));
            }
            return Err(self.final_failure(&attempt_error));
        }
    }

    /// Chooses an instance and takes a connection to it, trying others if that
    /// fails.
    async fn connect(&mut self) -> Result<(Placement, LoadGuard, Connection, Lease), Failure> {
        let mut reason = String::from("no usable instance of the upstream");
        let mut reopens_in_ms = None;
        for _ in 0..CONNECTS_MAX {
            if self.remaining() < ATTEMPT_TIME_MIN {
                return Err(self.deadline_failure("the remaining time is too short for an attempt"));
            }
            let now = self.app.now();
            let view = self.app.view.load_full();
            let upstream = self.request.upstream.clone();
            let unavailable = self.app.unavailable_instances(&upstream);
            let mut excluded = self.app.instances_at_limit();
            excluded.extend_from_slice(&self.excluded);
            excluded.extend(unavailable.closed);
            let placed = self.app.with_placer(&upstream, |placer| {
                let demand = &self.request.demand;
                let usable_otherwise = excluded.len();
                excluded.extend(unavailable.last_resort);
                let placement = placer.choose(now, demand, &excluded).or_else(|| {
                    excluded.truncate(usable_otherwise);
                    placer.choose(now, demand, &excluded)
                })?;
                let before = placer.lane_split();
                let ticket = placer.on_sent(now, &self.request.demand, &placement);
                let changes = placer.take_capacity_changes(now);
                Some((placement, ticket, before, placer.lane_split(), changes))
            });
            let Some((placement, ticket, before, after, capacity_changes)) = placed else {
                match unavailable.reopens_at {
                    Some(at) if self.may_wait_until(at) => {
                        smol::Timer::after(Duration::from_millis(at.since(now))).await;
                        continue;
                    }
                    reopens_at => reopens_in_ms = reopens_at.map(|at| at.since(now)),
                }
                break;
            };
            if before.short_instances != after.short_instances {
                log_lane_split(&upstream, &before, &after);
            }
            for change in &capacity_changes {
                log_capacity_change(&upstream, change);
            }
            self.app.on_placed(&placement);
            let instance = placement.instance.clone();
            let load_guard =
                LoadGuard::new(self.app.clone(), upstream.clone(), instance.clone(), ticket);
            let Some(addr) = view.addr(&instance) else {
                self.excluded.push(instance);
                continue;
            };
            self.incarnation = view.incarnation(&instance).unwrap_or_default();
            let max = self.connections_max();
            match self.app.pool.take(addr, max).await {
                // The instance may have announced something meanwhile.
                Ok((connection, lease)) if !self.app.is_available(&instance, self.incarnation) => {
                    self.app.pool.put(lease, connection);
                    self.excluded.push(instance);
                }
                Ok((connection, lease)) => return Ok((placement, load_guard, connection, lease)),
                Err(error) => {
                    reason = error.to_string();
                    let now = self.app.now();
                    self.app.with_placer(&upstream, |placer| match error {
                        ConnectError::InUse(_) => placer.on_full(now, &instance),
                        ConnectError::Failed(_) => {
                            placer.on_unreachable(now, &instance);
                        }
                    });
                    let attempt_error = AttemptError::unconnected(reason.clone());
                    self.log_attempt_failed(&instance, &attempt_error, None, 0);
                    self.excluded.push(instance);
                }
            }
        }
        let jitter_ms = rand::rng().random_range(NO_CAPACITY_RETRY_MS);
        let retry_ms = reopens_in_ms.unwrap_or_default() + jitter_ms;
        Err(match self.may_have_run {
            true => Failure::may_have_run(ErrorCode::UpstreamFailed, reason),
            false => Failure::not_run(ErrorCode::NoUpstream, reason).retry_after(retry_ms),
        })
    }

    /// Returns whether the request can wait until `at` and still meet its latency
    /// target.
    fn may_wait_until(&self, at: TimeMs) -> bool {
        let target_ms = self.request.route.latency_target.as_millis() as u64;
        at < self.request.received_at + target_ms && at < self.request.deadline
    }

    /// Returns the number of connections to one instance that this process may
    /// use.
    fn connections_max(&self) -> usize {
        let routing = self.app.routing.load();
        let spec = routing.upstreams.get(&self.request.upstream);
        let instance_max = spec.map_or(u32::MAX, |spec| spec.connections_max);
        (instance_max / CONNECTIONS_DIVISOR).max(CONNECTIONS_MIN) as usize
    }

    /// Records that a stream failed after its first event, and excludes the
    /// instance from further attempts.
    pub(crate) fn on_stream_error(
        &mut self,
        exchange: Exchange,
        reason: &str,
        last_id: Option<u64>,
    ) {
        let instance = exchange.load_guard.instance.clone();
        drop(exchange);
        let attempt_error = AttemptError::failed(reason).with_progress(Progress::Events);
        self.record_attempt_error(&instance, &attempt_error, last_id, self.age_ms());
        self.excluded.push(instance);
    }

    /// Reports a failed attempt to the placer and logs it.
    fn record_attempt_error(
        &mut self,
        instance: &InstanceId,
        attempt_error: &AttemptError,
        last_id: Option<u64>,
        after_ms: u64,
    ) {
        let now = self.app.now();
        self.app
            .with_placer(&self.request.upstream, |placer| match attempt_error.fault {
                InstanceFault::Failed => placer.on_failure(now, instance),
                InstanceFault::Full => placer.on_full(now, instance),
                InstanceFault::Replaced => placer.on_unreachable(now, instance),
            });
        self.may_have_run |= attempt_error.verdict != Verdict::NotRun;
        if attempt_error.is_connection_lost_before_first_event() {
            let end = InstanceEnd {
                instance: instance.clone(),
                incarnation: self.incarnation,
            };
            self.app.on_connection_lost(end, self.request.suspects());
        }
        self.log_attempt_failed(instance, attempt_error, last_id, after_ms);
    }

    /// Returns the failure for the caller, covering all attempts.
    fn final_failure(&self, attempt_error: &AttemptError) -> Failure {
        if self.app.lifecycle.has_ended_requests() {
            return stopping_failure(self.may_have_run);
        }
        if self.remaining().is_zero() {
            return self.deadline_failure(&attempt_error.reason);
        }
        if self.may_have_run {
            return Failure::may_have_run(ErrorCode::UpstreamFailed, attempt_error.reason.clone());
        }
        let retry_ms = rand::rng().random_range(NO_CAPACITY_RETRY_MS);
        Failure::not_run(ErrorCode::NoUpstream, attempt_error.reason.clone()).retry_after(retry_ms)
    }

    /// Returns the failure for a request that ran out of time.
    fn deadline_failure(&self, reason: &str) -> Failure {
        match self.may_have_run {
            true => Failure::may_have_run(ErrorCode::DeadlineExceeded, reason),
            false => Failure::not_run(ErrorCode::NoUpstream, reason),
        }
    }
}

/// Returns the failure for a request that the stopping process ends.
fn stopping_failure(may_have_run: bool) -> Failure {
    match may_have_run {
        true => stopping_may_have_run(),
        false => stopping_not_run(),
    }
}
