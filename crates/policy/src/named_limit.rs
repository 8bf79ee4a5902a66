//! Keeps the requests that all gateways together send to an instance within a
//! limit that the instance names.
//!
//! Load pattern: an instance in need names a limit of a request a second or so,
//! and a hundred gateways learn it at different times. What each of them may send
//! adds up, and even one request each would be too many. Few gateways therefore
//! use the instance, each with a share of the limit; they claim it in the records
//! that gateways exchange, and all others leave the instance alone.

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use types::{InstanceId, TimeMs};

const MILLI: f64 = 1_000.0;

/// Claim of one gateway to a share of the limit of an instance, as exchanged
/// between gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitClaim {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Incarnation that names the limit.
    pub incarnation: u64,
    /// Number of changes of the limit that are known: odd while there is one, even
    /// once the instance names none any more. The claim with the highest number is
    /// valid.
    pub epoch: u64,
    /// Requests per second from all gateways together, in thousandths.
    pub limit_milli_per_s: u64,
}

impl LimitClaim {
    fn is_limited(&self) -> bool {
        self.epoch % 2 == 1
    }
}

/// Claim of this gateway with what it needs to keep its share.
#[derive(Debug)]
struct OwnClaim {
    claim: LimitClaim,
    /// Time from which responses to requests show whether the limit still holds.
    noted_at: TimeMs,
    /// Time at which the claim was published; `None` before.
    published_at: Option<TimeMs>,
    /// Requests that may be sent now.
    tokens: f64,
    refilled_at: TimeMs,
}

/// Limits of instances as known to one gateway.
///
/// # Invariants
///
/// - A gateway sends nothing to a limited instance before its claim is published
///   and has had time to reach the others.
/// - Gateways that know the same claims grant themselves equal shares that add up
///   to the limit. What they save up beside it is bounded for all of them together.
#[derive(Debug, Default)]
pub struct NamedLimits {
    own: IndexMap<InstanceId, OwnClaim>,
    others: IndexMap<InstanceId, Vec<LimitClaim>>,
}

impl NamedLimits {
    /// Time from the publication of a claim until it counts, in milliseconds: by
    /// then other gateways have read it, and this one has read theirs.
    pub const SETTLE_MS: u64 = 1_500;
    /// Seconds of the limit, and requests beside them, that all gateways together
    /// may save up for a burst.
    const BURST_S: f64 = 1.0;
    const BURST_REQUESTS: f64 = 2.5;
    /// Shares for each request per second of a small limit: a gateway with a smaller
    /// share would wait for seconds before it sends its first request.
    const SHARES_PER_REQUEST: f64 = 3.0;

    /// Requests sent to an instance whatever limit it names, in thousandths per
    /// second: without any, nobody would learn that the limit is over.
    const TRICKLE_MILLI_PER_S: u64 = 100;

    /// Returns whether no instance has a limit.
    pub fn is_empty(&self) -> bool {
        self.own.is_empty() && self.others.is_empty()
    }

    /// Records what a response says about the limit of its instance. `sent_at` is
    /// the time at which its request was sent. Returns whether the own claims have
    /// changed and should be published.
    pub fn on_response(
        &mut self,
        now: TimeMs,
        sent_at: TimeMs,
        (instance, incarnation): (&InstanceId, u64),
        limit_milli_per_s: Option<u64>,
    ) -> bool {
        let known = self.valid_claim(instance, incarnation);
        let epoch = known.as_ref().map_or(0, |known| known.epoch);
        let known_limit = known
            .filter(LimitClaim::is_limited)
            .map(|known| known.limit_milli_per_s);
        let next_epoch = match (known_limit, limit_milli_per_s) {
            (Some(known), Some(named)) if known == named => return false,
            (None, None) => return false,
            // A change between two limits skips the number without a limit.
            (Some(_), Some(_)) => epoch + 2,
            (None, Some(_)) => epoch + 1,
            (Some(_), None) => {
                let own = self.own.get(instance);
                if own.is_none_or(|own| sent_at < own.noted_at) {
                    return false;
                }
                epoch + 1
            }
        };
        let claim = LimitClaim {
            instance: instance.clone(),
            incarnation,
            epoch: next_epoch,
            limit_milli_per_s: limit_milli_per_s.unwrap_or_default(),
        };
        self.set_own(now, claim);
        true
    }

