//! Statistics that one entry keeps about one instance.

use types::TimeMs;

use super::{
    cache::CachedParts,
    capacity::{InstanceCapacity, UpstreamCapacity},
    lanes::{ByLane, Lane},
    lateness::Lateness,
    remote_load::{rank_of, InstanceKey, InstanceLoad, RankedLoad},
    Demand, InstanceSpec, Placement,
};

/// Kind of an instance and the load that it can take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Capacity {
    /// An engine that serves a language model.
    Engine {
        /// Maximum number of concurrent requests.
        slots: u32,
        /// Number of tokens that fit into memory for running requests and
        /// cached parts together.
        memory_tokens: u64,
    },
    /// A service that is not a language model; its requests have no prompt.
    Service {
        /// Maximum number of concurrent requests.
        slots: u32,
    },
}

/// Accounting record of a request in flight, created by
/// [`Placer::on_sent`](super::Placer::on_sent).
#[derive(Debug, Default)]
pub struct Ticket {
    incarnation: u64,
    lane: Lane,
    /// Tokens of a long prompt that waits for prefill; `None` for short prompts
    /// and after the wait.
    waiting_tokens: Option<f64>,
    pending_prefill_tokens: f64,
    memory_tokens: f64,
    predicted_ms: f64,
    sent_at: TimeMs,
    event_at: TimeMs,
    pause_target_ms: u32,
    is_tracked: bool,
    prefill_finished: bool,
    rank: usize,
    /// Tokens of the prompt that are certainly not cached: its own part.
    uncached_tokens: u32,
    /// Whether no other request of this entry awaited its first event at the
    /// instance when this one was sent, and little of other entries' prompts.
    is_only_waiting: bool,
    /// Requests of this entry in flight at the instance when this one was sent,
    /// including it.
    concurrency: u32,
    /// Whether the pauses between events show the engine's speed.
    is_undisturbed: bool,
    /// Last pause between two events; 0 before the second one.
    gap_ms: u64,
}

impl Ticket {
    pub(super) fn lane(&self) -> Lane {
        self.lane
    }

    /// Records an event and returns the pause since the previous one as a
    /// fraction of the longest pause that meets the target; 0 if the request
    /// has no pause target.
    pub(super) fn end_pause(&mut self, now: TimeMs) -> f64 {
        let pause_ms = now.since(self.event_at);
        self.event_at = now;
        match self.pause_target_ms {
            0 => 0.0,
            target_ms => pause_ms as f64 / f64::from(target_ms),
        }
    }

    /// Returns the tokens of the prompt if it is long and waits for prefill.
    pub(super) fn waiting_tokens(&self) -> Option<f64> {
        self.waiting_tokens
    }

    /// Ends the wait for prefill and returns the waiting tokens. Later calls
    /// return `None`, even if the instance was removed or restarted, so that a
    /// prompt is subtracted from the queue only once.
    pub(super) fn take_waiting_tokens(&mut self) -> Option<f64> {
        self.waiting_tokens.take()
    }
}

/// An instance with the statistics of this entry.
#[derive(Debug)]
pub(super) struct TrackedInstance {
    incarnation: u64,
    capacity: Capacity,
    in_flight: u32,
    /// Number of requests whose first event has not arrived.
    awaiting_first_event: u32,
    /// Prompt tokens of this entry's requests that are not yet prefilled.
    pending_prefill_tokens: f64,
    /// Memory used by this entry's requests, in tokens.
    memory_tokens: f64,
    lateness: ByLane<Lateness>,
    parts: CachedParts,
    learned: InstanceCapacity,
    failures: u32,
    backoff_until: TimeMs,
    full_until: TimeMs,
    last_activity_at: TimeMs,
    /// Whether the last attempt to connect failed and no activity was seen
    /// since.
    unreachable: bool,
    /// Start of the current wait for first events.
    awaiting_since: TimeMs,
    ranked: RankedLoad,
}

