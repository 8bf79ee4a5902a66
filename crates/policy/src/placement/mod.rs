//! Placement: chooses an instance for each request when an entry sends directly
//! to the instances.
//!
//! Load pattern: many prompts share long parts, the instances together can
//! cache every part once but not each of them everywhere, and several entries
//! place requests at the same time. Prefilling a shared part again costs an
//! engine more than generating the answer, so a prompt goes to the instance that
//! all entries agree on (its home), unless the wait there costs more than copying
//! the part to another instance or prefilling it there.
//!
//! All costs are expressed as milliseconds until the first event. Requests of
//! this entry count immediately, those of other entries as far as they report
//! them; what is not known shows as lateness, the delay of first events beyond
//! their prediction.

mod cache;
mod capacity;
mod fetch;
mod home;
mod instance;
mod lanes;
mod lateness;
mod overload;
mod remote_load;

use std::sync::Arc;

use indexmap::IndexMap;
use rapidhash::v3::rapidhash_v3;
use types::{InstanceId, Priority, TimeMs};

pub use capacity::{CapacityChange, LearnedCapacity};
pub use fetch::{CopyDecision, CopyLink, CopyRefusal, PrefixCopy};
pub use instance::{Capacity, Ticket};
pub use lanes::{LaneSplit, LaneTotals};
pub use overload::{Overload, Urgency};
pub use remote_load::{
    InstanceKey, InstanceLoad, LoadReport, PeerLoads, QueueTotals, UpstreamTotals, RANKS,
    VALUE_TTL_MS,
};

use capacity::UpstreamCapacity;
use fetch::{Copies, Holder};
use home::home_ranks;
use instance::TrackedInstance;
use lanes::{ByLane, Lane, Lanes};
use lateness::Lateness;
use overload::OverloadControl;
use remote_load::PeerTotals;

/// A contiguous part of a prompt, such as a system prompt or a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Identifies the content: equal parts have equal ids.
    pub id: u64,
    /// Length of the part in tokens.
    pub tokens: u32,
}

/// Resources and latency targets that a request requires.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// Parts of the prompt in order; the last one is specific to the request.
    /// Empty for calls to a plain service.
    pub parts: Arc<[Part]>,
    /// Length of the whole prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the answer in tokens.
    pub output_tokens: u32,
    /// Target for the time until the first event, in milliseconds.
    pub target_ms: u32,
    /// Target for the longest pause between two events, in milliseconds; 0 if
    /// the answer is not a stream.
    pub pause_target_ms: u32,
    /// Priority, `u8::MAX` for the most urgent rank; see [`RANKS`].
    pub priority: Priority,
}

impl Demand {
    /// Returns the parts that other requests may share with this one.
    pub fn shared(&self) -> &[Part] {
        match self.parts.split_last() {
            Some((_own, shared)) => shared,
            None => &[],
        }
    }

    /// Returns the length of the shared parts in tokens.
    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().map(|part| part.tokens).sum()
    }

    /// Returns a hash of the shared parts, which determines the order of the
    /// prompt's homes; 0 without shared parts.
    pub fn prefix_hash(&self) -> u64 {
        home::prefix_hash(self.shared())
    }
}

/// An instance that requests can be placed on.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceSpec {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Distinguishes restarts of an instance under the same name.
    pub incarnation: u64,
    /// Kind and size of the instance.
    pub capacity: Capacity,
}

/// The chosen instance with the inputs of the decision.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Instance that the request is sent to.
    pub instance: InstanceId,
    /// Predicted time until the first event, in milliseconds.
    pub predicted_ms: f64,
    /// Prompt tokens that need no prefill, as estimated by this entry.
    pub cached_tokens: u32,
    /// Position of the instance in the prompt's order of homes among the usable
    /// instances, 0 for the first.
    pub home_rank: usize,
    /// Number of this entry's requests in flight at the instance.
    pub in_flight: u32,
    /// Whether the instance should copy shared parts from another one.
    pub prefix_copy: CopyDecision,
}

impl Placement {
    /// Returns the prompt tokens that the instance is expected to prefill.
    fn prefill_tokens(&self, demand: &Demand) -> u32 {
        let present_tokens = self.cached_tokens + self.prefix_copy.expected_tokens();
        demand.prompt_tokens.saturating_sub(present_tokens)
    }
}

