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
    request::Classed,
};

/// Wait that a refused caller is told to expect, in milliseconds.
const EXPECTED_WAIT_MS: u64 = 1_000;

/// A place in the entry, given back when dropped.
pub(crate) struct Place {
    app: Arc<App>,
    id: RequestId,
}

impl Place {
    /// Notes that the request is about to be dispatched.
    ///
    /// # Errors
    ///
    /// `displaced` if a higher class has taken the place meanwhile.
    pub(crate) fn dispatch(&self) -> Result<(), Failure> {
        let mut places = lock(&self.app.gate);
        if places.displaced.swap_remove(&self.id) {
            return Err(Failure::not_run(
                ErrorCode::Displaced,
                "the entry is full and a request of a higher class took this one's place; try again later",
            )
            .retry_after(EXPECTED_WAIT_MS));
        }
        places.gate.on_dispatched(&self.id);
        Ok(())
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut places = lock(&self.app.gate);
        places.gate.release(&self.id);
        places.displaced.swap_remove(&self.id);
    }
}

/// Asks for a place.
///
/// # Errors
///
/// `queue_full` when there is none for this class.
pub(crate) fn admit(app: &Arc<App>, classed: &Classed) -> Result<Place, Failure> {
    // Callers may send one request id twice, so places have ids of their own.
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let id = RequestId::from(format!("place-{}", NEXT.fetch_add(1, Ordering::Relaxed)));
    let in_flight_max = app.shared.config().document.limits.entry_in_flight_max;
    let mut places = lock(&app.gate);
    places.resize(in_flight_max);
    match places
        .gate
        .admit(id.clone(), classed.class.clone(), classed.priority)
    {
        Admission::Admitted => {}
        Admission::AdmittedByDisplacing { displaced } => {
            places.displaced.insert(displaced);
        }
        Admission::Refused => {
            return Err(Failure::not_run(
                ErrorCode::QueueFull,
                "the entry is full for this class; try again after the time given",
            )
            .retry_after(EXPECTED_WAIT_MS));
        }
    }
    drop(places);
    Ok(Place {
        app: app.clone(),
        id,
    })
}