    /// Replaces the claims of another gateway.
    pub fn set_claims(&mut self, gateway: &InstanceId, claims: Vec<LimitClaim>) {
        match claims.is_empty() {
            true => {
                self.others.swap_remove(gateway);
            }
            false => {
                self.others.insert(gateway.clone(), claims);
            }
        }
    }

    /// Forgets the claims of gateways that have no record any more.
    pub fn retain_gateways(&mut self, has_record: impl Fn(&InstanceId) -> bool) {
        self.others.retain(|gateway, _| has_record(gateway));
    }

    /// Returns the instances about which there are claims.
    pub fn instances(&self) -> IndexSet<InstanceId> {
        let others = self.others.values().flatten();
        others
            .map(|claim| &claim.instance)
            .chain(self.own.keys())
            .cloned()
            .collect()
    }

    /// Takes over the claims that an earlier process of this gateway published.
    pub fn adopt(&mut self, now: TimeMs, claims: &[LimitClaim]) {
        for claim in claims {
            if !self.own.contains_key(&claim.instance) {
                self.set_own(now, claim.clone());
            }
        }
    }

    /// Returns the claims of this gateway, to be published.
    pub fn own_claims(&self) -> Vec<LimitClaim> {
        self.own.values().map(|own| own.claim.clone()).collect()
    }

    /// Records that the store has confirmed these claims.
    pub fn on_published(&mut self, now: TimeMs, claims: &[LimitClaim]) {
        for claim in claims {
            if let Some(own) = self.own.get_mut(&claim.instance) {
                if own.claim == *claim && own.published_at.is_none() {
                    own.published_at = Some(now);
                }
            }
        }
    }

    /// Forgets claims on instances that are gone or have started again. Returns
    /// whether the own claims have changed.
    pub fn retain(&mut self, is_listed: impl Fn(&InstanceId, u64) -> bool) -> bool {
        let before = self.own.len();
        self.own
            .retain(|instance, own| is_listed(instance, own.claim.incarnation));
        self.own.len() != before
    }

    /// Returns whether a request may be sent to the instance now. Claims a share if
    /// there are some left; the second value tells whether the own claims have
    /// changed and should be published.
    pub fn may_send(
        &mut self,
        now: TimeMs,
        gateway: &InstanceId,
        (instance, incarnation): (&InstanceId, u64),
    ) -> (bool, bool) {
        let Some(valid) = self.valid_claim(instance, incarnation) else {
            return (true, false);
        };
        if !valid.is_limited() {
            return (true, false);
        }
        let sharers = self.sharers(gateway, &valid);
        let own_epoch = self.own_epoch(instance, incarnation);
        if own_epoch.is_none() && sharers.len() >= shares_max(&valid) {
            return (false, false);
        }
        if own_epoch < Some(valid.epoch) {
            self.set_own(now, valid);
            return (false, true);
        }
        let shares = sharers.len().min(shares_max(&valid));
        let is_sharer = sharers.iter().take(shares).any(|sharer| sharer == gateway);
        let Some(own) = self.own.get_mut(instance) else {
            return (false, false);
        };
        let settled = own
            .published_at
            .is_some_and(|at| now.since(at) >= Self::SETTLE_MS);
        if !is_sharer || !settled {
            own.refilled_at = now;
            return (false, false);
        }
        own.refill(now, limit_per_s(&valid), shares as f64);
        (own.tokens >= 1.0, false)
    }

