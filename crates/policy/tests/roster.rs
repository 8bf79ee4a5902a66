//! Tests of the roster with a delayed or incomplete list of instances.
#![allow(missing_docs)]

use policy::roster::{Member, Removal, Roster};
use rstest::rstest;
use types::{InstanceId, TimeMs};

fn member(number: u32) -> Member {
    Member {
        instance: InstanceId::from(format!("i-{number}")),
        incarnation: 1,
        sequence: 1,
        upstream: "plans".into(),
        addr: format!("10.0.0.{number}:80").into(),
        zone: "a".into(),
        slots: 8,
        leaving: false,
    }
}

fn roster(members: u32) -> Roster {
    let mut roster = Roster::default();
    roster.on_listing(
        TimeMs(0),
        (0..members).map(member).collect(),
        Removal::Lapsed,
    );
    roster
}

fn usable_count(roster: &Roster) -> usize {
    roster.usable().values().map(Vec::len).sum()
}

/// All entries expire while the platform is unavailable. Instances stay usable
/// for the grace period, so that requests are not refused.
#[test]
fn instances_stay_usable_for_grace_period_when_all_entries_expire() {
    let mut roster = roster(6);
    roster.on_listing(TimeMs(1_000), Vec::new(), Removal::Lapsed);

    roster.expire(TimeMs(1_000 + Roster::MISSING_GRACE_MS - 1));
    assert_eq!(usable_count(&roster), 6);
    roster.expire(TimeMs(1_000 + Roster::MISSING_GRACE_MS));
    assert_eq!(usable_count(&roster), 0);
}

/// Entries return one by one after an outage. Missing instances stay usable
/// while they are the majority.
#[test]
fn missing_instances_stay_usable_until_most_entries_return() {
    let mut roster = roster(6);
    roster.on_listing(TimeMs(1_000), Vec::new(), Removal::Lapsed);

    roster.on_entry(member(0));
    assert_eq!(usable_count(&roster), 6);
    roster.on_entry(member(1));
    roster.on_entry(member(2));

    assert_eq!(usable_count(&roster), 3);
}

/// If only one entry disappears, its instance has crashed or left.
#[test]
fn single_missing_instance_is_not_usable() {
    let mut roster = roster(6);

    roster.on_removed(TimeMs(10), &"i-3".into(), Removal::Lapsed);

    assert_eq!(usable_count(&roster), 5);
}

#[rstest]
#[case::same_incarnation_older_report(1, 1, false)]
#[case::same_incarnation_newer_report(1, 9, false)]
#[case::older_incarnation(0, 9, false)]
#[case::newer_incarnation(2, 0, true)]
fn leaving_instance_is_usable_again_only_after_restart(
    #[case] incarnation: u64,
    #[case] sequence: u64,
    #[case] expected_usable: bool,
) {
    let mut roster = roster(1);
    let mut leaving = member(0);
    leaving.leaving = true;
    leaving.sequence = 5;
    roster.on_entry(leaving);
    assert_eq!(usable_count(&roster), 0);

    let mut later = member(0);
    later.incarnation = incarnation;
    later.sequence = sequence;
    roster.on_entry(later);

    assert_eq!(usable_count(&roster) == 1, expected_usable);
}

/// Views are rebuilt when the revision changes, so a report without other
/// changes must not change it.
#[test]
fn revision_changes_only_with_usable_instances() {
    let mut roster = roster(2);
    let before = roster.revision();
    let mut heartbeat = member(0);
    heartbeat.sequence = 2;

    roster.on_entry(heartbeat);
    assert_eq!(roster.revision(), before);
    roster.on_removed(TimeMs(5), &"i-1".into(), Removal::Lapsed);
    assert!(roster.revision() > before);
}

/// The only instance of an upstream disappears when its zone fails. It stays
/// usable for the grace period, since all entries of the upstream are missing.
#[test]
fn sole_instance_of_upstream_stays_usable_for_grace_period() {
    let mut roster = roster(1);

    roster.on_removed(TimeMs(10), &"i-0".into(), Removal::Lapsed);
    assert_eq!(usable_count(&roster), 1);
    assert_eq!(
        roster.expire(TimeMs(20)),
        Some(Roster::MISSING_GRACE_MS - 10)
    );
    roster.expire(TimeMs(10 + Roster::MISSING_GRACE_MS));

    assert_eq!(usable_count(&roster), 0);
}

/// Guards against DRAIN in the users' review (case 3): where most entries of an
/// upstream were removed by a working platform, the instances were used for 2.5 s
/// more, as after an outage.
#[rstest]
#[case::most(4)]
#[case::all(6)]
fn instances_removed_by_working_platform_are_used_for_their_drain_time_only(#[case] removed: u32) {
    const GRACE_MS: u64 = 1_400;
    let removal = Removal::Acknowledged { grace_ms: GRACE_MS };
    let mut roster = roster(6);

    for number in 0..removed {
        roster.on_removed(TimeMs(100), &format!("i-{number}").into(), removal);
    }
    roster.expire(TimeMs(100 + GRACE_MS - 1));
    let during_grace = usable_count(&roster);
    roster.expire(TimeMs(100 + GRACE_MS));

    assert_eq!(during_grace, 6);
    assert_eq!(usable_count(&roster), 6 - removed as usize);
}

