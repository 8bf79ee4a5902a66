//! Which peers a process compares generations with.

use std::{
    cmp::Reverse,
    collections::hash_map::DefaultHasher,
    hash::{Hash, Hasher},
};

use types::InstanceId;

/// Peers that a process keeps connections to.
///
/// Each process also is the neighbour of about as many others, so that the
/// fleet stays connected when a whole availability zone is gone.
pub const NEIGHBOURS_MAX: usize = 16;

/// Positions of the neighbours of `own` among `instances`: those with the
/// highest hash together with `own`. A change of the list moves few of them.
pub fn neighbours<'a>(
    own: &InstanceId,
    instances: impl Iterator<Item = &'a InstanceId>,
) -> Vec<usize> {
    let mut weighed: Vec<(u64, usize)> = instances
        .enumerate()
        .filter(|(_, instance)| *instance != own)
        .map(|(index, instance)| (weight(own, instance), index))
        .collect();
    if weighed.len() > NEIGHBOURS_MAX {
        weighed.select_nth_unstable_by_key(NEIGHBOURS_MAX, |(weight, _)| Reverse(*weight));
        weighed.truncate(NEIGHBOURS_MAX);
    }
    weighed.into_iter().map(|(_, index)| index).collect()
}

fn weight(own: &InstanceId, other: &InstanceId) -> u64 {
    let mut hasher = DefaultHasher::new();
    own.as_str().hash(&mut hasher);
    other.as_str().hash(&mut hasher);
    hasher.finish()
}
