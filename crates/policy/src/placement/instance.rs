//! What one entry knows of one instance.

use types::TimeMs;

use super::{
    cache::KnownParts,
    lanes::{ByLane, Lane},
    lateness::Lateness,
    Demand, InstanceSpec, Placement,
};

/// What an instance offers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Capacity {
    /// A model engine.
    Engine {
        /// Requests that run at once.
        slots: u32,
        /// Tokens that running requests and kept parts have room for.
        memory_tokens: u64,
    },
    /// A plain service.
    Service {
        /// Requests that run at once.
        slots: u32,
    },
}

/// What a request in flight counts for.
#[derive(Debug, Default)]
pub struct Ticket {
    incarnation: u64,
    lane: Lane,
    /// What a long prompt counts for among those that wait to be read.
    waiting_tokens: Option<f64>,
    reading_tokens: f64,
    memory_tokens: f64,
    predicted_ms: f64,
    sent_at: TimeMs,
    event_at: TimeMs,
    pause_target_ms: u32,
    counted: bool,
    answered: bool,
}

impl Ticket {
    pub(super) fn lane(&self) -> Lane {
        self.lane
    }

    /// Ends a pause between two events. Returns it as a share of the longest
    /// one that is on time; 0 if there is none.
    pub(super) fn next_pause(&mut self, now: TimeMs) -> f64 {
        let pause_ms = now.since(self.event_at);
        self.event_at = now;
        match self.pause_target_ms {
            0 => 0.0,
            target_ms => pause_ms as f64 / f64::from(target_ms),
        }
    }

    /// Tokens with which a long prompt waits to be read.
    pub(super) fn waiting_tokens(&self) -> Option<f64> {
        self.waiting_tokens
    }

    /// Ends that wait, once: later calls return `None`, whatever becomes of
    /// the instance.
    pub(super) fn end_wait(&mut self) -> Option<f64> {
        self.waiting_tokens.take()
    }
}

/// An instance with the statistics of this entry.
#[derive(Debug)]
pub(super) struct Tracked {
    incarnation: u64,
    capacity: Capacity,
    in_flight: u32,
    /// Requests whose first event has not come.
    awaited: u32,
    /// Prompt tokens of own requests that are still to be read.
    reading_tokens: f64,
    /// Memory of own requests there.
    memory_tokens: f64,
    lateness: ByLane<Lateness>,
    parts: KnownParts,
    failures: u32,
    avoid_until: TimeMs,
    full_until: TimeMs,
    last_heard_at: TimeMs,
    /// Whether nobody answered there, and nothing was heard since.
    unreachable: bool,
    /// Start of the present wait for an answer.
    awaited_since: TimeMs,
}

impl Tracked {
    /// Prompt tokens that an engine reads in a millisecond, about: the rate of
    /// the engines on the users' sheets.
    const READ_TOKENS_PER_MS: f64 = 56.0;
    /// Time from the last prompt token read to the first event, in
    /// milliseconds: set-up and a few steps of an idle engine.
    const FIRST_EVENT_MS: f64 = 30.0;
    /// Time that each running request adds to the first event of the next one,
    /// in milliseconds: a longer step, some steps long.
    const RUNNING_MS: f64 = 0.8;
    /// Time that a request of a plain service takes, in milliseconds, about.
    const SERVICE_MS: f64 = 30.0;
    /// Time that a request waits when the memory is full, in milliseconds:
    /// about what a running one takes to end.
    const MEMORY_WAIT_MS: f64 = 700.0;
    /// Weight of a new observation of the lateness.
    const LATENESS_WEIGHT: f64 = 0.3;
    /// Time after which an observed lateness counts half, in milliseconds:
    /// about as long as a queue of prompts takes to clear.
    const LATENESS_HALF_LIFE_MS: f64 = 800.0;
    /// Avoidance after the second failure in a row, in milliseconds; doubles
    /// with each.
    const AVOID_MS: u64 = 250;
    /// Longest avoidance, in milliseconds: crashed engines are back after some
    /// seconds.
    const AVOID_MAX_MS: u64 = 4_000;
    /// Avoidance after a refusal for lack of room, in milliseconds.
    const FULL_MS: u64 = 60;

