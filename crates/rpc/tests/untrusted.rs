//! Parsing of untrusted headers of the internal listener.

use proptest::prelude::*;
use rpc::{DispatchMeta, DispatchReply};

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(9),
        ..ProptestConfig::default()
    })]

    /// Arbitrary header text is rejected without a panic.
    #[test]
    fn arbitrary_header_text_is_rejected(text in ".{0,200}") {
        prop_assert!(serde_json::from_str::<DispatchMeta>(&text).is_err());
        prop_assert!(serde_json::from_str::<DispatchReply>(&text).is_err());
    }
}