    /// Records that a request is sent to the instance.
    pub fn on_sent(&mut self, instance: &InstanceId) {
        if let Some(own) = self.own.get_mut(instance) {
            own.tokens -= 1.0;
        }
    }

    /// Returns the epoch of the own claim on an incarnation.
    fn own_epoch(&self, instance: &InstanceId, incarnation: u64) -> Option<u64> {
        let own = self.own.get(instance)?;
        (own.claim.incarnation == incarnation).then_some(own.claim.epoch)
    }

    /// Returns the valid claim about an incarnation: the one with the highest
    /// epoch, and the lowest limit among equal ones.
    fn valid_claim(&self, instance: &InstanceId, incarnation: u64) -> Option<LimitClaim> {
        let own = self.own.get(instance).map(|own| &own.claim);
        let others = self.others.values().flatten();
        others
            .chain(own)
            .filter(|claim| claim.instance == *instance && claim.incarnation == incarnation)
            .max_by_key(|claim| (claim.epoch, std::cmp::Reverse(claim.limit_milli_per_s)))
            .cloned()
    }

    /// Returns the gateways that claim a share, in an order that is the same at all
    /// gateways and differs between instances.
    fn sharers(&self, gateway: &InstanceId, valid: &LimitClaim) -> Vec<InstanceId> {
        let is_claim = |claim: &LimitClaim| {
            claim.instance == valid.instance && claim.incarnation == valid.incarnation
        };
        let others = self
            .others
            .iter()
            .filter(|(_, claims)| claims.iter().any(is_claim))
            .map(|(other, _)| other);
        let own = self
            .own
            .get(&valid.instance)
            .filter(|own| is_claim(&own.claim))
            .map(|_| gateway);
        let mut sharers: Vec<InstanceId> = others.chain(own).cloned().collect();
        sharers.sort_by_cached_key(|sharer| {
            let bytes = [sharer.as_str(), "/", valid.instance.as_str()].concat();
            rapidhash::v3::rapidhash_v3(bytes.as_bytes())
        });
        sharers
    }

    fn set_own(&mut self, now: TimeMs, claim: LimitClaim) {
        let before = self.own.get(&claim.instance);
        let before = before.filter(|own| own.claim.incarnation == claim.incarnation);
        let published_at = before.and_then(|own| own.published_at);
        let tokens = before.map_or(1.0, |own| own.tokens);
        self.own.insert(
            claim.instance.clone(),
            OwnClaim {
                claim,
                noted_at: now,
                published_at,
                tokens,
                refilled_at: now,
            },
        );
    }
}

impl OwnClaim {
    /// Adds what has accrued to one of `shares` equal shares of the limit.
    fn refill(&mut self, now: TimeMs, limit_per_s: f64, shares: f64) {
        let passed_s = now.since(self.refilled_at) as f64 / MILLI;
        self.refilled_at = now;
        let saved_max = NamedLimits::BURST_S * limit_per_s + NamedLimits::BURST_REQUESTS;
        let tokens = self.tokens + limit_per_s / shares * passed_s;
        self.tokens = tokens.min((saved_max / shares).max(1.0));
    }
}

/// Returns the limit that is kept, in requests per second.
fn limit_per_s(claim: &LimitClaim) -> f64 {
    let milli_per_s = claim.limit_milli_per_s;
    milli_per_s.max(NamedLimits::TRICKLE_MILLI_PER_S) as f64 / MILLI
}

/// Returns the number of gateways that may share a limit: each of them can save up
/// one request, and together these stay within the burst that is allowed.
fn shares_max(claim: &LimitClaim) -> usize {
    let limit_per_s = limit_per_s(claim);
    let by_burst = (NamedLimits::BURST_S * limit_per_s + NamedLimits::BURST_REQUESTS) / 1.5;
    let by_rate = NamedLimits::SHARES_PER_REQUEST * limit_per_s;
    (by_burst.min(by_rate) as usize).max(1)
}
