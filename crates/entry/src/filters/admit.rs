//! Admit: the bound on requests that this entry holds.

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

/// Wait that a refused caller is told to expect, in milliseconds.
const EXPECTED_WAIT_MS: u64 = 1_000;

/// A place in the entry, given back when dropped.
pub(crate) struct AdmissionSlot {
    app: Arc<App>,
    id: RequestId,
}

impl AdmissionSlot {
    /// Notes that the request is about to be dispatched.
    ///
    /// # Errors
    ///
    /// `displaced` if a higher class has taken the place meanwhile.
    pub(crate) fn begin_dispatch(&self) -> Result<(), Failure> {
        let mut admission = lock(&self.app.admission);
        if admission.displaced.swap_remove(&self.id) {
            return Err(Failure::not_run(
                ErrorCode::Displaced,
                "the entry is full and a request of a higher class took this one's place; try again later",
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

/// Asks for a place.
///
/// # Errors
///
/// `queue_full` when there is none for this class.
pub(crate) fn admit(
    app: &Arc<App>,
    resolved_class: &ResolvedClass,
) -> Result<AdmissionSlot, Failure> {
    // Callers may send one request id twice, so places have ids of their own.
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
                "the entry is full for this class; try again after the time given",
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
