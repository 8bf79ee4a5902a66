//! Simulated engine that works in steps, in virtual time.
//!
//! Each step generates one token for every running request that is prefilled,
//! and prefills a chunk of the prompts that are not, most urgent first. A step
//! with prefill takes ten times as long as one without, and delays all streams.

use std::cmp::Reverse;

use indexmap::IndexMap;
use rapidhash::v3::rapidhash_v3;

use super::prompts::Arrival;

/// Duration of an engine's steps.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Prefill rate, in prompt tokens per millisecond.
    prefill_tokens_per_ms: f64,
    /// Maximum number of prompt tokens prefilled per step.
    chunk_tokens: u64,
    /// Duration of a step without prefill.
    step_ms: f64,
    /// Time that each running request adds to a step.
    step_per_request_ms: f64,
    /// Percentage of the intervals of [`NOISE_INTERVAL_MS`] in which a noisy
    /// neighbour slows the engine down.
    noise_percent: u64,
}

/// Timing that the users specify for their engines, whose streams pause during
/// prefill.
pub const BLOCKING_PREFILL: Timing = Timing {
    prefill_tokens_per_ms: 56.6,
    chunk_tokens: 2_048,
    step_ms: 3.79,
    step_per_request_ms: 0.0893,
    noise_percent: 15,
};

impl Timing {
    /// Returns the timing of an engine that works at a multiple of this speed.
    pub fn at_speed(self, speed: f64) -> Self {
        Self {
            prefill_tokens_per_ms: self.prefill_tokens_per_ms * speed,
            step_ms: self.step_ms / speed,
            step_per_request_ms: self.step_per_request_ms / speed,
            ..self
        }
    }
}

/// Timing of engines whose streams are not delayed by prefill.
pub const NON_BLOCKING_PREFILL: Timing = Timing {
    prefill_tokens_per_ms: f64::INFINITY,
    chunk_tokens: 56,
    step_ms: 1.0,
    step_per_request_ms: 0.0,
    noise_percent: 0,
};

/// Time from the end of the step that completes a prefill to the first event.
const FIRST_EVENT_MS: f64 = 24.0;
/// Number of tokens per event of a stream.
const EVENT_TOKENS: u32 = 4;
/// Maximum number of concurrent requests.
pub const SLOTS: usize = 64;
/// Number of tokens that fit into memory for running requests and cached parts
/// together.
pub const MEMORY_TOKENS: u64 = 660_000;
/// Length of the intervals in which a noisy neighbour may slow the engine down.
const NOISE_INTERVAL_MS: u64 = 600;
/// Factor by which a noisy neighbour lengthens a step.
const NOISE_FACTOR: f64 = 2.5;

/// A request at an engine.
#[derive(Debug)]
pub struct Job {
    pub arrival: Arrival,
    pub number: usize,
    remaining_prefill_tokens: u64,
    generated: u32,
    event_at: f64,
    /// Time from the caller's first attempt to the first event, once it is
    /// known.
    pub first_ms: Option<f64>,
    pub longest_pause_ms: f64,
}

/// Events of one millisecond of virtual time.
#[derive(Debug, Default)]
pub struct TickEvents {
    /// Numbers of the requests whose prefill completed, so that their first
    /// event follows after [`FIRST_EVENT_MS`].
    pub first_events: Vec<usize>,
    /// Numbers of the requests with a further event.
    pub events: Vec<usize>,
    /// Requests that ended.
    pub ended: Vec<Job>,
    /// Prefills that started. Each has the subject, the tokens to prefill, and
    /// how many of them belong to a shared part that was not cached here.
    pub prefills: Vec<(u64, u64, u64)>,
}

#[derive(Debug)]
pub struct Engine {
    number: u64,
    timing: Timing,
    waiting: Vec<Job>,
    running: Vec<Job>,
    /// Cached shared parts, least recently used first.
    cached: IndexMap<u64, u32>,
    step_ends_at: f64,
    /// Tokens that the current step prefills, by request number.
    step_prefills: IndexMap<usize, u64>,
}

impl Job {
    pub fn new(arrival: &Arrival, number: usize) -> Self {
        Self {
            arrival: arrival.clone(),
            number,
            remaining_prefill_tokens: 0,
            generated: 0,
            event_at: 0.0,
            first_ms: None,
            longest_pause_ms: 0.0,
        }
    }

    pub fn is_on_time(&self) -> bool {
        self.is_first_event_on_time()
            && self.longest_pause_ms <= self.arrival.pause_target_ms as f64
    }

    pub fn is_first_event_on_time(&self) -> bool {
        let first_ms = self.first_ms.unwrap_or(f64::MAX);
        first_ms <= self.arrival.target_ms as f64
    }

    fn queue_key(&self) -> (Reverse<u8>, usize) {
        (Reverse(self.arrival.priority), self.number)
    }

