//! Tracks which instances are usable, from the platform's list of instances.
//!
//! The list may be delayed or incomplete. Load pattern: entries expire while
//! the platform is unavailable, although the instances keep running. After the
//! platform recovers, most entries are missing for about two seconds. Removing
//! them immediately would refuse every caller; keeping every missing entry
//! would route requests to instances that have left. An entry that a working
//! platform removes is different: its instance has left, and takes requests for
//! its drain time only.

use std::sync::Arc;

use indexmap::IndexMap;
use types::{InstanceId, TimeMs, UpstreamName, ZoneName};

/// An instance as described by its entry in the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Id of the instance, the same across restarts.
    pub instance: InstanceId,
    /// Identifies one start of the instance; a later start has a higher number.
    pub incarnation: u64,
    /// Sequence number of the report within the incarnation; a newer report has
    /// a higher one.
    pub sequence: u64,
    /// Upstream that the instance serves.
    pub upstream: UpstreamName,
    /// Address that requests are sent to, `IP:port`.
    pub addr: Arc<str>,
    /// Availability zone that the instance runs in.
    pub zone: ZoneName,
    /// Number of requests that the instance runs concurrently.
    pub slots: u32,
    /// Whether the instance has announced that it is leaving.
    pub leaving: bool,
}

/// Why an entry is missing from the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Removal {
    /// The platform is or was unavailable, so that the entry may have expired
    /// although the instance keeps running.
    Lapsed,
    /// The platform has removed the entry while it was available.
    Acknowledged {
        /// Time for which the instance may still be sent requests, in
        /// milliseconds.
        grace_ms: u64,
    },
}

impl Removal {
    fn grace_ms(self) -> u64 {
        match self {
            Self::Lapsed => Roster::MISSING_GRACE_MS,
            Self::Acknowledged { grace_ms } => grace_ms.min(Roster::MISSING_GRACE_MS),
        }
    }
}

/// A member and the state of its entry in the list.
#[derive(Debug)]
struct TrackedMember {
    member: Member,
    /// Time until which the instance may be used without an entry; `None` while
    /// listed.
    missing_until: Option<TimeMs>,
}

/// The instances tracked by one process.
///
/// # Invariants
///
/// - An incarnation that has announced that it is leaving never becomes usable
///   again, even if older reports arrive later.
/// - An instance whose entry is missing is usable only while most entries of
///   its upstream are missing, and for at most the grace of its [`Removal`].
#[derive(Debug, Default)]
pub struct Roster {
    tracked: IndexMap<InstanceId, TrackedMember>,
    revision: u64,
}

impl Roster {
    /// Time for which an entry that may have expired is kept, in milliseconds. The
    /// platform specifies that entries return about two seconds after an outage.
    pub const MISSING_GRACE_MS: u64 = 2_500;

    /// Applies a complete list. Tracked instances that it lacks become missing.
    pub fn on_listing(&mut self, now: TimeMs, members: Vec<Member>, removal: Removal) {
        let listed: Vec<InstanceId> = members
            .iter()
            .map(|member| member.instance.clone())
            .collect();
        for member in members {
            self.on_entry(member);
        }
        let missing: Vec<InstanceId> = self
            .tracked
            .keys()
            .filter(|instance| !listed.contains(instance))
            .cloned()
            .collect();
        for instance in missing {
            self.on_removed(now, &instance, removal);
        }
    }

    /// Applies a new or changed entry. Reports older than the last one applied
    /// are ignored.
    pub fn on_entry(&mut self, mut member: Member) {
        if let Some(tracked) = self.tracked.get(&member.instance) {
            let previous = &tracked.member;
            let same_incarnation = previous.incarnation == member.incarnation;
            let is_older = member.incarnation < previous.incarnation
                || (same_incarnation && member.sequence < previous.sequence);
            if is_older {
                return;
            }
            member.leaving |= same_incarnation && previous.leaving;
        }
        let instance = member.instance.clone();
        let tracked = TrackedMember {
            member,
            missing_until: None,
        };
        let previous = self.tracked.insert(instance.clone(), tracked);
        let tracked = &self.tracked[&instance];
        let unchanged = previous.is_some_and(|previous| {
            let mut previous_member = previous.member;
            previous_member.sequence = tracked.member.sequence;
            previous.missing_until.is_none() && previous_member == tracked.member
        });
        if !unchanged {
            self.revision += 1;
        }
    }

    /// Marks the instance as missing, after its entry was removed. A later reason
    /// can only shorten the time for which it is used.
    pub fn on_removed(&mut self, now: TimeMs, instance: &InstanceId, removal: Removal) {
        let Some(tracked) = self.tracked.get_mut(instance) else {
            return;
        };
        let until = now + removal.grace_ms();
        match tracked.missing_until {
            None => self.revision += 1,
            Some(previous) if previous <= until => return,
            Some(_) => {}
        }
        tracked.missing_until = Some(until);
        self.expire(now);
    }

    /// Removes instances that have been missing for the grace of their
    /// [`Removal`]. Returns the time until the next one expires, in milliseconds,
    /// if any entry is missing.
    pub fn expire(&mut self, now: TimeMs) -> Option<u64> {
        let len_before = self.tracked.len();
        self.tracked
            .retain(|_, tracked| tracked.missing_until.is_none_or(|until| now < until));
        if self.tracked.len() != len_before {
            self.revision += 1;
        }
        let missing = self
            .tracked
            .values()
            .filter_map(|tracked| tracked.missing_until);
        missing.map(|until| until.since(now)).min()
    }

    /// Counter that increases when the set of usable instances, or their data,
    /// may have changed.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Number of tracked instances, usable or not.
    pub fn len(&self) -> usize {
        self.tracked.len()
    }

    /// Returns whether no instance is tracked.
    pub fn is_empty(&self) -> bool {
        self.tracked.is_empty()
    }

    /// Returns the usable instances by upstream: those listed, or also the
    /// missing ones if these are the majority.
    pub fn usable(&self) -> IndexMap<UpstreamName, Vec<Member>> {
        let mut by_upstream: IndexMap<UpstreamName, Vec<&TrackedMember>> = IndexMap::new();
        for tracked in self
            .tracked
            .values()
            .filter(|tracked| !tracked.member.leaving)
        {
            by_upstream
                .entry(tracked.member.upstream.clone())
                .or_default()
                .push(tracked);
        }
        by_upstream
            .into_iter()
            .map(|(upstream, all)| {
                let listed = all.iter().filter(|tracked| tracked.missing_until.is_none());
                let most_missing = listed.clone().count() * 2 < all.len();
                let members = match most_missing {
                    true => all.iter().map(|tracked| tracked.member.clone()).collect(),
                    false => listed.map(|tracked| tracked.member.clone()).collect(),
                };
                (upstream, members)
            })
            .collect()
    }
}
