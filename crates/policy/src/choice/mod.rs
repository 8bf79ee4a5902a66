//! Selection of an instance of an upstream by the entry.
//!
//! A [`Pool`] is immutable and replaced as a whole when membership changes
//! (read-copy-update). The statistics of a candidate are atomics that survive
//! the replacement, so choosing takes no lock.

mod aged;
mod average;
mod candidate;
mod pool;
mod subset;

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use types::{InstanceId, ZoneName};

pub use candidate::Candidate;
pub use pool::Pool;

/// Load-balancing rule of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Power of d choices: the lowest score among a few random instances. The
    /// score uses the entry's own requests and observations, and reports of
    /// other load with a weight that falls with their age. Prefix affinity
    /// decides instead while the load of its instance is near the mean.
    #[default]
    Aged,
    /// Each instance in turn; a baseline for comparison.
    RoundRobin,
    /// Lowest load in the last report, round robin among ties; a baseline for
    /// comparison.
    LeastUsed,
}

/// One instance in the membership view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneName,
}

/// Inputs of a choice, for the log and for replay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChoiceInputs {
    /// Compared candidates with their scores; the lowest score wins.
    pub scores: Vec<(InstanceId, f64)>,
    /// Whether prefix affinity decided, regardless of the scores.
    pub by_affinity: bool,
}

/// A chosen instance. It counts as load only once [`Candidate::on_sent`] is
/// called.
#[derive(Debug)]
pub struct Choice {
    /// The chosen instance with its statistics.
    pub candidate: Arc<Candidate>,
    /// Scores that led to the choice, and whether prefix affinity decided.
    pub inputs: ChoiceInputs,
}

/// Properties of a request that a choice depends on.
#[derive(Clone, Debug, Default)]
pub struct ChoiceCriteria<'a> {
    /// Hash of the prompt's prefix for cache affinity; 0 for none.
    pub prefix_hash: u64,
    /// Instances already tried for this request.
    pub exclude: &'a [InstanceId],
    /// Expected number of prompt and answer tokens.
    pub expected_tokens: u32,
}