/// Places the requests of one upstream.
///
/// # Invariants
///
/// - Statistics of an instance are kept as long as it is a member; a new
///   incarnation starts without statistics.
/// - The choice depends only on observations of this entry and on the reports of
///   others, so two entries without load choose the same instance for a prompt.
#[derive(Debug, Default)]
pub struct Placer {
    instances: IndexMap<InstanceId, TrackedInstance>,
    lanes: Lanes,
    overload_control: OverloadControl,
    copies: Copies,
    /// Lateness over all instances and lanes.
    lateness: Lateness,
    /// Lateness over all instances, per lane. Long prompts wait behind short
    /// ones, so the long lane may be late while the short one is on time.
    lane_lateness: ByLane<Lateness>,
    /// Whether own waiting requests and the load of other entries count.
    counts_peers: bool,
    /// Number that differs between entries, from which they draw.
    salt: u64,
    /// Requests sent, of which each has its own draw.
    sent: u64,
    /// Whether the load of all entries is known.
    sees_fleet: bool,
    peer_totals: PeerTotals,
    /// What the instances' responses show of their capacity.
    learned: UpstreamCapacity,
}

impl Placer {
    /// Cost per position in the order of homes, up to the third home, so that
    /// small differences in load do not spread prompts with the same shared
    /// parts over several instances.
    const HOME_RANK_PENALTY_MS: f64 = 4.0;
    /// Weight of the time that redundant prefill takes from other requests,
    /// relative to the request's own wait. Applies while instances have spare
    /// capacity.
    const REDUNDANT_PREFILL_WEIGHT: f64 = 2.0;
    /// Lateness over all instances up to which they have spare capacity: one or
    /// two prompts in the queue.
    const SPARE_CAPACITY_LATENESS_MS: f64 = 70.0;
    /// Lateness beyond [`Self::SPARE_CAPACITY_LATENESS_MS`] that raises the
    /// weight of redundant prefill by one. When all instances have queues,
    /// sending prompts to other instances than their home only makes the queues
    /// longer.
    const REDUNDANT_PREFILL_LATENESS_MS: f64 = 100.0;

    /// Share of its target within which an idle instance serves a prompt, so that
    /// it is not refused while others wait: the wait behind half a long prompt and
    /// the time to read a common one. With 0.3 and more, entries that hear of each
    /// other late admit too many (docs/design/shared-load.md).
    const IDLE_TARGET_SHARE: f64 = 0.2;

    /// Range of the draw among plain instances: the cost of two running calls at an
    /// instance of six slots.
    const SPREAD_MS: f64 = 10.0;

    /// Weight of one observation in the lateness over all instances, which thus
    /// covers about twenty answers.
    const LATENESS_WEIGHT: f64 = 0.08;
    /// Half-life of the lateness over all instances without new observations.
    const LATENESS_HALF_LIFE_MS: f64 = 2_000.0;
    /// An observation counts as at most this multiple of the current lateness
    /// over all instances plus [`Self::OUTLIER_MS`], so that one straggler does
    /// not make all instances appear busy.
    const OUTLIER_FACTOR: f64 = 2.0;
    /// Amount by which an observation may exceed the multiple
    /// [`Self::OUTLIER_FACTOR`] of the current lateness.
    const OUTLIER_MS: f64 = 150.0;
    /// Minimum silence after which an instance counts as hanging while the
    /// others are on time: callers abandon a stream after two seconds or more.
    const HANG_TIMEOUT_MS: f64 = 1_100.0;
    /// Minimum silence as a multiple of the request's target: callers abandon a
    /// stream after four times the target or later, and a prompt that is merely
    /// late would be prefilled again elsewhere.
    const HANG_TARGET_FACTOR: f64 = 2.0;
    /// Multiple of the lateness over all instances that is added to the minimum
    /// silence: where all queues are long, silence is a weak sign of a fault.
    const HANG_LATENESS_FACTOR: f64 = 4.0;

    /// Replaces the members. Statistics of members with unchanged incarnation
    /// are kept.
    pub fn set_members(&mut self, members: &[InstanceSpec]) {
        let mut before = std::mem::take(&mut self.instances);
        for member in members {
            let existing = before
                .swap_remove(&member.instance)
                .filter(|tracked| tracked.incarnation() == member.incarnation);
            let mut tracked = existing.unwrap_or_else(|| TrackedInstance::new(member));
            tracked.set_capacity(member.capacity);
            tracked
                .ranked_mut()
                .set_modes(self.counts_peers, self.sees_fleet);
            self.instances.insert(member.instance.clone(), tracked);
        }
        self.lanes.set_instances(self.instances.keys());
    }

