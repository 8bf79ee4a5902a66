//! Verdicts, error codes and fingerprints as values.

use std::collections::BTreeSet;

use proptest::prelude::*;
use rstest::rstest;
use types::{ErrorBody, ErrorCode, Fingerprint, TimeMs, Verdict};

#[rstest]
#[case(Verdict::NotRun, Verdict::NotRun, Verdict::NotRun)]
#[case(Verdict::NotRun, Verdict::MayHaveRun, Verdict::MayHaveRun)]
#[case(Verdict::MayHaveRun, Verdict::NotRun, Verdict::MayHaveRun)]
#[case(Verdict::MayHaveRun, Verdict::Ran, Verdict::Ran)]
#[case(Verdict::Ran, Verdict::NotRun, Verdict::Ran)]
fn one_uncertain_attempt_makes_the_request_uncertain(
    #[case] first: Verdict,
    #[case] second: Verdict,
    #[case] expected: Verdict,
) {
    assert_eq!(first.combine(second), expected);
}

#[test]
fn codes_are_unique_and_are_their_json_text() {
    let texts: BTreeSet<&str> = ErrorCode::ALL.iter().map(|code| code.as_str()).collect();
    assert_eq!(texts.len(), ErrorCode::ALL.len());

    for code in ErrorCode::ALL {
        let json = serde_json::to_value(code).expect("a code is text");
        assert_eq!(json, code.as_str());
        assert!((400..600).contains(&code.http_status()));
    }
}

#[test]
fn an_error_body_has_verdict_code_and_message() {
    let body = ErrorBody::new(ErrorCode::QueueFull, Verdict::NotRun, "send it again later");

    let json = serde_json::to_value(&body).expect("a body is plain data");

    assert_eq!(json["error"]["verdict"], "not_run");
    assert_eq!(json["error"]["code"], "queue_full");
    assert_eq!(json["error"]["message"], "send it again later");
}

#[test]
fn a_time_read_late_gives_no_negative_wait() {
    assert_eq!(TimeMs(5).since(TimeMs(9)), 0);
    assert_eq!(TimeMs(5) - 9, TimeMs(0));
}

fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// The hexadecimal form is read back, and target and body do not mix.
    #[test]
    fn fingerprints_round_trip(
        target in ".{0,20}",
        body in proptest::collection::vec(any::<u8>(), 0..50),
    ) {
        let fingerprint = Fingerprint::of(&target, &body);
        let mut shifted_body = vec![b'x'];
        shifted_body.extend(&body);

        let longer_target = Fingerprint::of(&format!("{target}x"), &body);
        let longer_body = Fingerprint::of(&target, &shifted_body);

        prop_assert_eq!(Fingerprint::from_hex(&fingerprint.to_string()), Some(fingerprint));
        prop_assert_ne!(longer_target, longer_body);
    }

    /// Arbitrary text is never a panic.
    #[test]
    fn arbitrary_text_is_no_fingerprint(text in ".{0,64}") {
        let parsed = Fingerprint::from_hex(&text);

        prop_assert!(parsed.is_none() || text.len() == 32);
    }
}
