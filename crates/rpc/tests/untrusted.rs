//! What comes over the internal listener is parsed without trust.

use proptest::prelude::*;
use rpc::{DispatchMeta, DispatchReply};

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(9),
        ..ProptestConfig::default()
    })]

    /// Arbitrary header text is refused, never a panic.
    #[test]
    fn arbitrary_headers_do_not_panic(text in ".{0,200}") {
        prop_assert!(serde_json::from_str::<DispatchMeta>(&text).is_err());
        prop_assert!(serde_json::from_str::<DispatchReply>(&text).is_err());
    }
}