impl TrackedInstance {
    /// Delay that each running request adds to the first event of a new one,
    /// since it lengthens each of the few engine steps before that event.
    const RUNNING_REQUEST_MS: f64 = 0.8;
    /// Cost of exceeding the learned limit of a plain instance, as a multiple of
    /// its service time. Larger than the differences that load makes below the
    /// limit, so an instance below its limit is preferred.
    const OVER_LIMIT_FACTOR: f64 = 4.0;
    /// Wait when memory or slots are exhausted: about the time until a running
    /// request ends.
    const MEMORY_WAIT_MS: f64 = 700.0;
    /// Weight of a new lateness observation.
    const LATENESS_WEIGHT: f64 = 0.3;
    /// Half-life of an observed lateness: about the time in which a queue of
    /// prompts clears.
    const LATENESS_HALF_LIFE_MS: f64 = 800.0;
    /// Multiple of its target that an own request must have waited at an instance to
    /// count as evidence while the load of other entries is not known. At the target
    /// itself, prompts leave busy homes and are read again: 0.748 on time instead of
    /// 0.765 with four entries (docs/design/shared-load.md).
    const LONG_WAIT_TARGETS: f64 = 1.5;
    /// Back-off after the second consecutive failure; doubles with each further
    /// failure.
    const BACKOFF_MS: u64 = 250;
    /// Maximum back-off: crashed engines are back after some seconds.
    const BACKOFF_MAX_MS: u64 = 4_000;
    /// Back-off after a refusal for lack of capacity.
    const FULL_BACKOFF_MS: u64 = 60;

