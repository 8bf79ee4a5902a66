//! Tracks which instances are usable, from the platform's list of instances.
//!
//! The list may be delayed or incomplete. Load pattern: entries expire while
//! the platform is unavailable, although the instances keep running. After the
//! platform recovers, most entries are missing for about two seconds. Removing
//! them immediately would refuse every caller; keeping every missing entry
//! would route requests to instances that have left. An entry that a working
//! platform removes is different: its instance has left, and takes requests for
//! its drain time only.
//!
//! A list that was restored from an older copy lacks instances that have registered
//! since, and names some that have left since. Both are corrected as the instances
//! renew their entries, or as those that nobody renews expire.

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
    /// The list was restored from an older copy, which may not have the entry yet.
    Restored,
}

impl Removal {
    fn grace_ms(self) -> u64 {
        match self {
            Self::Lapsed | Self::Restored => Roster::MISSING_GRACE_MS,
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
    /// Whether it may be used meanwhile, however many others are missing.
    is_used_missing: bool,
}

/// What is remembered of an instance that is not tracked any more.
#[derive(Debug)]
struct Departed {
    /// As in [`Member`]; 0 if its entry did not tell it, so that starts can't be told
    /// apart.
    incarnation: u64,
    sequence: u64,
    leaving: bool,
    /// Time from which it is forgotten.
    forgotten_at: TimeMs,
}

/// Entry of a restored list that names an instance which has left since, if nobody
/// renews it.
#[derive(Debug)]
struct HeldBack {
    member: Member,
    /// Time from which the entry counts, because it would have expired otherwise.
    until: TimeMs,
}

/// The instances tracked by one process.
///
/// # Invariants
///
/// - An incarnation that has announced that it is leaving never becomes usable
///   again, even if older reports arrive later.
/// - An instance whose entry is missing is usable only while most entries of
///   its upstream are missing, or if the list was restored, and for at most the grace
///   of its [`Removal`].
/// - An instance that is held back is not tracked.
#[derive(Debug, Default)]
pub struct Roster {
    tracked: IndexMap<InstanceId, TrackedMember>,
    departed: IndexMap<InstanceId, Departed>,
    held_back: IndexMap<InstanceId, HeldBack>,
    revision: u64,
}

impl Roster {
    /// Time for which an entry that may have expired is kept, in milliseconds. The
    /// platform specifies that entries return about two seconds after an outage.
    pub const MISSING_GRACE_MS: u64 = 2_500;

    /// Time for which an instance is remembered after it has left, in milliseconds. A
    /// list is restored from a copy that is some seconds old.
    const DEPARTED_KEPT_MS: u64 = 120_000;

    /// Number of instances that are remembered after they have left.
    const DEPARTED_MAX: usize = 4_096;

    /// Time for which an entry of a restored list is held back if its instance has
    /// left, in milliseconds: entries that are not renewed expire sooner.
    const HELD_BACK_MS: u64 = 10_000;

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

    /// Applies a complete list that was restored from an older copy. Tracked instances
    /// that it lacks may be used until their entries should be back; those that have
    /// left, by what is remembered of them, get no requests because of it.
    pub fn on_restored_listing(&mut self, now: TimeMs, members: Vec<Member>) {
        let (outdated, members) = members
            .into_iter()
            .partition(|member| self.has_departed(member));
        self.on_listing(now, members, Removal::Restored);
        let outdated: Vec<Member> = outdated;
        for member in outdated {
            let until = now + Self::HELD_BACK_MS;
            let instance = member.instance.clone();
            self.held_back.insert(instance, HeldBack { member, until });
        }
    }

    /// Returns whether an entry tells nothing that was not known when its instance left.
    fn has_departed(&self, member: &Member) -> bool {
        let is_tracked = self.tracked.contains_key(&member.instance);
        let departed = self.departed.get(&member.instance);
        !is_tracked
            && departed.is_some_and(|departed| {
                (member.incarnation, member.sequence) <= (departed.incarnation, departed.sequence)
            })
    }

    /// Applies a new or changed entry. Reports older than the last one applied
    /// are ignored.
    pub fn on_entry(&mut self, mut member: Member) {
        self.held_back.swap_remove(&member.instance);
        if let Some(departed) = self.departed.get(&member.instance) {
            let is_same = departed.incarnation == member.incarnation && member.incarnation != 0;
            member.leaving |= departed.leaving && is_same;
        }
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
            is_used_missing: false,
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
        self.held_back.swap_remove(instance);
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
        tracked.is_used_missing = removal == Removal::Restored;
        self.expire(now);
    }

    /// Removes instances that have been missing for the grace of their
    /// [`Removal`]. Returns the time until the next one expires, in milliseconds,
    /// if any entry is missing.
    pub fn expire(&mut self, now: TimeMs) -> Option<u64> {
        let is_expired =
            |tracked: &TrackedMember| tracked.missing_until.is_some_and(|until| until <= now);
        let expired: Vec<InstanceId> = self
            .tracked
            .iter()
            .filter(|(_, tracked)| is_expired(tracked))
            .map(|(instance, _)| instance.clone())
            .collect();
        for instance in expired {
            self.forget(now, &instance);
        }
        self.departed
            .retain(|_, departed| now < departed.forgotten_at);
        let due: Vec<Member> = self
            .held_back
            .values()
            .filter(|held_back| held_back.until <= now)
            .map(|held_back| held_back.member.clone())
            .collect();
        for member in due {
            self.on_entry(member);
        }
        let missing = self
            .tracked
            .values()
            .filter_map(|tracked| tracked.missing_until);
        let held_back = self.held_back.values().map(|held_back| held_back.until);
        missing.chain(held_back).map(|until| until.since(now)).min()
    }

    /// Stops tracking an instance.
    fn forget(&mut self, now: TimeMs, instance: &InstanceId) {
        let Some(TrackedMember { member, .. }) = self.tracked.shift_remove(instance) else {
            return;
        };
        self.revision += 1;
        if self.departed.len() >= Self::DEPARTED_MAX {
            self.departed.shift_remove_index(0);
        }
        let departed = Departed {
            incarnation: member.incarnation,
            sequence: member.sequence,
            leaving: member.leaving,
            forgotten_at: now + Self::DEPARTED_KEPT_MS,
        };
        self.departed.insert(member.instance, departed);
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
    /// missing ones if these are the majority or the list was restored.
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
                let most_missing = listed.count() * 2 < all.len();
                let members = match most_missing {
                    true => all.iter().map(|tracked| tracked.member.clone()).collect(),
                    false => all
                        .iter()
                        .filter(|tracked| {
                            tracked.missing_until.is_none() || tracked.is_used_missing
                        })
                        .map(|tracked| tracked.member.clone())
                        .collect(),
                };
                (upstream, members)
            })
            .collect()
    }
}
