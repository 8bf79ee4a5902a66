//! A fifth of the engines is five times slower, in turns; load reports are late.

use std::time::Duration;

use futures_lite::future;
use harness::{default_document, Cluster, Programs};
use serde_json::{json, Value};
use standins::load;

use super::{
    rivals::{chat, load, phase, rounded, Engines, Rival},
    MeasureError,
};

const ENGINES: Engines = Engines {
    count: 10,
    slots: 16,
    token_ms: 10,
    load_lag_ms: 5_000,
};
/// Length of one run.
const LENGTH: Duration = Duration::from_secs(12);
/// Length of one turn.
const TURN: Duration = Duration::from_secs(3);
/// Engines that are slow in each turn.
const SLOW_AT_ONCE: usize = ENGINES.count / 5;
const SLOW: &str = r#"{"slow_factor": 5.0}"#;
const USUAL: &str = "{}";
const CLASS: &str = "urgent";
const TOKENS: (u32, u32) = (10, 40);
const MEAN: f64 = 25.0;
/// Load, as a share of the capacity.
const SHARE: f64 = 0.35;

/// Measures without stragglers, with them, and the baseline with them.
///
/// # Errors
///
/// When a process fails.
pub async fn run(programs: Programs) -> Result<Value, MeasureError> {
    let document = default_document();
    let fleet = ENGINES
        .start(&programs, document.clone(), Rival::Ours)
        .await?;
    let clean = run_load(&fleet, 1).await?;
    let (ours, turns) = future::zip(run_load(&fleet, 2), take_turns(&fleet)).await;
    turns?;
    drop(fleet);
    let fleet = ENGINES.start(&programs, document, Rival::Baseline).await?;
    let (baseline, turns) = future::zip(run_load(&fleet, 2), take_turns(&fleet)).await;
    turns?;
    Ok(json!({ "clean": clean, "ours": ours?, "baseline": baseline? }))
}

async fn run_load(fleet: &Cluster, seed: u64) -> Result<Value, MeasureError> {
    let tokens_per_s = SHARE * ENGINES.nominal_tokens_per_s();
    let phases = vec![phase(Duration::ZERO, LENGTH, tokens_per_s, MEAN)];
    let load = load(fleet, vec![chat(CLASS, TOKENS, 500, phases)], seed)?;
    let records = load::run(&load).await;
    let report = &load::summarize(&load, &records)[CLASS];
    Ok(json!({
        "p99_ms": rounded(report.first_p99_ms),
        "p50_ms": rounded(report.first_p50_ms),
        "total_p99_ms": rounded(report.total_p99_ms),
        "sent": report.sent,
        "whole": report.whole,
        "failures": report.failures(),
    }))
}

/// Slows two engines, then the next two, until the load has ended.
async fn take_turns(fleet: &Cluster) -> Result<(), MeasureError> {
    let turns = LENGTH.as_millis() / TURN.as_millis();
    for turn in 0..turns as usize {
        let first = turn * SLOW_AT_ONCE % ENGINES.count;
        let slow = first..first + SLOW_AT_ONCE;
        for engine in slow.clone() {
            fleet.set_faults(&format!("engine-{engine}"), SLOW).await?;
        }
        smol::Timer::after(TURN).await;
        for engine in slow {
            fleet.set_faults(&format!("engine-{engine}"), USUAL).await?;
        }
    }
    Ok(())
}
