//! Admission control of the entry: limits the requests in flight, by priority.

use std::{cmp::Reverse, collections::BTreeMap, collections::BTreeSet};

use indexmap::IndexMap;
use types::{ClassName, Priority, RequestId};

/// Result of [`InFlightLimiter::admit`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is admitted and nothing is displaced.
    Admitted,
    /// The request is admitted in place of `displaced`, which has not been
    /// dispatched yet. Before it proceeds, the caller must refuse `displaced`
    /// with the verdict that it did not run.
    AdmittedByDisplacing {
        /// Request of a lower priority that is no longer admitted.
        displaced: RequestId,
    },
    /// No capacity is left for this priority, or the same id is in flight
    /// already.
    Refused,
}

/// Limits the requests in flight at one entry.
///
/// # Invariants
///
/// - At most `in_flight_max` requests are in flight.
/// - A request is only displaced by one of a higher priority, and only before
///   it is dispatched.
/// - Capacity is reserved for each higher priority seen so far, so that
///   dispatched requests of a lower priority cannot fill the entry.
#[derive(Debug)]
pub struct InFlightLimiter {
    in_flight_max: u32,
    in_flight: IndexMap<RequestId, InFlight>,
    /// Requests that may be displaced, in the order of displacement: the lowest
    /// priority first, and within it the newest request first.
    displaceable: BTreeMap<(Priority, Reverse<u64>), RequestId>,
    /// Priorities of all requests seen so far.
    priorities: BTreeSet<Priority>,
    next_sequence: u64,
}

/// A request that has been admitted and not released.
#[derive(Debug)]
struct InFlight {
    class: ClassName,
    priority: Priority,
    sequence: u64,
}

impl InFlightLimiter {
    /// Divisor of the capacity that gives the part reserved for each higher
    /// priority.
    const RESERVED_DIVISOR: usize = 16;
    /// Maximum number of higher priorities for which capacity is reserved.
    const RESERVED_PRIORITIES_MAX: usize = 4;

    /// Creates a limiter that admits at most `in_flight_max` requests at a time.
    pub fn new(in_flight_max: u32) -> Self {
        Self {
            in_flight_max,
            in_flight: IndexMap::new(),
            displaceable: BTreeMap::new(),
            priorities: BTreeSet::new(),
            next_sequence: 0,
        }
    }

    /// Admits the request if capacity is left for its priority, otherwise tries
    /// to displace a request of a lower priority.
    pub fn admit(
        &mut self,
        request_id: RequestId,
        class: ClassName,
        priority: Priority,
    ) -> Admission {
        if self.in_flight.contains_key(&request_id) {
            return Admission::Refused;
        }
        self.priorities.insert(priority);
        if self.in_flight.len() < self.capacity_for(priority) {
            self.insert(request_id, class, priority);
            return Admission::Admitted;
        }
        let Some(displaced) = self.displace_below(priority) else {
            return Admission::Refused;
        };
        self.insert(request_id, class, priority);
        Admission::AdmittedByDisplacing { displaced }
    }

    /// Records that the request was dispatched, so it can no longer be displaced.
    pub fn on_dispatched(&mut self, request_id: &RequestId) {
        if let Some(in_flight) = self.in_flight.get(request_id) {
            self.displaceable.remove(&in_flight.displacement_key());
        }
    }

    /// Frees the capacity of a request that has ended; unknown ids are ignored.
    pub fn release(&mut self, request_id: &RequestId) {
        if let Some(in_flight) = self.in_flight.swap_remove(request_id) {
            self.displaceable.remove(&in_flight.displacement_key());
        }
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Number of requests in flight, by class.
    pub fn in_flight_by_class(&self) -> IndexMap<ClassName, u32> {
        let mut by_class = IndexMap::new();
        for in_flight in self.in_flight.values() {
            *by_class.entry(in_flight.class.clone()).or_insert(0) += 1;
        }
        by_class
    }

    /// Number of requests in flight below which this priority is admitted without
    /// displacing another request.
    fn capacity_for(&self, priority: Priority) -> usize {
        let total = self.in_flight_max as usize;
        let higher = self.priorities.iter().filter(|seen| **seen > priority);
        let reserved =
            higher.count().min(Self::RESERVED_PRIORITIES_MAX) * (total / Self::RESERVED_DIVISOR);
        total - reserved
    }

    fn displace_below(&mut self, priority: Priority) -> Option<RequestId> {
        let lowest = self.displaceable.first_entry()?;
        if lowest.key().0 >= priority {
            return None;
        }
        let displaced = lowest.remove();
        self.in_flight.swap_remove(&displaced);
        Some(displaced)
    }

    fn insert(&mut self, request_id: RequestId, class: ClassName, priority: Priority) {
        self.next_sequence += 1;
        let in_flight = InFlight {
            class,
            priority,
            sequence: self.next_sequence,
        };
        self.displaceable
            .insert(in_flight.displacement_key(), request_id.clone());
        self.in_flight.insert(request_id, in_flight);
    }
}

impl InFlight {
    fn displacement_key(&self) -> (Priority, Reverse<u64>) {
        (self.priority, Reverse(self.sequence))
    }
}
