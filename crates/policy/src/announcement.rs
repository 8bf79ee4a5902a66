//! What instances announce in their responses about further requests.
//!
//! An instance that leaves says so before the platform's list does, and also while
//! the list can't be read. One that turns requests away may ask for a pause. Both
//! hold for one start of the instance.

use indexmap::IndexMap;
use types::{InstanceId, TimeMs};

/// Whether an instance may be sent requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// The instance takes requests.
    Open,
    /// The instance is leaving: only if no other instance takes the request.
    LastResort,
    /// The instance must not be sent anything.
    Closed {
        /// End of the pause that the instance asked for; `None` if it has left.
        until: Option<TimeMs>,
    },
}

/// Announcements of one start of an instance.
#[derive(Clone, Copy, Debug)]
struct Announced {
    incarnation: u64,
    /// Time from which an instance that leaves must not be sent anything.
    leaves_at: Option<TimeMs>,
    /// End of the pause that the instance asked for.
    pause_until: Option<TimeMs>,
}

/// Announcements of all instances, as one process received them.
///
/// # Invariants
///
/// - A later announcement never makes an instance that leaves available again, nor
///   moves the end of its time.
/// - A pause is never shortened by another one.
/// - At most [`Announcements::INSTANCES_MAX`] instances are kept; the ones that have
///   announced something first are dropped first.
#[derive(Debug, Default)]
pub struct Announcements {
    by_instance: IndexMap<InstanceId, Announced>,
}

impl Announcements {
    /// Maximum number of instances whose announcements are kept.
    pub const INSTANCES_MAX: usize = 4_096;

    /// Longest pause that an instance can ask for, in milliseconds.
    pub const PAUSE_MAX_MS: u64 = 600_000;

    /// Returns whether no instance has announced anything.
    pub fn is_empty(&self) -> bool {
        self.by_instance.is_empty()
    }

    /// Returns the instances that have announced something.
    pub fn instances(&self) -> impl Iterator<Item = &InstanceId> {
        self.by_instance.keys()
    }

    /// Records that a start of an instance leaves. It may be sent requests for
    /// `grace_ms` more. Returns whether that is new.
    pub fn on_leaving(
        &mut self,
        now: TimeMs,
        (instance, incarnation): (&InstanceId, u64),
        grace_ms: u64,
    ) -> bool {
        let Some(announced) = self.announced(instance, incarnation) else {
            return false;
        };
        let is_new = announced.leaves_at.is_none();
        announced.leaves_at.get_or_insert(now + grace_ms);
        is_new
    }

    /// Records that a start of an instance wants nothing for `pause_ms`, at most
    /// [`Self::PAUSE_MAX_MS`]. Returns whether it had not asked for a pause that
    /// still lasts.
    pub fn on_pause(
        &mut self,
        now: TimeMs,
        (instance, incarnation): (&InstanceId, u64),
        pause_ms: u64,
    ) -> bool {
        let Some(announced) = self.announced(instance, incarnation) else {
            return false;
        };
        let until = now + pause_ms.min(Self::PAUSE_MAX_MS);
        let previous = announced.pause_until.filter(|until| *until > now);
        announced.pause_until = Some(previous.map_or(until, |previous| previous.max(until)));
        previous.is_none()
    }

    /// Returns whether a start of an instance may be sent requests.
    pub fn availability(
        &self,
        now: TimeMs,
        instance: &InstanceId,
        incarnation: u64,
    ) -> Availability {
        let Some(announced) = self.by_instance.get(instance) else {
            return Availability::Open;
        };
        if announced.incarnation != incarnation {
            return Availability::Open;
        }
        if announced.leaves_at.is_some_and(|at| now >= at) {
            return Availability::Closed { until: None };
        }
        match (announced.pause_until, announced.leaves_at) {
            (Some(until), _) if now < until => Availability::Closed { until: Some(until) },
            (_, Some(_)) => Availability::LastResort,
            (_, None) => Availability::Open,
        }
    }

    /// Returns the announcements of a start of an instance; `None` if a later start
    /// has announced something.
    fn announced(&mut self, instance: &InstanceId, incarnation: u64) -> Option<&mut Announced> {
        let new = Announced {
            incarnation,
            leaves_at: None,
            pause_until: None,
        };
        if !self.by_instance.contains_key(instance) && self.by_instance.len() >= Self::INSTANCES_MAX
        {
            self.by_instance.shift_remove_index(0);
        }
        let announced = self.by_instance.entry(instance.clone()).or_insert(new);
        if announced.incarnation < incarnation {
            *announced = new;
        }
        (announced.incarnation == incarnation).then_some(announced)
    }
}