    /// Returns the overload if the request should be refused because the queues
    /// are already too long for it to meet its target. Always `None` for short
    /// prompts.
    pub fn overload(
        &mut self,
        now: TimeMs,
        demand: &Demand,
        urgency: &Urgency,
    ) -> Option<Overload> {
        match Lane::of(demand) {
            Lane::Short => None,
            Lane::Long => {
                let overload = self.overload_control.overload(
                    now,
                    urgency,
                    demand.target_ms,
                    &self.peer_totals,
                )?;
                let can_serve = self.sees_fleet && self.has_idle_instance(now, demand);
                (!can_serve).then_some(overload)
            }
        }
    }

    /// Chooses an instance that is not in `exclude`. Instances in back-off are
    /// used only if there are no others; `None` if every instance is excluded
    /// or full.
    pub fn choose(
        &self,
        now: TimeMs,
        demand: &Demand,
        exclude: &[InstanceId],
    ) -> Option<Placement> {
        self.choose_among(now, demand, exclude, |tracked| tracked.is_usable(now))
            .or_else(|| self.choose_among(now, demand, exclude, |tracked| !tracked.is_full(now)))
    }

    fn choose_among(
        &self,
        now: TimeMs,
        demand: &Demand,
        exclude: &[InstanceId],
        usable: impl Fn(&TrackedInstance) -> bool,
    ) -> Option<Placement> {
        let lateness_ms = match self.sees_fleet {
            true => self
                .overall_lateness_ms(now)
                .max(self.lane_wait_ms(now, demand)),
            false => self.overall_lateness_ms(now),
        };
        let excess_lateness_ms = (lateness_ms - Self::SPARE_CAPACITY_LATENESS_MS).max(0.0);
        let redundant_prefill_weight = Self::REDUNDANT_PREFILL_WEIGHT
            + excess_lateness_ms / Self::REDUNDANT_PREFILL_LATENESS_MS;
        let lane = Lane::of(demand);
        let lane_lateness_ms = self.lane_lateness_ms(now, lane);
        let candidates: Vec<(&InstanceId, &TrackedInstance, bool)> = self
            .instances
            .iter()
            .enumerate()
            .filter(|(_, (instance, tracked))| !exclude.contains(instance) && usable(tracked))
            .map(|(index, (instance, tracked))| {
                let is_own_lane = demand.parts.is_empty() || self.lanes.is_own_lane(index, lane);
                (instance, tracked, is_own_lane)
            })
            .collect();
        // Ranks only usable instances, so that all entries agree on the second
        // home if the first one is unusable.
        let ranks = home_ranks(
            candidates
                .iter()
                .map(|(instance, _, is_own_lane)| (*instance, *is_own_lane)),
            demand.shared(),
        );
        let holders = self.holders(now, demand, &candidates, &ranks);
        let mut best: Option<(f64, Placement)> = None;
        for ((instance, tracked, is_own_lane), home_rank) in candidates.into_iter().zip(ranks) {
            let cached_tokens = tracked.cached_tokens(now, demand, home_rank);
            let receiver = (instance, tracked, home_rank);
            let (prefix_copy, predicted_ms) =
                self.predict(now, demand, receiver, &holders, lane_lateness_ms);
            let present_tokens = cached_tokens + prefix_copy.expected_tokens();
            let redundant_ms = tracked.redundant_prefill_ms(demand, present_tokens)
                + prefix_copy.burden_ms(tracked, demand);
            let other_lane_penalty_ms = match is_own_lane {
                true => 0.0,
                false => Lanes::other_lane_penalty_ms(lane),
            };
            let cost = predicted_ms.max(tracked.oldest_wait_ms(now, demand))
                + redundant_prefill_weight * redundant_ms
                + self.spread_ms(instance, demand)
                + Self::HOME_RANK_PENALTY_MS * home_rank.min(2) as f64
                + other_lane_penalty_ms
                + tracked.over_limit_penalty_ms();
            if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
                let placement = Placement {
                    instance: instance.clone(),
                    predicted_ms,
                    cached_tokens,
                    home_rank,
                    in_flight: tracked.in_flight(),
                    prefix_copy,
                };
                best = Some((cost, placement));
            }
        }
        best.map(|(_, placement)| placement)
    }

    /// Returns whether a usable instance of the prompt's lane would serve it well
    /// within its target, by the load of all entries. The queues of the upstream may
    /// be long meanwhile if most of it waits at a few instances.
    fn has_idle_instance(&self, now: TimeMs, demand: &Demand) -> bool {
        let lane = Lane::of(demand);
        let lane_lateness_ms = self.lane_lateness_ms(now, lane);
        let limit_ms = Self::IDLE_TARGET_SHARE * f64::from(demand.target_ms);
        let instances = self.instances.iter().enumerate();
        let usable: Vec<(&InstanceId, &TrackedInstance, bool)> = instances
            .filter(|(index, (_, tracked))| {
                tracked.is_usable(now) && self.lanes.is_own_lane(*index, lane)
            })
            .map(|(_, (name, tracked))| (name, tracked, true))
            .collect();
        let names = usable.iter().map(|(name, ..)| (*name, true));
        let ranks = home_ranks(names, demand.shared());
        let holders = self.holders(now, demand, &usable, &ranks);
        usable
            .iter()
            .zip(ranks)
            .any(|((name, tracked, _), home_rank)| {
                let receiver = (*name, *tracked, home_rank);
                let (_, predicted_ms) =
                    self.predict(now, demand, receiver, &holders, lane_lateness_ms);
                predicted_ms.max(tracked.oldest_wait_ms(now, demand)) < limit_ms
            })
    }

    /// Decides whether the instance would copy cached parts of the prompt, and
    /// predicts the time until the first event with the copy, in milliseconds.
    fn predict(
        &self,
        now: TimeMs,
        demand: &Demand,
        receiver: (&InstanceId, &TrackedInstance, usize),
        holders: &[Holder<'_>],
        lane_lateness_ms: f64,
    ) -> (CopyDecision, f64) {
        let (_, tracked, home_rank) = receiver;
        let prefix_copy = self.plan_copy(now, demand, receiver, holders);
        let present_tokens =
            tracked.cached_tokens(now, demand, home_rank) + prefix_copy.expected_tokens();
        let predicted_ms = tracked.predicted_ms(now, demand, present_tokens, lane_lateness_ms)
            + prefix_copy.delay_ms();
        (prefix_copy, predicted_ms)
    }

    /// Returns the mean predicted wait over the instances of the prompt's lane, as if
    /// the prompt were cached there.
    fn lane_wait_ms(&self, now: TimeMs, demand: &Demand) -> f64 {
        let lane = Lane::of(demand);
        let instances = self.instances.values().enumerate();
        let own = instances.filter(|(index, _)| self.lanes.is_own_lane(*index, lane));
        let waits =
            own.map(|(_, tracked)| tracked.predicted_ms(now, demand, demand.prompt_tokens, 0.0));
        let (sum, count) = waits.fold((0.0, 0), |(sum, count), wait| (sum + wait, count + 1));
        sum / f64::from(count.max(1))
    }

    /// Returns a cost that is drawn for each call to a plain service and instance.
    /// Without it, entries with few calls send all of them to the instance that is
    /// first in the list. The calls of other entries are not counted: they end before
    /// a report of them arrives, and all entries would follow the same report.
    fn spread_ms(&self, instance: &InstanceId, demand: &Demand) -> f64 {
        if !self.counts_peers || !demand.parts.is_empty() {
            return 0.0;
        }
        let seed = [self.salt.to_le_bytes(), self.sent.to_le_bytes()].concat();
        let draw = rapidhash_v3(&[&seed, instance.as_str().as_bytes()].concat());
        Self::SPREAD_MS * draw as f64 / u64::MAX as f64
    }

    /// Takes the own requests that wait at an instance as evidence of the wait there,
    /// from now on, and counts the load of other entries where it is known.
    /// Calls to plain services draw among instances of nearly the same load; `salt`
    /// must differ between entries.
    pub fn count_peers(&mut self, salt: u64) {
        self.counts_peers = true;
        self.salt = salt;
        self.apply_modes();
    }

    /// Records whether the load of all entries is known: there are no others, or
    /// they report it. Only then are waits predicted by rank and redundant prefill
    /// weighed by the queues: the lateness of first events, which stands for the
    /// load of the others, is not known by rank.
    pub fn set_sees_fleet(&mut self, sees_fleet: bool) {
        if self.sees_fleet != sees_fleet {
            self.sees_fleet = sees_fleet;
            self.apply_modes();
        }
    }

    fn apply_modes(&mut self) {
        let (counts_peers, sees_fleet) = (self.counts_peers, self.sees_fleet);
        for tracked in self.instances.values_mut() {
            tracked.ranked_mut().set_modes(counts_peers, sees_fleet);
        }
    }

    /// Applies the totals of another entry. Older ones than those known have no
    /// effect.
    pub fn on_peer_totals(
        &mut self,
        now: TimeMs,
        entry: &InstanceId,
        run: u64,
        totals: &UpstreamTotals,
    ) {
        if let Some(change) = self.peer_totals.replace(now, entry, run, totals) {
            self.lanes.record_peer(now, &change.lanes);
            let prefilled_tokens = change.queue.prefilled_tokens;
            self.overload_control
                .on_peer_prefilled(now, prefilled_tokens);
        }
    }

    /// Removes expired totals of other entries.
    pub fn expire_peer_totals(&mut self, now: TimeMs) {
        self.peer_totals.expire(now);
    }

    /// Returns the totals of this entry.
    pub fn own_totals(&self) -> UpstreamTotals {
        UpstreamTotals {
            queue: self.overload_control.own_queue(),
            lanes: self.lanes.own_totals(),
        }
    }

    /// Replaces the load of all other entries at an instance.
    pub fn set_peer_load(&mut self, instance: &InstanceId, load: InstanceLoad) {
        if let Some(tracked) = self.instances.get_mut(instance) {
            tracked.ranked_mut().set_peers(load);
        }
    }

    /// Returns the load of this entry at the instances at which it has any.
    pub fn own_loads(&self) -> impl Iterator<Item = (InstanceKey, InstanceLoad)> + '_ {
        let loads = self.instances.values().map(TrackedInstance::own_load);
        loads.filter(|(_, load)| !load.is_zero())
    }

    /// Returns the current division of the instances between short and long
    /// prompts.
    pub fn lane_split(&self) -> LaneSplit {
        self.lanes.split()
    }

    /// Enables or disables learning of the instances' capacity; enabled by
    /// default. Without it, all instances count as equal.
    pub fn set_capacity_learning(&mut self, is_enabled: bool) {
        self.learned.set_enabled(is_enabled);
    }

    /// Returns the learned capacity of an instance; `None` if it is no member.
    pub fn learned_capacity(&self, instance: &InstanceId) -> Option<LearnedCapacity> {
        let tracked = self.instances.get(instance)?;
        Some(tracked.learned().learned())
    }

    /// Returns the instances whose learned capacity has changed by more than a
    /// fifth since they were last returned; each at most once per five seconds.
    pub fn take_capacity_changes(&mut self, now: TimeMs) -> Vec<CapacityChange> {
        if !self.learned.take_update() {
            return Vec::new();
        }
        self.instances
            .iter_mut()
            .filter_map(|(instance, tracked)| {
                capacity::take_change(now, instance, tracked.learned_mut())
            })
            .collect()
    }

    /// Records that a request was sent as placed. The caller passes the ticket
    /// to [`Placer::on_end`] when the request ends.
    pub fn on_sent(&mut self, now: TimeMs, demand: &Demand, placement: &Placement) -> Ticket {
        self.sent += 1;
        if !demand.parts.is_empty() {
            self.lanes.record_prompt(now, demand);
        }
        let instances = self.instances.values_mut();
        self.learned
            .update(now, instances.map(TrackedInstance::learned_mut));
        let lateness_ms = self.lane_lateness_ms(now, Lane::of(demand));
        if let Some(copy) = placement.prefix_copy.requested() {
            self.copies.on_requested(now, &placement.instance, copy);
        }
        let Some(tracked) = self.instances.get_mut(&placement.instance) else {
            return Ticket::default();
        };
        let ticket = tracked.on_sent(now, demand, placement, lateness_ms);
        if let Some(tokens) = ticket.waiting_tokens() {
            self.overload_control.on_sent(now, tokens);
        }
        ticket
    }

    /// Records the first event, or the head of an answer that is not a stream.
    pub fn on_first_event(&mut self, now: TimeMs, instance: &InstanceId, ticket: &mut Ticket) {
        let lane = ticket.lane();
        if let Some(tokens) = ticket.take_waiting_tokens() {
            self.overload_control.on_prefilled(now, tokens);
        }
        let before_ms = self.lane_lateness_ms(now, lane);
        let tracked = self.instances.get_mut(instance);
        let sample_ms = tracked.and_then(|tracked| {
            tracked.learn_from_first_event(now, ticket, &mut self.learned);
            tracked.on_first_event(now, ticket, before_ms)
        });
        let Some(sample_ms) = sample_ms else {
            return;
        };
        add_capped(self.lane_lateness.get_mut(lane), now, sample_ms);
        add_capped(&mut self.lateness, now, sample_ms);
    }

    fn overall_lateness_ms(&self, now: TimeMs) -> f64 {
        self.lateness.get(now, Self::LATENESS_HALF_LIFE_MS, 0.0)
    }

    fn lane_lateness_ms(&self, now: TimeMs, lane: Lane) -> f64 {
        let lateness = self.lane_lateness.get(lane);
        lateness.get(now, Self::LATENESS_HALF_LIFE_MS, 0.0)
    }

    /// Records an event of a stream after its first one.
    pub fn on_next_event(&mut self, now: TimeMs, instance: &InstanceId, ticket: &mut Ticket) {
        let Some((index, _, tracked)) = self.instances.get_full_mut(instance) else {
            return;
        };
        tracked.on_activity(now);
        tracked.learn_from_next_event(now, ticket);
        let pause_share = ticket.end_pause(now);
        if ticket.lane() == Lane::Short && pause_share > 0.0 {
            self.lanes.record_pause(index, pause_share);
        }
    }

    /// Records that a request left the instance, regardless of its outcome.
    pub fn on_end(&mut self, instance: &InstanceId, mut ticket: Ticket) {
        if let Some(tokens) = ticket.take_waiting_tokens() {
            self.overload_control.on_removed(tokens);
        }
        if let Some(tracked) = self.instances.get_mut(instance) {
            tracked.on_end(ticket);
        }
    }

    /// Records that a request failed because of the instance: an error
    /// response, a broken connection or a malformed response.
    pub fn on_failure(&mut self, now: TimeMs, instance: &InstanceId) {
        if let Some(tracked) = self.instances.get_mut(instance) {
            tracked.on_failure(now);
        }
    }

    /// Records that the instance refused a request for lack of capacity.
    pub fn on_full(&mut self, now: TimeMs, instance: &InstanceId) {
        if let Some(tracked) = self.instances.get_mut(instance) {
            tracked.on_full(now);
            if self.learned.is_enabled() {
                tracked.learn_from_refusal(now);
            }
        }
    }

    /// Records that the instance cannot be used at all: its address belongs to
    /// another instance, or nothing listens there.
    pub fn on_unreachable(&mut self, now: TimeMs, instance: &InstanceId) {
        if let Some(tracked) = self.instances.get_mut(instance) {
            tracked.on_unreachable(now);
        }
    }

    /// Returns whether the last attempt to connect failed and no activity was
    /// seen since. An instance that is no longer a member counts as reachable
    /// because it may still finish its requests.
    pub fn is_unreachable(&self, instance: &InstanceId) -> bool {
        let tracked = self.instances.get(instance);
        tracked.is_some_and(TrackedInstance::is_unreachable)
    }

    /// Returns whether the instance has been silent for longer than the queues
    /// in the prompt's lane explain. Only meaningful while a request to the
    /// instance is pending.
    pub fn is_hanging(&self, now: TimeMs, instance: &InstanceId, demand: &Demand) -> bool {
        let Some(tracked) = self.instances.get(instance) else {
            return false;
        };
        let lateness_ms = self.lane_lateness_ms(now, Lane::of(demand));
        let min_silence_ms = Self::HANG_TARGET_FACTOR * f64::from(demand.target_ms);
        let silence_ms = Self::HANG_TIMEOUT_MS.max(min_silence_ms)
            + Self::HANG_LATENESS_FACTOR * lateness_ms
            + tracked.queue_ms(demand);
        tracked.is_silent(now, silence_ms as u64)
    }

    /// Returns whether the instance has been silent for `silence_ms`. Only
    /// meaningful while a request to the instance is pending. Always true for
    /// an instance that is no longer a member.
    pub fn is_silent(&self, now: TimeMs, instance: &InstanceId, silence_ms: u64) -> bool {
        self.instances
            .get(instance)
            .is_none_or(|tracked| tracked.is_silent(now, silence_ms))
    }
}

/// Adds an observation to a lateness over all instances, capped as described
/// at [`Placer::OUTLIER_FACTOR`].
fn add_capped(lateness: &mut Lateness, now: TimeMs, sample_ms: f64) {
    let before_ms = lateness.get(now, Placer::LATENESS_HALF_LIFE_MS, 0.0);
    let capped_ms = sample_ms.min(before_ms * Placer::OUTLIER_FACTOR + Placer::OUTLIER_MS);
    lateness.add(now, before_ms, capped_ms, Placer::LATENESS_WEIGHT);
}
