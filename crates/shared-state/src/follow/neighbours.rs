//! Selects the peers with which a process compares generations.

use std::{
    cmp::Reverse,
    collections::hash_map::DefaultHasher,
    hash::{Hash, Hasher},
};

use types::InstanceId;

/// Maximum number of neighbours of a process, to which it keeps connections.
///
/// Each process is in turn the neighbour of about as many others, so the graph
/// of neighbours stays connected when a whole availability zone fails.
pub const NEIGHBOURS_MAX: usize = 16;

/// Returns the indices of the neighbours of `own` in `instances`.
///
/// Uses rendezvous hashing: the neighbours are the instances with the highest
/// hash of both ids, so a change of the list changes few neighbours.
pub fn neighbours<'a>(
    own: &InstanceId,
    instances: impl Iterator<Item = &'a InstanceId>,
) -> Vec<usize> {
    let mut scored: Vec<(u64, usize)> = instances
        .enumerate()
        .filter(|(_, instance)| *instance != own)
        .map(|(index, instance)| (score(own, instance), index))
        .collect();
    if scored.len() > NEIGHBOURS_MAX {
        scored.select_nth_unstable_by_key(NEIGHBOURS_MAX, |(score, _)| Reverse(*score));
        scored.truncate(NEIGHBOURS_MAX);
    }
    scored.into_iter().map(|(_, index)| index).collect()
}

fn score(own: &InstanceId, other: &InstanceId) -> u64 {
    let mut hasher = DefaultHasher::new();
    own.as_str().hash(&mut hasher);
    other.as_str().hash(&mut hasher);
    hasher.finish()
}
