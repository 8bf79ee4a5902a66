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
    answer::{OpenAnswer, Sent},
    recall,
    sending::{Patience, Sending, Waited},
};
use crate::{
    app::{lock, App},
    evidence::exchange,
    failure::Failure,
    filters::{admit::Place, quarantine::check_quarantine},
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
    place: Place,
    in_flight: InFlight,
}

/// The agent of an attempt.
struct LastAgent {
    instance: InstanceId,
    addr: Arc<str>,
    /// Whether it showed a sign of life.
    answers: bool,
}

impl Session {
    pub(crate) fn new(app: Arc<App>, request: Request, place: Place, in_flight: InFlight) -> Self {
        app.with_budget(&request.class, |budget| budget.on_request());
        Self {
            app,
            request,
            attempts: 0,
            excluded: Vec::new(),
            last_agent: None,
            may_have_run: false,
            place,
            in_flight,
        }
    }

    /// Counts the request as in flight for longer than the session lives.
    pub(crate) fn hold(&self) -> InFlight {
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
            self.learn_from(&failure).await?;
            if !self.may_try_again(&failure) {
                return Err(self.overall(failure));
            }
            self.pause().await;
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
        cut: Failure,
    ) -> Result<OpenAnswer, Failure> {
        self.may_have_run = true;
        self.log_failed_attempt(&cut);
        self.learn_from(&cut).await?;
        if !self.may_try_again(&cut) {
            return Err(cut);
        }
        self.pause().await;
        self.open(resume_from).await
    }

    /// After an upstream failed, asks its agent whether it crashed and which
    /// contents are suspected.
    ///
    /// # Errors
    ///
    /// `quarantined` if this request's content is refused from now on.
    async fn learn_from(&mut self, failure: &Failure) -> Result<(), Failure> {
        let answering = self.last_agent.as_ref().filter(|agent| agent.answers);
        let Some(agent) = answering else {
            return Ok(());
        };
        if failure.code != ErrorCode::UpstreamFailed {
            return Ok(());
        }
        exchange(&self.app, &agent.addr).await;
        match check_quarantine(&self.app, self.request.fingerprint) {
            Ok(suspect) => self.request.suspect |= suspect,
            Err(refusal) => return Err(self.overall(refusal)),
        }
        Ok(())
    }

    async fn attempt(&mut self, resume_from: u32) -> Result<OpenAnswer, Failure> {
        self.place.dispatch()?;
        let mut sending = self.send(resume_from)?;
        let hedgeable = resume_from == 0 && self.is_short();
        if hedgeable {
            match self.wait(&mut sending, Patience::Hedge).await {
                Waited::Impatient => {}
                waited => return self.conclude(sending, waited).await,
            }
            if self.may_hedge() {
                return Box::pin(self.hedge(sending)).await;
            }
        }
        let waited = self.wait(&mut sending, self.patience()).await;
        self.conclude(sending, waited).await
    }

    /// Asks a second instance as well; the first answer counts and the other
    /// one is cancelled.
    async fn hedge(&mut self, mut first: Sending) -> Result<OpenAnswer, Failure> {
        let Ok(mut second) = self.send(0) else {
            let waited = self.wait(&mut first, Patience::Silence).await;
            return self.conclude(first, waited).await;
        };
        emit(&EntryEvent::HedgeSent {
            request_id: self.request.request_id.clone(),
            attempt: self.attempts,
            waited_ms: self.app.now().since(first.sent.sent_at),
        });
        let (waited, is_first) = {
            let of_first = async { (self.wait(&mut first, Patience::Silence).await, true) };
            let of_second = async { (self.wait(&mut second, Patience::Silence).await, false) };
            of_first.or(of_second).await
        };
        let (ended, mut other) = match is_first {
            true => (first, second),
            false => (second, first),
        };
        if let Ok(answer) = self.conclude(ended, waited).await {
            return Ok(answer);
        }
        let waited = self.wait(&mut other, Patience::Silence).await;
        self.conclude(other, waited).await
    }

    /// Chooses an instance and starts the dispatch to it.
    fn send(&mut self, resume_from: u32) -> Result<Sending, Failure> {
        let (sent, addr) = self.choose()?;
        self.excluded.push(sent.candidate.member.instance.clone());
        let meta = self.meta(resume_from);
        Ok(Sending::new(&self.app, &self.request, meta, sent, addr))
    }

    async fn wait(&self, sending: &mut Sending, patience: Patience) -> Waited {
        let remaining = Duration::from_millis(self.request.remaining_ms(self.app.now()));
        sending.wait(&self.app, patience, remaining).await
    }

    fn patience(&self) -> Patience {
        match self.request.idempotent {
            true => Patience::Silence,
            false => Patience::Deadline,
        }
    }

