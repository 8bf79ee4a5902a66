//! Copies of cached prefixes between engines.
//!
//! Load pattern: a few shared parts get much of the traffic, so that their homes
//! have queues while other engines are idle. Reading such a part again takes
//! 200 ms of an engine, copying it from an engine that has it cached 10 to
//! 35 ms of the links of both. The caches of all engines together hold every
//! part about once, so a copy evicts other parts.
//!
//! An entry knows which parts it has sent to an instance itself, and assumes
//! that a prompt's first home has its parts. A copy that the source turns out
//! not to have costs nothing; the receiver reads the prompt as usual.

use indexmap::IndexMap;
use types::{InstanceId, TimeMs, ZoneName};

use super::{instance::TrackedInstance, Demand, Placer};

/// Links over which the engines of an upstream copy cached tokens from each
/// other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyLink {
    kv_token_bytes: u64,
    link_mbps: u64,
}

impl CopyLink {
    /// Returns the links for the bytes that one cached token takes and the rate
    /// of an engine's link in Mbit/s; `None` if either is 0.
    pub fn new(kv_token_bytes: u64, link_mbps: u64) -> Option<Self> {
        (kv_token_bytes > 0 && link_mbps > 0).then_some(Self {
            kv_token_bytes,
            link_mbps,
        })
    }

    /// Returns the time that a copy takes on idle links, in milliseconds.
    fn transfer_ms(self, tokens: u32, is_other_zone: bool) -> f64 {
        let bits = f64::from(tokens) * self.kv_token_bytes as f64 * 8.0;
        let distance = match is_other_zone {
            true => Copies::OTHER_ZONE_FACTOR,
            false => 1.0,
        };
        Copies::SET_UP_MS + bits / (self.link_mbps as f64 * 1_000.0) * distance
    }
}

/// A copy to request from another instance.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefixCopy {
    /// Instance that is asked for the copy.
    pub source: InstanceId,
    /// Tokens that the source has, and the receiver not, if the assumptions
    /// about both are right.
    pub tokens: u32,
    /// Tokens that the receiver does not have to read, weighted by the
    /// probability that the source has them.
    pub expected_tokens: u32,
    /// Time until the copy of `tokens` has arrived, in milliseconds, with the wait
    /// for earlier copies of this entry.
    pub transfer_ms: f64,
}

/// Why no copy is requested although the instance lacks shared parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyRefusal {
    /// No usable instance is known to have the parts.
    NoSource,
    /// The source or the receiver has too many copies in progress.
    LinkBusy,
    /// Reading the parts again costs less.
    NotWorthwhile,
}

impl CopyRefusal {
    /// Returns the name of the reason in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoSource => "no_source",
            Self::LinkBusy => "link_busy",
            Self::NotWorthwhile => "not_worthwhile",
        }
    }
}

/// Decision about a copy for one placement.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum CopyDecision {
    /// The instance has the shared parts, there are none, or the instances
    /// cannot copy.
    #[default]
    NotNeeded,
    /// The instance should copy the parts.
    Requested(PrefixCopy),
    /// The instance reads the parts itself.
    Refused(CopyRefusal),
}

impl CopyDecision {
    /// Returns the copy, if one is requested.
    pub fn requested(&self) -> Option<&PrefixCopy> {
        match self {
            Self::Requested(copy) => Some(copy),
            Self::NotNeeded | Self::Refused(_) => None,
        }
    }

    /// Returns the tokens that the instance does not have to read because of the
    /// copy.
    pub(super) fn expected_tokens(&self) -> u32 {
        self.requested().map_or(0, |copy| copy.expected_tokens)
    }

    /// Returns the work that the copy takes from other requests, in milliseconds
    /// of prefill: the copy itself, and reading what it evicts at the receiver.
    pub(super) fn burden_ms(&self, receiver: &TrackedInstance, demand: &Demand) -> f64 {
        let share = Copies::TRANSFER_SHARE + Copies::EVICTION_SHARE * receiver.memory_share();
        share * prefill_ms(receiver, demand, self.expected_tokens())
    }

    /// Returns the delay of the first event by the copy, in milliseconds. A copy
    /// that is not expected to exist causes none.
    pub(super) fn delay_ms(&self) -> f64 {
        match self.requested() {
            Some(copy) if copy.expected_tokens > 0 => copy.transfer_ms,
            _ => 0.0,
        }
    }
}

/// An instance that may have shared parts of a prompt cached.
#[derive(Debug)]
pub(super) struct Holder<'a> {
    instance: &'a InstanceId,
    /// Cached tokens of the prompt's shared parts.
    tokens: u32,
    /// Position in the prompt's order of homes.
    home_rank: usize,
    /// Whether this entry has sent the parts there recently. Otherwise the
    /// instance is a home of the prompt, to which other entries may have sent
    /// them.
    is_confirmed: bool,
    /// Number of this entry's requests in flight at the instance.
    in_flight: u32,
}

/// An instance that the prompt may be placed on.
#[derive(Debug)]
struct Receiver<'a> {
    instance: &'a InstanceId,
    /// Position in the prompt's order of homes.
    home_rank: usize,
    /// Tokens of the shared parts that this entry has sent there recently.
    cached_tokens: u32,
}

