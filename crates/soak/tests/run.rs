//! Soak runs with fixed seeds: a short one, and seeds that have failed before.
#![allow(missing_docs)]

use rstest::rstest;
use soak::{run, SoakArgs};

/// Injects faults for a few seconds. The checked guarantees have wide time
/// limits.
#[rstest]
#[case::short_run(1, 6, 10)]
// Guards against streams without chunked framing: those that started during a
// gateway's shutdown had none, so a truncated one looked complete.
#[case::stream_started_during_gateway_stop(14, 20, 12)]
fn guarantees_hold_under_faults(#[case] seed: u64, #[case] seconds: u64, #[case] processes: u64) {
    let args = SoakArgs {
        seeds: 1,
        seed: Some(seed),
        seconds,
        processes,
        report: None,
    };

    let result = run(&args);

    assert!(result.is_ok(), "{}", result.unwrap_err());
}
