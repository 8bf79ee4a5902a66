//! Load of other gateways at the instances.
//!
//! Load pattern: many gateways place the prompts of the same shared parts on the
//! same home. Each sees a twentieth of the requests there and predicts a wait of
//! some hundred milliseconds where seconds are due, and sends more. Gateways
//! therefore report their load at each instance to each other, by priority rank,
//! since an engine reads more urgent prompts first.
//!
//! Reports hold absolute values for a range of instances, so that a lost, repeated
//! or late one does no harm: a value counts until the next one or until it expires.

use super::lanes::LaneTotals;
use indexmap::IndexMap;
use rapidhash::v3::rapidhash_v3;
use types::{InstanceId, Priority, TimeMs};

/// Number of priority ranks that instances distinguish.
pub const RANKS: usize = 10;

/// Time after its arrival until which a value counts, in milliseconds. Several
/// reports of a small fleet fit into it, and one of a large fleet, whose gateways
/// report about once per second.
pub const VALUE_TTL_MS: u64 = 1_500;

/// Time for which the sums of an entry are kept without a new report. A change over
/// a longer time would count as one of now.
const TOTALS_TTL_MS: u64 = 3 * VALUE_TTL_MS;

/// Maximum number of gateways whose load is kept.
const GATEWAYS_MAX: usize = 512;

/// Returns the rank of a priority, 0 for the most urgent.
pub(super) fn rank_of(priority: Priority) -> usize {
    usize::from(u8::MAX - priority.0).min(RANKS - 1)
}

/// Identifies one start of an instance in reports. Two instances with the same key
/// would be taken for one; among a thousand that has a chance of 1 to 8,000, and
/// would make both appear busier than they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceKey(pub u32);

impl InstanceKey {
    /// Returns the key of an instance, the same at all gateways.
    pub fn new(instance: &InstanceId, incarnation: u64) -> Self {
        let incarnation = incarnation.to_le_bytes();
        let hash = rapidhash_v3(&[instance.as_str().as_bytes(), &incarnation].concat());
        Self(hash as u32)
    }
}

/// Load of one or several gateways at an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InstanceLoad {
    /// Requests in flight.
    pub in_flight: u64,
    /// Memory that they use, in tokens.
    pub memory_tokens: u64,
    /// Prompt tokens not yet read, by priority rank, 0 for the most urgent.
    pub unread_tokens: [u64; RANKS],
}

impl InstanceLoad {
    fn combine(&mut self, other: &Self, operation: impl Fn(u64, u64) -> u64) {
        self.in_flight = operation(self.in_flight, other.in_flight);
        self.memory_tokens = operation(self.memory_tokens, other.memory_tokens);
        for (sum, value) in self.unread_tokens.iter_mut().zip(other.unread_tokens) {
            *sum = operation(*sum, value);
        }
    }

    /// Returns whether there is no load.
    pub fn is_zero(&self) -> bool {
        *self == Self::default()
    }

    /// Returns the unread tokens of a rank and of more urgent ones.
    fn unread_up_to(&self, rank: usize) -> f64 {
        self.unread_tokens[..=rank].iter().sum::<u64>() as f64
    }
}

/// Load of one gateway at all instances within a range of keys, without those at
/// which it has none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of the report, rising within a run of the gateway. Parts of one
    /// report have the same number.
    pub number: u64,
    /// First and last key that the report covers.
    pub range: (u32, u32),
    /// Load at each instance, in any order.
    pub loads: Vec<(InstanceKey, InstanceLoad)>,
}

/// Reported load of one gateway.
#[derive(Debug, Default)]
struct GatewayLoads {
    run: u64,
    number: u64,
    /// Load and time of its arrival.
    loads: IndexMap<InstanceKey, (InstanceLoad, TimeMs)>,
}

/// Load of all other gateways, by instance.
///
/// # Invariants
///
/// `sums` holds for each key the sum of the values in `gateways`. Work per report
/// grows with the size of the report and of the same gateway's last one, not with
/// the number of gateways.
#[derive(Debug, Default)]
pub struct PeerLoads {
    gateways: IndexMap<InstanceId, GatewayLoads>,
    sums: IndexMap<InstanceKey, InstanceLoad>,
}