/// Links between the instances of one upstream, and the copies that this entry
/// has requested over them.
#[derive(Debug, Default)]
pub(super) struct Copies {
    link: Option<CopyLink>,
    zones: IndexMap<InstanceId, ZoneName>,
    /// Predicted ends of the copies in progress, in ascending order, by
    /// instance that gives or receives them.
    transfers: IndexMap<InstanceId, Vec<f64>>,
}

impl Copies {
    /// Time to begin a copy: the largest of the figures that the users specify
    /// for their engines (1.7, 4 and 8 ms), since the configuration has none.
    const SET_UP_MS: f64 = 8.0;
    /// Factor for a copy between availability zones.
    const OTHER_ZONE_FACTOR: f64 = 2.0;
    /// Probability that the first home has parts that this entry has not sent
    /// there recently. At a cold start it has not: with 1, four entries with full
    /// caches read 1.74 instead of 1.47 million tokens again in the replay of
    /// `tests/prefix_copies.rs`; with 0.8, 21 entries have 0.808 instead of 0.846
    /// of the requests on time.
    const HOME_CONFIDENCE: f64 = 0.9;
    /// Work of a copy itself relative to reading the same tokens, as the users
    /// price it (a quarter to a third).
    const TRANSFER_SHARE: f64 = 0.3;
    /// Work for the tokens that a copy evicts relative to reading the same tokens,
    /// at a receiver whose memory is full by the knowledge of this entry. Without
    /// it, one and four entries with full caches read 1.62 and 1.96 instead of
    /// 0.90 and 1.40 million tokens again in the same replay.
    const EVICTION_SHARE: f64 = 2.0;
    /// Maximum number of copies that one instance gives or receives at a time
    /// for this entry. Transfers run one after another, so the last of them
    /// takes about as long as reading the part.
    const IN_PROGRESS_MAX: usize = 4;

    fn set_link(
        &mut self,
        link: Option<CopyLink>,
        zones: impl Iterator<Item = (InstanceId, ZoneName)>,
    ) {
        self.link = link;
        self.zones = zones.collect();
        let zones = &self.zones;
        self.transfers
            .retain(|instance, _| zones.contains_key(instance));
    }

    /// Decides whether `receiver` should copy from one of `holders`. `prefill_ms`
    /// returns the time in which the receiver reads a number of tokens; a copy
    /// that takes longer is refused.
    fn plan(
        &self,
        now: TimeMs,
        holders: &[Holder<'_>],
        receiver: &Receiver<'_>,
        prefill_ms: impl Fn(u32) -> f64,
    ) -> CopyDecision {
        let Some(link) = self.link else {
            return CopyDecision::NotNeeded;
        };
        let useful = holders.iter().filter(|holder| {
            holder.instance != receiver.instance && holder.tokens > receiver.cached_tokens
        });
        if receiver.home_rank == 0 {
            return self.plan_for_home(now, link, useful, receiver);
        }
        let is_receiver_busy =
            self.in_progress(now, receiver.instance).len() >= Self::IN_PROGRESS_MAX;
        let mut refusal = CopyRefusal::NoSource;
        let mut best: Option<(_, PrefixCopy)> = None;
        // That the second home has the parts is too uncertain to count on.
        for holder in useful.filter(|holder| holder.is_confirmed || holder.home_rank == 0) {
            let source_transfers = self.in_progress(now, holder.instance).len();
            if is_receiver_busy || source_transfers >= Self::IN_PROGRESS_MAX {
                refusal = CopyRefusal::LinkBusy;
                continue;
            }
            let mut copy = self.copy_from(now, link, holder, receiver);
            if !holder.is_confirmed {
                copy.expected_tokens = (f64::from(copy.tokens) * Self::HOME_CONFIDENCE) as u32;
            }
            if copy.transfer_ms >= prefill_ms(copy.expected_tokens) {
                refusal = CopyRefusal::NotWorthwhile;
                continue;
            }
            let key = (
                u32::MAX - copy.expected_tokens,
                self.is_other_zone(holder, receiver),
                source_transfers,
                holder.in_flight,
            );
            if best.as_ref().is_none_or(|(lowest, _)| key < *lowest) {
                best = Some((key, copy));
            }
        }
        match best {
            Some((_, copy)) => CopyDecision::Requested(copy),
            None => CopyDecision::Refused(refusal),
        }
    }

    /// Chooses the holder that the first home of a prompt is to copy from.
    ///
    /// The home counts as having the parts, but it may be new, restarted or have
    /// evicted them. The copy is a precaution: no saving is expected from it, and
    /// it is requested only if the links are idle.
    fn plan_for_home<'a>(
        &self,
        now: TimeMs,
        link: CopyLink,
        holders: impl Iterator<Item = &'a Holder<'a>>,
        receiver: &Receiver<'_>,
    ) -> CopyDecision {
        let is_idle = |instance| self.in_progress(now, instance).is_empty();
        if !is_idle(receiver.instance) {
            return CopyDecision::NotNeeded;
        }
        let source = holders
            .filter(|holder| is_idle(holder.instance))
            .min_by_key(|holder| (!holder.is_confirmed, holder.home_rank));
        match source {
            Some(holder) => CopyDecision::Requested(PrefixCopy {
                expected_tokens: 0,
                ..self.copy_from(now, link, holder, receiver)
            }),
            None => CopyDecision::NotNeeded,
        }
    }

