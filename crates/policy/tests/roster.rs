//! Which instances may be used, from a list that lags and forgets.
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

fn usable(roster: &Roster) -> usize {
    roster.usable().values().map(Vec::len).sum()
}

/// The platform was away and all entries lapsed: nobody is refused meanwhile.
#[test]
fn a_list_that_lapsed_as_a_whole_is_used_until_its_entries_are_due_back() {
    let mut roster = roster(6);
    roster.on_listing(TimeMs(1_000), Vec::new());

    roster.expire(TimeMs(1_000 + Roster::MISSING_GRACE_MS - 1));
    assert_eq!(usable(&roster), 6);
    roster.expire(TimeMs(1_000 + Roster::MISSING_GRACE_MS));
    assert_eq!(usable(&roster), 0);
}

/// While entries come back one by one, those still missing are used until
/// most are there.
#[test]
fn entries_come_back_one_by_one() {
    let mut roster = roster(6);
    roster.on_listing(TimeMs(1_000), Vec::new());

    roster.on_entry(member(0));
    assert_eq!(usable(&roster), 6);
    roster.on_entry(member(1));
    roster.on_entry(member(2));

    assert_eq!(usable(&roster), 3);
}

/// An instance that vanishes alone has crashed or left.
#[test]
fn an_entry_that_vanishes_alone_is_not_used() {
    let mut roster = roster(6);

    roster.on_removed(TimeMs(10), &"i-3".into());

    assert_eq!(usable(&roster), 5);
}

#[rstest]
#[case::same_start_older_report(1, 1, false)]
#[case::same_start_newer_report(1, 9, false)]
#[case::older_start(0, 9, false)]
#[case::newer_start(2, 0, true)]
fn only_a_new_start_brings_back_what_said_it_leaves(
    #[case] incarnation: u64,
    #[case] sequence: u64,
    #[case] comes_back: bool,
) {
    let mut roster = roster(1);
    let mut leaving = member(0);
    leaving.leaving = true;
    leaving.sequence = 5;
    roster.on_entry(leaving);
    assert_eq!(usable(&roster), 0);

    let mut later = member(0);
    later.incarnation = incarnation;
    later.sequence = sequence;
    roster.on_entry(later);

    assert_eq!(usable(&roster) == 1, comes_back);
}

/// The revision tells when a view has to be made anew; a mere heartbeat does
/// not.
#[test]
fn the_revision_rises_with_what_is_usable_only() {
    let mut roster = roster(2);
    let before = roster.revision();
    let mut heartbeat = member(0);
    heartbeat.sequence = 2;

    roster.on_entry(heartbeat);
    assert_eq!(roster.revision(), before);
    roster.on_removed(TimeMs(5), &"i-1".into());
    assert!(roster.revision() > before);
}

/// Zones away and back: an upstream of one instance.
#[test]
fn a_single_instance_that_lapsed_is_used_for_a_while() {
    let mut roster = roster(1);

    roster.on_removed(TimeMs(10), &"i-0".into());
    assert_eq!(usable(&roster), 1);
    assert_eq!(
        roster.expire(TimeMs(20)),
        Some(Roster::MISSING_GRACE_MS - 10)
    );
    roster.expire(TimeMs(10 + Roster::MISSING_GRACE_MS));

    assert_eq!(usable(&roster), 0);
}