    fn memory_tokens(&self) -> u64 {
        let tokens =
            self.arrival.shared_tokens + self.arrival.own_tokens + self.arrival.output_tokens;
        u64::from(tokens)
    }
}

impl Engine {
    pub fn new(number: usize, timing: Timing) -> Self {
        Self {
            number: number as u64,
            timing,
            waiting: Vec::new(),
            running: Vec::new(),
            cached: IndexMap::new(),
            step_ends_at: 0.0,
            step_prefills: IndexMap::new(),
        }
    }

    pub fn load(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    pub fn send(&mut self, job: Job) {
        self.waiting.push(job);
    }

    /// Advances the engine by one millisecond.
    pub fn advance(&mut self, now: u64) -> TickEvents {
        let mut tick = TickEvents::default();
        let until = (now + 1) as f64;
        while self.step_ends_at < until {
            let at = self.step_ends_at.max(now as f64);
            self.end_step(at, &mut tick);
            self.admit();
            if self.running.is_empty() {
                self.step_ends_at = until;
                break;
            }
            self.begin_step(at, &mut tick);
        }
        tick
    }

    fn end_step(&mut self, at: f64, tick: &mut TickEvents) {
        for job in &mut self.running {
            if job.first_ms.is_none() {
                let Some(prefill) = self.step_prefills.get(&job.number) else {
                    continue;
                };
                job.remaining_prefill_tokens -= prefill;
                if job.remaining_prefill_tokens > 0 {
                    continue;
                }
                self.cached.shift_remove(&job.arrival.subject);
                self.cached
                    .insert(job.arrival.subject, job.arrival.shared_tokens);
                job.event_at = at + FIRST_EVENT_MS;
                job.first_ms = Some(job.event_at - job.arrival.at_ms as f64);
                tick.first_events.push(job.number);
                continue;
            }
            job.generated += 1;
            if job.generated.is_multiple_of(EVENT_TOKENS) {
                job.longest_pause_ms = job.longest_pause_ms.max(at - job.event_at);
                job.event_at = job.event_at.max(at);
                tick.events.push(job.number);
            }
        }
        self.step_prefills.clear();
        let ended = self.running.extract_if(.., |job| {
            job.first_ms.is_some() && job.generated >= job.arrival.output_tokens
        });
        tick.ended.extend(ended);
        while self
            .cached
            .values()
            .map(|cached| u64::from(*cached))
            .sum::<u64>()
            > MEMORY_TOKENS / 2
        {
            self.cached.shift_remove_index(0);
        }
    }

    fn admit(&mut self) {
        loop {
            let used: u64 = self.running.iter().map(Job::memory_tokens).sum();
            let next = (0..self.waiting.len()).min_by_key(|index| self.waiting[*index].queue_key());
            let Some(next) = next else {
                return;
            };
            let is_full = used + self.waiting[next].memory_tokens() > MEMORY_TOKENS;
            if self.running.len() >= SLOTS || is_full {
                return;
            }
            let job = self.waiting.remove(next);
            self.running.push(job);
        }
    }

    fn begin_step(&mut self, at: f64, tick: &mut TickEvents) {
        let timing = self.timing;
        let mut budget = timing.chunk_tokens;
        let mut pending: Vec<&mut Job> = self
            .running
            .iter_mut()
            .filter(|job| job.first_ms.is_none())
            .collect();
        pending.sort_by_key(|job| job.queue_key());
        for job in pending {
            if budget == 0 {
                break;
            }
            if job.remaining_prefill_tokens == 0 {
                let uncached = match self.cached.contains_key(&job.arrival.subject) {
                    true => 0,
                    false => u64::from(job.arrival.shared_tokens),
                };
                job.remaining_prefill_tokens =
                    (u64::from(job.arrival.own_tokens) + uncached).max(1);
                let prefill = (job.arrival.subject, job.remaining_prefill_tokens, uncached);
                tick.prefills.push(prefill);
            }
            let prefill = job.remaining_prefill_tokens.min(budget);
            budget -= prefill;
            self.step_prefills.insert(job.number, prefill);
        }
        let prefill_ms = (timing.chunk_tokens - budget) as f64 / timing.prefill_tokens_per_ms;
        let step_ms =
            timing.step_ms + timing.step_per_request_ms * self.running.len() as f64 + prefill_ms;
        let factor = match self.has_noisy_neighbour(at) {
            true => NOISE_FACTOR,
            false => 1.0,
        };
        self.step_ends_at = at + step_ms * factor;
    }

    fn has_noisy_neighbour(&self, at: f64) -> bool {
        let interval = at as u64 / NOISE_INTERVAL_MS;
        let draw = rapidhash_v3(&[self.number.to_le_bytes(), interval.to_le_bytes()].concat());
        draw % 100 < self.timing.noise_percent
    }
}
