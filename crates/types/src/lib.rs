//! Names, verdicts and error codes shared by the limpetgw crates.
//!
//! The crate contains only data types: it performs no I/O, reads no clock and
//! has no global state, so that decision logic built on it can be tested with
//! plain values.

mod error_code;
mod fingerprint;
mod names;
mod time;
mod verdict;

pub use error_code::{ErrorBody, ErrorCode, ErrorDetail};
pub use fingerprint::Fingerprint;
pub use names::{
    ClassName, InstanceId, ModelName, RequestId, RouteName, TeamName, UpstreamName, ZoneName,
};
pub use time::TimeMs;
pub use verdict::Verdict;

use serde::{Deserialize, Serialize};

/// Priority of a request class; a higher value is served first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Priority(pub u8);

/// Version number of a configuration.
///
/// # Invariants
///
/// Within one process the generation of the active configuration never
/// decreases.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Generation(pub u64);
