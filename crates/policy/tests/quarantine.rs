//! The memory of suspected contents.
#![allow(missing_docs)]

mod support;

use policy::quarantine::{Crash, Evidence, QuarantineStatus, SuspectStore};
use proptest::prelude::*;
use rstest::rstest;
use support::proptest_config;
use types::{Fingerprint, InstanceId, TimeMs};

const NOW: TimeMs = TimeMs(5_000);

fn content(number: u8) -> Fingerprint {
    Fingerprint::of("model", &[number])
}

fn instance(number: u8) -> InstanceId {
    InstanceId::from(format!("engine-{number}"))
}

fn is_quarantined(status: QuarantineStatus) -> bool {
    matches!(status, QuarantineStatus::Quarantined { .. })
}

#[test]
fn a_content_of_a_shared_crash_is_a_suspect_and_a_whole_run_clears_it() {
    let mut memory = SuspectStore::new();
    memory.on_crash(NOW, &instance(1), 1, &[content(1), content(2)]);

    assert_eq!(memory.status(NOW, content(1)), QuarantineStatus::Suspect);
    memory.on_completed(NOW + 10, content(1));

    assert_eq!(memory.status(NOW + 10, content(1)), QuarantineStatus::Clear);
    assert_eq!(
        memory.status(NOW + 10, content(2)),
        QuarantineStatus::Suspect
    );
}

#[rstest]
#[case::alone_at_the_same_instance(1, &[1], true)]
#[case::alone_elsewhere(2, &[1], true)]
#[case::shared_elsewhere(2, &[1, 9], true)]
#[case::shared_at_an_instance_that_crashes_by_itself(1, &[1, 9], false)]
fn a_second_crash_convicts(
    #[case] second_instance: u8,
    #[case] second_batch: &[u8],
    #[case] convicted: bool,
) {
    let mut memory = SuspectStore::new();
    let second: Vec<_> = second_batch.iter().map(|number| content(*number)).collect();
    memory.on_crash(NOW, &instance(1), 1, &[content(1), content(2)]);

    memory.on_crash(NOW + 100, &instance(second_instance), 2, &second);

    let status = memory.status(NOW + 100, content(1));
    assert_eq!(is_quarantined(status), convicted);
}

/// The innocent shares the culprit's batch, is cleared by running alone, and
/// shares the culprit's batch at another instance again.
#[test]
fn an_innocent_in_the_same_batch_twice_is_served_and_the_culprit_is_refused() {
    let (culprit, innocent) = (content(1), content(2));
    let mut memory = SuspectStore::new();
    memory.on_crash(NOW, &instance(1), 1, &[culprit, innocent]);
    memory.on_completed(NOW + 50, innocent);

    memory.on_crash(NOW + 100, &instance(2), 1, &[culprit, innocent]);

    let now = NOW + 100;
    assert!(is_quarantined(memory.status(now, culprit)));
    assert_eq!(memory.status(now, innocent), QuarantineStatus::Suspect);
    memory.on_completed(now + 50, innocent);
    assert_eq!(memory.status(now + 50, innocent), QuarantineStatus::Clear);
}

/// Two crashes in one batch before either ran alone: nothing tells them apart,
/// and a third crash is not risked. After a short time each runs alone.
#[test]
fn contents_that_nothing_tells_apart_are_refused_for_a_short_time_only() {
    let (culprit, innocent) = (content(1), content(2));
    let mut memory = SuspectStore::new();
    memory.on_crash(NOW, &instance(1), 1, &[culprit, innocent]);
    memory.on_crash(NOW, &instance(2), 1, &[culprit, innocent]);
    assert!(is_quarantined(memory.status(NOW, culprit)));
    assert!(is_quarantined(memory.status(NOW, innocent)));

    let later = NOW + SuspectStore::AMBIGUOUS_QUARANTINE_MS;
    assert_eq!(memory.status(later, innocent), QuarantineStatus::Suspect);
    memory.on_completed(later, innocent);

    assert_eq!(memory.status(later, innocent), QuarantineStatus::Clear);
    assert!(
        is_quarantined(memory.status(later, culprit)),
        "it is the only one left"
    );
}

#[test]
fn quarantine_ends_and_evidence_is_forgotten() {
    let mut memory = SuspectStore::new();
    memory.on_crash(NOW, &instance(1), 1, &[content(1)]);
    memory.on_crash(NOW, &instance(1), 2, &[content(1)]);

    let ended = NOW + SuspectStore::QUARANTINE_MS;
    assert!(is_quarantined(memory.status(ended - 1, content(1))));
    assert_eq!(memory.status(ended, content(1)), QuarantineStatus::Suspect);
    let forgotten = NOW + SuspectStore::EVIDENCE_TTL_MS;
    assert_eq!(
        memory.status(forgotten, content(1)),
        QuarantineStatus::Clear
    );
}