/// How often and why the entries of an upstream go missing.
#[rstest]
#[case::removed_during_outage(&[Removal::Lapsed], Roster::MISSING_GRACE_MS)]
#[case::removed_at_an_unknown_time(&[Removal::Acknowledged { grace_ms: 0 }], 0)]
#[case::lapsed_then_removed(
    &[Removal::Lapsed, Removal::Acknowledged { grace_ms: 300 }],
    300
)]
#[case::removed_then_lapsed(
    &[Removal::Acknowledged { grace_ms: 300 }, Removal::Lapsed],
    300
)]
fn missing_instance_is_used_for_the_shortest_grace(
    #[case] removals: &[Removal],
    #[case] grace_ms: u64,
) {
    let mut roster = roster(1);

    for removal in removals {
        roster.on_removed(TimeMs(10), &"i-0".into(), *removal);
    }
    let is_used_at = |roster: &mut Roster, after_ms: u64| {
        roster.expire(TimeMs(10 + after_ms));
        usable_count(roster) == 1
    };

    assert!(grace_ms == 0 || is_used_at(&mut roster, grace_ms - 1));
    assert!(!is_used_at(&mut roster, grace_ms));
}

/// An instance that returns is listed again, under the same or another address.
#[rstest]
#[case::same_address(1, "10.0.0.0:80")]
#[case::restarted_elsewhere(2, "10.0.0.99:80")]
fn removed_instance_is_usable_once_it_is_listed_again(
    #[case] incarnation: u64,
    #[case] addr: &str,
) {
    let mut roster = roster(1);
    roster.on_removed(
        TimeMs(10),
        &"i-0".into(),
        Removal::Acknowledged { grace_ms: 50 },
    );

    let mut back = member(0);
    back.incarnation = incarnation;
    back.addr = addr.into();
    roster.on_entry(back);
    roster.expire(TimeMs(10_000));

    let usable = roster.usable();
    assert_eq!(usable["plans"][0].addr.as_ref(), addr);
}

/// Guards against a list that was restored from an older copy, which names an instance
/// that has left: it must not be used before its entry would have expired.
#[rstest]
#[case::as_it_was(1, 1, false)]
#[case::older_report(1, 0, false)]
#[case::older_start(0, 9, false)]
#[case::newer_report(1, 2, true)]
#[case::newer_start(2, 0, true)]
fn departed_instance_of_a_restored_list_is_held_back(
    #[case] incarnation: u64,
    #[case] sequence: u64,
    #[case] is_used: bool,
) {
    let mut roster = roster(1);
    roster.on_removed(
        TimeMs(1_000),
        &member(0).instance,
        Removal::Acknowledged { grace_ms: 0 },
    );
    let outdated = Member {
        incarnation,
        sequence,
        ..member(0)
    };

    roster.on_restored_listing(TimeMs(5_000), vec![outdated]);
    roster.expire(TimeMs(14_999));
    assert_eq!(usable_count(&roster) == 1, is_used);
    roster.expire(TimeMs(15_000));

    // The entry of an instance that has left would have expired by then.
    assert_eq!(usable_count(&roster), 1);
}

/// A change of the entry shows that the instance runs; its removal that it does not.
#[rstest]
#[case::renewed(true, 1)]
#[case::removed(false, 0)]
fn held_back_instance_is_settled_by_the_next_change(
    #[case] is_renewed: bool,
    #[case] expected: usize,
) {
    let mut roster = roster(1);
    let acknowledged = Removal::Acknowledged { grace_ms: 0 };
    roster.on_removed(TimeMs(1_000), &member(0).instance, acknowledged);
    roster.on_restored_listing(TimeMs(5_000), vec![member(0)]);

    match is_renewed {
        true => roster.on_entry(member(0)),
        false => roster.on_removed(TimeMs(6_000), &member(0).instance, acknowledged),
    }
    roster.expire(TimeMs(60_000));

    assert_eq!(usable_count(&roster), expected);
}

/// An announcement of leaving outlives the entry: the same start is never used again.
#[test]
fn departed_instance_that_was_leaving_is_not_used_if_its_entry_is_renewed() {
    let mut roster = roster(1);
    roster.on_entry(Member {
        leaving: true,
        sequence: 2,
        ..member(0)
    });
    let acknowledged = Removal::Acknowledged { grace_ms: 0 };
    roster.on_removed(TimeMs(1_000), &member(0).instance, acknowledged);

    roster.on_restored_listing(TimeMs(5_000), vec![member(0)]);
    roster.expire(TimeMs(60_000));

    assert_eq!(usable_count(&roster), 0);
}

/// An instance that a restored list lacks may only not have registered again yet.
#[test]
fn instance_that_a_restored_list_lacks_is_used_for_the_grace_period() {
    let mut roster = roster(4);

    roster.on_restored_listing(TimeMs(1_000), (0..3).map(member).collect());

    assert_eq!(usable_count(&roster), 4);
    roster.expire(TimeMs(1_000 + Roster::MISSING_GRACE_MS));
    assert_eq!(usable_count(&roster), 3);
}
