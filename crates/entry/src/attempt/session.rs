//! Runs the attempts of one request until a response is open or no further
//! attempt is allowed.

use std::{sync::Arc, time::Duration};

use futures_lite::FutureExt;
use net::InFlight;
use policy::{
    choice::ChoiceCriteria,
    retry::{backoff_ms, may_hedge},
    schedule::Recall,
};
use rpc::{DispatchMeta, DispatchReply};
use telemetry::{emit, events::EntryEvent};
use types::{ErrorCode, InstanceId, Verdict};

use super::{
    dispatch::{PendingDispatch, WaitMode, WaitOutcome},
    open_response::{DispatchGuard, OpenResponse},
    recall,
};
use crate::{
    app::{lock, App},
    evidence::exchange,
    failure::Failure,
    filters::{admit::AdmissionSlot, quarantine::check_quarantine},
    request::Request,
};

/// Maximum number of attempts per request, including the first one and hedges.
const ATTEMPTS_MAX: u32 = 4;
/// Expected wait until an instance is available; callers get a retry time
/// jittered around it.
const NO_UPSTREAM_WAIT_MS: u64 = 1_000;

/// A request and the state of its attempts.
pub(crate) struct Session {
    pub(crate) app: Arc<App>,
    pub(crate) request: Request,
    pub(crate) attempts: u32,
    excluded: Vec<InstanceId>,
    /// The agent of the attempt that ended last; `None` before any attempt has ended.
    last_agent: Option<LastAgent>,
    /// Whether any attempt so far may have run at an upstream.
    may_have_run: bool,
    slot: AdmissionSlot,
    in_flight: InFlight,
}

/// The agent that an attempt was dispatched to.
struct LastAgent {
    instance: InstanceId,
    addr: Arc<str>,
    /// Whether the attempt ended with a response or a transport error, not with an
    /// unanswered probe or at the deadline.
    responsive: bool,
}

impl Session {
    pub(crate) fn new(
        app: Arc<App>,
        request: Request,
        slot: AdmissionSlot,
        in_flight: InFlight,
    ) -> Self {
        app.with_budget(&request.class, |budget| budget.on_request());
        Self {
            app,
            request,
            attempts: 0,
            excluded: Vec::new(),
            last_agent: None,
            may_have_run: false,
            slot,
            in_flight,
        }
    }

    /// Returns a guard that counts the request as in flight beyond the session's
    /// lifetime, so that a drain waits for it.
    pub(crate) fn hold_in_flight(&self) -> InFlight {
        self.in_flight.duplicate()
    }