impl PeerLoads {
    /// Applies a report and returns the keys whose sums may have changed. Reports
    /// of an earlier number are ignored.
    pub fn apply(
        &mut self,
        now: TimeMs,
        gateway: &InstanceId,
        run: u64,
        report: &LoadReport,
    ) -> Vec<InstanceKey> {
        if !self.gateways.contains_key(gateway) && self.gateways.len() >= GATEWAYS_MAX {
            return Vec::new();
        }
        let known = self.gateways.entry(gateway.clone()).or_default();
        let mut changed = Vec::new();
        if known.run != run {
            changed.extend(remove_values(&mut self.sums, &mut known.loads, |_, _| true));
            known.run = run;
            known.number = 0;
        }
        if report.number < known.number {
            return changed;
        }
        known.number = report.number;
        let covered = report.range.0..=report.range.1;
        changed.extend(remove_values(&mut self.sums, &mut known.loads, |key, _| {
            covered.contains(&key.0)
        }));
        for (key, load) in &report.loads {
            // A key that is repeated or outside the range would be added to the sum
            // without being subtracted later.
            if !covered.contains(&key.0) || known.loads.contains_key(key) {
                continue;
            }
            known.loads.insert(*key, (*load, now));
            let sum = self.sums.entry(*key).or_default();
            sum.combine(load, u64::saturating_add);
            changed.push(*key);
        }
        changed
    }

    /// Removes expired values and returns the keys whose sums have changed.
    pub fn expire(&mut self, now: TimeMs) -> Vec<InstanceKey> {
        let mut changed = Vec::new();
        for known in self.gateways.values_mut() {
            changed.extend(remove_values(&mut self.sums, &mut known.loads, |_, at| {
                now.since(at) >= VALUE_TTL_MS
            }));
        }
        // Forgets the number of the last report, too: one that arrives as late as
        // this does no more harm than a lost one.
        self.gateways.retain(|_, known| !known.loads.is_empty());
        changed
    }

    /// Forgets a gateway that is gone and returns the keys whose sums have changed.
    pub fn remove(&mut self, gateway: &InstanceId) -> Vec<InstanceKey> {
        match self.gateways.swap_remove(gateway) {
            Some(mut known) => remove_values(&mut self.sums, &mut known.loads, |_, _| true),
            None => Vec::new(),
        }
    }

    /// Returns whether no load is known.
    pub fn is_empty(&self) -> bool {
        self.gateways.is_empty()
    }

    /// Returns the instances at which other gateways have load.
    pub fn keys(&self) -> impl Iterator<Item = InstanceKey> + '_ {
        self.sums.keys().copied()
    }

    /// Returns the load of all other gateways at an instance.
    pub fn sum(&self, key: InstanceKey) -> InstanceLoad {
        self.sums.get(&key).copied().unwrap_or_default()
    }
}

/// Removes the values that `is_removed` selects, and returns their keys.
fn remove_values(
    sums: &mut IndexMap<InstanceKey, InstanceLoad>,
    loads: &mut IndexMap<InstanceKey, (InstanceLoad, TimeMs)>,
    is_removed: impl Fn(InstanceKey, TimeMs) -> bool,
) -> Vec<InstanceKey> {
    let mut removed = Vec::new();
    loads.retain(|key, (load, arrived_at)| {
        if !is_removed(*key, *arrived_at) {
            return true;
        }
        if let Some(sum) = sums.get_mut(key) {
            sum.combine(load, u64::saturating_sub);
            if sum.is_zero() {
                sums.swap_remove(key);
            }
        }
        removed.push(*key);
        false
    });
    removed
}

/// Load at one instance by rank: the own waiting requests and the load of the other
/// gateways. Which of it counts follows from [`Self::set_modes`].
#[derive(Debug)]
pub(super) struct RankedLoad {
    key: InstanceKey,
    /// Whether the age of own waiting requests counts.
    counts_waiting: bool,
    /// Whether unread tokens count by rank, since the load of all gateways is known.
    counts_ranks: bool,
    /// Rank, time of sending and unread tokens of each own request without a first
    /// event, in the order of sending.
    waiting: Vec<(usize, TimeMs, f64)>,
    peers: InstanceLoad,
}

impl RankedLoad {
    pub(super) fn new(key: InstanceKey) -> Self {
        Self {
            key,
            counts_waiting: false,
            counts_ranks: false,
            waiting: Vec::new(),
            peers: InstanceLoad::default(),
        }
    }

    pub(super) fn set_modes(&mut self, counts_waiting: bool, counts_ranks: bool) {
        self.counts_waiting = counts_waiting;
        self.counts_ranks = counts_ranks;
    }

    pub(super) fn set_peers(&mut self, load: InstanceLoad) {
        self.peers = load;
    }

    pub(super) fn counts_ranks(&self) -> bool {
        self.counts_ranks
    }

    pub(super) fn key(&self) -> InstanceKey {
        self.key
    }

    pub(super) fn peers(&self) -> &InstanceLoad {
        &self.peers
    }

    pub(super) fn on_sent(&mut self, now: TimeMs, rank: usize, unread_tokens: f64) {
        self.waiting.push((rank, now, unread_tokens));
    }

    /// Stops counting a request as waiting.
    pub(super) fn on_read(&mut self, rank: usize, sent_at: TimeMs, unread_tokens: f64) {
        let request = (rank, sent_at, unread_tokens);
        if let Some(index) = self.waiting.iter().position(|other| *other == request) {
            self.waiting.remove(index);
        }
    }

