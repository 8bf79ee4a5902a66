//! Where a request goes when an entry sends straight to the instances.
//!
//! Load pattern: many prompts share long parts, the instances together can
//! keep every part once but not each of them everywhere, and several entries
//! place at the same time without talking. Reading a shared part again costs
//! more of an engine than writing the answer, so a prompt goes to the instance
//! that all entries agree on (its home), unless waiting there costs more than
//! reading the prompt elsewhere.
//!
//! Everything is weighed in milliseconds until the first event. Own sends
//! count at once; the load of other entries shows in how late first events
//! come compared with the prediction.

mod cache;
mod home;
mod instance;
mod intake;
mod lanes;
mod lateness;

use std::sync::Arc;

use indexmap::IndexMap;
use types::{InstanceId, TimeMs};

pub use instance::{Capacity, Ticket};
pub use intake::{Overload, Urgency};
pub use lanes::LaneSplit;

use home::home_ranks;
use instance::Tracked;
use intake::Intake;
use lanes::{ByLane, Lane, Lanes};
use lateness::Lateness;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Names the content.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// What a request asks of an instance.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// The prompt's parts in order; the last one is the request's own.
    /// Empty for a call of a plain service.
    pub parts: Arc<[Part]>,
    /// Length of the whole prompt.
    pub prompt_tokens: u32,
    /// Tokens that the answer has at most.
    pub output_tokens: u32,
    /// Time within which the first event is on time, in milliseconds.
    pub target_ms: u32,
    /// Longest pause between two events for which the answer is on time, in
    /// milliseconds; 0 if it is no stream.
    pub pause_target_ms: u32,
}

impl Demand {
    /// The parts that other requests may have in common with this one.
    fn shared(&self) -> &[Part] {
        match self.parts.split_last() {
            Some((_own, shared)) => shared,
            None => &[],
        }
    }

    fn shared_tokens(&self) -> u32 {
        self.shared().iter().map(|part| part.tokens).sum()
    }
}

/// An instance that requests may be placed on.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceSpec {
    /// Who.
    pub instance: InstanceId,
    /// Differs between starts under the same name.
    pub incarnation: u64,
    /// What it offers.
    pub capacity: Capacity,
}

/// The chosen instance and what decided.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Where the request goes.
    pub instance: InstanceId,
    /// Predicted time until the first event, in milliseconds.
    pub predicted_ms: f64,
    /// Prompt tokens that need not be read, as far as this entry knows.
    pub cached_tokens: u32,
    /// Place of the instance in the prompt's order of homes among those that
    /// can be used, 0 for the first.
    pub home_rank: usize,
    /// Own requests there.
    pub in_flight: u32,
}

/// Places the requests of one upstream.
///
/// # Invariants
///
/// - Statistics of an instance live as long as it is a member; a new
///   incarnation is a new instance.
/// - The choice depends on own observations only, so two entries without any
///   load agree on it.
#[derive(Debug, Default)]
pub struct Placer {
    instances: IndexMap<InstanceId, Tracked>,
    lanes: Lanes,
    intake: Intake,
    /// Over all instances and lanes.
    lateness: Lateness,
    /// Over all instances. Long prompts wait behind short ones, so what is
    /// late for the one may be on time for the other.
    lane_lateness: ByLane<Lateness>,
}

impl Placer {
    /// Relative advantage below which the better home is kept, so that small
    /// differences do not scatter a prompt over the instances.
    const HOME_BONUS_MS: f64 = 4.0;
    /// Weight of the time that reading a part again takes from others, against
    /// the request's own wait, while instances have time to spare.
    const WASTE_WEIGHT: f64 = 2.0;
    /// Lateness over all instances up to which they count as having time to
    /// spare, in milliseconds: a prompt or two in the queue.
    const SPARE_LATENESS_MS: f64 = 70.0;
    /// Lateness beyond that for which the weight rises by one, in
    /// milliseconds. Where all instances have queues, leaving the home only
    /// makes them longer: on the replayed trace 50 to 200 ms served alike.
    const WASTE_LATENESS_MS: f64 = 100.0;

    /// Weight of one observation in the lateness over all instances: some
    /// twenty answers set it.
    const LATENESS_WEIGHT: f64 = 0.08;
    /// Time after which that lateness counts half without news, in
    /// milliseconds.
    const LATENESS_HALF_LIFE_MS: f64 = 2_000.0;
    /// An observation counts for all instances as at most this multiple of the
    /// lateness so far and [`Self::OUTLIER_MS`] more, so that one straggler
    /// does not make all of them seem busy.
    const OUTLIER_FACTOR: f64 = 2.0;
    /// See [`Self::OUTLIER_FACTOR`]; in milliseconds.
    const OUTLIER_MS: f64 = 150.0;
    /// Silence after which an instance counts as hanging while the others are
    /// on time, in milliseconds: callers give up on a stream after two seconds
    /// or more.
    const HANGING_MS: f64 = 1_100.0;
    /// The same as a multiple of the request's target: callers give up on a
    /// stream after four times that or later, and a prompt that is only late
    /// would be read once more elsewhere.
    const HANGING_TARGETS: f64 = 2.0;
    /// Part of the lateness over all instances by which that becomes longer:
    /// where all queues are long, silence says little.
    const HANGING_LATENESS: f64 = 4.0;

