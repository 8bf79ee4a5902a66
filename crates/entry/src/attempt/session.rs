//! The attempts of one request until an answer opens or none can.

use std::{sync::Arc, time::Duration};

use futures_lite::FutureExt;
use policy::{choice::Wanted, retry::backoff_ms, schedule::Recall};
use rpc::{DispatchMeta, DispatchReply};
use telemetry::{emit, events::EntryEvent};
use types::{ErrorCode, InstanceId, Verdict};

use super::{
    answer::{OpenAnswer, Sent},
    recall::{self, CancelGuard},
    transport::Head,
};
use crate::{
    app::{lock, App},
    evidence::exchange,
    failure::Failure,
    filters::{admit::Place, quarantine::check_quarantine},
    lifecycle::InFlight,
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
    /// Address of the last attempt's agent.
    last_addr: Option<Arc<str>>,
    /// Whether an attempt may have run.
    may_have_run: bool,
    place: Place,
    in_flight: InFlight,
}

/// An instance chosen for an attempt.
struct Chosen {
    sent: Sent,
    addr: Arc<str>,
}

/// What an attempt ended with before its answer opened.
enum Waited {
    Head(Box<Head>),
    Silent,
    Late,
}

impl Session {
    pub(crate) fn new(app: Arc<App>, request: Request, place: Place, in_flight: InFlight) -> Self {
        app.with_budget(&request.class, |budget| budget.on_request());
        Self {
            app,
            request,
            attempts: 0,
            excluded: Vec::new(),
            last_addr: None,
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
            let failure = match self.attempt(resume_from).await {
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
        let Some(addr) = &self.last_addr else {
            return Ok(());
        };
        if failure.code != ErrorCode::UpstreamFailed {
            return Ok(());
        }
        exchange(&self.app, addr).await;
        match check_quarantine(&self.app, self.request.fingerprint) {
            Ok(suspect) => self.request.suspect |= suspect,
            Err(refusal) => return Err(self.overall(refusal)),
        }
        Ok(())
    }

    async fn attempt(&mut self, resume_from: u32) -> Result<OpenAnswer, Failure> {
        self.place.dispatch()?;
        let chosen = self.choose()?;
        let meta = self.meta(resume_from);
        let instance = chosen.sent.candidate.member.instance.clone();
        let mut cancel = CancelGuard::new(
            self.app.clone(),
            chosen.addr.clone(),
            self.request.request_id.clone(),
        );
        self.excluded.push(instance);
        self.last_addr = Some(chosen.addr.clone());
        let waited = self.wait_for_head(&chosen, &meta).await;
        let head = match waited {
            Waited::Head(head) => *head,
            Waited::Silent => {
                self.last_addr = None;
                return Err(self.on_silent(&chosen));
            }
            Waited::Late => {
                cancel.disarm();
                return Err(self.on_late(&chosen).await);
            }
        };
        if let Some(reply) = &head.reply {
            self.on_reply(&chosen, reply);
        }
        match head.answer {
            Ok(conn) => Ok(OpenAnswer::new(conn, chosen.sent, cancel, chosen.addr)),
            Err(failure) => {
                if failure.verdict == Verdict::NotRun {
                    cancel.disarm();
                }
                self.on_failed_attempt(&chosen, &failure);
                Err(failure)
            }
        }
    }

    fn choose(&mut self) -> Result<Chosen, Failure> {
        let view = self.app.pools.at(&self.app.shared.membership());
        let wanted = Wanted {
            prefix_hash: self.request.prefix_hash,
            exclude: &self.excluded,
            expected_tokens: self.request.expected_tokens(),
        };
        let pool = view.pool(&self.request.upstream);
        let choice = pool.and_then(|pool| {
            pool.choose(
                self.app.settings.rule,
                self.app.now(),
                &wanted,
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
        Ok(Chosen {
            sent: Sent::new(self.app.clone(), choice.candidate.clone(), expected_tokens),
            addr,
        })
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

    async fn wait_for_head(&self, chosen: &Chosen, meta: &DispatchMeta) -> Waited {
        let dispatch = async {
            let head = self
                .app
                .transport
                .dispatch(&chosen.addr, meta, self.request.body.clone())
                .await;
            Waited::Head(Box::new(head))
        };
        let deadline = async {
            smol::Timer::after(Duration::from_millis(meta.remaining_ms)).await;
            Waited::Late
        };
        if !self.request.idempotent {
            return dispatch.or(deadline).await;
        }
        dispatch.or(deadline).or(self.silence(chosen)).await
    }

    /// Resolves once the agent has shown no sign of life.
    async fn silence(&self, chosen: &Chosen) -> Waited {
        loop {
            let patience = Duration::from_millis(chosen.sent.candidate.hedge_after_ms());
            smol::Timer::after(patience).await;
            if !recall::is_alive(&self.app, &chosen.addr).await {
                return Waited::Silent;
            }
        }
    }

    fn on_silent(&mut self, chosen: &Chosen) -> Failure {
        let failure = Failure::new(
            ErrorCode::UpstreamFailed,
            Verdict::MayHaveRun,
            "the upstream's agent does not answer",
        );
        self.on_failed_attempt(chosen, &failure);
        failure
    }

    async fn on_late(&mut self, chosen: &Chosen) -> Failure {
        let recalled = recall::recall(&self.app, &chosen.addr, &self.request.request_id).await;
        let (verdict, message) = match recalled {
            Some(Recall::Recalled) => (
                Verdict::NotRun,
                "the deadline passed before the request started; it was taken back",
            ),
            Some(Recall::AlreadyStarted) => (
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
            chosen.sent.candidate.on_failure(self.app.now());
        }
        self.may_have_run |= verdict != Verdict::NotRun;
        self.log_failed_attempt(&failure);
        failure
    }

    fn on_reply(&self, chosen: &Chosen, reply: &DispatchReply) {
        let now = self.app.now();
        chosen.sent.candidate.on_report(now, &reply.load, 0);
        self.app
            .shared
            .on_peer_generation(&chosen.addr, reply.generation);
        if reply.leaving {
            self.app.shared.on_leaving(&reply.sender);
        }
    }

    fn on_failed_attempt(&mut self, chosen: &Chosen, failure: &Failure) {
        let now = self.app.now();
        let candidate = &chosen.sent.candidate;
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
        let Some(instance) = self.excluded.last() else {
            return;
        };
        self.app
            .meters
            .attempt_failed(failure.code, failure.verdict);
        emit(&EntryEvent::AttemptFailed {
            request_id: self.request.request_id.clone(),
            attempt: self.attempts,
            instance: instance.clone(),
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
        lock(&self.app.suspects).on_whole(self.app.now(), self.request.fingerprint);
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
            | ErrorCode::Displaced
            | ErrorCode::PeerRefused
            | ErrorCode::Draining
            | ErrorCode::NoUpstream
            | ErrorCode::NotConfigured
            | ErrorCode::UpstreamFailed
            | ErrorCode::Recalled
    )
}