    /// Returns the unread tokens of all gateways that an engine reads before a
    /// request of this rank; `None` if the load of all gateways is not known.
    pub(super) fn unread_ahead(&self, rank: usize) -> Option<f64> {
        if !self.counts_ranks {
            return None;
        }
        let ahead = self.waiting.iter().filter(|(other, ..)| *other <= rank);
        let own: f64 = ahead.map(|(.., tokens)| tokens).sum();
        Some(own + self.peers.unread_up_to(rank))
    }

    /// Returns the age of the oldest own request of this rank or a more urgent one
    /// without a first event, in milliseconds; 0 if there is none or if not enabled.
    pub(super) fn oldest_wait_ms(&self, now: TimeMs, rank: usize) -> f64 {
        let mut waiting = self.waiting.iter();
        let oldest = waiting.find(|(other, ..)| *other <= rank);
        match oldest {
            Some((_, sent_at, _)) if self.counts_waiting => now.since(*sent_at) as f64,
            _ => 0.0,
        }
    }

    /// Returns the own unread tokens by rank.
    pub(super) fn own_unread(&self) -> [u64; RANKS] {
        let mut unread = [0; RANKS];
        for (rank, _, tokens) in &self.waiting {
            unread[*rank] += *tokens as u64;
        }
        unread
    }
}

/// Long prompts of one entry at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueTotals {
    /// Prompts that wait for prefill.
    pub waiting_prompts: u64,
    /// Their tokens.
    pub waiting_tokens: u64,
    /// Tokens prefilled since the entry's start.
    pub prefilled_tokens: u64,
}

/// What one entry knows of an upstream as a whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamTotals {
    /// Long prompts, for overload control.
    pub queue: QueueTotals,
    /// Prompts and pauses, for the division into lanes.
    pub lanes: LaneTotals,
}

#[derive(Debug)]
struct KnownTotals {
    run: u64,
    arrived_at: TimeMs,
    totals: UpstreamTotals,
}

/// Totals of the other entries at one upstream.
#[derive(Debug, Default)]
pub(super) struct PeerTotals {
    entries: IndexMap<InstanceId, KnownTotals>,
    waiting_prompts: u64,
    waiting_tokens: u64,
}

impl PeerTotals {
    /// Replaces the totals of an entry. Returns the change of the sums since its last
    /// report; `None` if there was none lately, or if these totals are older.
    pub(super) fn replace(
        &mut self,
        now: TimeMs,
        entry: &InstanceId,
        run: u64,
        totals: &UpstreamTotals,
    ) -> Option<UpstreamTotals> {
        let known = self.entries.get(entry).filter(|known| known.run == run);
        let before = known.map(|known| known.totals);
        let is_older = before.is_some_and(|before| {
            totals.queue.prefilled_tokens < before.queue.prefilled_tokens
                || totals.lanes.prompts < before.lanes.prompts
        });
        if is_older || (self.entries.len() >= GATEWAYS_MAX && !self.entries.contains_key(entry)) {
            return None;
        }
        let known = KnownTotals {
            run,
            arrived_at: now,
            totals: *totals,
        };
        if let Some(replaced) = self.entries.insert(entry.clone(), known) {
            self.waiting_prompts -= replaced.totals.queue.waiting_prompts;
            self.waiting_tokens -= replaced.totals.queue.waiting_tokens;
        }
        self.waiting_prompts += totals.queue.waiting_prompts;
        self.waiting_tokens += totals.queue.waiting_tokens;
        let before = before?;
        let prefilled_tokens = totals.queue.prefilled_tokens - before.queue.prefilled_tokens;
        Some(UpstreamTotals {
            queue: QueueTotals {
                prefilled_tokens,
                ..QueueTotals::default()
            },
            lanes: totals.lanes.since(&before.lanes),
        })
    }

    /// Stops counting the prompts of entries whose totals have expired. The sums
    /// are kept for some reports longer, to which the next one is compared.
    pub(super) fn expire(&mut self, now: TimeMs) {
        for known in self.entries.values_mut() {
            if now.since(known.arrived_at) >= VALUE_TTL_MS {
                let queue = &mut known.totals.queue;
                self.waiting_prompts -= std::mem::take(&mut queue.waiting_prompts);
                self.waiting_tokens -= std::mem::take(&mut queue.waiting_tokens);
            }
        }
        self.entries
            .retain(|_, known| now.since(known.arrived_at) < TOTALS_TTL_MS);
    }

    pub(super) fn waiting_prompts(&self) -> u64 {
        self.waiting_prompts
    }

    pub(super) fn waiting_tokens(&self) -> f64 {
        self.waiting_tokens as f64
    }
}
