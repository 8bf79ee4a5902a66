//! When an instance is given up for another one, and whether that is allowed.

use std::time::Duration;

use types::{InstanceId, TimeMs, Verdict};

use super::{
    exchange::Exchange,
    receive::{Broken, Received},
    session::Session,
};
use crate::routing::{ResponseMode, RetryPolicy};

/// Time left below which no further attempt is made: less than any upstream
/// needs for an answer.
pub(super) const ATTEMPT_TIME_MIN: Duration = Duration::from_millis(25);

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

impl Session {
    /// Ends when the request should not wait for this instance any more.
    pub(super) async fn out_of_patience(&self, instance: &InstanceId) -> Result<Received, Broken> {
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
    pub(super) fn patience_ms(&self) -> u64 {
        match self.request.route.response_mode {
            ResponseMode::EventStream { .. } => u64::MAX,
            ResponseMode::Buffered => {
                let patience = self.request.route.latency_target * PATIENCE_TARGETS;
                patience.max(PATIENCE_MIN).as_millis() as u64
            }
        }
    }

    pub(super) fn is_silent(&self, now: TimeMs, instance: &InstanceId) -> bool {
        self.app.with_placer(&self.request.upstream, |placer| {
            placer.is_silent(now, instance, SILENCE_MS)
        })
    }

    /// Whether the instance is dark or hangs, rather than being busy.
    pub(super) fn is_lost(&self, now: TimeMs, instance: &InstanceId) -> bool {
        self.app.with_placer(&self.request.upstream, |placer| {
            placer.is_unreachable(instance)
                || placer.is_hanging(now, instance, &self.request.demand)
        })
    }

    /// Whether another attempt would be allowed if this one is given up.
    pub(super) fn has_alternative(&self) -> bool {
        self.request.route.retry_policy != RetryPolicy::NotRunOnly && self.has_attempt_left()
    }

    /// Whether the route's attempts and the time left allow one more.
    fn has_attempt_left(&self) -> bool {
        self.attempts < self.request.route.attempts_max && self.remaining() > ATTEMPT_TIME_MIN
    }

    /// Whether a stream that has stalled may be taken away from its instance:
    /// only if that is dark or hangs.
    pub(crate) fn may_leave_stalled(&self, exchange: &Exchange) -> bool {
        let instance = &exchange.flight.instance;
        let now = self.app.now();
        if self.is_silent(now, instance) {
            self.app.probe(&self.request.upstream, instance);
        }
        self.may_resume_elsewhere() && self.is_lost(now, instance)
    }

    fn may_resume_elsewhere(&self) -> bool {
        self.request.route.retry_policy == RetryPolicy::ResumeStream && self.has_attempt_left()
    }

    /// Whether a broken stream may go on at another instance; takes the
    /// attempt from the budget.
    pub(crate) fn may_resume(&mut self) -> bool {
        self.may_resume_elsewhere() && self.may_try_again(Verdict::MayHaveRun)
    }

    /// Whether the request may be sent once more; takes it from the budget.
    pub(super) fn may_try_again(&self, verdict: Verdict) -> bool {
        let retry_policy = match self.request.route.retry_policy {
            RetryPolicy::Always | RetryPolicy::ResumeStream => true,
            RetryPolicy::NotRunOnly => verdict == Verdict::NotRun && !self.may_have_run,
        };
        let now = self.app.now();
        retry_policy
            && self.has_attempt_left()
            && self
                .app
                .with_budget(&self.request.upstream, |budget| budget.try_take(now))
    }
}
