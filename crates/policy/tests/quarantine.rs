//! Tests of the quarantine for requests that crash upstreams.
#![allow(missing_docs)]

mod support;

use policy::quarantine::{Crash, Evidence, QuarantineStatus, SuspectStore};
use proptest::prelude::*;
use rstest::rstest;
use support::proptest_config;
use types::{Fingerprint, InstanceId, TimeMs};

const NOW: TimeMs = TimeMs(5_000);

fn fingerprint(number: u8) -> Fingerprint {
    Fingerprint::of("model", &[number])
}

fn instance(number: u8) -> InstanceId {
    InstanceId::from(format!("engine-{number}"))
}

fn is_quarantined(status: QuarantineStatus) -> bool {
    matches!(status, QuarantineStatus::Quarantined { .. })
}

#[test]
fn request_in_shared_crash_is_suspect_until_complete_answer() {
    let mut store = SuspectStore::new();
    store.on_crash(NOW, &instance(1), 1, &[fingerprint(1), fingerprint(2)]);

    assert_eq!(store.status(NOW, fingerprint(1)), QuarantineStatus::Suspect);
    store.on_completed(NOW + 10, fingerprint(1));

    assert_eq!(
        store.status(NOW + 10, fingerprint(1)),
        QuarantineStatus::Clear
    );
    assert_eq!(
        store.status(NOW + 10, fingerprint(2)),
        QuarantineStatus::Suspect
    );
}

#[rstest]
#[case::alone_on_same_instance(1, &[1], true)]
#[case::alone_on_other_instance(2, &[1], true)]
#[case::shared_on_other_instance(2, &[1, 9], true)]
#[case::shared_on_same_instance(1, &[1, 9], false)]
fn second_crash_quarantines_if_alone_or_on_other_instance(
    #[case] second_instance: u8,
    #[case] second_batch: &[u8],
    #[case] expected_quarantined: bool,
) {
    let mut store = SuspectStore::new();
    let second: Vec<_> = second_batch
        .iter()
        .map(|number| fingerprint(*number))
        .collect();
    store.on_crash(NOW, &instance(1), 1, &[fingerprint(1), fingerprint(2)]);

    store.on_crash(NOW + 100, &instance(second_instance), 2, &second);

    let status = store.status(NOW + 100, fingerprint(1));
    assert_eq!(is_quarantined(status), expected_quarantined);
}

/// A harmless request runs with a crashing one, is cleared by running alone,
/// and runs with the crashing one again on another instance.
#[test]
fn harmless_request_cleared_between_shared_crashes_is_not_quarantined() {
    let (crashing, harmless) = (fingerprint(1), fingerprint(2));
    let mut store = SuspectStore::new();
    store.on_crash(NOW, &instance(1), 1, &[crashing, harmless]);
    store.on_completed(NOW + 50, harmless);

    store.on_crash(NOW + 100, &instance(2), 1, &[crashing, harmless]);

    let now = NOW + 100;
    assert!(is_quarantined(store.status(now, crashing)));
    assert_eq!(store.status(now, harmless), QuarantineStatus::Suspect);
    store.on_completed(now + 50, harmless);
    assert_eq!(store.status(now + 50, harmless), QuarantineStatus::Clear);
}

/// Two requests run together in two crashes before either has run alone, so the
/// evidence does not show which one is responsible. Both are quarantined to
/// avoid a third crash, but only briefly; after that each runs alone.
#[test]
fn indistinguishable_suspects_get_short_quarantine() {
    let (crashing, harmless) = (fingerprint(1), fingerprint(2));
    let mut store = SuspectStore::new();
    store.on_crash(NOW, &instance(1), 1, &[crashing, harmless]);
    store.on_crash(NOW, &instance(2), 1, &[crashing, harmless]);
    assert!(is_quarantined(store.status(NOW, crashing)));
    assert!(is_quarantined(store.status(NOW, harmless)));

    let later = NOW + SuspectStore::AMBIGUOUS_QUARANTINE_MS;
    assert_eq!(store.status(later, harmless), QuarantineStatus::Suspect);
    store.on_completed(later, harmless);

    assert_eq!(store.status(later, harmless), QuarantineStatus::Clear);
    assert!(
        is_quarantined(store.status(later, crashing)),
        "the long quarantine applies once the other request is cleared"
    );
}

#[test]
fn quarantine_ends_and_evidence_expires() {
    let mut store = SuspectStore::new();
    store.on_crash(NOW, &instance(1), 1, &[fingerprint(1)]);
    store.on_crash(NOW, &instance(1), 2, &[fingerprint(1)]);

    let ended = NOW + SuspectStore::QUARANTINE_MS;
    assert!(is_quarantined(store.status(ended - 1, fingerprint(1))));
    assert_eq!(
        store.status(ended, fingerprint(1)),
        QuarantineStatus::Suspect
    );
    let expired = NOW + SuspectStore::EVIDENCE_TTL_MS;
    assert_eq!(
        store.status(expired, fingerprint(1)),
        QuarantineStatus::Clear
    );
}

