//! Eras of a store's history.
//!
//! A store that is restored from an older copy loses the writes since, and gives its
//! revisions out again. It names the era of its history in each response, which rises
//! with each restoration, so that revisions of different histories are never compared.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use event_listener::Event;
use telemetry::{emit, events::StateEvent};

use crate::CallKind;

/// Number of bits of a [`Position::sequence`] that hold the revision.
const REVISION_BITS: u32 = 40;

/// Highest era that a [`Position::sequence`] can hold.
const ERA_MAX: u32 = (1 << 23) - 1;

/// Number by which an era may rise between two responses. A process may miss some
/// restorations, but a damaged header must not hide all later ones.
const RISE_MAX: u32 = 1_024;

/// Era of a store's history. The default is that of a store that names none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Era(u32);

impl Era {
    /// Returns the era with this number, at most the highest that can be told apart.
    pub fn new(number: u32) -> Self {
        Self(number.min(ERA_MAX))
    }

    /// Returns the number of the era, 0 if the store names none.
    pub fn number(self) -> u32 {
        self.0
    }
}

/// Point in the history of a store. Positions of a later era follow all those of an
/// earlier one, whatever their revisions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Era of the history that the revision belongs to.
    pub era: Era,
    /// Revision, comparable within the era only.
    pub revision: u64,
}

impl Position {
    /// Returns the position as one number, which orders as positions do for revisions
    /// below 2^40 (a thousand per second for 34 years). It equals the revision for a
    /// store that names no era.
    pub fn sequence(self) -> u64 {
        let revision = self.revision.min((1 << REVISION_BITS) - 1);
        u64::from(self.era.0) << REVISION_BITS | revision
    }
}

/// Follows the era that the responses of one store name.
#[derive(Debug, Default)]
pub(crate) struct EraTracker {
    current: AtomicU32,
    has_warned: AtomicBool,
    risen: Event,
}

impl EraTracker {
    /// Returns the latest era that a response has named.
    pub(crate) fn current(&self) -> Era {
        Era(self.current.load(Ordering::Acquire))
    }

    /// Waits until the era is later than `era`.
    pub(crate) async fn later_than(&self, era: Era) {
        while self.current() <= era {
            let listener = self.risen.listen();
            if self.current() > era {
                return;
            }
            listener.await;
        }
    }

    /// Records the header of the response to a call that was made when `asked_in` was the
    /// latest known era; `None` if it has no such header. Returns the era that the response
    /// belongs to: an earlier one than the current if the store was restored while it was
    /// on its way, or for a call that allows stale data. An invalid value is logged once
    /// and counts as the current era.
    pub(crate) fn on_response(&self, header: Option<&str>, call: CallKind, asked_in: Era) -> Era {
        let current = self.current();
        let Some(header) = header else {
            return current;
        };
        let highest = match current.0 {
            0 => ERA_MAX,
            known => known.saturating_add(RISE_MAX).min(ERA_MAX),
        };
        match header.trim().parse::<u32>().map(Era) {
            Ok(named) if named == current => current,
            Ok(named) if named < current && (named >= asked_in || call == CallKind::Check) => named,
            Ok(named) if named > current && named.0 <= highest => self.rise(named, call),
            _ => {
                if !self.has_warned.swap(true, Ordering::Relaxed) {
                    let header: String = header.chars().take(40).collect();
                    emit(&StateEvent::StoreEraInvalid {
                        value: header,
                        era: current.0,
                    });
                }
                current
            }
        }
    }

    fn rise(&self, named: Era, call: CallKind) -> Era {
        let before = Era(self.current.fetch_max(named.0, Ordering::AcqRel));
        // The first response names the era that the process starts in.
        if before < named && before != Era::default() {
            metrics::counter!("limpetgw_platform_store_restored_total").increment(1);
            emit(&StateEvent::StoreEraRose {
                before: before.0,
                era: named.0,
                call: call.as_str().into(),
            });
        }
        metrics::gauge!("limpetgw_platform_store_era").set(f64::from(self.current().0));
        self.risen.notify(usize::MAX);
        self.current().max(named)
    }
}
