//! Which instances may be used, from a list that lags and forgets.
//!
//! Load pattern: the platform's list of instances lapses while the platform is
//! away, though the instances go on. When it is back, most entries are missing
//! for about two seconds. Dropping them at once would refuse every caller;
//! keeping each vanished entry would send work to instances that left.

use std::sync::Arc;

use indexmap::IndexMap;
use types::{InstanceId, TimeMs, UpstreamName, ZoneName};

/// An instance as its own entry in the list says.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Who.
    pub instance: InstanceId,
    /// Start of this incarnation, as a number that differs between starts.
    pub incarnation: u64,
    /// Order of the reports of one incarnation.
    pub sequence: u64,
    /// What it serves.
    pub upstream: UpstreamName,
    /// Its address, `IP:port`.
    pub addr: Arc<str>,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it said that it is leaving.
    pub leaving: bool,
}

/// A member with what became of its entry.
#[derive(Debug)]
struct Known {
    member: Member,
    /// When its entry vanished from the list.
    missing_since: Option<TimeMs>,
}

/// The instances known to one process.
///
/// # Invariants
///
/// - An incarnation that has said that it is leaving never counts as usable
///   again, whatever older reports arrive later.
/// - An instance whose entry has vanished is used only while most of its
///   upstream has vanished with it, and no longer than [`Roster::MISSING_GRACE_MS`].
#[derive(Debug, Default)]
pub struct Roster {
    known: IndexMap<InstanceId, Known>,
    revision: u64,
}

impl Roster {
    /// Time within which an entry that lapsed in an outage is back, in
    /// milliseconds: the platform says about two seconds after its return.
    pub const MISSING_GRACE_MS: u64 = 2_500;

    /// Takes in a complete list.
    pub fn on_listing(&mut self, now: TimeMs, members: Vec<Member>) {
        let listed: Vec<InstanceId> = members.iter().map(|one| one.instance.clone()).collect();
        for member in members {
            self.on_entry(member);
        }
        let missing: Vec<InstanceId> = self
            .known
            .keys()
            .filter(|instance| !listed.contains(instance))
            .cloned()
            .collect();
        for instance in missing {
            self.on_removed(now, &instance);
        }
    }

    /// Takes in a new or changed entry.
    pub fn on_entry(&mut self, mut member: Member) {
        if let Some(known) = self.known.get(&member.instance) {
            let before = &known.member;
            let same_start = before.incarnation == member.incarnation;
            let is_older = member.incarnation < before.incarnation
                || (same_start && member.sequence < before.sequence);
            if is_older {
                return;
            }
            member.leaving |= same_start && before.leaving;
        }
        let instance = member.instance.clone();
        let known = Known {
            member,
            missing_since: None,
        };
        let before = self.known.insert(instance.clone(), known);
        let known = &self.known[&instance];
        let same = before.is_some_and(|before| {
            let mut as_before = before.member;
            as_before.sequence = known.member.sequence;
            before.missing_since.is_none() && as_before == known.member
        });
        if !same {
            self.revision += 1;
        }
    }

    /// Notes that an entry is gone.
    pub fn on_removed(&mut self, now: TimeMs, instance: &InstanceId) {
        let Some(known) = self.known.get_mut(instance) else {
            return;
        };
        if known.missing_since.is_none() {
            known.missing_since = Some(now);
            self.revision += 1;
        }
    }

    /// Forgets what has been missing for too long; returns when to look again,
    /// in milliseconds, if anything is missing.
    pub fn expire(&mut self, now: TimeMs) -> Option<u64> {
        let before = self.known.len();
        self.known.retain(|_, known| {
            known
                .missing_since
                .is_none_or(|since| now.since(since) < Self::MISSING_GRACE_MS)
        });
        if self.known.len() != before {
            self.revision += 1;
        }
        let missing = self.known.values().filter_map(|known| known.missing_since);
        missing
            .map(|since| Self::MISSING_GRACE_MS - now.since(since).min(Self::MISSING_GRACE_MS))
            .min()
    }

    /// Rises with each change of what is usable.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Instances known, usable or not.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Instances that may be used, by upstream.
    pub fn usable(&self) -> IndexMap<UpstreamName, Vec<Member>> {
        let mut by_upstream: IndexMap<UpstreamName, Vec<&Known>> = IndexMap::new();
        for known in self.known.values().filter(|known| !known.member.leaving) {
            by_upstream
                .entry(known.member.upstream.clone())
                .or_default()
                .push(known);
        }
        by_upstream
            .into_iter()
            .map(|(upstream, all)| {
                let listed = all.iter().filter(|known| known.missing_since.is_none());
                let most_vanished = listed.clone().count() * 2 < all.len();
                let members = match most_vanished {
                    true => all.iter().map(|known| known.member.clone()).collect(),
                    false => listed.map(|known| known.member.clone()).collect(),
                };
                (upstream, members)
            })
            .collect()
    }
}
