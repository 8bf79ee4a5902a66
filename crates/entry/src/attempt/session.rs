//! The attempts of one request until an answer opens or none can.

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
    open_answer::{DispatchGuard, OpenAnswer},
    recall,
};
use crate::{
    app::{lock, App},
    evidence::exchange,
    failure::Failure,
    filters::{admit::AdmissionSlot, quarantine::check_quarantine},
    request::Request,
};

/// Attempts of one request at most, the first included.
const ATTEMPTS_MAX: u32 = 4;
/// Expected wait told to callers when no instance can take a request, in milliseconds.
const NO_UPSTREAM_WAIT_MS: u64 = 1_000;

/// A request with what its attempts have shown so far.
pub(crate) struct Session {
    pub(crate) app: Arc<App>,
    pub(crate) request: Request,
    pub(crate) attempts: u32,
    excluded: Vec<InstanceId>,
    /// The agent of the attempt that was concluded last.
    last_agent: Option<LastAgent>,
    /// Whether an attempt may have run.
    may_have_run: bool,
    slot: AdmissionSlot,
    in_flight: InFlight,
}

/// The agent of an attempt.
struct LastAgent {
    instance: InstanceId,
    addr: Arc<str>,
    /// Whether it showed a sign of life.
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

    /// Counts the request as in flight for longer than the session lives.
    pub(crate) fn hold_in_flight(&self) -> InFlight {
        self.in_flight.another()
    }

    /// Opens an answer, on another instance where an attempt fails safely.
    /// `resume_from` tokens have been delivered already.
    ///
    /// # Errors
    ///
    /// The last attempt's failure; its verdict covers all attempts.
    pub(crate) async fn open(&mut self, resume_from: u32) -> Result<OpenAnswer, Failure> {
        loop {
            // Boxed, as its parts below are: a request's future is moved several
            // times on its way to the executor.
            let failure = match Box::pin(self.attempt(resume_from)).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            self.update_quarantine(&failure).await?;
            if !self.may_retry(&failure) {
                return Err(self.with_overall_verdict(failure));
            }
            self.back_off().await;
        }
    }

    /// Opens the rest of an answer that broke off after `resume_from` tokens.
    ///
    /// # Errors
    ///
    /// `cut` if the request may not be sent again, else as for [`Session::open`].
    pub(crate) async fn reopen(
        &mut self,
        resume_from: u32,
        truncation: Failure,
    ) -> Result<OpenAnswer, Failure> {
        self.may_have_run = true;
        self.log_failed_attempt(&truncation);
        self.update_quarantine(&truncation).await?;
        if !self.may_retry(&truncation) {
            return Err(truncation);
        }
        self.back_off().await;
        self.open(resume_from).await
    }

    /// After an upstream failed, asks its agent whether it crashed and which
    /// contents are suspected.
    ///
    /// # Errors
    ///
    /// `quarantined` if this request's content is refused from now on.
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

    async fn attempt(&mut self, resume_from: u32) -> Result<OpenAnswer, Failure> {
        self.slot.begin_dispatch()?;
        let mut pending = self.send(resume_from)?;
        let hedgeable = resume_from == 0 && self.is_hedgeable();
        if hedgeable {
            match self.wait(&mut pending, WaitMode::Hedge).await {
                WaitOutcome::HedgeDue => {}
                waited => return self.finish_attempt(pending, waited).await,
            }
            if self.may_hedge() {
                return Box::pin(self.hedge(pending)).await;
            }
        }
        let waited = self.wait(&mut pending, self.wait_mode()).await;
        self.finish_attempt(pending, waited).await
    }

