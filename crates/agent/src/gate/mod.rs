//! The one state of every request that the agent holds.
//!
//! The scheduler decides under one lock. What it decides for a request is put
//! on that request's own channel before the lock is released, so that each
//! request sees its commands in the order of the decisions; the request's task
//! carries them out without the lock.

mod request;

pub(crate) use request::{Interrupt, Queued, Request, Started};

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use indexmap::IndexMap;
use policy::schedule::{Action, End, Job, LoadReport, Recall, Scheduler, Settings};
use smol::channel::{unbounded, Sender};
use types::{ErrorCode, Fingerprint, RequestId, TimeMs, Verdict};

use crate::{clock::Clock, refusal::Refusal};

/// What a request's task is told.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Command {
    /// Send the request to the upstream with this priority.
    Start {
        engine_priority: u8,
        /// Crashes of the upstream counted before this start.
        crashes_before: u64,
    },
    /// The request left the scheduler without running.
    Refuse {
        code: ErrorCode,
        retry_after_ms: u64,
    },
    /// Stop at the engine and wait for another start.
    Pause,
    /// The caller is gone.
    Cancel,
}

/// The scheduler with the requests that it decides about.
#[derive(Debug)]
pub(crate) struct Gate {
    clock: Clock,
    inner: Mutex<Inner>,
}

/// # Invariants
///
/// `held` has exactly the requests that the scheduler has queued, running or
/// paused.
#[derive(Debug)]
struct Inner {
    scheduler: Scheduler,
    held: IndexMap<RequestId, Sender<Command>>,
    draining: bool,
    crashes: u64,
}

impl Gate {
    /// Makes a gate without requests.
    ///
    /// A process before this one may have started what this one does not
    /// know: until the recall window has passed, a recall of an unknown
    /// request is not confirmed.
    pub(crate) fn new(clock: Clock, settings: Settings) -> Arc<Self> {
        let mut scheduler = Scheduler::new(settings);
        scheduler.treat_unknown_as_started_until(clock.now() + Scheduler::RECALL_WINDOW_MS);
        let inner = Inner {
            scheduler,
            held: IndexMap::new(),
            draining: false,
            crashes: 0,
        };
        Arc::new(Self {
            clock,
            inner: Mutex::new(inner),
        })
    }

    /// Queues a request.
    ///
    /// # Errors
    ///
    /// A refusal when the agent drains or holds a request of this id already.
    pub(crate) fn submit(self: &Arc<Self>, job: Job) -> Result<Request<Queued>, Refusal> {
        let request_id = job.request_id.clone();
        let now = self.clock.now();
        let mut inner = self.lock();
        if inner.draining {
            return Err(Refusal::not_run(ErrorCode::Draining));
        }
        if inner.held.contains_key(&request_id) {
            return Err(duplicate());
        }
        let (sender, commands) = unbounded();
        inner.held.insert(request_id.clone(), sender);
        let actions = inner.scheduler.submit(now, job, rand::random());
        inner.carry_out(now, actions);
        Ok(Request::queued(self.clone(), request_id, commands))
    }

    /// Takes back a request that has not started; with `cancel`, stops one
    /// that has.
    pub(crate) fn recall(&self, request_id: &RequestId, cancel: bool) -> Recall {
        let now = self.clock.now();
        let mut inner = self.lock();
        let recall = inner.scheduler.recall(now, request_id);
        match recall {
            Recall::Recalled => inner.tell_refused(request_id, ErrorCode::Recalled, 0),
            Recall::AlreadyStarted if cancel => inner.tell(request_id, Command::Cancel),
            Recall::AlreadyStarted => {}
        }
        recall
    }

    /// The caller is gone: takes the request back or stops it.
    pub(crate) fn cancel(&self, request_id: &RequestId) {
        let now = self.clock.now();
        let mut inner = self.lock();
        if !inner.held.contains_key(request_id) {
            return;
        }
        match inner.scheduler.recall(now, request_id) {
            Recall::Recalled => inner.tell_refused(request_id, ErrorCode::Recalled, 0),
            Recall::AlreadyStarted => inner.tell(request_id, Command::Cancel),
        }
    }