    /// Opens a response that starts at token `resume_from`. Retries on another
    /// instance after a failure that allows it.
    ///
    /// # Errors
    ///
    /// The last attempt's failure, with a verdict that covers all attempts.
    pub(crate) async fn open(&mut self, resume_from: u32) -> Result<OpenResponse, Failure> {
        loop {
            // Boxed, like the futures below, to keep the request's future small:
            // it is moved several times before it reaches the executor.
            let failure = match Box::pin(self.attempt(resume_from)).await {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            self.update_quarantine(&failure).await?;
            if !self.may_retry(&failure) {
                return Err(self.with_overall_verdict(failure));
            }
            self.back_off().await;
        }
    }

    /// Opens the rest of a response that was truncated after `resume_from` tokens.
    ///
    /// # Errors
    ///
    /// `truncation` if the request may not be sent again, else as for
    /// [`Session::open`].
    pub(crate) async fn reopen(
        &mut self,
        resume_from: u32,
        truncation: Failure,
    ) -> Result<OpenResponse, Failure> {
        self.may_have_run = true;
        self.log_failed_attempt(&truncation);
        self.update_quarantine(&truncation).await?;
        if !self.may_retry(&truncation) {
            return Err(truncation);
        }
        self.back_off().await;
        self.open(resume_from).await
    }

    /// After an upstream failure, fetches crash evidence from the agent and
    /// checks the request's content against it.
    ///
    /// # Errors
    ///
    /// `quarantined` if the evidence puts this request's content in quarantine.
    async fn update_quarantine(&mut self, failure: &Failure) -> Result<(), Failure> {
        let responsive_agent = self.last_agent.as_ref().filter(|agent| agent.responsive);
        let Some(agent) = responsive_agent else {
            return Ok(());
        };
        if failure.code != ErrorCode::UpstreamFailed {
            return Ok(());
        }
        exchange(&self.app, &agent.addr).await;
        match check_quarantine(&self.app, self.request.fingerprint) {
            Ok(suspect) => self.request.suspect |= suspect,
            Err(refusal) => return Err(self.with_overall_verdict(refusal)),
        }
        Ok(())
    }

    /// Makes one attempt. If the request is short and idempotent and no response
    /// arrives within the hedge delay, may also dispatch it to a second instance,
    /// the hedge.
    async fn attempt(&mut self, resume_from: u32) -> Result<OpenResponse, Failure> {
        self.slot.begin_dispatch()?;
        let mut pending = self.send(resume_from)?;
        let hedgeable = resume_from == 0 && self.is_hedgeable();
        if hedgeable {
            match self.wait(&mut pending, WaitMode::Hedge).await {
                WaitOutcome::HedgeDue => {}
                outcome => return self.finish_attempt(pending, outcome).await,
            }
            if self.may_hedge() {
                return Box::pin(self.hedge(pending)).await;
            }
        }
        let outcome = self.wait(&mut pending, self.wait_mode()).await;
        self.finish_attempt(pending, outcome).await
    }

    /// Dispatches to a second instance while `first` is pending. Returns the
    /// response that arrives first and cancels the other dispatch.
    async fn hedge(&mut self, mut first: PendingDispatch) -> Result<OpenResponse, Failure> {
        let Ok(mut second) = self.send(0) else {
            let outcome = self.wait(&mut first, WaitMode::ProbeAgent).await;
            return self.finish_attempt(first, outcome).await;
        };
        emit(&EntryEvent::HedgeSent {
            request_id: self.request.request_id.clone(),
            attempt: self.attempts,
            waited_ms: self.app.now().since(first.guard.sent_at),
        });
        let (outcome, is_first) = {
            let first_wait = async { (self.wait(&mut first, WaitMode::ProbeAgent).await, true) };
            let second_wait = async { (self.wait(&mut second, WaitMode::ProbeAgent).await, false) };
            first_wait.or(second_wait).await
        };
        let (finished, mut other) = match is_first {
            true => (first, second),
            false => (second, first),
        };
        if let Ok(response) = self.finish_attempt(finished, outcome).await {
            return Ok(response);
        }
        let outcome = self.wait(&mut other, WaitMode::ProbeAgent).await;
        self.finish_attempt(other, outcome).await
    }

    /// Chooses an instance that was not tried before and dispatches to it.
    fn send(&mut self, resume_from: u32) -> Result<PendingDispatch, Failure> {
        let (guard, addr) = self.choose()?;
        self.excluded.push(guard.candidate.member.instance.clone());
        let meta = self.meta(resume_from);
        Ok(PendingDispatch::new(
            &self.app,
            &self.request,
            meta,
            guard,
            addr,
        ))
    }

    async fn wait(&self, pending: &mut PendingDispatch, wait_mode: WaitMode) -> WaitOutcome {
        let remaining = Duration::from_millis(self.request.remaining_ms(self.app.now()));
        pending.wait(&self.app, wait_mode, remaining).await
    }

    fn wait_mode(&self) -> WaitMode {
        match self.request.idempotent {
            true => WaitMode::ProbeAgent,
            false => WaitMode::UntilDeadline,
        }
    }

    /// Turns the end of a wait into the attempt's result, and updates load
    /// statistics and logs.
    async fn finish_attempt(
        &mut self,
        mut pending: PendingDispatch,
        outcome: WaitOutcome,
    ) -> Result<OpenResponse, Failure> {
        self.last_agent = Some(LastAgent {
            instance: pending.guard.candidate.member.instance.clone(),
            addr: pending.addr.clone(),
            responsive: matches!(outcome, WaitOutcome::Head(_)),
        });
        let head = match outcome {
            WaitOutcome::Head(head) => *head,
            WaitOutcome::Unresponsive | WaitOutcome::HedgeDue => {
                return Err(self.on_unresponsive(&pending))
            }
            WaitOutcome::DeadlinePassed => return Err(self.on_deadline(&mut pending).await),
        };
        if let Some(reply) = &head.reply {
            self.on_reply(&pending, reply);
        }
        match head.response {
            Ok(conn) => Ok(OpenResponse::new(
                conn,
                pending.guard,
                pending.cancel,
                pending.addr,
            )),
            Err(failure) => {
                if head.refused || failure.verdict == Verdict::NotRun {
                    pending.cancel.disarm();
                }
                self.on_failed_attempt(&pending.guard, &failure);
                Err(failure)
            }
        }
    }

    fn choose(&mut self) -> Result<(DispatchGuard, Arc<str>), Failure> {
        let view = self.app.pools.view_for(&self.app.shared.membership());
        let criteria = ChoiceCriteria {
            prefix_hash: self.request.prefix_hash,
            exclude: &self.excluded,
            expected_tokens: self.request.expected_tokens(),
        };
        let pool = view.pool(&self.request.upstream);
        let choice = pool.and_then(|pool| {
            pool.choose(
                self.app.settings.rule,
                self.app.now(),
                &criteria,
                rand::random(),
            )
        });
        let chosen = choice.and_then(|choice| {
            let addr = view.addr(&choice.candidate.member.instance)?;
            Some((choice, addr.clone()))
        });
        let Some((choice, addr)) = chosen else {
            return Err(Failure::not_run(
                ErrorCode::NoUpstream,
                "no upstream instance is available for the request; send it again after the time in `retry-after`",
            )
            .retry_after(NO_UPSTREAM_WAIT_MS));
        };
        self.attempts += 1;
        self.app.meters.attempted();
        emit(&EntryEvent::UpstreamChosen {
            request_id: self.request.request_id.clone(),
            attempt: self.attempts,
            upstream: self.request.upstream.clone(),
            instance: choice.candidate.member.instance.clone(),
            scores: choice.inputs.scores.clone(),
            by_affinity: choice.inputs.by_affinity,
        });
        let expected_tokens = self.request.expected_tokens();
        let guard = DispatchGuard::new(self.app.clone(), choice.candidate.clone(), expected_tokens);
        Ok((guard, addr))
    }

    fn meta(&self, resume_from: u32) -> DispatchMeta {
        let request = &self.request;
        DispatchMeta {
            sender: self.app.settings.instance.clone(),
            generation: self.app.shared.config().generation,
            request_id: request.request_id.clone(),
            attempt: self.attempts,
            team: request.team.clone(),
            class: request.class.clone(),
            remaining_ms: request.remaining_ms(self.app.now()),
            resume_from,
            suspect: request.suspect,
            idempotent: request.idempotent,
            fingerprint: request.fingerprint,
            prompt_tokens: request.prompt_tokens,
            max_tokens: request.max_tokens,
            target: request.target.clone(),
        }
    }

    fn on_unresponsive(&mut self, pending: &PendingDispatch) -> Failure {
        let failure = Failure::new(
            ErrorCode::UpstreamFailed,
            Verdict::MayHaveRun,
            "the upstream's agent did not answer a status probe; the request may have run",
        );
        self.on_failed_attempt(&pending.guard, &failure);
        failure
    }

    /// Recalls the request at its deadline. The connection stays open until the
    /// agent answers: while it is open, the answer comes from the process that
    /// received the request; see [`PendingDispatch::is_open`].
    async fn on_deadline(&mut self, pending: &mut PendingDispatch) -> Failure {
        let recalled = recall::recall(&self.app, &pending.addr, &self.request.request_id).await;
        pending.cancel.disarm();
        let (verdict, message) = match recalled {
            Some(Recall::Recalled) if pending.is_open().await => (
                Verdict::NotRun,
                "the deadline passed before the request started; the request was withdrawn from the upstream",
            ),
            Some(_) => (
                Verdict::MayHaveRun,
                "the deadline passed after the request may have started; the request was cancelled",
            ),
            None => (
                Verdict::MayHaveRun,
                "the deadline passed and the upstream's agent did not answer the recall; the request may have run",
            ),
        };
        let failure = Failure::new(ErrorCode::DeadlineExceeded, verdict, message);
        if recalled.is_none() {
            pending.guard.candidate.on_failure(self.app.now());
        }
        self.may_have_run |= verdict != Verdict::NotRun;
        self.log_failed_attempt(&failure);
        failure
    }

    fn on_reply(&self, pending: &PendingDispatch, reply: &DispatchReply) {
        let now = self.app.now();
        pending.guard.candidate.on_report(now, &reply.load, 0);
        self.app
            .shared
            .on_peer_generation(&pending.addr, reply.generation);
        if reply.leaving {
            self.app.shared.on_leaving(&reply.sender);
        }
    }

    fn on_failed_attempt(&mut self, guard: &DispatchGuard, failure: &Failure) {
        let now = self.app.now();
        let candidate = &guard.candidate;
        match failure.code {
            ErrorCode::Draining => self.app.shared.on_leaving(&candidate.member.instance),
            ErrorCode::QueueFull | ErrorCode::Displaced => candidate.on_refusal(now),
            ErrorCode::NoUpstream | ErrorCode::UpstreamFailed => candidate.on_failure(now),
            _ => {}
        }
        self.may_have_run |= failure.verdict != Verdict::NotRun;
        self.log_failed_attempt(failure);
    }

    fn log_failed_attempt(&self, failure: &Failure) {
        let Some(agent) = &self.last_agent else {
            return;
        };
        self.app
            .meters
            .attempt_failed(failure.code, failure.verdict);
        emit(&EntryEvent::AttemptFailed {
            request_id: self.request.request_id.clone(),
            attempt: self.attempts,
            instance: agent.instance.clone(),
            code: failure.code,
            verdict: failure.verdict,
        });
    }

    /// Logs the complete response of a plain service. It has no tokens; the total
    /// time counts as the time to the first token.
    pub(crate) fn log_call_finished(&self) {
        self.log_finished(0, self.app.now().since(self.request.received_at));
    }

    /// Logs a complete response and clears its content of crash suspicion.
    pub(crate) fn log_finished(&self, tokens: u32, first_token_ms: u64) {
        lock(&self.app.suspects).on_completed(self.app.now(), self.request.fingerprint);
        self.app.meters.finished(
            &self.request.class,
            first_token_ms,
            self.request.first_token_target_ms,
        );
        emit(&EntryEvent::RequestFinished {
            request_id: self.request.request_id.clone(),
            class: self.request.class.clone(),
            tokens,
            first_token_ms,
            total_ms: self.app.now().since(self.request.received_at),
            attempts: self.attempts,
        });
    }

    /// Logs that the request ended without a complete response.
    pub(crate) fn log_failed(&self, failure: &Failure) {
        self.app.meters.failed(failure.code, failure.verdict);
        emit(&EntryEvent::RequestFailed {
            request_id: self.request.request_id.clone(),
            code: failure.code,
            verdict: failure.verdict,
            attempts: self.attempts,
        });
    }

    /// Returns whether to retry on another instance: the request has not run or
    /// is idempotent, the error is retryable, and attempts, deadline and retry
    /// budget allow it. Takes from the budget if so.
    fn may_retry(&self, failure: &Failure) -> bool {
        let safe = failure.verdict == Verdict::NotRun || self.request.idempotent;
        safe && is_retryable(failure.code)
            && self.attempts > 0
            && self.attempts < ATTEMPTS_MAX
            && self.request.remaining_ms(self.app.now()) > 0
            && self.has_untried_instance()
            && self.app.with_budget(&self.request.class, |budget| {
                budget.try_take(self.app.now())
            })
    }

    /// Returns whether the request is idempotent and its expected tokens are few
    /// enough for a hedge.
    fn is_hedgeable(&self) -> bool {
        let request = &self.request;
        may_hedge(request.idempotent, request.expected_tokens(), 0, 0)
    }

    fn may_hedge(&self) -> bool {
        self.attempts < ATTEMPTS_MAX
            && self.has_untried_instance()
            && self.app.with_budget(&self.request.class, |budget| {
                budget.try_take_hedge(self.app.now())
            })
    }

    fn has_untried_instance(&self) -> bool {
        let view = self.app.pools.view_for(&self.app.shared.membership());
        let pool = view.pool(&self.request.upstream);
        pool.is_some_and(|pool| {
            pool.candidates()
                .iter()
                .any(|candidate| !self.excluded.contains(&candidate.member.instance))
        })
    }

    async fn back_off(&self) {
        let backoff_ms = backoff_ms(self.attempts, rand::random());
        smol::Timer::after(Duration::from_millis(backoff_ms)).await;
    }

    /// Widens a "not run" verdict to "may have run" if an earlier attempt may
    /// have run.
    fn with_overall_verdict(&self, mut failure: Failure) -> Failure {
        if self.may_have_run && failure.verdict == Verdict::NotRun {
            failure.verdict = Verdict::MayHaveRun;
        }
        failure
    }
}

/// Returns whether another instance may succeed after an error with this code.
fn is_retryable(code: ErrorCode) -> bool {
    matches!(
        code,
        ErrorCode::QueueFull
            | ErrorCode::PeerRefused
            | ErrorCode::Draining
            | ErrorCode::NoUpstream
            | ErrorCode::NotConfigured
            | ErrorCode::UpstreamFailed
            | ErrorCode::Recalled
    )
}
