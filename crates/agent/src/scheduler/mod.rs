//! The scheduler with the state of every request that the agent holds.
//!
//! Scheduling decisions are made under one lock. Each decision is sent to the
//! channel of its request before the lock is released, so that a request
//! receives its commands in the order of the decisions. The task of the
//! request executes them without holding the lock.

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

/// Command from the scheduler to the task of a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Command {
    /// Send the request to the upstream.
    Start {
        engine_priority: u8,
        /// Number of upstream crashes counted before this start.
        crashes_before: u64,
    },
    /// The request was removed from the scheduler before it ran.
    Refuse {
        code: ErrorCode,
        retry_after_ms: u64,
    },
    /// Cancel the request at the engine and wait for the next `Start`.
    Pause,
    /// Cancel the request; the caller has disconnected or recalled it.
    Cancel,
}

/// Thread-safe [`Scheduler`] with a command channel for each request.
#[derive(Debug)]
pub(crate) struct RequestScheduler {
    clock: Clock,
    inner: Mutex<Inner>,
}

/// State of the scheduler, protected by the lock of [`RequestScheduler`].
///
/// # Invariants
///
/// `senders` has exactly the requests that are queued, running or paused in
/// the scheduler.
#[derive(Debug)]
struct Inner {
    scheduler: Scheduler,
    senders: IndexMap<RequestId, Sender<Command>>,
    draining: bool,
    crashes: u64,
}

impl RequestScheduler {
    /// Creates a scheduler without requests.
    ///
    /// An earlier process of this instance may have started requests that
    /// this one has no record of. The recall of an unknown request is
    /// therefore not confirmed until the recall window has passed.
    pub(crate) fn new(clock: Clock, settings: Settings) -> Arc<Self> {
        let mut scheduler = Scheduler::new(settings);
        scheduler.treat_unknown_as_started_until(clock.now() + Scheduler::RECALL_WINDOW_MS);
        let inner = Inner {
            scheduler,
            senders: IndexMap::new(),
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
    /// Returns a refusal if the agent is draining or already holds a request
    /// with this id.
    pub(crate) fn submit(self: &Arc<Self>, job: Job) -> Result<Request<Queued>, Refusal> {
        let request_id = job.request_id.clone();
        let now = self.clock.now();
        let mut inner = self.lock();
        if inner.draining {
            return Err(Refusal::not_run(ErrorCode::Draining));
        }
        if inner.senders.contains_key(&request_id) {
            return Err(duplicate());
        }
        let (sender, commands) = unbounded();
        inner.senders.insert(request_id.clone(), sender);
        let actions = inner.scheduler.submit(now, job, rand::random());
        inner.apply_actions(now, actions);
        Ok(Request::queued(self.clone(), request_id, commands))
    }

    /// Removes a request that has not started. With `cancel`, also cancels a
    /// request that has started.
    pub(crate) fn recall(&self, request_id: &RequestId, cancel: bool) -> Recall {
        let now = self.clock.now();
        let mut inner = self.lock();
        let recall = inner.scheduler.recall(now, request_id);
        match recall {
            Recall::Recalled => inner.send_refusal(request_id, ErrorCode::Recalled, 0),
            Recall::AlreadyStarted if cancel => inner.send_command(request_id, Command::Cancel),
            Recall::AlreadyStarted => {}
        }
        recall
    }

    /// Removes or cancels the request of a caller that has disconnected.
    pub(crate) fn cancel(&self, request_id: &RequestId) {
        let now = self.clock.now();
        let mut inner = self.lock();
        if !inner.senders.contains_key(request_id) {
            return;
        }
        match inner.scheduler.recall(now, request_id) {
            Recall::Recalled => inner.send_refusal(request_id, ErrorCode::Recalled, 0),
            Recall::AlreadyStarted => inner.send_command(request_id, Command::Cancel),
        }
    }

    /// Refuses queued requests past their deadline and re-evaluates pauses.
    pub(crate) fn tick(&self) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let actions = inner.scheduler.tick(now, rand::random());
        inner.apply_actions(now, actions);
    }

    /// Applies new scheduler settings, which may start or refuse requests.
    pub(crate) fn reconfigure(&self, settings: Settings) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let actions = inner.scheduler.reconfigure(now, settings);
        inner.apply_actions(now, actions);
    }

