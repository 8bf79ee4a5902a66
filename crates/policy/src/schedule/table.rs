//! The state of every request that the scheduler holds.
//!
//! Each state is a type of its own and each transition consumes the state
//! before it, so that a transition that makes no sense does not compile.

use indexmap::IndexMap;
use types::{RequestId, TimeMs};

use super::{lane::Lane, Job};

/// A request in state `S`.
#[derive(Debug)]
pub(super) struct Held<S> {
    pub(super) job: Job,
    /// Index of the class in the scheduler's class table.
    pub(super) class: usize,
    /// Order of arrival, unique in the scheduler.
    pub(super) sequence: u64,
    pub(super) arrived: TimeMs,
    /// Expected length of the answer, in tokens.
    pub(super) expected_tokens: u32,
    /// Tokens generated so far, over all runs.
    pub(super) tokens: u32,
    /// Pauses so far.
    pub(super) pauses: u32,
    pub(super) state: S,
}

/// Waits for its first start.
#[derive(Debug)]
pub(super) struct Queued;

/// Holds a slot.
#[derive(Debug)]
pub(super) struct Running {
    /// First start, over all runs.
    pub(super) first_started: TimeMs,
    /// Start of this run.
    pub(super) started: TimeMs,
    /// Tokens that the team's fair share has been charged so far.
    pub(super) charged_tokens: u32,
}

/// Holds a slot until the engine has stopped it.
#[derive(Debug)]
pub(super) struct Stopping {
    run: Running,
}

/// Waits for a slot to go on.
#[derive(Debug)]
pub(super) struct Paused {
    pub(super) since: TimeMs,
    first_started: TimeMs,
    charged_tokens: u32,
}

impl<S> Held<S> {
    /// The lane that the attained service puts the request in.
    pub(super) fn lane(&self) -> Lane {
        Lane::of(self.tokens)
    }

