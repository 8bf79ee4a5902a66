//! Decides when a request is moved to another instance and whether a retry is
//! allowed.

use std::time::Duration;

use types::{InstanceId, TimeMs, Verdict};

use super::{
    exchange::Exchange,
    receive::{AttemptError, Received},
    session::Session,
};
use crate::routing::{ResponseMode, RetryPolicy};

/// Minimum time before the deadline for another attempt. No upstream responds
/// in less.
pub(super) const ATTEMPT_TIME_MIN: Duration = Duration::from_millis(25);

/// Time without data from an instance after which its connectivity is probed.
/// Silence alone does not show a failure, because an engine with a full queue
/// may not respond for seconds. Must be well below the two seconds after which
/// callers abandon a stream.
const SILENCE_PROBE_MS: u64 = 700;

/// Interval at which a waiting request checks the state of its instance.
const STATUS_CHECK_INTERVAL_MS: u64 = 200;

/// Multiple of the latency target of a route after which a buffered request
/// fails over even if its instance is responsive. Streams do not fail over for
/// being late: the prompt would have to be prefilled again after waiting in
/// another full queue.
const FAILOVER_TARGET_FACTOR: u32 = 2;

/// Shortest wait for a responsive instance before failing over.
const FAILOVER_WAIT_MIN: Duration = Duration::from_millis(300);

impl Session {
    /// Waits until the request should stop waiting for this instance, and
    /// returns why: its deadline has passed, or it fails over to another
    /// instance.
    pub(super) async fn wait_for_failover(
        &self,
        instance: &InstanceId,
    ) -> Result<Received, AttemptError> {
        let sent_at = self.app.now();
        let failover_after_ms = self.failover_after_ms();
        loop {
            let now = self.app.now();
            let remaining = self.request.remaining(now);
            let waited_ms = now.since(sent_at);
            if remaining.is_zero() {
                return Err(AttemptError::failed(
                    "no response before the request deadline",
                ));
            }
            if waited_ms >= SILENCE_PROBE_MS && self.is_silent(now, instance) {
                self.app.probe(&self.request.upstream, instance);
            }
            let may_fail_over =
                waited_ms >= failover_after_ms || self.is_unresponsive(now, instance);
            if may_fail_over
                && self.has_alternative()
                && self.try_reserve_retry(Verdict::MayHaveRun)
            {
                return Err(AttemptError::failed_over(
                    "no response in time; retrying on another instance",
                ));
            }
            let next_check_ms = match failover_after_ms.min(SILENCE_PROBE_MS) {
                first_check_ms if waited_ms < first_check_ms => first_check_ms - waited_ms,
                _ => STATUS_CHECK_INTERVAL_MS,
            };
            smol::Timer::after(remaining.min(Duration::from_millis(next_check_ms))).await;
        }
    }

    /// Returns the time after which the request fails over from a responsive
    /// instance, in milliseconds; `u64::MAX` for streams.
    pub(super) fn failover_after_ms(&self) -> u64 {
        match self.request.route.response_mode {
            ResponseMode::EventStream { .. } => u64::MAX,
            ResponseMode::Buffered => {
                let wait = self.request.route.latency_target * FAILOVER_TARGET_FACTOR;
                wait.max(FAILOVER_WAIT_MIN).as_millis() as u64
            }
        }
    }

    /// Returns whether the instance has sent nothing for [`SILENCE_PROBE_MS`]
    /// although requests are in flight.
    pub(super) fn is_silent(&self, now: TimeMs, instance: &InstanceId) -> bool {
        self.app.with_placer(&self.request.upstream, |placer| {
            placer.is_silent(now, instance, SILENCE_PROBE_MS)
        })
    }

    /// Returns whether the instance is unreachable or hangs, as opposed to
    /// being slow under load.
    pub(super) fn is_unresponsive(&self, now: TimeMs, instance: &InstanceId) -> bool {
        self.app.with_placer(&self.request.upstream, |placer| {
            placer.is_unreachable(instance)
                || placer.is_hanging(now, instance, &self.request.demand)
        })
    }

    /// Returns whether the retry policy, the attempt limit and the time left
    /// allow another attempt if this one is abandoned.
    pub(super) fn has_alternative(&self) -> bool {
        self.request.route.retry_policy != RetryPolicy::NotRunOnly && self.has_attempt_left()
    }

    /// Returns whether the attempt limit, the time left and a stop of the process
    /// allow another attempt.
    fn has_attempt_left(&self) -> bool {
        !self.app.lifecycle.has_ended_requests()
            && self.attempts < self.request.route.attempts_max
            && self.remaining() > ATTEMPT_TIME_MIN
    }

    /// Returns whether a stalled stream may move to another instance, which
    /// requires that the current one is unreachable or hangs. Probes the
    /// instance if it is silent.
    pub(crate) fn may_fail_over_stalled(&self, exchange: &Exchange) -> bool {
        let instance = &exchange.load_guard.instance;
        let now = self.app.now();
        if self.is_silent(now, instance) {
            self.app.probe(&self.request.upstream, instance);
        }
        self.may_resume_on_another() && self.is_unresponsive(now, instance)
    }

    /// Returns whether the route allows resuming and another attempt is
    /// possible.
    fn may_resume_on_another(&self) -> bool {
        self.request.route.retry_policy == RetryPolicy::ResumeStream && self.has_attempt_left()
    }

    /// Returns whether a failed stream may resume on another instance. If so,
    /// the attempt is taken from the retry budget.
    pub(crate) fn try_reserve_resume(&mut self) -> bool {
        self.may_resume_on_another() && self.try_reserve_retry(Verdict::MayHaveRun)
    }

    /// Returns whether the request may be sent again. If so, the attempt is
    /// taken from the retry budget. `verdict` is that of the failed attempt.
    pub(super) fn try_reserve_retry(&self, verdict: Verdict) -> bool {
        let policy_allows_retry = match self.request.route.retry_policy {
            RetryPolicy::Always | RetryPolicy::ResumeStream => true,
            RetryPolicy::NotRunOnly => verdict == Verdict::NotRun && !self.may_have_run,
        };
        let now = self.app.now();
        policy_allows_retry
            && self.has_attempt_left()
            && self
                .app
                .with_retry_budget(&self.request.upstream, |budget| budget.try_take(now))
    }
}
