//! Evidence about parts that crash instances: who is quarantined, who is cleared,
//! and what exchanged evidence leads to.
#![allow(missing_docs)]

use policy::crash_evidence::{CrashLog, EndEvidence, InstanceEnd, Screening, Suspect};
use proptest::prelude::*;
use rstest::rstest;
use types::{Fingerprint, TimeMs};

fn end(number: u64) -> InstanceEnd {
    InstanceEnd {
        instance: format!("i-{number}").into(),
        incarnation: number,
    }
}

fn part(position: usize, id: u64) -> Suspect {
    Suspect::part(position, id)
}

fn content(number: u64) -> Suspect {
    Suspect::content(&Fingerprint::of("target", &number.to_le_bytes()))
}

fn quarantined(log: &CrashLog) -> Vec<Suspect> {
    log.quarantined().map(|(suspect, _)| *suspect).collect()
}

fn observed(end: InstanceEnd, at_ms: u64, suspects: &[Suspect]) -> EndEvidence {
    EndEvidence {
        end,
        at_unix_ms: 1_775_000_000_000 + at_ms,
        suspects: suspects.to_vec(),
        cleared: Vec::new(),
    }
}

fn see_end(log: &mut CrashLog, at_ms: u64, number: u64, suspects: &[Suspect]) {
    log.on_end(TimeMs(at_ms), &observed(end(number), at_ms, suspects));
}

/// Log of a process that saw instances `ends` end, each with one request of
/// `suspects` waiting.
fn log_with_ends(ends: std::ops::Range<u64>, suspects: &[Suspect]) -> CrashLog {
    let mut log = CrashLog::new();
    for number in ends {
        see_end(&mut log, number * 100, number, suspects);
    }
    log
}

#[rstest]
#[case::two_ends(2, false)]
#[case::three_ends(3, true)]
fn part_is_quarantined_after_three_ends(#[case] ends: u64, #[case] expected: bool) {
    let mut log = log_with_ends(0..ends, &[part(0, 7)]);

    let screening = log.screen(TimeMs(1_000), &[part(0, 7), content(1)]);

    assert_eq!(matches!(screening, Screening::Refused(_)), expected);
    assert_eq!(
        log.screen(TimeMs(1_000), &[part(0, 8)]),
        Screening::Pass,
        "other parts"
    );
}

#[test]
fn instance_that_ends_again_and_again_discredits_no_part() {
    let mut log = CrashLog::new();
    for incarnation in 0..6 {
        let end = InstanceEnd {
            instance: "i-1".into(),
            incarnation,
        };
        let at_ms = incarnation * 1_000;
        log.on_end(TimeMs(at_ms), &observed(end, at_ms, &[part(0, 7)]));
    }

    assert!(quarantined(&log).is_empty());
}

#[test]
fn sound_parts_of_requests_that_crash_instances_are_not_quarantined() {
    let (first, crashing) = (part(0, 1), part(1, 2));
    let log = log_with_ends(0..6, &[first, crashing]);

    assert_eq!(quarantined(&log), [crashing]);
}

/// The crashing part comes first in prompts, and its first three crashes were
/// with the same popular second part.
#[test]
fn crashing_first_part_is_found_beside_a_popular_second_part() {
    let (crashing, popular) = (part(0, 1), part(1, 2));
    let mut log = log_with_ends(0..3, &[crashing, popular]);
    assert_eq!(quarantined(&log), [popular]);

    for number in 3..6 {
        see_end(&mut log, number * 400, number, &[crashing, part(1, number)]);
    }

    assert_eq!(quarantined(&log), [crashing]);
}

/// Three crashing second parts have too few ends each to be found, but the sound
/// first part that they share has enough. It is cleared as soon as a request with
/// it is answered, which takes some time.
#[test]
fn common_part_is_not_quarantined_within_a_second() {
    let mut log = CrashLog::new();
    for number in 0..6 {
        let suspects = [part(0, 1), part(1, number % 3)];
        see_end(&mut log, number * 100, number, &suspects);
    }
    assert!(quarantined(&log).is_empty());

    see_end(&mut log, 1_100, 9, &[part(0, 1), part(1, 9)]);

    assert_eq!(quarantined(&log), [part(0, 1)]);
}