    /// Gives up requests past their deadline and reconsiders pauses.
    pub(crate) fn tick(&self) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let actions = inner.scheduler.tick(now, rand::random());
        inner.carry_out(now, actions);
    }

    /// Applies a new configuration.
    pub(crate) fn reconfigure(&self, settings: Settings) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let actions = inner.scheduler.reconfigure(now, settings);
        inner.carry_out(now, actions);
    }

    /// Refuses new requests from now on; `false` when that was so already.
    pub(crate) fn drain(&self) -> bool {
        let mut inner = self.lock();
        let is_first = !inner.draining;
        inner.draining = true;
        inner.scheduler.drain();
        is_first
    }

    /// Whether new requests are refused.
    pub(crate) fn is_draining(&self) -> bool {
        self.lock().draining
    }

    /// Number of requests queued, running or paused.
    pub(crate) fn held(&self) -> usize {
        self.lock().held.len()
    }

    /// The load now.
    pub(crate) fn load(&self) -> LoadReport {
        let now = self.clock.now();
        self.lock().scheduler.load(now)
    }

    /// Contents that run now, as evidence should the upstream have crashed.
    pub(crate) fn running_fingerprints(&self) -> Vec<Fingerprint> {
        self.lock().scheduler.running_fingerprints()
    }

    /// Counts a crash; `false` when one was counted since `crashes_before`.
    fn count_crash(&self, crashes_before: u64) -> bool {
        let mut inner = self.lock();
        let is_first = inner.crashes == crashes_before;
        if is_first {
            inner.crashes += 1;
        }
        is_first
    }

    fn on_tokens(&self, request_id: &RequestId, tokens: u32) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let actions = inner.scheduler.on_tokens(now, request_id, tokens);
        inner.carry_out(now, actions);
    }

    fn on_paused(&self, request_id: &RequestId) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let actions = inner.scheduler.on_paused(now, request_id);
        inner.carry_out(now, actions);
    }

    fn on_end(&self, request_id: &RequestId, end: End) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.end(now, request_id, end);
    }

    /// Takes a request out, in whatever state it is.
    fn abandon(&self, request_id: &RequestId) {
        let now = self.clock.now();
        let mut inner = self.lock();
        if !inner.held.contains_key(request_id) {
            return;
        }
        match inner.scheduler.recall(now, request_id) {
            Recall::Recalled => {
                inner.held.swap_remove(request_id);
            }
            Recall::AlreadyStarted => inner.end(now, request_id, End::Cancelled),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // A panic elsewhere must not take the whole agent down with it.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Puts each action on the channel of its request.
    fn carry_out(&mut self, now: TimeMs, actions: Vec<Action>) {
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                Action::Start {
                    request_id,
                    engine_priority,
                    ..
                } => {
                    if !self.held.contains_key(&request_id) {
                        actions.extend(self.scheduler.on_end(now, &request_id, End::Cancelled));
                        continue;
                    }
                    let start = Command::Start {
                        engine_priority,
                        crashes_before: self.crashes,
                    };
                    self.tell(&request_id, start);
                }
                Action::Refuse {
                    request_id,
                    code,
                    retry_after_ms,
                } => self.tell_refused(&request_id, code, retry_after_ms),
                Action::Pause { request_id } => self.tell(&request_id, Command::Pause),
            }
        }
    }

    fn tell(&self, request_id: &RequestId, command: Command) {
        if let Some(commands) = self.held.get(request_id) {
            // Only fails when the request's task is gone and about to abandon it.
            let _ = commands.try_send(command);
        }
    }

    fn tell_refused(&mut self, request_id: &RequestId, code: ErrorCode, retry_after_ms: u64) {
        if let Some(commands) = self.held.swap_remove(request_id) {
            // Only fails when the request's task is gone.
            let _ = commands.try_send(Command::Refuse {
                code,
                retry_after_ms,
            });
        }
    }

    fn end(&mut self, now: TimeMs, request_id: &RequestId, end: End) {
        self.held.swap_remove(request_id);
        let actions = self.scheduler.on_end(now, request_id, end);
        self.carry_out(now, actions);
    }
}

fn duplicate() -> Refusal {
    Refusal::new(
        ErrorCode::InProgress,
        Verdict::MayHaveRun,
        "a request with this id is queued or running here; wait for its answer",
    )
}