    pub(super) fn new(member: &InstanceSpec) -> Self {
        Self {
            incarnation: member.incarnation,
            capacity: member.capacity,
            in_flight: 0,
            awaiting_first_event: 0,
            pending_prefill_tokens: 0.0,
            memory_tokens: 0.0,
            lateness: ByLane::default(),
            parts: CachedParts::default(),
            learned: InstanceCapacity::default(),
            failures: 0,
            backoff_until: TimeMs(0),
            full_until: TimeMs(0),
            last_activity_at: TimeMs(0),
            unreachable: false,
            awaiting_since: TimeMs(0),
            ranked: RankedLoad::new(InstanceKey::new(&member.instance, member.incarnation)),
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

    /// Returns the number of prompt tokens in the shared parts that this entry has
    /// sent here recently.
    pub(super) fn sent_tokens(&self, now: TimeMs, demand: &Demand) -> u32 {
        self.parts.cached_tokens(now, demand.shared())
    }

    /// Returns the share of the memory, from 0 to 1, that this entry's running
    /// requests and the shared parts that it has sent here recently take.
    pub(super) fn memory_share(&self) -> f64 {
        let Capacity::Engine { memory_tokens, .. } = self.capacity else {
            return 0.0;
        };
        let used_tokens = self.memory_tokens + self.parts.total_tokens() as f64;
        (used_tokens / memory_tokens.max(1) as f64).min(1.0)
    }

    /// Returns the number of prompt tokens that need no prefill here. The first
    /// home is assumed to have the shared parts cached even if this entry has
    /// not sent them there, because other entries have.
    pub(super) fn cached_tokens(&self, now: TimeMs, demand: &Demand, home_rank: usize) -> u32 {
        let shared = demand.shared();
        let cached = self.parts.cached_tokens(now, shared);
        match home_rank {
            0 => demand.shared_tokens(),
            _ => cached,
        }
    }

    /// Returns the time to prefill the shared parts that are not cached here,
    /// in milliseconds. This prefill delays other requests, and is redundant
    /// because the home has the parts cached.
    pub(super) fn redundant_prefill_ms(&self, demand: &Demand, cached_tokens: u32) -> f64 {
        let shared = demand.shared_tokens();
        f64::from(shared.saturating_sub(cached_tokens))
            / self.learned.rates().redundant_prefill_tokens_per_ms()
    }

    /// Returns the time to read the prompts of all gateways that the engine reads
    /// before a request of this rank, in milliseconds; 0 if they are not known.
    pub(super) fn queue_ms(&self, demand: &Demand) -> f64 {
        let unread = self.ranked.unread_ahead(rank_of(demand.priority));
        unread.unwrap_or_default() / self.learned.rates().prefill_tokens_per_ms
    }

    /// Predicts the time until the first event of a request sent now, in
    /// milliseconds.
    ///
    /// `lane_lateness_ms` is the lateness over all instances in the prompt's
    /// lane. It is the default for an instance without recent observations,
    /// which is assumed to be as loaded as the others, not idle.
    pub(super) fn predicted_ms(
        &self,
        now: TimeMs,
        demand: &Demand,
        cached_tokens: u32,
        lane_lateness_ms: f64,
    ) -> f64 {
        let peers = self.ranked.peers();
        let running = f64::from(self.in_flight) + peers.in_flight as f64;
        let rates = self.learned.rates();
        let expected_ms = match self.capacity {
            Capacity::Service { slots } => {
                // Calls of others have ended when a report of them arrives.
                let rounds = f64::from(self.in_flight) / f64::from(slots.max(1));
                rates.service_ms * (1.0 + rounds)
            }
            Capacity::Engine {
                slots,
                memory_tokens,
            } => {
                let prefill_tokens = f64::from(demand.prompt_tokens.saturating_sub(cached_tokens));
                let ahead = self.ranked.unread_ahead(rank_of(demand.priority));
                let ahead = ahead.unwrap_or(self.pending_prefill_tokens);
                let prefill_ms = (ahead + prefill_tokens) / rates.prefill_tokens_per_ms;
                let needed_tokens = f64::from(demand.prompt_tokens + demand.output_tokens / 2);
                let used_tokens = self.memory_tokens + peers.memory_tokens as f64;
                let memory_excess =
                    (used_tokens + needed_tokens) / memory_tokens.max(1) as f64 - 1.0;
                let slots_excess = (running + 1.0) / f64::from(slots.max(1)) - 1.0;
                let excess = memory_excess.max(slots_excess).max(0.0);
                let wait_ms = if excess > 0.0 {
                    Self::MEMORY_WAIT_MS * (0.2 + excess)
                } else {
                    0.0
                };
                rates.first_event_ms + prefill_ms + Self::RUNNING_REQUEST_MS * running + wait_ms
            }
        };
        expected_ms + self.lateness_ms(now, Lane::of(demand), lane_lateness_ms)
    }

    pub(super) fn on_sent(
        &mut self,
        now: TimeMs,
        demand: &Demand,
        placement: &Placement,
        lane_lateness_ms: f64,
    ) -> Ticket {
        if self.awaiting_first_event == 0 {
            self.awaiting_since = now;
        }
        let peers_unread = self.ranked.peers().unread_tokens.iter().sum::<u64>();
        let own_tokens = demand.parts.last().map_or(0, |part| part.tokens);
        let is_only_waiting =
            self.awaiting_first_event == 0 && peers_unread * 4 <= u64::from(own_tokens);
        self.in_flight += 1;
        self.awaiting_first_event += 1;
        let pending_prefill_tokens = f64::from(placement.prefill_tokens(demand));
        let memory_tokens = f64::from(demand.prompt_tokens + demand.output_tokens / 2);
        self.pending_prefill_tokens += pending_prefill_tokens;
        self.memory_tokens += memory_tokens;
        let rank = rank_of(demand.priority);
        self.ranked.on_sent(now, rank, pending_prefill_tokens);
        self.parts.record(now, demand.shared());
        let lane = Lane::of(demand);
        Ticket {
            incarnation: self.incarnation,
            lane,
            waiting_tokens: (lane == Lane::Long).then_some(pending_prefill_tokens),
            pending_prefill_tokens,
            memory_tokens,
            predicted_ms: placement.predicted_ms - self.lateness_ms(now, lane, lane_lateness_ms),
            sent_at: now,
            event_at: now,
            pause_target_ms: demand.pause_target_ms,
            is_tracked: true,
            prefill_finished: false,
            rank,
            uncached_tokens: own_tokens,
            is_only_waiting,
            concurrency: self.in_flight,
            is_undisturbed: false,
            gap_ms: 0,
        }
    }

    /// Records the first event and returns its lateness, in milliseconds;
    /// `None` if the request was sent to another incarnation or its prefill was
    /// already recorded.
    pub(super) fn on_first_event(
        &mut self,
        now: TimeMs,
        ticket: &mut Ticket,
        lane_lateness_ms: f64,
    ) -> Option<f64> {
        self.on_activity(now);
        ticket.event_at = now;
        self.failures = 0;
        self.backoff_until = TimeMs(0);
        if !self.is_current(ticket) || ticket.prefill_finished {
            return None;
        }
        let waited_ms = now.since(ticket.sent_at) as f64;
        let sample_ms = (waited_ms - ticket.predicted_ms).max(0.0);
        let lane = ticket.lane();
        let before_ms = self.lateness_ms(now, lane, lane_lateness_ms);
        self.lateness
            .get_mut(lane)
            .add(now, before_ms, sample_ms, Self::LATENESS_WEIGHT);
        self.finish_prefill(ticket);
        Some(sample_ms)
    }

    /// Records in `upstream` and for this instance what a first event shows of
    /// its capacity. Must precede [`Self::on_first_event`].
    pub(super) fn learn_from_first_event(
        &mut self,
        now: TimeMs,
        ticket: &mut Ticket,
        upstream: &mut UpstreamCapacity,
    ) {
        if !self.is_current(ticket) || ticket.prefill_finished || !upstream.is_enabled() {
            return;
        }
        let waited_ms = now.since(ticket.sent_at) as f64;
        match self.capacity {
            Capacity::Engine { .. } if !ticket.is_only_waiting => {}
            Capacity::Engine { .. } => {
                let tokens = f64::from(ticket.uncached_tokens);
                ticket.is_undisturbed =
                    upstream.on_first_event(now, &mut self.learned, tokens, waited_ms);
            }
            Capacity::Service { slots } => {
                self.learned
                    .on_service_response(now, slots, ticket.concurrency, waited_ms);
            }
        }
    }

    /// Records what the pause before an event shows of the step time. Must
    /// precede [`Ticket::end_pause`].
    pub(super) fn learn_from_next_event(&mut self, now: TimeMs, ticket: &mut Ticket) {
        if !self.is_current(ticket) || !ticket.is_undisturbed {
            return;
        }
        let gap_ms = now.since(ticket.event_at);
        self.learned
            .on_event_gap(now, gap_ms as f64, ticket.gap_ms as f64);
        ticket.gap_ms = gap_ms;
    }

    /// Records what a refusal for lack of capacity shows of a plain instance.
    pub(super) fn learn_from_refusal(&mut self, now: TimeMs) {
        if let Capacity::Service { slots } = self.capacity {
            self.learned.on_refused(now, slots, self.in_flight);
        }
    }

    pub(super) fn learned(&self) -> &InstanceCapacity {
        &self.learned
    }

    pub(super) fn learned_mut(&mut self) -> &mut InstanceCapacity {
        &mut self.learned
    }

    /// Returns the cost of exceeding the learned limit of concurrent requests,
    /// in milliseconds; 0 below it and for engines.
    pub(super) fn over_limit_penalty_ms(&self) -> f64 {
        match (self.capacity, self.learned.learned().concurrency_limit) {
            (Capacity::Service { .. }, Some(limit)) if self.in_flight >= limit => {
                Self::OVER_LIMIT_FACTOR * self.learned.rates().service_ms
            }
            _ => 0.0,
        }
    }

    pub(super) fn on_activity(&mut self, now: TimeMs) {
        self.last_activity_at = now;
        self.unreachable = false;
    }

    pub(super) fn on_end(&mut self, mut ticket: Ticket) {
        if !self.is_current(&ticket) {
            return;
        }
        self.finish_prefill(&mut ticket);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.memory_tokens = (self.memory_tokens - ticket.memory_tokens).max(0.0);
    }

    /// Returns whether the request was sent to this incarnation.
    fn is_current(&self, ticket: &Ticket) -> bool {
        ticket.is_tracked && ticket.incarnation == self.incarnation
    }

    /// Stops counting a request as waiting for prefill.
    fn finish_prefill(&mut self, ticket: &mut Ticket) {
        if ticket.prefill_finished {
            return;
        }
        ticket.prefill_finished = true;
        self.ranked
            .on_read(ticket.rank, ticket.sent_at, ticket.pending_prefill_tokens);
        self.awaiting_first_event = self.awaiting_first_event.saturating_sub(1);
        self.pending_prefill_tokens =
            (self.pending_prefill_tokens - ticket.pending_prefill_tokens).max(0.0);
    }

    pub(super) fn ranked_mut(&mut self) -> &mut RankedLoad {
        &mut self.ranked
    }

    /// Returns the load of this entry at the instance, with the key for reports.
    pub(super) fn own_load(&self) -> (InstanceKey, InstanceLoad) {
        let load = InstanceLoad {
            in_flight: u64::from(self.in_flight),
            memory_tokens: self.memory_tokens as u64,
            unread_tokens: self.ranked.own_unread(),
        };
        (self.ranked.key(), load)
    }

    /// Returns the age of the oldest request here that an instance serves before
    /// one like `demand` and that waits for its first event, in milliseconds; 0 if it
    /// is no evidence of the wait there.
    pub(super) fn oldest_wait_ms(&self, now: TimeMs, demand: &Demand) -> f64 {
        let wait_ms = self.ranked.oldest_wait_ms(now, rank_of(demand.priority));
        let is_evidence = self.ranked.counts_ranks()
            || wait_ms >= Self::LONG_WAIT_TARGETS * f64::from(demand.target_ms);
        match is_evidence {
            true => wait_ms,
            false => 0.0,
        }
    }

    pub(super) fn on_failure(&mut self, now: TimeMs) {
        let failures = self.failures.min(16);
        self.failures += 1;
        // A single failure may be caused by the request; from the second on,
        // the instance is assumed to be at fault.
        if failures > 0 {
            let backoff_ms = (Self::BACKOFF_MS << (failures - 1)).min(Self::BACKOFF_MAX_MS);
            self.backoff_until = self.backoff_until.max(now + backoff_ms);
        }
    }

    pub(super) fn on_unreachable(&mut self, now: TimeMs) {
        self.unreachable = true;
        let failures = self.failures.min(16);
        self.failures += 1;
        let backoff_ms = (Self::BACKOFF_MS << failures).min(Self::BACKOFF_MAX_MS);
        self.backoff_until = self.backoff_until.max(now + backoff_ms);
    }

    pub(super) fn on_full(&mut self, now: TimeMs) {
        self.full_until = now + Self::FULL_BACKOFF_MS;
    }

    pub(super) fn is_full(&self, now: TimeMs) -> bool {
        now < self.full_until
    }

    /// Returns whether requests may be sent to the instance: it is not in
    /// back-off, and after a back-off for failures no other request is probing
    /// it.
    pub(super) fn is_usable(&self, now: TimeMs) -> bool {
        let is_probing = self.failures > 1 && self.awaiting_first_event > 0;
        now >= self.backoff_until && !is_probing && !self.is_full(now)
    }

    pub(super) fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    /// Returns whether nothing has arrived from the instance for `silence_ms`,
    /// counted from the start of the current wait for first events at the
    /// earliest.
    pub(super) fn is_silent(&self, now: TimeMs, silence_ms: u64) -> bool {
        let since = self.awaiting_since.max(self.last_activity_at);
        now.since(since) >= silence_ms
    }

    fn lateness_ms(&self, now: TimeMs, lane: Lane, lane_lateness_ms: f64) -> f64 {
        self.lateness
            .get(lane)
            .get(now, Self::LATENESS_HALF_LIFE_MS, lane_lateness_ms)
    }
}
