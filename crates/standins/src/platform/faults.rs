//! Faults that can be injected into the simulated platform.

use serde::{Deserialize, Serialize};

/// Value of [`Faults::only_kind`] that selects the instance list.
pub(crate) const INSTANCES_KIND: &str = "instances";

/// Active faults; none by default.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Refuses every call with status 503.
    pub down: bool,
    /// Delay added to every call, in milliseconds.
    pub slow_ms: u64,
    /// Applies writes but closes the connection without a response.
    pub lose_answers: bool,
    /// Withholds pending changes of the instance list.
    pub instances_frozen: bool,
    /// Limits `down`, `slow_ms` and `lose_answers` to one kind of object;
    /// `instances` selects the instance list.
    pub only_kind: Option<String>,
}

impl Faults {
    /// Returns whether the faults apply to calls for `kind`.
    pub(crate) fn applies_to(&self, kind: &str) -> bool {
        self.only_kind.as_deref().is_none_or(|only| only == kind)
    }

    /// Returns whether calls for `kind` are refused with status 503.
    pub(crate) fn refuses(&self, kind: &str) -> bool {
        self.down && self.applies_to(kind)
    }
}
