//! Own evidence goes before the list, and the list never goes back.

use proptest::prelude::*;
use shared_state::{MembershipTracker, SharedState};
use store::{Instance, InstanceState};

use crate::fixtures::{agent, list, proptest_config};

fn live(tracker: &MembershipTracker) -> Vec<String> {
    let view = tracker.view();
    view.live
        .iter()
        .map(|one| one.instance.to_string())
        .collect()
}

fn leaving(mut instance: Instance) -> Instance {
    instance.state = InstanceState::Leaving;
    instance
}

#[test]
fn an_instance_that_said_leaving_gets_nothing_while_the_list_shows_it_live() {
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
fn a_replacement_under_the_same_id_takes_work() {
    let mut tracker = MembershipTracker::default();
    tracker.on_list(list(1, vec![agent("a", "1")]));
    tracker.on_leaving(&"a".into());

    tracker.on_list(list(2, vec![agent("a", "9")]));

    assert_eq!(live(&tracker), ["a"]);
}

#[test]
fn an_instance_that_the_list_agreed_on_may_come_back() {
    let mut tracker = MembershipTracker::default();
    tracker.on_list(list(1, vec![agent("a", "1")]));
    tracker.on_leaving(&"a".into());
    tracker.on_list(list(2, vec![leaving(agent("a", "1"))]));

    tracker.on_list(list(3, vec![agent("a", "1")]));

    assert_eq!(live(&tracker), ["a"]);
}

#[test]
fn an_instance_that_was_asked_and_takes_work_is_live_again() {
    let mut tracker = MembershipTracker::default();
    tracker.on_list(list(1, vec![agent("a", "1")]));
    tracker.on_leaving(&"a".into());

    assert!(!tracker.on_accepting_work(&"a".into(), "another address"));
    assert!(live(&tracker).is_empty());
    assert!(tracker.on_accepting_work(&"a".into(), "1"));

    assert_eq!(live(&tracker), ["a"]);
}

#[test]
fn an_older_list_is_ignored_but_a_list_started_anew_is_taken() {
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
fn an_empty_list_does_not_empty_the_fleet() {
    let mut tracker = MembershipTracker::default();
    tracker.on_list(list(9, vec![agent("a", "1")]));

    for version in [1, 1, 1, 1, 1, 10] {
        assert!(!tracker.on_list(list(version, Vec::new())));
    }

    assert_eq!(live(&tracker), ["a"]);
}

#[test]
fn views_find_instances_by_id_and_upstream() {
    let state = SharedState::fixed(
        Default::default(),
        vec![agent("a", "1"), leaving(agent("b", "2"))],
    );
    let view = state.membership();

    let upstream = "carving".into();
    let agents: Vec<_> = view
        .agents_of(&upstream)
        .map(|one| one.instance.as_str())
        .collect();

    assert_eq!(agents, ["a"]);
    assert!(view.find(&"b".into()).is_some());
    assert!(view.find(&"c".into()).is_none());
}

proptest! {
    #![proptest_config(proptest_config(200))]

    /// Over any lists and refusals: an instance that said that it is leaving
    /// is not live in any view until a list showed it leaving, gone or at
    /// another address.
    #[test]
    fn a_tombstone_stands_until_the_list_agrees(
        steps in prop::collection::vec(
            (any::<bool>(), 0_usize..4, 0_u8..4, 0_u64..3), 1..60),
    ) {
        let ids = ["a", "b", "c", "d"];
        let mut tracker = MembershipTracker::default();
        let mut now: Vec<Option<Instance>> = ids.iter().map(|id| Some(agent(id, id))).collect();
        // One instance stays: a list is never empty.
        let whole = |now: &[Option<Instance>]| -> Vec<Instance> {
            let others = now.iter().flatten().cloned();
            others.chain([agent("own", "own")]).collect()
        };
        let mut version = 1;
        tracker.on_list(list(version, whole(&now)));
        let mut said_leaving = [false; 4];

        for (is_list, which, change, skipped) in steps {
            if !is_list {
                let is_listed_live = now[which].as_ref()
                    .is_some_and(|one| one.state == InstanceState::Live);
                tracker.on_leaving(&ids[which].into());
                said_leaving[which] |= is_listed_live;
            } else {
                now[which] = match change {
                    0 => None,
                    1 => Some(leaving(agent(ids[which], ids[which]))),
                    2 => Some(agent(ids[which], &format!("new-{version}"))),
                    _ => now[which].clone(),
                };
                said_leaving[which] &= change == 3 && now[which].is_some();
                version += 1 + skipped;
                tracker.on_list(list(version, whole(&now)));
            }
            let live = live(&tracker);
            for (index, id) in ids.iter().enumerate() {
                let listed_live = now[index].as_ref()
                    .is_some_and(|one| one.state == InstanceState::Live);
                let expected = listed_live && !said_leaving[index];
                prop_assert_eq!(live.contains(&id.to_string()), expected, "{}", id);
            }
        }
    }
}
