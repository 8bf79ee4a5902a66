//! Order of a prompt's home instances. All entries compute the same order
//! without communication.
//!
//! Rendezvous hashing: each instance gets a score for the prompt, and the
//! scores in descending order give the order of homes. An instance that joins
//! moves only the prompts that it takes over, and one that leaves only those
//! that it served.

use rapidhash::v3::rapidhash_v3;
use types::InstanceId;

use super::Part;

/// Returns a hash of shared parts, 0 if there are none.
pub(super) fn prefix_hash(shared: &[Part]) -> u64 {
    if shared.is_empty() {
        return 0;
    }
    let ids: Vec<u8> = shared
        .iter()
        .flat_map(|part| part.id.to_le_bytes())
        .collect();
    rapidhash_v3(&ids)
}

/// Returns the position of each instance in the order of homes, 0 for the
/// first. Instances of the prompt's own lane come before the others. Without
/// shared parts, all instances have position 0.
pub(super) fn home_ranks<'a>(
    instances: impl Iterator<Item = (&'a InstanceId, bool)>,
    shared: &[Part],
) -> Vec<usize> {
    if shared.is_empty() {
        return instances.map(|_| 0).collect();
    }
    let prefix_hash = prefix_hash(shared).to_le_bytes();
    let scores: Vec<(bool, u64)> = instances
        .map(|(instance, is_own_lane)| {
            let score = rapidhash_v3(&[&prefix_hash, instance.as_str().as_bytes()].concat());
            (is_own_lane, score)
        })
        .collect();
    let mut sorted = scores.clone();
    sorted.sort_unstable();
    scores
        .iter()
        .map(|score| sorted.len() - sorted.partition_point(|other| other <= score))
        .collect()
}