    /// Refuses new requests from now on; returns `false` if a drain had
    /// already begun.
    pub(crate) fn drain(&self) -> bool {
        let mut inner = self.lock();
        let is_first = !inner.draining;
        inner.draining = true;
        inner.scheduler.drain();
        is_first
    }

    /// Whether a drain has begun, so that new requests are refused.
    pub(crate) fn is_draining(&self) -> bool {
        self.lock().draining
    }

    /// Returns the number of queued, running and paused requests.
    pub(crate) fn request_count(&self) -> usize {
        self.lock().senders.len()
    }

    /// Returns the current load.
    pub(crate) fn load(&self) -> LoadReport {
        let now = self.clock.now();
        self.lock().scheduler.load(now)
    }

    /// Returns the fingerprints of the running contents, which become suspects
    /// if the upstream has crashed.
    pub(crate) fn running_fingerprints(&self) -> Vec<Fingerprint> {
        self.lock().scheduler.running_fingerprints()
    }

    /// Counts a crash; returns `false` if one was already counted since the
    /// count was `crashes_before`.
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
        inner.apply_actions(now, actions);
    }

    fn on_paused(&self, request_id: &RequestId) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let actions = inner.scheduler.on_paused(now, request_id);
        inner.apply_actions(now, actions);
    }

    fn on_end(&self, request_id: &RequestId, end: End) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.finish(now, request_id, end);
    }

    /// Removes a request in any state, because its task has ended.
    fn remove(&self, request_id: &RequestId) {
        let now = self.clock.now();
        let mut inner = self.lock();
        if !inner.senders.contains_key(request_id) {
            return;
        }
        match inner.scheduler.recall(now, request_id) {
            Recall::Recalled => {
                inner.senders.swap_remove(request_id);
            }
            Recall::AlreadyStarted => inner.finish(now, request_id, End::Cancelled),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // A panic in one task must not make the scheduler unusable for all others.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Sends each action to the channel of its request.
    fn apply_actions(&mut self, now: TimeMs, actions: Vec<Action>) {
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                Action::Start {
                    request_id,
                    engine_priority,
                    ..
                } => {
                    if !self.senders.contains_key(&request_id) {
                        actions.extend(self.scheduler.on_end(now, &request_id, End::Cancelled));
                        continue;
                    }
                    let start = Command::Start {
                        engine_priority,
                        crashes_before: self.crashes,
                    };
                    self.send_command(&request_id, start);
                }
                Action::Refuse {
                    request_id,
                    code,
                    retry_after_ms,
                } => self.send_refusal(&request_id, code, retry_after_ms),
                Action::Pause { request_id } => self.send_command(&request_id, Command::Pause),
            }
        }
    }

    fn send_command(&self, request_id: &RequestId, command: Command) {
        if let Some(commands) = self.senders.get(request_id) {
            // Fails only if the task has ended; its handle then removes the request.
            let _ = commands.try_send(command);
        }
    }

    fn send_refusal(&mut self, request_id: &RequestId, code: ErrorCode, retry_after_ms: u64) {
        if let Some(commands) = self.senders.swap_remove(request_id) {
            // Fails only if the task of the request has ended.
            let _ = commands.try_send(Command::Refuse {
                code,
                retry_after_ms,
            });
        }
    }

    fn finish(&mut self, now: TimeMs, request_id: &RequestId, end: End) {
        self.senders.swap_remove(request_id);
        let actions = self.scheduler.on_end(now, request_id, end);
        self.apply_actions(now, actions);
    }
}

fn duplicate() -> Refusal {
    Refusal::new(
        ErrorCode::InProgress,
        Verdict::MayHaveRun,
        "a request with this id is already queued or running at this agent; wait for its response",
    )
}
