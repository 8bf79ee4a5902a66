//! Property tests of [`TokenBucket`] with simulated time.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use store::TokenBucket;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_204),
        ..ProptestConfig::default()
    })]

    /// In any window, the granted reservations are at most the burst plus the
    /// tokens added by the rate, and no wait exceeds the maximum. The first
    /// reservation from the full bucket does not wait.
    #[test]
    fn reservations_stay_within_rate_and_burst(
        rate_per_s in 1.0_f64..200.0,
        burst in 1.0_f64..50.0,
        gaps_ms in prop::collection::vec(0_u64..300, 1..200),
    ) {
        let wait_max = Duration::from_secs(1);
        let origin = Instant::now();
        let mut bucket = TokenBucket::new(rate_per_s, burst, origin);
        let mut now = origin;
        let mut reservations: Vec<f64> = Vec::new();
        for gap_ms in gaps_ms {
            now += Duration::from_millis(gap_ms);
            if let Some(wait) = bucket.reserve(now, wait_max) {
                prop_assert!(wait <= wait_max);
                reservations.push((now + wait - origin).as_secs_f64());
            }
        }
        prop_assert!(reservations.first().is_some_and(|first| *first <= 0.3), "the first reservation must not wait");
        for start in 0..reservations.len() {
            for end in start..reservations.len() {
                let granted = (end - start + 1) as f64;
                let allowed = burst + rate_per_s * (reservations[end] - reservations[start]) + 1e-6;
                prop_assert!(granted <= allowed, "{} reservations granted, {} allowed", granted, allowed);
            }
        }
    }
}
