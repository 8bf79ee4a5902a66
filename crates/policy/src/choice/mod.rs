//! The entry's choice among the instances of an upstream.
//!
//! A [`Pool`] is immutable and replaced as a whole when membership changes
//! (read-copy-update); the statistics of a candidate are atomics that survive
//! the replacement, so that choosing takes no lock.

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

/// The rule that chooses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Power of d choices on an aged load, raised by own sends and corrected
    /// by own observation, with bounded prefix affinity.
    #[default]
    Aged,
    /// Each in turn: a baseline.
    RoundRobin,
    /// Lowest last report, in turn among equals: a baseline.
    LeastUsed,
}

/// One instance as the membership view knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// What decided a choice, for the log and for replay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChoiceInputs {
    /// Candidates compared, with the score of each; the lowest wins.
    pub scores: Vec<(InstanceId, f64)>,
    /// Whether prefix affinity decided.
    pub by_affinity: bool,
}

/// A choice. It counts as load only once [`Candidate::on_sent`] is called.
#[derive(Debug)]
pub struct Choice {
    /// The chosen instance.
    pub candidate: Arc<Candidate>,
    /// Why.
    pub inputs: ChoiceInputs,
}

/// What a choice is made for.
#[derive(Clone, Debug, Default)]
pub struct ChoiceCriteria<'a> {
    /// Hash of the prompt's prefix for cache affinity; 0 for none.
    pub prefix_hash: u64,
    /// Instances already tried for this request.
    pub exclude: &'a [InstanceId],
    /// Expected tokens of the request.
    pub expected_tokens: u32,
}