#[test]
fn sound_request_that_waited_beside_three_crashes_is_released_by_the_explanation() {
    let (crashing, bystander) = (part(1, 2), part(1, 3));
    let mut log = log_with_ends(0..3, &[bystander]);
    assert_eq!(quarantined(&log), [bystander]);

    for number in 0..4 {
        see_end(&mut log, 500, number, &[crashing]);
    }

    assert_eq!(quarantined(&log), [crashing]);
}

#[test]
fn several_crashing_parts_are_all_found() {
    let (one, other) = (part(1, 2), part(1, 3));
    let mut log = log_with_ends(0..5, &[part(0, 1), one]);
    for number in 3..9 {
        see_end(&mut log, 900, number, &[part(0, 1), other]);
    }

    let mut found = quarantined(&log);
    found.sort();

    assert_eq!(found, [one, other]);
}

#[test]
fn first_event_clears_a_part_of_the_ends_before_it() {
    let mut log = log_with_ends(0..3, &[part(0, 7)]);

    let should_publish = log.on_first_event(TimeMs(1_000), &[part(0, 7), content(1)]);

    assert!(should_publish);
    assert!(log.is_clean());
    // Two further ends do not suffice together with those that were cleared.
    see_end(&mut log, 2_000, 10, &[part(0, 7)]);
    see_end(&mut log, 2_100, 11, &[part(0, 7)]);
    assert!(quarantined(&log).is_empty());
}

/// An event may have been under way when the instance ended.
#[test]
fn event_that_arrives_right_after_an_end_clears_nothing() {
    let mut log = log_with_ends(0..3, &[part(0, 7)]);

    log.on_first_event(TimeMs(200), &[part(0, 7)]);

    assert_eq!(quarantined(&log), [part(0, 7)]);
}

#[test]
fn cleared_part_is_cleared_at_processes_that_saw_no_answer() {
    let mut seen = log_with_ends(0..3, &[part(0, 7)]);
    let mut other = CrashLog::new();
    other.merge(TimeMs(500), &seen.own_evidence());
    assert_eq!(quarantined(&other), [part(0, 7)]);

    seen.on_first_event(TimeMs(1_000), &[part(0, 7)]);
    other.merge(TimeMs(1_000), &seen.own_evidence());

    assert!(other.is_clean());
}

#[test]
fn ends_seen_by_different_processes_add_up_and_count_once() {
    let mut logs = [CrashLog::new(), CrashLog::new(), CrashLog::new()];
    for (number, log) in logs.iter_mut().enumerate() {
        see_end(log, 0, number as u64, &[part(0, 7)]);
        see_end(log, 0, 9, &[part(0, 8)]);
    }
    let evidence: Vec<Vec<EndEvidence>> = logs.iter().map(CrashLog::own_evidence).collect();

    let mut reader = CrashLog::new();
    for rows in &evidence {
        reader.merge(TimeMs(100), rows);
    }

    assert_eq!(quarantined(&reader), [part(0, 7)]);
}

/// A process that starts again keeps publishing what it saw before.
#[test]
fn evidence_survives_the_process_that_saw_it() {
    let published = log_with_ends(0..5, &[part(0, 7)]).own_evidence();

    let mut restarted = CrashLog::new();
    restarted.adopt(TimeMs(0), &published);

    assert_eq!(quarantined(&restarted), [part(0, 7)]);
    assert_eq!(restarted.own_evidence().len(), published.len());
}

/// Evidence for a quarantine is not displaced by crashes that have nothing to do
/// with it.
#[test]
fn quarantine_outlives_many_other_ends() {
    let mut log = log_with_ends(0..5, &[part(0, 7)]);

    for number in 100..1_000 {
        see_end(&mut log, number, number, &[content(number)]);
    }

    assert_eq!(quarantined(&log), [part(0, 7)]);
    let mut reader = CrashLog::new();
    reader.merge(TimeMs(1_000), &log.own_evidence());
    assert_eq!(quarantined(&reader), [part(0, 7)]);
}

