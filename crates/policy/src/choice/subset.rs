//! Bounded subset of the instances of an upstream that one entry uses.

use rapidhash::v3::{rapidhash_v3_seeded, RapidSecrets};
use types::{InstanceId, ZoneName};

use super::Member;

/// Fraction of the subset that is reserved for the entry's own zone, as
/// numerator and denominator.
const OWN_ZONE_SHARE: (usize, usize) = (2, 3);

/// Chooses at most `subset_max` members (0: all) by rendezvous hashing: two
/// thirds from the own zone, the rest from other zones, so that losing a zone
/// leaves candidates. If one side has too few members, the other fills up the
/// subset. An entry keeps its choice when unrelated members join or leave.
pub(super) fn subset(
    members: &[Member],
    own_zone: &ZoneName,
    subset_max: usize,
    salt: u64,
) -> Vec<Member> {
    if subset_max == 0 || members.len() <= subset_max {
        return members.to_vec();
    }
    let (mut own, mut other): (Vec<_>, Vec<_>) = members
        .iter()
        .cloned()
        .partition(|member| member.zone == *own_zone);
    let by_score = |member: &Member| std::cmp::Reverse(rendezvous_score(salt, &member.instance));
    own.sort_by_cached_key(by_score);
    other.sort_by_cached_key(by_score);
    let (numerator, denominator) = OWN_ZONE_SHARE;
    let own_share = (subset_max * numerator).div_ceil(denominator);
    let own_count = own_share.max(subset_max.saturating_sub(other.len()));
    own.truncate(own_count);
    other.truncate(subset_max - own.len());
    own.append(&mut other);
    own
}

/// Returns the rendezvous score of an instance under a salt; the highest score
/// wins.
pub(super) fn rendezvous_score(salt: u64, instance: &InstanceId) -> u64 {
    const SECRETS: RapidSecrets = RapidSecrets::seed(0);
    let hash = rapidhash_v3_seeded(instance.as_str().as_bytes(), &SECRETS);
    let mut mixed = hash ^ salt.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    mixed = (mixed ^ (mixed >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    mixed ^ (mixed >> 32)
}
