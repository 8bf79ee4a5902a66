//! Tests of the look-up tables.

use crate::common::{document_with_teams, proptest_config};
use config::Snapshot;
use proptest::prelude::*;
use types::{Generation, TeamName};

proptest! {
    #![proptest_config(proptest_config(32))]

    /// Each key resolves to its own team, and unknown keys resolve to none.
    #[test]
    fn keys_resolve_only_to_their_own_team(
        teams in prop::collection::hash_set("[a-z]{1,8}", 1..60),
        unknown_key in "[A-Z]{0,12}",
    ) {
        let teams: Vec<String> = teams.into_iter().collect();
        let snapshot = Snapshot::new(Generation(1), document_with_teams(&teams, &[500]));

        for team in &teams {
            let found = snapshot.team_of_key(team);
            prop_assert_eq!(found, Some(&TeamName::from(team.as_str())));
        }
        prop_assert_eq!(snapshot.team_of_key(&unknown_key), None);
    }
}
