//! State of every request that the scheduler holds.
//!
//! Each state is a separate type and each transition consumes the previous
//! state, so invalid transitions do not compile.

use indexmap::IndexMap;
use types::{RequestId, TimeMs};

use super::{lane::FeedbackLane, Job};

/// A request held by the scheduler, in state `S`.
#[derive(Debug)]
pub(super) struct TrackedRequest<S> {
    pub(super) job: Job,
    /// Index into the class queues of the scheduler.
    pub(super) class: usize,
    /// Order of arrival; unique within the scheduler.
    pub(super) sequence: u64,
    pub(super) arrived: TimeMs,
    /// Expected total length of the answer, in tokens.
    pub(super) expected_tokens: u32,
    /// Tokens generated so far, including those before a pause.
    pub(super) tokens: u32,
    /// Number of times that the request has been paused.
    pub(super) pauses: u32,
    pub(super) state: S,
}

/// State of a request that has not started.
#[derive(Debug)]
pub(super) struct Queued;

/// State of a request that holds a slot and generates tokens.
#[derive(Debug)]
pub(super) struct Running {
    /// Time of the first start, before any pause.
    pub(super) first_started: TimeMs,
    /// Time of the latest start or resumption.
    pub(super) started: TimeMs,
    /// Tokens charged to the team in fair queueing so far.
    pub(super) charged_tokens: u32,
}

/// State of a request that is being paused. It holds its slot until the engine
/// has stopped it.
#[derive(Debug)]
pub(super) struct Stopping {
    run: Running,
}

/// State of a paused request that waits for a slot to resume.
#[derive(Debug)]
pub(super) struct Paused {
    pub(super) since: TimeMs,
    first_started: TimeMs,
    charged_tokens: u32,
}

impl<S> TrackedRequest<S> {
    /// Feedback lane, by the tokens generated so far.
    pub(super) fn lane(&self) -> FeedbackLane {
        FeedbackLane::of(self.tokens)
    }

    fn map_state<T>(self, change: impl FnOnce(S) -> T) -> TrackedRequest<T> {
        TrackedRequest {
            job: self.job,
            class: self.class,
            sequence: self.sequence,
            arrived: self.arrived,
            expected_tokens: self.expected_tokens,
            tokens: self.tokens,
            pauses: self.pauses,
            state: change(self.state),
        }
    }
}

impl TrackedRequest<Queued> {
    fn start(self, now: TimeMs) -> TrackedRequest<Running> {
        let charged_tokens = self.expected_tokens;
        self.map_state(|Queued| Running {
            first_started: now,
            started: now,
            charged_tokens,
        })
    }
}

impl TrackedRequest<Running> {
    fn begin_stop(mut self) -> TrackedRequest<Stopping> {
        self.pauses += 1;
        self.map_state(|run| Stopping { run })
    }
}

impl TrackedRequest<Stopping> {
    fn finish_stop(self, now: TimeMs) -> TrackedRequest<Paused> {
        self.map_state(|stopping| Paused {
            since: now,
            first_started: stopping.run.first_started,
            charged_tokens: stopping.run.charged_tokens,
        })
    }
}

impl TrackedRequest<Paused> {
    fn resume(self, now: TimeMs) -> TrackedRequest<Running> {
        self.map_state(|paused| Running {
            first_started: paused.first_started,
            started: now,
            charged_tokens: paused.charged_tokens,
        })
    }
}

/// Data about a request that started and has ended.
#[derive(Debug)]
pub(super) struct EndedRequest {
    pub(super) job: Job,
    pub(super) class: usize,
    pub(super) tokens: u32,
    pub(super) charged_tokens: u32,
    pub(super) first_started: TimeMs,
}

impl EndedRequest {
    fn of<S>(request: TrackedRequest<S>, first_started: TimeMs, charged_tokens: u32) -> Self {
        Self {
            job: request.job,
            class: request.class,
            tokens: request.tokens,
            charged_tokens,
            first_started,
        }
    }
}

/// All requests held by the scheduler, by state.
///
/// # Invariants
///
/// An id is in at most one of the four maps. The number of slots in use is
/// computed from `running` and `stopping`, so no separate counter can diverge.
#[derive(Debug, Default)]
pub(super) struct RequestTable {
    queued: IndexMap<RequestId, TrackedRequest<Queued>>,
    running: IndexMap<RequestId, TrackedRequest<Running>>,
    stopping: IndexMap<RequestId, TrackedRequest<Stopping>>,
    paused: IndexMap<RequestId, TrackedRequest<Paused>>,
}

impl RequestTable {
    pub(super) fn holds(&self, id: &RequestId) -> bool {
        self.queued.contains_key(id) || self.has_started(id)
    }

    pub(super) fn has_started(&self, id: &RequestId) -> bool {
        self.running.contains_key(id)
            || self.stopping.contains_key(id)
            || self.paused.contains_key(id)
    }

