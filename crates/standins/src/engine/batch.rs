//! Continuous batching: the queue, the running batch and the token schedule.

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

/// KV-cache capacity per slot of the batch, in tokens.
const KV_TOKENS_PER_SLOT: u64 = 4096;

/// Next action of the ticker task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextTick {
    /// Wait for a wake-up; no token has to be generated.
    Idle,
    /// Tick again at this time, when the next token is due.
    At(Instant),
    /// Abort the process because of an injected fault.
    Crash,
}

/// Queue and running batch of the engine.
///
/// # Invariants
///
/// `running` holds at most `batch_max` requests; `waiting` is ordered by
/// descending priority, then by arrival.
#[derive(Debug)]
pub(crate) struct Batch {
    waiting: Vec<Arc<ActiveRequest>>,
    running: Vec<Arc<ActiveRequest>>,
    pub(crate) cache: PrefixCache,
    batch_max: usize,
    token_interval_s: f64,
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
            token_interval_s: args.token_ms.max(0.0) / 1000.0,
            slope: f64::from(args.batch_slope_permille) / 1000.0,
            prefill_per_token: Duration::from_micros(args.prefill_us_per_token),
            last_tick: None,
        }
    }

    /// Returns whether tokens are generated without delay, by the connections
    /// themselves.
    pub(crate) fn is_unpaced(&self) -> bool {
        self.token_interval_s == 0.0
    }

    /// Queues a request behind those of the same or a higher priority.
    pub(crate) fn submit(&mut self, request: Arc<ActiveRequest>, now: Instant) {
        let priority = request.params.priority;
        let position = self
            .waiting
            .partition_point(|waiting| waiting.params.priority >= priority);
        self.waiting.insert(position, request);
        self.fill_slots(now);
    }

    /// Removes a request from the queue or the batch and fills a free slot.
    pub(crate) fn release(&mut self, number: u64, now: Instant) {
        self.waiting.retain(|request| request.number != number);
        self.running.retain(|request| request.number != number);
        self.fill_slots(now);
    }

    /// Returns the waiting and running requests with a request id.
    pub(crate) fn find(&self, request_id: &str) -> Vec<Arc<ActiveRequest>> {
        self.waiting
            .iter()
            .chain(&self.running)
            .filter(|request| request.params.request_id == request_id)
            .cloned()
            .collect()
    }

    pub(crate) fn load(&self) -> Load {
        let used: u64 = self.running.iter().map(|request| request.kv_tokens()).sum();
        let capacity = self.batch_max as u64 * KV_TOKENS_PER_SLOT;
        Load {
            running: self.running.len(),
            waiting: self.waiting.len(),
            kv_used_share: (used as f64 / capacity as f64).min(1.0),
        }
    }

    /// Generates the tokens that are due and adds their number to `generated`.
    pub(crate) fn tick(&mut self, now: Instant, faults: &Faults, generated: &mut u64) -> NextTick {
        if self.has_crash_prompt(faults) {
            return NextTick::Crash;
        }
        if self.running.is_empty() || self.is_unpaced() {
            self.last_tick = None;
            return NextTick::Idle;
        }
        let due = self.next_token_at(faults, now);
        if now < due {
            return NextTick::At(due);
        }
        // After a late tick the missed tokens are not generated in a burst.
        let token_interval = self.token_interval(faults);
        self.last_tick = Some(due.max(now.checked_sub(token_interval).unwrap_or(now)));
        for request in &self.running {
            let mut progress = request.progress();
            if !matches!(progress.phase, Phase::Running { ready_at } if ready_at <= now) {
                continue;
            }
            match progress.step(faults) {
                Step::Token => *generated += 1,
                Step::End => {}
                Step::Crash => return NextTick::Crash,
            }
            progress.wake();
        }
        self.running
            .retain(|request| !request.progress().is_finished());
        self.fill_slots(now);
        if self.running.is_empty() {
            self.last_tick = None;
            return NextTick::Idle;
        }
        NextTick::At(self.next_token_at(faults, now))
    }

    fn has_crash_prompt(&self, faults: &Faults) -> bool {
        let Some(crash_text) = &faults.crash_on_prompt else {
            return false;
        };
        self.running
            .iter()
            .any(|request| request.params.prompt.contains(crash_text.as_str()))
    }

    /// Returns when the next token of the batch is due.
    fn next_token_at(&self, faults: &Faults, now: Instant) -> Instant {
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
            Some(last) => (last + self.token_interval(faults)).max(first_ready),
            None => first_ready + self.token_interval(faults),
        }
    }

    /// Returns the time between two tokens at the current batch size.
    fn token_interval(&self, faults: &Faults) -> Duration {
        let others = self.running.len().saturating_sub(1) as f64;
        let factor = faults.interval_factor() * (1.0 + self.slope * others);
        Duration::from_secs_f64(self.token_interval_s * factor)
    }

    /// Moves waiting requests into free slots of the batch.
    fn fill_slots(&mut self, now: Instant) {
        while self.running.len() < self.batch_max && !self.waiting.is_empty() {
            let request = self.waiting.remove(0);
            let cached = self.cache.insert_prompt(&request.params.prompt, now);
            let uncached = request
                .params
                .completion
                .prompt_tokens
                .saturating_sub(cached);
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
