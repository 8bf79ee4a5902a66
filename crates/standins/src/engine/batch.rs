//! Continuous batching: who waits, who runs, and when the next token is due.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    active_request::{ActiveRequest, Phase, Step},
    cache::PrefixCache,
    load::Load,
    EngineArgs, Faults,
};

/// Tokens that fit into the engine's memory for each request of a full batch.
const KV_TOKENS_PER_SLOT: u64 = 4096;

/// What the ticker has to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Next {
    /// Nothing runs.
    Idle,
    /// The next token is due.
    At(Instant),
    /// The process has to abort.
    Crash,
}

/// The engine's queue and batch.
///
/// # Invariants
///
/// `running` never holds more than the batch allows; `waiting` is ordered by
/// priority, and by arrival within one.
#[derive(Debug)]
pub(crate) struct Batch {
    waiting: Vec<Arc<ActiveRequest>>,
    running: Vec<Arc<ActiveRequest>>,
    pub(crate) cache: PrefixCache,
    batch_max: usize,
    token_s: f64,
    slope: f64,
    prefill_per_token: Duration,
    last_tick: Option<Instant>,
}

impl Batch {
    pub(crate) fn new(args: &EngineArgs) -> Self {
        Self {
            waiting: Vec::new(),
            running: Vec::new(),
            cache: PrefixCache::new(
                args.cache_blocks,
                Duration::from_millis(args.event_lag_ms),
                args.event_gap_every,
            ),
            batch_max: args.batch_max.max(1),
            token_s: args.token_ms.max(0.0) / 1000.0,
            slope: f64::from(args.batch_slope_permille) / 1000.0,
            prefill_per_token: Duration::from_micros(args.prefill_us_per_token),
            last_tick: None,
        }
    }

    /// Whether connections generate their tokens themselves, without a pace.
    pub(crate) fn is_unpaced(&self) -> bool {
        self.token_s == 0.0
    }

    /// Takes a request in, behind those of its priority.
    pub(crate) fn submit(&mut self, request: Arc<ActiveRequest>, now: Instant) {
        let priority = request.params.priority;
        let place = self
            .waiting
            .partition_point(|waiting| waiting.params.priority >= priority);
        self.waiting.insert(place, request);
        self.fill(now);
    }

    /// Forgets a request, wherever it is; the next one takes its place.
    pub(crate) fn release(&mut self, number: u64, now: Instant) {
        self.waiting.retain(|request| request.number != number);
        self.running.retain(|request| request.number != number);
        self.fill(now);
    }

    /// The requests with an id, wherever they are.
    pub(crate) fn find(&self, request_id: &str) -> Vec<Arc<ActiveRequest>> {
        self.waiting
            .iter()
            .chain(&self.running)
            .filter(|request| request.params.request_id == request_id)
            .cloned()
            .collect()
    }

    pub(crate) fn load(&self) -> Load {
        let held: u64 = self
            .running
            .iter()
            .map(|request| request.held_tokens())
            .sum();
        let memory = self.batch_max as u64 * KV_TOKENS_PER_SLOT;
        Load {
            running: self.running.len(),
            waiting: self.waiting.len(),
            kv_used_share: (held as f64 / memory as f64).min(1.0),
        }
    }

    /// Generates the tokens that are due; `generated` counts them.
    pub(crate) fn tick(&mut self, now: Instant, faults: &Faults, generated: &mut u64) -> Next {
        if self.must_crash(faults) {
            return Next::Crash;
        }
        if self.running.is_empty() || self.is_unpaced() {
            self.last_tick = None;
            return Next::Idle;
        }
        let due = self.due(faults, now);
        if now < due {
            return Next::At(due);
        }
        // A late tick is not made up for in a burst.
        let pace = self.pace(faults);
        self.last_tick = Some(due.max(now.checked_sub(pace).unwrap_or(now)));
        for request in &self.running {
            let mut progress = request.progress();
            if !matches!(progress.phase, Phase::Running { ready_at } if ready_at <= now) {
                continue;
            }
            match progress.step(faults) {
                Step::Token => *generated += 1,
                Step::End => {}
                Step::Crash => return Next::Crash,
            }
            progress.wake();
        }
        self.running.retain(|request| !request.progress().is_over());
        self.fill(now);
        if self.running.is_empty() {
            self.last_tick = None;
            return Next::Idle;
        }
        Next::At(self.due(faults, now))
    }

    fn must_crash(&self, faults: &Faults) -> bool {
        let Some(poison) = &faults.crash_on_prompt else {
            return false;
        };
        self.running
            .iter()
            .any(|request| request.params.prompt.contains(poison.as_str()))
    }

    /// When the next token is due.
    fn due(&self, faults: &Faults, now: Instant) -> Instant {
        let first_ready = self
            .running
            .iter()
            .filter_map(|request| match request.progress().phase {
                Phase::Running { ready_at } => Some(ready_at),
                _ => None,
            })
            .min()
            .unwrap_or(now);
        match self.last_tick {
            Some(last) => (last + self.pace(faults)).max(first_ready),
            None => first_ready + self.pace(faults),
        }
    }

    /// Time between two tokens at the present batch.
    fn pace(&self, faults: &Faults) -> Duration {
        let others = self.running.len().saturating_sub(1) as f64;
        let factor = faults.pace_factor() * (1.0 + self.slope * others);
        Duration::from_secs_f64(self.token_s * factor)
    }

    /// Moves waiting requests into free places of the batch.
    fn fill(&mut self, now: Instant) {
        while self.running.len() < self.batch_max && !self.waiting.is_empty() {
            let request = self.waiting.remove(0);
            let cached = self.cache.use_prompt(&request.params.prompt, now);
            let uncached = request.params.answer.prompt_tokens.saturating_sub(cached);
            let prefill_tokens = uncached.saturating_add(request.params.resume_from);
            let ready_at = now + self.prefill_per_token * prefill_tokens;
            let mut progress = request.progress();
            progress.phase = Phase::Running { ready_at };
            progress.wake();
            drop(progress);
            self.running.push(request);
        }
    }
}
