//! Look-ups of the request path.

use crate::common::{proptest_config, with_teams};
use config::Snapshot;
use proptest::prelude::*;
use types::{Generation, TeamName};

proptest! {
    #![proptest_config(proptest_config(32))]

    /// Each key finds its own team, and no other text finds any.
    #[test]
    fn keys_find_their_own_team(
        teams in prop::collection::hash_set("[a-z]{1,8}", 1..60),
        stranger in "[A-Z]{0,12}",
    ) {
        let teams: Vec<String> = teams.into_iter().collect();
        let snapshot = Snapshot::new(Generation(1), with_teams(&teams, &[500]));

        for team in &teams {
            let found = snapshot.team_of_key(team);
            prop_assert_eq!(found, Some(&TeamName::from(team.as_str())));
        }
        prop_assert_eq!(snapshot.team_of_key(&stranger), None);
    }
}
