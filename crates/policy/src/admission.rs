//! The entry's bound on requests in flight, by class.

use std::{cmp::Reverse, collections::BTreeMap, collections::BTreeSet};

use indexmap::IndexMap;
use types::{ClassName, Priority, RequestId};

/// Answer to a request for admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may go on.
    Admitted,
    /// The request may go on after `displaced`, which has not been dispatched
    /// yet, has been told that it did not run.
    AdmittedByDisplacing {
        /// The request that makes room.
        displaced: RequestId,
    },
    /// The entry is full for this class, or holds the same id already.
    Refused,
}

/// Requests that one entry holds.
///
/// # Invariants
///
/// - At most `in_flight_max` requests are admitted.
/// - A request is only displaced by one of a higher priority and only before
///   it is dispatched.
/// - Each priority leaves places free for the higher ones seen so far, so that
///   dispatched lower work can't fill the entry.
#[derive(Debug)]
pub struct InFlightLimiter {
    in_flight_max: u32,
    held: IndexMap<RequestId, Held>,
    /// Requests that may be displaced; the first is the youngest of the lowest
    /// priority.
    displaceable: BTreeMap<(Priority, Reverse<u64>), RequestId>,
    /// Priorities seen so far.
    priorities: BTreeSet<Priority>,
    next_sequence: u64,
}

/// A request that holds a place.
#[derive(Debug)]
struct Held {
    class: ClassName,
    priority: Priority,
    sequence: u64,
}

impl InFlightLimiter {
    /// Part of all places that is kept for each higher priority, as a divisor.
    const KEPT_DIVISOR: usize = 16;
    /// Higher priorities for which places are kept at most.
    const KEPT_PRIORITIES_MAX: usize = 4;

    /// Makes an empty gate.
    pub fn new(in_flight_max: u32) -> Self {
        Self {
            in_flight_max,
            held: IndexMap::new(),
            displaceable: BTreeMap::new(),
            priorities: BTreeSet::new(),
            next_sequence: 0,
        }
    }

    /// Asks for a place.
    pub fn admit(
        &mut self,
        request_id: RequestId,
        class: ClassName,
        priority: Priority,
    ) -> Admission {
        if self.held.contains_key(&request_id) {
            return Admission::Refused;
        }
        self.priorities.insert(priority);
        if self.held.len() < self.places(priority) {
            self.hold(request_id, class, priority);
            return Admission::Admitted;
        }
        let Some(displaced) = self.displace_below(priority) else {
            return Admission::Refused;
        };
        self.hold(request_id, class, priority);
        Admission::AdmittedByDisplacing { displaced }
    }

    /// Notes that the request was dispatched and can't be displaced any more.
    pub fn on_dispatched(&mut self, request_id: &RequestId) {
        if let Some(held) = self.held.get(request_id) {
            self.displaceable.remove(&held.order());
        }
    }

    /// Notes the end of a request.
    pub fn release(&mut self, request_id: &RequestId) {
        if let Some(held) = self.held.swap_remove(request_id) {
            self.displaceable.remove(&held.order());
        }
    }

    /// Requests held now.
    pub fn in_flight(&self) -> usize {
        self.held.len()
    }

    /// Requests held now, by class.
    pub fn in_flight_by_class(&self) -> IndexMap<ClassName, u32> {
        let mut by_class = IndexMap::new();
        for held in self.held.values() {
            *by_class.entry(held.class.clone()).or_insert(0) += 1;
        }
        by_class
    }

    /// Places that requests of this priority may use.
    fn places(&self, priority: Priority) -> usize {
        let all = self.in_flight_max as usize;
        let higher = self.priorities.iter().filter(|seen| **seen > priority);
        let kept = higher.count().min(Self::KEPT_PRIORITIES_MAX) * (all / Self::KEPT_DIVISOR);
        all - kept
    }

    fn displace_below(&mut self, priority: Priority) -> Option<RequestId> {
        let lowest = self.displaceable.first_entry()?;
        if lowest.key().0 >= priority {
            return None;
        }
        let displaced = lowest.remove();
        self.held.swap_remove(&displaced);
        Some(displaced)
    }

    fn hold(&mut self, request_id: RequestId, class: ClassName, priority: Priority) {
        self.next_sequence += 1;
        let held = Held {
            class,
            priority,
            sequence: self.next_sequence,
        };
        self.displaceable.insert(held.order(), request_id.clone());
        self.held.insert(request_id, held);
    }
}

impl Held {
    fn order(&self) -> (Priority, Reverse<u64>) {
        (self.priority, Reverse(self.sequence))
    }
}