    pub(super) fn new(member: &InstanceSpec) -> Self {
        Self {
            incarnation: member.incarnation,
            capacity: member.capacity,
            in_flight: 0,
            awaited: 0,
            reading_tokens: 0.0,
            memory_tokens: 0.0,
            lateness: ByLane::default(),
            parts: KnownParts::default(),
            failures: 0,
            avoid_until: TimeMs(0),
            full_until: TimeMs(0),
            last_heard_at: TimeMs(0),
            unreachable: false,
            awaited_since: TimeMs(0),
        }
    }

    pub(super) fn set_capacity(&mut self, capacity: Capacity) {
        self.capacity = capacity;
    }

    pub(super) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Prompt tokens that need not be read here. The first home counts as
    /// keeping the shared parts whether or not this entry has sent them there,
    /// since the other entries do.
    pub(super) fn cached_tokens(&self, now: TimeMs, demand: &Demand, home_rank: usize) -> u32 {
        let shared = demand.shared();
        let known = self.parts.cached_tokens(now, shared);
        match home_rank {
            0 => demand.shared_tokens(),
            _ => known,
        }
    }

    /// Time that reading shared parts here would take from other requests,
    /// though their home has them already, in milliseconds.
    pub(super) fn wasted_ms(&self, demand: &Demand, cached_tokens: u32) -> f64 {
        let shared = demand.shared_tokens();
        f64::from(shared.saturating_sub(cached_tokens)) / Self::READ_TOKENS_PER_MS
    }

    /// Time until the first event of a request sent now, in milliseconds.
    ///
    /// `usual_ms` is the lateness over all instances. It stands for that of an
    /// instance of which nothing was seen lately: it is as full as the others,
    /// not empty.
    pub(super) fn predicted_ms(
        &self,
        now: TimeMs,
        demand: &Demand,
        cached_tokens: u32,
        usual_ms: f64,
    ) -> f64 {
        let running = f64::from(self.in_flight);
        let expected_ms = match self.capacity {
            Capacity::Service { slots } => {
                let rounds = running / f64::from(slots.max(1));
                Self::SERVICE_MS * (1.0 + rounds)
            }
            Capacity::Engine {
                slots,
                memory_tokens,
            } => {
                let to_read = f64::from(demand.prompt_tokens.saturating_sub(cached_tokens));
                let reading_ms = (self.reading_tokens + to_read) / Self::READ_TOKENS_PER_MS;
                let need = f64::from(demand.prompt_tokens + demand.output_tokens / 2);
                let memory_over = (self.memory_tokens + need) / memory_tokens.max(1) as f64 - 1.0;
                let slots_over = (running + 1.0) / f64::from(slots.max(1)) - 1.0;
                let over = memory_over.max(slots_over).max(0.0);
                let wait_ms = if over > 0.0 {
                    Self::MEMORY_WAIT_MS * (0.2 + over)
                } else {
                    0.0
                };
                Self::FIRST_EVENT_MS + reading_ms + Self::RUNNING_MS * running + wait_ms
            }
        };
        expected_ms + self.lateness_ms(now, Lane::of(demand), usual_ms)
    }

    pub(super) fn on_sent(
        &mut self,
        now: TimeMs,
        demand: &Demand,
        placed: &Placement,
        usual_ms: f64,
    ) -> Ticket {
        if self.awaited == 0 {
            self.awaited_since = now;
        }
        self.in_flight += 1;
        self.awaited += 1;
        let reading_tokens = f64::from(demand.prompt_tokens.saturating_sub(placed.cached_tokens));
        let memory_tokens = f64::from(demand.prompt_tokens + demand.output_tokens / 2);
        self.reading_tokens += reading_tokens;
        self.memory_tokens += memory_tokens;
        self.parts.note(now, demand.shared());
        let lane = Lane::of(demand);
        Ticket {
            incarnation: self.incarnation,
            lane,
            waiting_tokens: (lane == Lane::Long).then_some(reading_tokens),
            reading_tokens,
            memory_tokens,
            predicted_ms: placed.predicted_ms - self.lateness_ms(now, lane, usual_ms),
            sent_at: now,
            event_at: now,
            pause_target_ms: demand.pause_target_ms,
            counted: true,
            answered: false,
        }
    }

