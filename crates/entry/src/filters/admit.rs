//! Admission: limits the requests that this entry holds at a time.

use std::sync::{
    atomic::{AtomicU64, Ordering},
    Arc,
};

use policy::admission::Admission;
use types::{ErrorCode, RequestId};

use crate::{
    app::{lock, App},
    failure::Failure,
    request::ResolvedClass,
};

/// Expected wait for a free slot; refused callers get a retry time jittered
/// around it.
const EXPECTED_WAIT_MS: u64 = 1_000;

/// A request's share of the in-flight limit, released when dropped.
pub(crate) struct AdmissionSlot {
    app: Arc<App>,
    id: RequestId,
}

impl AdmissionSlot {
    /// Marks the request as dispatched.
    ///
    /// # Errors
    ///
    /// `displaced` if a request of higher priority has taken the slot since the
    /// admission.
    pub(crate) fn begin_dispatch(&self) -> Result<(), Failure> {
        let mut admission = lock(&self.app.admission);
        if admission.displaced.swap_remove(&self.id) {
            return Err(Failure::not_run(
                ErrorCode::Displaced,
                "the entry is at its in-flight limit and a request of higher priority displaced this one; send it again after the time in `retry-after`",
            )
            .retry_after(EXPECTED_WAIT_MS));
        }
        admission.limiter.on_dispatched(&self.id);
        Ok(())
    }
}

impl Drop for AdmissionSlot {
    fn drop(&mut self) {
        let mut admission = lock(&self.app.admission);
        admission.limiter.release(&self.id);
        admission.displaced.swap_remove(&self.id);
    }
}

/// Requests a slot. The request may displace one of lower priority that was not
/// dispatched yet.
///
/// # Errors
///
/// `queue_full` if no slot is available to this class.
pub(crate) fn admit(
    app: &Arc<App>,
    resolved_class: &ResolvedClass,
) -> Result<AdmissionSlot, Failure> {
    // Slots have ids of their own, since callers may reuse a request id.
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let id = RequestId::from(format!("place-{}", NEXT.fetch_add(1, Ordering::Relaxed)));
    let in_flight_max = app.shared.config().document.limits.entry_in_flight_max;
    let mut admission = lock(&app.admission);
    admission.resize(in_flight_max);
    match admission.limiter.admit(
        id.clone(),
        resolved_class.class.clone(),
        resolved_class.priority,
    ) {
        Admission::Admitted => {}
        Admission::AdmittedByDisplacing { displaced } => {
            admission.displaced.insert(displaced);
        }
        Admission::Refused => {
            return Err(Failure::not_run(
                ErrorCode::QueueFull,
                "the entry is at its in-flight limit for this class; send the request again after the time in `retry-after`",
            )
            .retry_after(EXPECTED_WAIT_MS));
        }
    }
    drop(admission);
    Ok(AdmissionSlot {
        app: app.clone(),
        id,
    })
}