    /// Adds a queued request. Does nothing if the id is already held.
    pub(super) fn enqueue(&mut self, request: TrackedRequest<Queued>) {
        if !self.holds(&request.job.request_id) {
            self.queued.insert(request.job.request_id.clone(), request);
        }
    }

    /// Removes and returns a request that has not started.
    pub(super) fn take_queued(&mut self, id: &RequestId) -> Option<TrackedRequest<Queued>> {
        self.queued.swap_remove(id)
    }

    pub(super) fn start(
        &mut self,
        id: &RequestId,
        now: TimeMs,
    ) -> Option<&TrackedRequest<Running>> {
        let request = self.queued.swap_remove(id)?.start(now);
        Some(self.insert_running(request))
    }

    pub(super) fn begin_stop(&mut self, id: &RequestId) -> Option<()> {
        let request = self.running.swap_remove(id)?.begin_stop();
        self.stopping.insert(id.clone(), request);
        Some(())
    }

    pub(super) fn finish_stop(
        &mut self,
        id: &RequestId,
        now: TimeMs,
    ) -> Option<&TrackedRequest<Paused>> {
        let request = self.stopping.swap_remove(id)?.finish_stop(now);
        Some(self.paused.entry(id.clone()).or_insert(request))
    }

    pub(super) fn resume(
        &mut self,
        id: &RequestId,
        now: TimeMs,
    ) -> Option<&TrackedRequest<Running>> {
        let request = self.paused.swap_remove(id)?.resume(now);
        Some(self.insert_running(request))
    }

    /// Removes a running, stopping or paused request.
    pub(super) fn end(&mut self, id: &RequestId) -> Option<EndedRequest> {
        if let Some(request) = self.running.swap_remove(id) {
            let (first_started, charged) =
                (request.state.first_started, request.state.charged_tokens);
            return Some(EndedRequest::of(request, first_started, charged));
        }
        if let Some(request) = self.stopping.swap_remove(id) {
            let run = &request.state.run;
            let (first_started, charged) = (run.first_started, run.charged_tokens);
            return Some(EndedRequest::of(request, first_started, charged));
        }
        let request = self.paused.swap_remove(id)?;
        let (first_started, charged) = (request.state.first_started, request.state.charged_tokens);
        Some(EndedRequest::of(request, first_started, charged))
    }

    /// Records the total number of tokens generated; a decrease is ignored.
    /// Returns the request only if it is running and not being paused.
    pub(super) fn record_tokens(
        &mut self,
        id: &RequestId,
        tokens: u32,
    ) -> Option<&mut TrackedRequest<Running>> {
        if let Some(request) = self.stopping.get_mut(id) {
            request.tokens = request.tokens.max(tokens);
            return None;
        }
        let request = self.running.get_mut(id)?;
        request.tokens = request.tokens.max(tokens);
        Some(request)
    }

    pub(super) fn queued(&self) -> impl Iterator<Item = &TrackedRequest<Queued>> {
        self.queued.values()
    }

    pub(super) fn queued_len(&self) -> usize {
        self.queued.len()
    }

    pub(super) fn queued_get(&self, id: &RequestId) -> Option<&TrackedRequest<Queued>> {
        self.queued.get(id)
    }

    pub(super) fn running(&self) -> impl Iterator<Item = &TrackedRequest<Running>> {
        self.running.values()
    }

    pub(super) fn running_get(&self, id: &RequestId) -> Option<&TrackedRequest<Running>> {
        self.running.get(id)
    }

    pub(super) fn stopping(&self) -> impl Iterator<Item = &TrackedRequest<Stopping>> {
        self.stopping.values()
    }

    pub(super) fn stopping_len(&self) -> usize {
        self.stopping.len()
    }

    pub(super) fn paused(&self) -> impl Iterator<Item = &TrackedRequest<Paused>> {
        self.paused.values()
    }

    pub(super) fn paused_len(&self) -> usize {
        self.paused.len()
    }

    /// Number of slots in use at the upstream, by running and stopping requests.
    pub(super) fn slots_used(&self) -> usize {
        self.running.len() + self.stopping.len()
    }

    /// Reassigns the class index of every request after the class queues changed.
    pub(super) fn reindex(&mut self, class_of: impl Fn(&Job) -> usize) {
        for request in self.queued.values_mut() {
            request.class = class_of(&request.job);
        }
        for request in self.running.values_mut() {
            request.class = class_of(&request.job);
        }
        for request in self.stopping.values_mut() {
            request.class = class_of(&request.job);
        }
        for request in self.paused.values_mut() {
            request.class = class_of(&request.job);
        }
    }

    fn insert_running(&mut self, request: TrackedRequest<Running>) -> &TrackedRequest<Running> {
        let id = request.job.request_id.clone();
        self.running.entry(id).or_insert(request)
    }
}