    /// Returns how much later than predicted it came, in milliseconds.
    pub(super) fn on_first_event(
        &mut self,
        now: TimeMs,
        ticket: &mut Ticket,
        usual_ms: f64,
    ) -> Option<f64> {
        self.on_heard(now);
        ticket.event_at = now;
        self.failures = 0;
        self.avoid_until = TimeMs(0);
        if !self.counts(ticket) || ticket.answered {
            return None;
        }
        let waited_ms = now.since(ticket.sent_at) as f64;
        let sample_ms = (waited_ms - ticket.predicted_ms).max(0.0);
        let lane = ticket.lane();
        let before_ms = self.lateness_ms(now, lane, usual_ms);
        self.lateness
            .get_mut(lane)
            .add(now, before_ms, sample_ms, Self::LATENESS_WEIGHT);
        self.settle_reading(ticket);
        Some(sample_ms)
    }

    pub(super) fn on_heard(&mut self, now: TimeMs) {
        self.last_heard_at = now;
        self.unreachable = false;
    }

    pub(super) fn on_end(&mut self, mut ticket: Ticket) {
        if !self.counts(&ticket) {
            return;
        }
        self.settle_reading(&mut ticket);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.memory_tokens = (self.memory_tokens - ticket.memory_tokens).max(0.0);
    }

    /// Whether the request was sent to this incarnation.
    fn counts(&self, ticket: &Ticket) -> bool {
        ticket.counted && ticket.incarnation == self.incarnation
    }

    /// Takes a request out of those whose prompt is still to be read.
    fn settle_reading(&mut self, ticket: &mut Ticket) {
        if ticket.answered {
            return;
        }
        ticket.answered = true;
        self.awaited = self.awaited.saturating_sub(1);
        self.reading_tokens = (self.reading_tokens - ticket.reading_tokens).max(0.0);
    }

    pub(super) fn on_failure(&mut self, now: TimeMs) {
        let failures = self.failures.min(16);
        self.failures += 1;
        // One failure may be the request's own; from the second on it is the
        // instance's.
        if failures > 0 {
            let avoid_ms = (Self::AVOID_MS << (failures - 1)).min(Self::AVOID_MAX_MS);
            self.avoid_until = self.avoid_until.max(now + avoid_ms);
        }
    }

    pub(super) fn on_unreachable(&mut self, now: TimeMs) {
        self.unreachable = true;
        let failures = self.failures.min(16);
        self.failures += 1;
        let avoid_ms = (Self::AVOID_MS << failures).min(Self::AVOID_MAX_MS);
        self.avoid_until = self.avoid_until.max(now + avoid_ms);
    }

    pub(super) fn on_full(&mut self, now: TimeMs) {
        self.full_until = now + Self::FULL_MS;
    }

    pub(super) fn is_full(&self, now: TimeMs) -> bool {
        now < self.full_until
    }

    /// Whether neither failures nor a lack of room keep it out. After a
    /// pause for failures one request at a time tries it.
    pub(super) fn is_usable(&self, now: TimeMs) -> bool {
        let on_trial = self.failures > 1 && self.awaited > 0;
        now >= self.avoid_until && !on_trial && !self.is_full(now)
    }

    pub(super) fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    pub(super) fn is_silent(&self, now: TimeMs, silence_ms: u64) -> bool {
        let since = self.awaited_since.max(self.last_heard_at);
        now.since(since) >= silence_ms
    }

    fn lateness_ms(&self, now: TimeMs, lane: Lane, usual_ms: f64) -> f64 {
        self.lateness
            .get(lane)
            .get(now, Self::LATENESS_HALF_LIFE_MS, usual_ms)
    }
}
