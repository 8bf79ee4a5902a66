//! Tests of verdicts, error codes, fingerprints and time stamps.

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
fn combined_verdict_is_the_strongest(
    #[case] first: Verdict,
    #[case] second: Verdict,
    #[case] expected: Verdict,
) {
    assert_eq!(first.combine(second), expected);
}

#[test]
fn error_codes_are_unique_and_serialize_as_their_text() {
    let texts: BTreeSet<&str> = ErrorCode::ALL.iter().map(|code| code.as_str()).collect();
    assert_eq!(texts.len(), ErrorCode::ALL.len());

    for code in ErrorCode::ALL {
        let json = serde_json::to_value(code).expect("error code serializes");
        assert_eq!(json, code.as_str());
        assert!((400..600).contains(&code.http_status()));
    }
}

#[test]
fn error_body_has_verdict_code_and_message() {
    let body = ErrorBody::new(ErrorCode::QueueFull, Verdict::NotRun, "send it again later");

    let json = serde_json::to_value(&body).expect("error body serializes");

    assert_eq!(json["error"]["verdict"], "not_run");
    assert_eq!(json["error"]["code"], "queue_full");
    assert_eq!(json["error"]["message"], "send it again later");
}

#[test]
fn time_subtraction_saturates_at_zero() {
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

    /// The hexadecimal form parses to the same value, and moving a byte from the
    /// target to the body changes the fingerprint.
    #[test]
    fn fingerprint_round_trips_and_separates_target_from_body(
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

    /// Parsing never panics and rejects texts that are not 32 characters long.
    #[test]
    fn parsing_arbitrary_text_as_fingerprint_does_not_panic(text in ".{0,64}") {
        let parsed = Fingerprint::from_hex(&text);

        prop_assert!(parsed.is_none() || text.len() == 32);
    }
}