    /// Returns the copy of everything that `holder` has and `receiver` has not.
    fn copy_from(
        &self,
        now: TimeMs,
        link: CopyLink,
        holder: &Holder<'_>,
        receiver: &Receiver<'_>,
    ) -> PrefixCopy {
        let tokens = holder.tokens - receiver.cached_tokens;
        let wait_ms = self.wait_ms(now, holder.instance, receiver.instance);
        PrefixCopy {
            source: holder.instance.clone(),
            tokens,
            expected_tokens: tokens,
            transfer_ms: wait_ms + link.transfer_ms(tokens, self.is_other_zone(holder, receiver)),
        }
    }

    fn is_other_zone(&self, holder: &Holder<'_>, receiver: &Receiver<'_>) -> bool {
        self.zones.get(holder.instance) != self.zones.get(receiver.instance)
    }

    /// Counts a requested copy at its source and its receiver.
    pub(super) fn on_requested(&mut self, now: TimeMs, receiver: &InstanceId, copy: &PrefixCopy) {
        let ends_at = now.0 as f64 + copy.transfer_ms;
        for instance in [&copy.source, receiver] {
            let transfers = self.transfers.entry(instance.clone()).or_default();
            transfers.retain(|ends_at| *ends_at > now.0 as f64);
            transfers.push(ends_at);
        }
    }

    fn in_progress(&self, now: TimeMs, instance: &InstanceId) -> &[f64] {
        let Some(transfers) = self.transfers.get(instance) else {
            return &[];
        };
        let ended = transfers.partition_point(|ends_at| *ends_at <= now.0 as f64);
        &transfers[ended..]
    }

    /// Returns the time until the links of both instances are free, in
    /// milliseconds.
    fn wait_ms(&self, now: TimeMs, source: &InstanceId, receiver: &InstanceId) -> f64 {
        [source, receiver]
            .iter()
            .filter_map(|instance| self.in_progress(now, instance).last())
            .map(|ends_at| ends_at - now.0 as f64)
            .fold(0.0, f64::max)
    }
}

impl Placer {
    /// Sets the links over which the instances copy cached prefixes from each
    /// other, and their availability zones. Without links no copies are
    /// requested.
    pub fn set_copy_link(
        &mut self,
        link: Option<CopyLink>,
        zones: impl Iterator<Item = (InstanceId, ZoneName)>,
    ) {
        self.copies.set_link(link, zones);
    }

    /// Returns the instances that may have shared parts of the prompt cached: the
    /// first two homes, and those that this entry sent the parts to. Instances
    /// that are full, leaving or in back-off give no copies. Empty if the
    /// instances cannot copy.
    pub(super) fn holders<'a>(
        &self,
        now: TimeMs,
        demand: &Demand,
        candidates: &[(&'a InstanceId, &'a TrackedInstance, bool)],
        ranks: &[usize],
    ) -> Vec<Holder<'a>> {
        if self.copies.link.is_none() || demand.shared().is_empty() {
            return Vec::new();
        }
        let shared_tokens = demand.shared_tokens();
        let mut holders = Vec::new();
        for ((instance, tracked, _), home_rank) in candidates.iter().zip(ranks) {
            let sent_tokens = tracked.sent_tokens(now, demand);
            let tokens = match home_rank {
                0 | 1 => shared_tokens,
                _ => sent_tokens,
            };
            if tokens == 0 || !tracked.is_usable(now) {
                continue;
            }
            holders.push(Holder {
                instance,
                tokens,
                home_rank: *home_rank,
                is_confirmed: sent_tokens == tokens,
                in_flight: tracked.in_flight(),
            });
        }
        holders
    }

    /// Decides whether an instance with the given home rank should copy shared
    /// parts of the prompt.
    pub(super) fn plan_copy(
        &self,
        now: TimeMs,
        demand: &Demand,
        (instance, tracked, home_rank): (&InstanceId, &TrackedInstance, usize),
        holders: &[Holder<'_>],
    ) -> CopyDecision {
        let cached_tokens = tracked.sent_tokens(now, demand);
        if holders.is_empty() || cached_tokens == demand.shared_tokens() {
            return CopyDecision::NotNeeded;
        }
        let receiver = Receiver {
            instance,
            home_rank,
            cached_tokens,
        };
        self.copies.plan(now, holders, &receiver, |tokens| {
            prefill_ms(tracked, demand, tokens)
        })
    }
}

/// Returns the time in which an instance reads a number of tokens of the shared
/// parts, in milliseconds.
fn prefill_ms(tracked: &TrackedInstance, demand: &Demand, tokens: u32) -> f64 {
    let other_tokens = demand.shared_tokens().saturating_sub(tokens);
    tracked.redundant_prefill_ms(demand, other_tokens)
}
