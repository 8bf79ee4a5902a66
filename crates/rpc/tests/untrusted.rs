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

    /// Text that is not a message is rejected with an error and without a panic.
    #[test]
    fn arbitrary_header_text_is_rejected(text in ".{0,200}") {
        prop_assert!(serde_json::from_str::<DispatchMeta>(&text).is_err());
        prop_assert!(serde_json::from_str::<DispatchReply>(&text).is_err());
    }
}