    /// What a finished wait means for the attempt.
    async fn conclude(
        &mut self,
        mut sending: Sending,
        waited: Waited,
    ) -> Result<OpenAnswer, Failure> {
        self.last_agent = Some(LastAgent {
            instance: sending.sent.candidate.member.instance.clone(),
            addr: sending.addr.clone(),
            answers: matches!(waited, Waited::Head(_)),
        });
        let head = match waited {
            Waited::Head(head) => *head,
            Waited::Silent | Waited::Impatient => return Err(self.on_silent(&sending)),
            Waited::Late => return Err(self.on_late(&mut sending).await),
        };
        if let Some(reply) = &head.reply {
            self.on_reply(&sending, reply);
        }
        match head.answer {
            Ok(conn) => Ok(OpenAnswer::new(
                conn,
                sending.sent,
                sending.cancel,
                sending.addr,
            )),
            Err(failure) => {
                if head.refused || failure.verdict == Verdict::NotRun {
                    sending.cancel.disarm();
                }
                self.on_failed_attempt(&sending.sent, &failure);
                Err(failure)
            }
        }
    }

    fn choose(&mut self) -> Result<(Sent, Arc<str>), Failure> {
        let view = self.app.pools.at(&self.app.shared.membership());
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
        let placed = choice.and_then(|choice| {
            let addr = view.addr(&choice.candidate.member.instance)?;
            Some((choice, addr.clone()))
        });
        let Some((choice, addr)) = placed else {
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
        let sent = Sent::new(self.app.clone(), choice.candidate.clone(), expected_tokens);
        Ok((sent, addr))
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

    fn on_silent(&mut self, sending: &Sending) -> Failure {
        let failure = Failure::new(
            ErrorCode::UpstreamFailed,
            Verdict::MayHaveRun,
            "the upstream's agent does not answer",
        );
        self.on_failed_attempt(&sending.sent, &failure);
        failure
    }

    /// Takes the request back at its deadline. The connection stays open
    /// meanwhile.
    async fn on_late(&mut self, sending: &mut Sending) -> Failure {
        let recalled = recall::recall(&self.app, &sending.addr, &self.request.request_id).await;
        sending.cancel.disarm();
        let (verdict, message) = match recalled {
            Some(Recall::Recalled) if sending.is_open().await => (
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
            sending.sent.candidate.on_failure(self.app.now());
        }
        self.may_have_run |= verdict != Verdict::NotRun;
        self.log_failed_attempt(&failure);
        failure
    }

    fn on_reply(&self, sending: &Sending, reply: &DispatchReply) {
        let now = self.app.now();
        sending.sent.candidate.on_report(now, &reply.load, 0);
        self.app
            .shared
            .on_peer_generation(&sending.addr, reply.generation);
        if reply.leaving {
            self.app.shared.on_leaving(&reply.sender);
        }
    }

    fn on_failed_attempt(&mut self, sent: &Sent, failure: &Failure) {
        let now = self.app.now();
        let candidate = &sent.candidate;
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
    fn may_try_again(&self, failure: &Failure) -> bool {
        let safe = failure.verdict == Verdict::NotRun || self.request.idempotent;
        safe && can_help(failure.code)
            && self.attempts > 0
            && self.attempts < ATTEMPTS_MAX
            && self.request.remaining_ms(self.app.now()) > 0
            && self.has_another()
            && self.app.with_budget(&self.request.class, |budget| {
                budget.try_take(self.app.now())
            })
    }

    /// Whether the request is short and repeatable enough to be sent twice.
    fn is_short(&self) -> bool {
        let request = &self.request;
        may_hedge(request.idempotent, request.expected_tokens(), 0, 0)
    }

    fn may_hedge(&self) -> bool {
        self.attempts < ATTEMPTS_MAX
            && self.has_another()
            && self.app.with_budget(&self.request.class, |budget| {
                budget.try_take_hedge(self.app.now())
            })
    }

    fn has_another(&self) -> bool {
        let view = self.app.pools.at(&self.app.shared.membership());
        let pool = view.pool(&self.request.upstream);
        pool.is_some_and(|pool| {
            pool.candidates()
                .iter()
                .any(|one| !self.excluded.contains(&one.member.instance))
        })
    }

    async fn pause(&self) {
        let pause_ms = backoff_ms(self.attempts, rand::random());
        smol::Timer::after(Duration::from_millis(pause_ms)).await;
    }

    /// The failure with the verdict over all attempts.
    fn overall(&self, mut failure: Failure) -> Failure {
        if self.may_have_run && failure.verdict == Verdict::NotRun {
            failure.verdict = Verdict::MayHaveRun;
        }
        failure
    }
}

/// Whether another instance could answer differently.
fn can_help(code: ErrorCode) -> bool {
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
