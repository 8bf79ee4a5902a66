//! Faults of the platform.

use serde::{Deserialize, Serialize};

/// The kind under which [`Faults::only_kind`] names the instance list.
pub(crate) const INSTANCES_KIND: &str = "instances";

/// The faults in force; the default has none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Every call is refused with 503.
    pub down: bool,
    /// Time by which every call is late, in milliseconds.
    pub slow_ms: u64,
    /// Writes take effect and their connection is cut.
    pub lose_answers: bool,
    /// The instance list stops changing.
    pub instances_frozen: bool,
    /// Limits `down`, `slow_ms` and `lose_answers` to one kind of object;
    /// `instances` is the instance list.
    pub only_kind: Option<String>,
}

impl Faults {
    /// Whether the faults concern calls about `kind`.
    pub(crate) fn concern(&self, kind: &str) -> bool {
        self.only_kind.as_deref().is_none_or(|only| only == kind)
    }

    /// Whether calls about `kind` are refused.
    pub(crate) fn refuse(&self, kind: &str) -> bool {
        self.down && self.concern(kind)
    }
}
