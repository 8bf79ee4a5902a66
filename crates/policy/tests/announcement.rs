//! Tests of what instances announce in their responses.
#![allow(missing_docs)]

use policy::announcement::{Announcements, Availability};
use rstest::rstest;
use types::{InstanceId, TimeMs};

const OPEN: Availability = Availability::Open;
const LAST_RESORT: Availability = Availability::LastResort;
const LEFT: Availability = Availability::Closed { until: None };

fn instance() -> InstanceId {
    "i-1".into()
}

fn availability(announcements: &Announcements, at_ms: u64, incarnation: u64) -> Availability {
    announcements.availability(TimeMs(at_ms), &instance(), incarnation)
}

fn paused_until(at_ms: u64) -> Availability {
    Availability::Closed {
        until: Some(TimeMs(at_ms)),
    }
}

#[rstest]
#[case::at_once(1_000, 7, LAST_RESORT)]
#[case::within_grace(2_399, 7, LAST_RESORT)]
#[case::after_grace(2_400, 7, LEFT)]
#[case::for_good(3_600_000, 7, LEFT)]
#[case::after_restart(2_400, 8, OPEN)]
fn instance_that_leaves_is_used_for_its_grace_only(
    #[case] at_ms: u64,
    #[case] incarnation: u64,
    #[case] expected: Availability,
) {
    let mut announcements = Announcements::default();

    let is_new = announcements.on_leaving(TimeMs(1_000), (&instance(), 7), 1_400);

    assert!(is_new);
    assert_eq!(availability(&announcements, at_ms, incarnation), expected);
}

/// Every response of an instance that leaves says so; the first one counts.
#[test]
fn repeated_announcement_does_not_extend_the_grace() {
    let mut announcements = Announcements::default();
    announcements.on_leaving(TimeMs(1_000), (&instance(), 7), 1_400);

    let is_new = announcements.on_leaving(TimeMs(2_000), (&instance(), 7), 1_400);

    assert!(!is_new);
    assert_eq!(availability(&announcements, 2_400, 7), LEFT);
}

/// A late response of an earlier start says nothing about the current one.
#[test]
fn announcement_of_earlier_start_is_ignored() {
    let mut announcements = Announcements::default();
    announcements.on_pause(TimeMs(0), (&instance(), 8), 0);

    let is_new = announcements.on_leaving(TimeMs(1_000), (&instance(), 7), 0);

    assert!(!is_new);
    assert_eq!(availability(&announcements, 5_000, 8), OPEN);
}

#[rstest]
#[case::during_pause(3_999, 7, paused_until(4_000))]
#[case::after_pause(4_000, 7, OPEN)]
#[case::restarted_instance(1_500, 8, OPEN)]
fn instance_that_wants_a_pause_gets_nothing_until_its_end(
    #[case] at_ms: u64,
    #[case] incarnation: u64,
    #[case] expected: Availability,
) {
    let mut announcements = Announcements::default();

    announcements.on_pause(TimeMs(1_000), (&instance(), 7), 3_000);

    assert_eq!(availability(&announcements, at_ms, incarnation), expected);
}

#[rstest]
#[case::shorter(500, 4_000)]
#[case::longer(9_000, 11_000)]
#[case::huge(u64::MAX, 2_000 + Announcements::PAUSE_MAX_MS)]
fn second_pause_can_only_extend_the_first(#[case] pause_ms: u64, #[case] until_ms: u64) {
    let mut announcements = Announcements::default();
    announcements.on_pause(TimeMs(1_000), (&instance(), 7), 3_000);

    let is_new = announcements.on_pause(TimeMs(2_000), (&instance(), 7), pause_ms);

    assert!(!is_new);
    let expected = paused_until(until_ms);
    assert_eq!(availability(&announcements, 2_001, 7), expected);
}

/// An instance that leaves and wants a pause is not used as a last resort meanwhile.
#[test]
fn pause_of_instance_that_leaves_holds() {
    let mut announcements = Announcements::default();
    announcements.on_leaving(TimeMs(0), (&instance(), 7), 1_400);
    announcements.on_pause(TimeMs(0), (&instance(), 7), 1_000);

    let during = availability(&announcements, 999, 7);
    let after = availability(&announcements, 1_000, 7);
    let left = availability(&announcements, 1_400, 7);

    assert_eq!(
        (during, after, left),
        (paused_until(1_000), LAST_RESORT, LEFT)
    );
}

#[test]
fn number_of_kept_instances_is_bounded() {
    let mut announcements = Announcements::default();

    for number in 0..Announcements::INSTANCES_MAX + 10 {
        let instance = InstanceId::from(format!("i-{number}"));
        announcements.on_leaving(TimeMs(0), (&instance, 1), 0);
    }

    let kept = announcements.instances().count();
    assert_eq!(kept, Announcements::INSTANCES_MAX);
}