    fn with<T>(self, change: impl FnOnce(S) -> T) -> Held<T> {
        Held {
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

impl Held<Queued> {
    fn start(self, now: TimeMs) -> Held<Running> {
        let charged_tokens = self.expected_tokens;
        self.with(|Queued| Running {
            first_started: now,
            started: now,
            charged_tokens,
        })
    }
}

impl Held<Running> {
    fn stop(mut self) -> Held<Stopping> {
        self.pauses += 1;
        self.with(|run| Stopping { run })
    }
}

impl Held<Stopping> {
    fn stopped(self, now: TimeMs) -> Held<Paused> {
        self.with(|stopping| Paused {
            since: now,
            first_started: stopping.run.first_started,
            charged_tokens: stopping.run.charged_tokens,
        })
    }
}

impl Held<Paused> {
    fn resume(self, now: TimeMs) -> Held<Running> {
        self.with(|paused| Running {
            first_started: paused.first_started,
            started: now,
            charged_tokens: paused.charged_tokens,
        })
    }
}

/// What is left of a request that started and ended.
#[derive(Debug)]
pub(super) struct Ended {
    pub(super) job: Job,
    pub(super) class: usize,
    pub(super) tokens: u32,
    pub(super) charged_tokens: u32,
    pub(super) first_started: TimeMs,
}

impl Ended {
    fn of<S>(held: Held<S>, first_started: TimeMs, charged_tokens: u32) -> Self {
        Self {
            job: held.job,
            class: held.class,
            tokens: held.tokens,
            charged_tokens,
            first_started,
        }
    }
}

/// All requests, by state.
///
/// # Invariants
///
/// An id is in at most one of the four maps. The slots in use are the
/// requests in `running` and `stopping`; no separate count can drift.
#[derive(Debug, Default)]
pub(super) struct Table {
    queued: IndexMap<RequestId, Held<Queued>>,
    running: IndexMap<RequestId, Held<Running>>,
    stopping: IndexMap<RequestId, Held<Stopping>>,
    paused: IndexMap<RequestId, Held<Paused>>,
}

impl Table {
    pub(super) fn holds(&self, id: &RequestId) -> bool {
        self.queued.contains_key(id) || self.has_started(id)
    }

    pub(super) fn has_started(&self, id: &RequestId) -> bool {
        self.running.contains_key(id)
            || self.stopping.contains_key(id)
            || self.paused.contains_key(id)
    }

    /// Adds a request; a held id stays as it is.
    pub(super) fn enqueue(&mut self, held: Held<Queued>) {
        if !self.holds(&held.job.request_id) {
            self.queued.insert(held.job.request_id.clone(), held);
        }
    }

    /// Removes a request that has not started.
    pub(super) fn take_queued(&mut self, id: &RequestId) -> Option<Held<Queued>> {
        self.queued.swap_remove(id)
    }

    pub(super) fn start(&mut self, id: &RequestId, now: TimeMs) -> Option<&Held<Running>> {
        let held = self.queued.swap_remove(id)?.start(now);
        Some(self.insert_running(held))
    }

    pub(super) fn stop(&mut self, id: &RequestId) -> Option<()> {
        let held = self.running.swap_remove(id)?.stop();
        self.stopping.insert(id.clone(), held);
        Some(())
    }

    pub(super) fn stopped(&mut self, id: &RequestId, now: TimeMs) -> Option<&Held<Paused>> {
        let held = self.stopping.swap_remove(id)?.stopped(now);
        Some(self.paused.entry(id.clone()).or_insert(held))
    }

    pub(super) fn resume(&mut self, id: &RequestId, now: TimeMs) -> Option<&Held<Running>> {
        let held = self.paused.swap_remove(id)?.resume(now);
        Some(self.insert_running(held))
    }

    /// Removes a request that has started, whatever its state.
    pub(super) fn end(&mut self, id: &RequestId) -> Option<Ended> {
        if let Some(held) = self.running.swap_remove(id) {
            let (first_started, charged) = (held.state.first_started, held.state.charged_tokens);
            return Some(Ended::of(held, first_started, charged));
        }
        if let Some(held) = self.stopping.swap_remove(id) {
            let run = &held.state.run;
            let (first_started, charged) = (run.first_started, run.charged_tokens);
            return Some(Ended::of(held, first_started, charged));
        }
        let held = self.paused.swap_remove(id)?;
        let (first_started, charged) = (held.state.first_started, held.state.charged_tokens);
        Some(Ended::of(held, first_started, charged))
    }

    /// Notes tokens generated in all; a smaller number than before is ignored.
    /// Returns the run only if it goes on.
    pub(super) fn note_tokens(
        &mut self,
        id: &RequestId,
        tokens: u32,
    ) -> Option<&mut Held<Running>> {
        if let Some(held) = self.stopping.get_mut(id) {
            held.tokens = held.tokens.max(tokens);
            return None;
        }
        let held = self.running.get_mut(id)?;
        held.tokens = held.tokens.max(tokens);
        Some(held)
    }

    pub(super) fn queued(&self) -> impl Iterator<Item = &Held<Queued>> {
        self.queued.values()
    }

    pub(super) fn queued_len(&self) -> usize {
        self.queued.len()
    }

    pub(super) fn queued_get(&self, id: &RequestId) -> Option<&Held<Queued>> {
        self.queued.get(id)
    }

    pub(super) fn running(&self) -> impl Iterator<Item = &Held<Running>> {
        self.running.values()
    }

    pub(super) fn running_get(&self, id: &RequestId) -> Option<&Held<Running>> {
        self.running.get(id)
    }

    pub(super) fn stopping(&self) -> impl Iterator<Item = &Held<Stopping>> {
        self.stopping.values()
    }

    pub(super) fn stopping_len(&self) -> usize {
        self.stopping.len()
    }

    pub(super) fn paused(&self) -> impl Iterator<Item = &Held<Paused>> {
        self.paused.values()
    }

    pub(super) fn paused_len(&self) -> usize {
        self.paused.len()
    }

    /// Slots in use at the upstream.
    pub(super) fn slots_used(&self) -> usize {
        self.running.len() + self.stopping.len()
    }

    /// Applies `class_of` to every request after the class table changed.
    pub(super) fn reindex(&mut self, class_of: impl Fn(&Job) -> usize) {
        for held in self.queued.values_mut() {
            held.class = class_of(&held.job);
        }
        for held in self.running.values_mut() {
            held.class = class_of(&held.job);
        }
        for held in self.stopping.values_mut() {
            held.class = class_of(&held.job);
        }
        for held in self.paused.values_mut() {
            held.class = class_of(&held.job);
        }
    }

    fn insert_running(&mut self, held: Held<Running>) -> &Held<Running> {
        let id = held.job.request_id.clone();
        self.running.entry(id).or_insert(held)
    }
}