#[rstest]
#[case::uncertain(3, CrashLog::TRIAL_DELAY_MS)]
#[case::certain(5, CrashLog::QUARANTINE_MS)]
fn trial_is_offered_once_after_its_delay(#[case] ends: u64, #[case] delay_ms: u64) {
    let mut log = log_with_ends(0..ends, &[part(0, 7)]);
    let last_end = TimeMs((ends - 1) * 100);
    let mut screen_at = |now| log.screen(now, &[part(0, 7)]);

    let early = screen_at(last_end + (delay_ms - 1));
    let first = screen_at(last_end + delay_ms);
    let second = screen_at(last_end + delay_ms);

    assert!(matches!(early, Screening::Refused(_)));
    assert!(matches!(first, Screening::RefusedUnlessClaimed(..)));
    assert!(matches!(second, Screening::Refused(_)));
}

#[test]
fn processes_with_the_same_evidence_compete_for_the_same_trial() {
    let mut one = log_with_ends(0..5, &[part(0, 7)]);
    let mut other = CrashLog::new();
    let mut evidence = one.own_evidence();
    evidence.reverse();
    other.merge(TimeMs(700), &evidence);
    let later = TimeMs(700) + CrashLog::QUARANTINE_MS;

    let trials = [&mut one, &mut other].map(|log| log.screen(later, &[part(0, 7)]));

    match &trials {
        [Screening::RefusedUnlessClaimed(_, first), Screening::RefusedUnlessClaimed(_, second)] => {
            assert_eq!(first, second);
        }
        trials => panic!("{trials:?}"),
    }
}

#[test]
fn evidence_is_forgotten_after_its_time() {
    let mut log = log_with_ends(0..5, &[part(0, 7)]);

    assert!(log.expire(TimeMs(400) + CrashLog::EVIDENCE_TTL_MS));

    assert!(log.is_clean() && log.own_evidence().is_empty());
}

fn arbitrary_evidence() -> impl Strategy<Value = Vec<EndEvidence>> {
    let suspects = || prop::collection::vec((0_usize..3, 0_u64..6), 0..5);
    let row = (0_u64..8, suspects(), suspects()).prop_map(|(number, suspects, cleared)| {
        let parts = |ids: Vec<(usize, u64)>| ids.into_iter().map(|(at, id)| part(at, id)).collect();
        EndEvidence {
            end: end(number),
            at_unix_ms: number,
            suspects: parts(suspects),
            cleared: parts(cleared),
        }
    });
    prop::collection::vec(row, 0..12)
}

proptest! {
    #[test]
    fn merging_depends_neither_on_order_nor_on_repetition(
        evidence in arbitrary_evidence(),
        rotation in 0_usize..12,
    ) {
        let mut ordered = CrashLog::new();
        ordered.merge(TimeMs(5), &evidence);
        let mut shuffled = CrashLog::new();
        let start = rotation.min(evidence.len());
        for row in evidence[start..].iter().chain(&evidence).rev() {
            shuffled.merge(TimeMs(5), std::slice::from_ref(row));
        }

        let (mut one, mut other) = (quarantined(&ordered), quarantined(&shuffled));
        one.sort();
        other.sort();
        prop_assert_eq!(one, other);
    }

    #[test]
    fn published_evidence_decodes_to_itself(evidence in arbitrary_evidence()) {
        let text = serde_json::to_string(&evidence).expect("serialize");

        let decoded: Vec<EndEvidence> = serde_json::from_str(&text).expect("decode");

        prop_assert_eq!(decoded, evidence);
    }

    #[test]
    fn hostile_evidence_is_rejected_or_harmless(text in "[\\[\\]{}\":,0-9a-z-]{0,80}") {
        let Ok(evidence) = serde_json::from_str::<Vec<EndEvidence>>(&text) else {
            return Ok(());
        };
        let mut log = CrashLog::new();
        log.merge(TimeMs(0), &evidence);
        prop_assert!(quarantined(&log).is_empty());
    }
}
