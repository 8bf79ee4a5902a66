//! Announcements of instances take precedence over the list, and older lists
//! are ignored.

use proptest::prelude::*;
use shared_state::{MembershipTracker, SharedState};
use store::{Instance, InstanceState};

use crate::fixtures::{agent, list, proptest_config};

fn live(tracker: &MembershipTracker) -> Vec<String> {
    let view = tracker.view();
    view.live
        .iter()
        .map(|instance| instance.instance.to_string())
        .collect()
}

fn leaving(mut instance: Instance) -> Instance {
    instance.state = InstanceState::Leaving;
    instance
}

#[test]
fn leaving_instance_is_excluded_while_list_shows_it_live() {
    let mut tracker = MembershipTracker::default();
    tracker.on_list(list(1, vec![agent("a", "1"), agent("b", "2")]));

    assert!(tracker.on_leaving(&"a".into()));
    tracker.on_list(list(
        2,
        vec![agent("a", "1"), agent("b", "2"), agent("c", "3")],
    ));

    assert_eq!(live(&tracker), ["b", "c"]);
}

#[test]
fn replacement_with_same_id_is_live() {
    let mut tracker = MembershipTracker::default();
    tracker.on_list(list(1, vec![agent("a", "1")]));
    tracker.on_leaving(&"a".into());

    tracker.on_list(list(2, vec![agent("a", "9")]));

    assert_eq!(live(&tracker), ["a"]);
}

#[test]
fn instance_is_live_again_after_list_showed_it_leaving() {
    let mut tracker = MembershipTracker::default();
    tracker.on_list(list(1, vec![agent("a", "1")]));
    tracker.on_leaving(&"a".into());
    tracker.on_list(list(2, vec![leaving(agent("a", "1"))]));

    tracker.on_list(list(3, vec![agent("a", "1")]));

    assert_eq!(live(&tracker), ["a"]);
}

#[test]
fn instance_that_reports_accepting_work_is_live_again() {
    let mut tracker = MembershipTracker::default();
    tracker.on_list(list(1, vec![agent("a", "1")]));
    tracker.on_leaving(&"a".into());

    assert!(!tracker.on_accepting_work(&"a".into(), "another address"));
    assert!(live(&tracker).is_empty());
    assert!(tracker.on_accepting_work(&"a".into(), "1"));

    assert_eq!(live(&tracker), ["a"]);
}

#[test]
fn older_list_is_ignored_until_platform_reset_is_detected() {
    let mut tracker = MembershipTracker::default();
    tracker.on_list(list(9, vec![leaving(agent("a", "1")), agent("b", "2")]));

    for _ in 0..3 {
        assert!(!tracker.on_list(list(8, vec![agent("a", "1"), agent("b", "2")])));
    }
    assert_eq!(live(&tracker), ["b"]);
    tracker.on_list(list(1, vec![agent("c", "3")]));

    assert_eq!(live(&tracker), ["c"]);
}

#[test]
fn empty_list_is_ignored() {
    let mut tracker = MembershipTracker::default();
    tracker.on_list(list(9, vec![agent("a", "1")]));

    for version in [1, 1, 1, 1, 1, 10] {
        assert!(!tracker.on_list(list(version, Vec::new())));
    }

    assert_eq!(live(&tracker), ["a"]);
}

#[test]
fn membership_is_indexed_by_id_and_upstream() {
    let state = SharedState::fixed(
        Default::default(),
        vec![agent("a", "1"), leaving(agent("b", "2"))],
    );
    let view = state.membership();

    let upstream = "carving".into();
    let agents: Vec<_> = view
        .agents_of(&upstream)
        .map(|instance| instance.instance.as_str())
        .collect();

    assert_eq!(agents, ["a"]);
    assert!(view.find(&"b".into()).is_some());
    assert!(view.find(&"c".into()).is_none());
}

proptest! {
    #![proptest_config(proptest_config(200))]

    /// For any sequence of lists and announcements: an instance that announced
    /// that it is leaving is not live in any view until a list shows it as
    /// leaving, absent or at another address.
    #[test]
    fn tombstone_is_kept_until_list_confirms_departure(
        steps in prop::collection::vec(
            (any::<bool>(), 0_usize..4, 0_u8..4, 0_u64..3), 1..60),
    ) {
        let ids = ["a", "b", "c", "d"];
        let mut tracker = MembershipTracker::default();
        let mut listed: Vec<Option<Instance>> = ids.iter().map(|id| Some(agent(id, id))).collect();
        // One instance is always listed, because empty lists are ignored.
        let full_list = |listed: &[Option<Instance>]| -> Vec<Instance> {
            let others = listed.iter().flatten().cloned();
            others.chain([agent("own", "own")]).collect()
        };
        let mut version = 1;
        tracker.on_list(list(version, full_list(&listed)));
        let mut announced_leaving = [false; 4];

        for (is_list, index, change, skipped) in steps {
            if !is_list {
                let is_live_in_list = listed[index].as_ref()
                    .is_some_and(|instance| instance.state == InstanceState::Live);
                tracker.on_leaving(&ids[index].into());
                announced_leaving[index] |= is_live_in_list;
            } else {
                listed[index] = match change {
                    0 => None,
                    1 => Some(leaving(agent(ids[index], ids[index]))),
                    2 => Some(agent(ids[index], &format!("new-{version}"))),
                    _ => listed[index].clone(),
                };
                announced_leaving[index] &= change == 3 && listed[index].is_some();
                version += 1 + skipped;
                tracker.on_list(list(version, full_list(&listed)));
            }
            let live = live(&tracker);
            for (index, id) in ids.iter().enumerate() {
                let is_live_in_list = listed[index].as_ref()
                    .is_some_and(|instance| instance.state == InstanceState::Live);
                let expected = is_live_in_list && !announced_leaving[index];
                prop_assert_eq!(live.contains(&id.to_string()), expected, "{}", id);
            }
        }
    }
}
