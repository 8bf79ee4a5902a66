//! Tests of the roster with a delayed or incomplete list of instances.
#![allow(missing_docs)]

use policy::roster::{Member, Roster};
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
    roster.on_listing(TimeMs(0), (0..members).map(member).collect());
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
    roster.on_listing(TimeMs(1_000), Vec::new());

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
    roster.on_listing(TimeMs(1_000), Vec::new());

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

    roster.on_removed(TimeMs(10), &"i-3".into());

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
    roster.on_removed(TimeMs(5), &"i-1".into());
    assert!(roster.revision() > before);
}

/// The only instance of an upstream disappears when its zone fails. It stays
/// usable for the grace period, since all entries of the upstream are missing.
#[test]
fn sole_instance_of_upstream_stays_usable_for_grace_period() {
    let mut roster = roster(1);

    roster.on_removed(TimeMs(10), &"i-0".into());
    assert_eq!(usable_count(&roster), 1);
    assert_eq!(
        roster.expire(TimeMs(20)),
        Some(Roster::MISSING_GRACE_MS - 10)
    );
    roster.expire(TimeMs(10 + Roster::MISSING_GRACE_MS));

    assert_eq!(usable_count(&roster), 0);
}