    /// Asks a second instance as well; the first answer counts and the other
    /// one is cancelled.
    async fn hedge(&mut self, mut first: PendingDispatch) -> Result<OpenAnswer, Failure> {
        let Ok(mut second) = self.send(0) else {
            let waited = self.wait(&mut first, WaitMode::ProbeAgent).await;
            return self.finish_attempt(first, waited).await;
        };
        emit(&EntryEvent::HedgeSent {
            request_id: self.request.request_id.clone(),
            attempt: self.attempts,
            waited_ms: self.app.now().since(first.guard.sent_at),
        });
        let (waited, is_first) = {
            let first_wait = async { (self.wait(&mut first, WaitMode::ProbeAgent).await, true) };
            let second_wait = async { (self.wait(&mut second, WaitMode::ProbeAgent).await, false) };
            first_wait.or(second_wait).await
        };
        let (finished, mut other) = match is_first {
            true => (first, second),
            false => (second, first),
        };
        if let Ok(answer) = self.finish_attempt(finished, waited).await {
            return Ok(answer);
        }
        let waited = self.wait(&mut other, WaitMode::ProbeAgent).await;
        self.finish_attempt(other, waited).await
    }

    /// Chooses an instance and starts the dispatch to it.
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

    /// What a finished wait means for the attempt.
    async fn finish_attempt(
        &mut self,
        mut pending: PendingDispatch,
        waited: WaitOutcome,
    ) -> Result<OpenAnswer, Failure> {
        self.last_agent = Some(LastAgent {
            instance: pending.guard.candidate.member.instance.clone(),
            addr: pending.addr.clone(),
            responsive: matches!(waited, WaitOutcome::Head(_)),
        });
        let head = match waited {
            WaitOutcome::Head(head) => *head,
            WaitOutcome::Unresponsive | WaitOutcome::HedgeDue => {
                return Err(self.on_unresponsive(&pending))
            }
            WaitOutcome::DeadlinePassed => return Err(self.on_deadline(&mut pending).await),
        };
        if let Some(reply) = &head.reply {
            self.on_reply(&pending, reply);
        }
        match head.answer {
            Ok(conn) => Ok(OpenAnswer::new(
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
                "no upstream instance can take the request now; try again after the time given",
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
            "the upstream's agent does not answer",
        );
        self.on_failed_attempt(&pending.guard, &failure);
        failure
    }

    /// Takes the request back at its deadline. The connection stays open
    /// meanwhile.
    async fn on_deadline(&mut self, pending: &mut PendingDispatch) -> Failure {
        let recalled = recall::recall(&self.app, &pending.addr, &self.request.request_id).await;
        pending.cancel.disarm();
        let (verdict, message) = match recalled {
            Some(Recall::Recalled) if pending.is_open().await => (
                Verdict::NotRun,
                "the deadline passed before the request started; it was taken back",
            ),
            Some(_) => (
                Verdict::MayHaveRun,
                "the deadline passed after the request had started; it was cancelled",
            ),
            None => (
                Verdict::MayHaveRun,
                "the deadline passed and the upstream's agent does not answer",
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

    /// Logs that a plain service's whole answer was read.
    pub(crate) fn log_answered(&self) {
        self.log_finished(0, self.app.now().since(self.request.received_at));
    }

    /// Logs that a whole answer was read.
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

    /// Logs that the request ends without a whole answer.
    pub(crate) fn log_failed(&self, failure: &Failure) {
        self.app.meters.failed(failure.code, failure.verdict);
        emit(&EntryEvent::RequestFailed {
            request_id: self.request.request_id.clone(),
            code: failure.code,
            verdict: failure.verdict,
            attempts: self.attempts,
        });
    }

    /// Whether another instance may be tried: it is safe, it can help, and
    /// deadline and budget allow it.
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

    /// Whether the request is short and repeatable enough to be sent twice.
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

    /// The failure with the verdict over all attempts.
    fn with_overall_verdict(&self, mut failure: Failure) -> Failure {
        if self.may_have_run && failure.verdict == Verdict::NotRun {
            failure.verdict = Verdict::MayHaveRun;
        }
        failure
    }
}

/// Whether another instance could answer differently.
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