    /// Takes over the members as they are now.
    pub fn set_members(&mut self, now: TimeMs, members: &[InstanceSpec]) {
        let mut before = std::mem::take(&mut self.instances);
        for member in members {
            let kept = before
                .swap_remove(&member.instance)
                .filter(|tracked| tracked.incarnation() == member.incarnation);
            let mut tracked = kept.unwrap_or_else(|| Tracked::new(member));
            tracked.set_capacity(member.capacity);
            self.instances.insert(member.instance.clone(), tracked);
        }
        self.lanes.set_instances(now, self.instances.keys());
    }

    /// Whether the request would only make the queues longer than anyone can
    /// wait.
    pub fn overload(
        &mut self,
        now: TimeMs,
        demand: &Demand,
        urgency: &Urgency,
    ) -> Option<Overload> {
        match Lane::of(demand) {
            Lane::Short => None,
            Lane::Long => self.intake.overload(now, urgency, demand.target_ms),
        }
    }

    /// Chooses an instance that is not in `exclude`; `None` if there is none
    /// that may be tried.
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
        usable: impl Fn(&Tracked) -> bool,
    ) -> Option<Placement> {
        let usual_ms = self.usual_lateness_ms(now);
        let busy_ms = (usual_ms - Self::SPARE_LATENESS_MS).max(0.0);
        let waste_weight = Self::WASTE_WEIGHT + busy_ms / Self::WASTE_LATENESS_MS;
        let lane = Lane::of(demand);
        let lane_usual_ms = self.usual_lateness_in_lane_ms(now, lane);
        let candidates: Vec<(&InstanceId, &Tracked, bool)> = self
            .instances
            .iter()
            .enumerate()
            .filter(|(_, (instance, tracked))| !exclude.contains(instance) && usable(tracked))
            .map(|(index, (instance, tracked))| {
                let is_own = demand.parts.is_empty() || self.lanes.is_own(index, lane);
                (instance, tracked, is_own)
            })
            .collect();
        // Where the first home can't be used all entries agree on the second.
        let ranks = home_ranks(
            candidates
                .iter()
                .map(|(instance, _, is_own)| (*instance, *is_own)),
            demand.shared(),
        );
        let mut best: Option<(f64, Placement)> = None;
        for ((instance, tracked, is_own), home_rank) in candidates.into_iter().zip(ranks) {
            let cached_tokens = tracked.cached_tokens(now, demand, home_rank);
            let predicted_ms = tracked.predicted_ms(now, demand, cached_tokens, lane_usual_ms);
            let other_lane_ms = match is_own {
                true => 0.0,
                false => Lanes::other_lane_ms(lane),
            };
            let cost = predicted_ms
                + waste_weight * tracked.wasted_ms(demand, cached_tokens)
                + Self::HOME_BONUS_MS * home_rank.min(2) as f64
                + other_lane_ms;
            if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
                let placement = Placement {
                    instance: instance.clone(),
                    predicted_ms,
                    cached_tokens,
                    home_rank,
                    in_flight: tracked.in_flight(),
                };
                best = Some((cost, placement));
            }
        }
        best.map(|(_, placement)| placement)
    }

    /// How the instances are shared out between short and long prompts now.
    pub fn lane_split(&self) -> LaneSplit {
        self.lanes.border()
    }

    /// Notes that a request was sent as placed. The ticket is handed back with
    /// [`Placer::on_end`].
    pub fn on_sent(&mut self, now: TimeMs, demand: &Demand, placement: &Placement) -> Ticket {
        if !demand.parts.is_empty() {
            self.lanes.note(now, demand);
        }
        let usual_ms = self.usual_lateness_in_lane_ms(now, Lane::of(demand));
        let Some(tracked) = self.instances.get_mut(&placement.instance) else {
            return Ticket::default();
        };
        let ticket = tracked.on_sent(now, demand, placement, usual_ms);
        if let Some(tokens) = ticket.waiting_tokens() {
            self.intake.on_sent(now, tokens);
        }
        ticket
    }

    /// Notes the first event, or the head of a plain answer.
    pub fn on_first_event(&mut self, now: TimeMs, instance: &InstanceId, ticket: &mut Ticket) {
        let lane = ticket.lane();
        if let Some(tokens) = ticket.end_wait() {
            self.intake.on_read(now, tokens);
        }
        let before_ms = self.usual_lateness_in_lane_ms(now, lane);
        let tracked = self.instances.get_mut(instance);
        let sample_ms = tracked.and_then(|tracked| tracked.on_first_event(now, ticket, before_ms));
        let Some(sample_ms) = sample_ms else {
            return;
        };
        add_usual(self.lane_lateness.get_mut(lane), now, sample_ms);
        add_usual(&mut self.lateness, now, sample_ms);
    }

    fn usual_lateness_ms(&self, now: TimeMs) -> f64 {
        self.lateness.get(now, Self::LATENESS_HALF_LIFE_MS, 0.0)
    }

    fn usual_lateness_in_lane_ms(&self, now: TimeMs, lane: Lane) -> f64 {
        let lateness = self.lane_lateness.get(lane);
        lateness.get(now, Self::LATENESS_HALF_LIFE_MS, 0.0)
    }

    /// Notes an event of a stream after its first one.
    pub fn on_next_event(&mut self, now: TimeMs, instance: &InstanceId, ticket: &mut Ticket) {
        let Some((index, _, tracked)) = self.instances.get_full_mut(instance) else {
            return;
        };
        tracked.on_heard(now);
        let pause_share = ticket.next_pause(now);
        if ticket.lane() == Lane::Short && pause_share > 0.0 {
            self.lanes.note_pause(index, pause_share);
        }
    }

    /// Notes that a request left the instance, whatever its outcome.
    pub fn on_end(&mut self, instance: &InstanceId, mut ticket: Ticket) {
        if let Some(tokens) = ticket.end_wait() {
            self.intake.on_left(tokens);
        }
        if let Some(tracked) = self.instances.get_mut(instance) {
            tracked.on_end(ticket);
        }
    }

    /// Notes an answer that the instance failed: an error of its own, a broken
    /// connection, bytes that make no answer.
    pub fn on_failure(&mut self, now: TimeMs, instance: &InstanceId) {
        if let Some(tracked) = self.instances.get_mut(instance) {
            tracked.on_failure(now);
        }
    }

    /// Notes that the instance had no room.
    pub fn on_full(&mut self, now: TimeMs, instance: &InstanceId) {
        if let Some(tracked) = self.instances.get_mut(instance) {
            tracked.on_full(now);
        }
    }

    /// Notes that the instance can't be used at all: another one has its
    /// address, or nobody listens there.
    pub fn on_unreachable(&mut self, now: TimeMs, instance: &InstanceId) {
        if let Some(tracked) = self.instances.get_mut(instance) {
            tracked.on_unreachable(now);
        }
    }

    /// Whether nobody answered at the instance when it was last tried, and
    /// nothing was heard of it since. An instance that is no member any more
    /// counts as reachable: it may finish what it has.
    pub fn is_unreachable(&self, instance: &InstanceId) -> bool {
        let tracked = self.instances.get(instance);
        tracked.is_some_and(Tracked::is_unreachable)
    }

    /// Whether nothing was heard of the instance for so long, though it owes
    /// answers, that no queue as long as those of other instances with such
    /// prompts explains it.
    pub fn is_hanging(&self, now: TimeMs, instance: &InstanceId, demand: &Demand) -> bool {
        let usual_ms = self.usual_lateness_in_lane_ms(now, Lane::of(demand));
        let on_time_ms = Self::HANGING_TARGETS * f64::from(demand.target_ms);
        let silence_ms = Self::HANGING_MS.max(on_time_ms) + Self::HANGING_LATENESS * usual_ms;
        let tracked = self.instances.get(instance);
        tracked.is_some_and(|tracked| tracked.is_silent(now, silence_ms as u64))
    }

    /// Whether nothing was heard of the instance for `silence_ms` though it
    /// owes answers.
    pub fn is_silent(&self, now: TimeMs, instance: &InstanceId, silence_ms: u64) -> bool {
        self.instances
            .get(instance)
            .is_none_or(|tracked| tracked.is_silent(now, silence_ms))
    }
}

/// Takes an observation into a lateness over all instances.
fn add_usual(lateness: &mut Lateness, now: TimeMs, sample_ms: f64) {
    let before_ms = lateness.get(now, Placer::LATENESS_HALF_LIFE_MS, 0.0);
    let capped_ms = sample_ms.min(before_ms * Placer::OUTLIER_FACTOR + Placer::OUTLIER_MS);
    lateness.add(now, before_ms, capped_ms, Placer::LATENESS_WEIGHT);
}