/// The clock of a new process starts at zero. Merged evidence must keep its
/// age, or a restart would extend the quarantine.
#[test]
fn restart_preserves_remaining_quarantine() {
    let mut store = SuspectStore::new();
    let crashed = TimeMs(9_000_000);
    store.on_crash(crashed, &instance(1), 1, &[fingerprint(1)]);
    store.on_crash(crashed, &instance(2), 1, &[fingerprint(1)]);
    let kept = store.export(crashed + SuspectStore::QUARANTINE_MS - 1_000);
    let json = serde_json::to_string(&kept).unwrap();

    let mut restarted = SuspectStore::new();
    let evidence: Vec<Evidence> = serde_json::from_str(&json).unwrap();
    restarted.merge(TimeMs(10), &evidence);

    let status = restarted.status(TimeMs(10), fingerprint(1));
    assert_eq!(
        status,
        QuarantineStatus::Quarantined {
            remaining_ms: 1_000
        }
    );
    assert_eq!(
        restarted.status(TimeMs(1_010), fingerprint(1)),
        QuarantineStatus::Suspect
    );
}

#[test]
fn full_store_keeps_quarantined_fingerprints() {
    let mut store = SuspectStore::new();
    store.on_crash(NOW, &instance(1), 1, &[fingerprint(1)]);
    store.on_crash(NOW, &instance(1), 2, &[fingerprint(1)]);

    for number in 0..20_000_u32 {
        let fingerprint = Fingerprint::of("other", &number.to_le_bytes());
        store.on_crash(
            NOW + u64::from(number),
            &instance(3),
            u64::from(number),
            &[fingerprint],
        );
    }

    assert!(store.len() <= SuspectStore::FINGERPRINTS_MAX);
    assert!(is_quarantined(store.status(NOW + 20_000, fingerprint(1))));
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
        fingerprint: fingerprint(number),
        crashes,
        cleared,
        age_ms,
    });
    prop::collection::vec(row, 0..6)
}

fn merged(parts: &[&[Evidence]]) -> Vec<Evidence> {
    let mut store = SuspectStore::new();
    for part in parts {
        store.merge(NOW, part);
    }
    let mut rows = store.export(NOW);
    rows.sort_by_key(|row| (row.fingerprint, row.cleared));
    rows
}

/// One attempt to run the crashing request, with other requests in the batch.
#[derive(Clone, Debug)]
struct Attempt {
    instance: u8,
    concurrent: Vec<u8>,
}

proptest! {
    #![proptest_config(proptest_config(300))]

    /// The result of a merge does not depend on order, repetition or evidence
    /// being forwarded by another process.
    #[test]
    fn merge_is_idempotent_commutative_and_associative(
        a in evidence(),
        b in evidence(),
        c in evidence(),
    ) {
        let once = merged(&[&a, &b, &c]);
        prop_assert_eq!(&merged(&[&c, &a, &b]), &once);
        prop_assert_eq!(&merged(&[&a, &a, &b, &c, &b]), &once);
        let through_peer = merged(&[&b, &c]);
        prop_assert_eq!(&merged(&[&a, &through_peer]), &once);
    }

    /// A crashing request that is sent repeatedly crashes at most two upstreams
    /// during the quarantine, whichever requests run with it. Each harmless
    /// request is cleared when it runs again.
    #[test]
    fn crashing_request_crashes_at_most_two_upstreams(
        attempts in prop::collection::vec(
            (0..4_u8, prop::collection::vec(2..8_u8, 0..4)).prop_map(|(instance, concurrent)| {
                Attempt { instance, concurrent }
            }),
            2..30,
        ),
        restart_at in 0..30_usize,
    ) {
        let crashing = fingerprint(1);
        let mut store = SuspectStore::new();
        let mut crashes = 0;
        for (i, attempt) in attempts.iter().enumerate() {
            let now = NOW + i as u64 * 100;
            if i == restart_at {
                let kept = store.export(now);
                store = SuspectStore::new();
                store.merge(now, &kept);
            }
            let batch: Vec<_> = match store.status(now, crashing) {
                QuarantineStatus::Quarantined { .. } => Vec::new(),
                QuarantineStatus::Suspect => vec![crashing],
                QuarantineStatus::Clear => {
                    let concurrent = attempt.concurrent.iter().map(|number| fingerprint(*number));
                    concurrent.chain([crashing]).collect()
                }
            };
            if !batch.is_empty() {
                crashes += 1;
                store.on_crash(now, &instance(attempt.instance), i as u64, &batch);
            }
            for harmless in attempt.concurrent.iter().map(|number| fingerprint(*number)) {
                prop_assert!(!is_quarantined(store.status(now, harmless)));
                store.on_completed(now, harmless);
                prop_assert_eq!(store.status(now, harmless), QuarantineStatus::Clear);
            }
        }
        prop_assert!(crashes <= 2, "{} crashes", crashes);
    }
}