/// The clock of a new process starts anew; the evidence must not get younger.
#[test]
fn a_restart_keeps_the_quarantine_and_its_end() {
    let mut memory = SuspectStore::new();
    let crashed = TimeMs(9_000_000);
    memory.on_crash(crashed, &instance(1), 1, &[content(1)]);
    memory.on_crash(crashed, &instance(2), 1, &[content(1)]);
    let kept = memory.export(crashed + SuspectStore::QUARANTINE_MS - 1_000);
    let json = serde_json::to_string(&kept).unwrap();

    let mut restarted = SuspectStore::new();
    let evidence: Vec<Evidence> = serde_json::from_str(&json).unwrap();
    restarted.merge(TimeMs(10), &evidence);

    let status = restarted.status(TimeMs(10), content(1));
    assert_eq!(
        status,
        QuarantineStatus::Quarantined {
            remaining_ms: 1_000
        }
    );
    assert_eq!(
        restarted.status(TimeMs(1_010), content(1)),
        QuarantineStatus::Suspect
    );
}

#[test]
fn the_memory_is_bounded_and_keeps_the_convicted() {
    let mut memory = SuspectStore::new();
    memory.on_crash(NOW, &instance(1), 1, &[content(1)]);
    memory.on_crash(NOW, &instance(1), 2, &[content(1)]);

    for number in 0..20_000_u32 {
        let content = Fingerprint::of("other", &number.to_le_bytes());
        memory.on_crash(
            NOW + u64::from(number),
            &instance(3),
            u64::from(number),
            &[content],
        );
    }

    assert!(memory.len() <= SuspectStore::CONTENTS_MAX);
    assert!(is_quarantined(memory.status(NOW + 20_000, content(1))));
}

fn evidence() -> impl Strategy<Value = Vec<Evidence>> {
    let crash = (0..3_u8, 0..3_u64, any::<bool>()).prop_map(|(number, sequence, alone)| Crash {
        instance: instance(number),
        sequence,
        alone,
    });
    let row = (
        0..4_u8,
        prop::collection::vec(crash, 0..4),
        any::<bool>(),
        0..4_000_000_u64,
    );
    let row = row.prop_map(|(number, crashes, cleared, age_ms)| Evidence {
        fingerprint: content(number),
        crashes,
        cleared,
        age_ms,
    });
    prop::collection::vec(row, 0..6)
}

fn merged(parts: &[&[Evidence]]) -> Vec<Evidence> {
    let mut memory = SuspectStore::new();
    for part in parts {
        memory.merge(NOW, part);
    }
    let mut rows = memory.export(NOW);
    rows.sort_by_key(|row| (row.fingerprint, row.cleared));
    rows
}

/// One attempt to run the poison through a fleet whose memories are merged.
#[derive(Clone, Debug)]
struct Attempt {
    instance: u8,
    companions: Vec<u8>,
}

proptest! {
    #![proptest_config(proptest_config(300))]

    /// Merging evidence is idempotent, commutative and associative, also
    /// through an intermediate process.
    #[test]
    fn merging_is_a_join(a in evidence(), b in evidence(), c in evidence()) {
        let once = merged(&[&a, &b, &c]);
        prop_assert_eq!(&merged(&[&c, &a, &b]), &once);
        prop_assert_eq!(&merged(&[&a, &a, &b, &c, &b]), &once);
        let through_peer = merged(&[&b, &c]);
        prop_assert_eq!(&merged(&[&a, &through_peer]), &once);
    }

    /// A poison content that is sent again and again crashes at most two
    /// upstreams while the quarantine lasts, whatever it shares batches with,
    /// and each innocent that runs again is cleared.
    #[test]
    fn a_poison_content_crashes_at_most_two_upstreams(
        attempts in prop::collection::vec(
            (0..4_u8, prop::collection::vec(2..8_u8, 0..4)).prop_map(|(instance, companions)| {
                Attempt { instance, companions }
            }),
            2..30,
        ),
        restart_at in 0..30_usize,
    ) {
        let poison = content(1);
        let mut memory = SuspectStore::new();
        let mut crashes = 0;
        for (i, attempt) in attempts.iter().enumerate() {
            let now = NOW + i as u64 * 100;
            if i == restart_at {
                let kept = memory.export(now);
                memory = SuspectStore::new();
                memory.merge(now, &kept);
            }
            let batch: Vec<_> = match memory.status(now, poison) {
                QuarantineStatus::Quarantined { .. } => Vec::new(),
                QuarantineStatus::Suspect => vec![poison],
                QuarantineStatus::Clear => {
                    let with = attempt.companions.iter().map(|number| content(*number));
                    with.chain([poison]).collect()
                }
            };
            if !batch.is_empty() {
                crashes += 1;
                memory.on_crash(now, &instance(attempt.instance), i as u64, &batch);
            }
            for innocent in attempt.companions.iter().map(|number| content(*number)) {
                prop_assert!(!is_quarantined(memory.status(now, innocent)));
                memory.on_completed(now, innocent);
                prop_assert_eq!(memory.status(now, innocent), QuarantineStatus::Clear);
            }
        }
        prop_assert!(crashes <= 2, "{} crashes", crashes);
    }
}
