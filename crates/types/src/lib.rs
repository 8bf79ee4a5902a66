//! Names, verdicts and error codes that every limpetgw crate shares.
//!
//! This crate is pure data: it performs no I/O, reads no clock and holds no
//! state, so that the decision crates built on it stay testable with plain
//! values.

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

/// Number of a configuration in force.
///
/// # Invariants
///
/// Within one process the generation in force only rises.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Generation(pub u64);
