//! Positions in the history of a store that may be restored from an older copy.

use proptest::prelude::*;
use store::{Era, Position};

fn position(era: u32, revision: u64) -> Position {
    Position {
        era: Era::new(era),
        revision,
    }
}

proptest! {
    /// Positions order by era first, and so do the numbers that stand for them, which
    /// serve as fencing tokens.
    #[test]
    fn sequences_order_as_positions_do(
        one in (0..9_000_u32, 0..1_u64 << 40),
        other in (0..9_000_u32, 0..1_u64 << 40),
    ) {
        let (one, other) = (position(one.0, one.1), position(other.0, other.1));

        prop_assert_eq!(one.cmp(&other), one.sequence().cmp(&other.sequence()));
    }

    /// Any revision of a later era follows all of an earlier one, also beyond the range
    /// that a sequence can hold.
    #[test]
    fn later_era_follows_any_revision(
        era in 0..1_000_u32,
        before in any::<u64>(),
        after in any::<u64>(),
    ) {
        let (before, after) = (position(era, before), position(era + 1, after));

        prop_assert!(before < after);
        prop_assert!(before.sequence() < after.sequence());
    }
}

#[test]
fn sequence_is_the_revision_for_a_store_without_eras() {
    assert_eq!(position(0, 488).sequence(), 488);
}
