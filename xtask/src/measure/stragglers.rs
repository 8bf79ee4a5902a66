//! Measures latency while one fifth of the engines, in rotation, is five times
//! slower than usual and load reports are delayed.

use std::time::Duration;

use futures_lite::future;
use harness::{default_document, Cluster, Programs};
use serde_json::{json, Value};
use standins::load;

use super::{
    comparison::{build_load, chat_flow, rounded, token_rate_phase, Engines, Variant},
    MeasureError,
};

const ENGINES: Engines = Engines {
    count: 10,
    slots: 16,
    token_ms: 10,
    load_lag_ms: 5_000,
};
const LOAD_DURATION: Duration = Duration::from_secs(12);
/// Time for which the same engines are slow, before the next ones are.
const SLOW_PERIOD: Duration = Duration::from_secs(3);
/// Number of engines that are slow at the same time.
const SLOW_ENGINES: usize = ENGINES.count / 5;
const SLOW_FAULT: &str = r#"{"slow_factor": 5.0}"#;
const NO_FAULTS: &str = "{}";
const CLASS: &str = "urgent";
const TOKENS: (u32, u32) = (10, 40);
const MEAN_TOKENS: f64 = 25.0;
/// Load as a share of the engines' capacity.
const CAPACITY_SHARE: f64 = 0.35;

/// Measures limpetgw without and with slow engines, and the baseline with slow
/// engines. Returns the figures as JSON.
///
/// # Errors
///
/// Returns an error if a process fails.
pub async fn run(programs: Programs) -> Result<Value, MeasureError> {
    let document = default_document();
    let cluster = ENGINES
        .start(&programs, document.clone(), Variant::Limpetgw)
        .await?;
    let clean = run_load(&cluster, 1).await?;
    let (ours, rotation) = future::zip(run_load(&cluster, 2), rotate_slow_engines(&cluster)).await;
    rotation?;
    drop(cluster);
    let cluster = ENGINES
        .start(&programs, document, Variant::Baseline)
        .await?;
    let (baseline, rotation) =
        future::zip(run_load(&cluster, 2), rotate_slow_engines(&cluster)).await;
    rotation?;
    Ok(json!({ "clean": clean, "ours": ours?, "baseline": baseline? }))
}

async fn run_load(cluster: &Cluster, seed: u64) -> Result<Value, MeasureError> {
    let tokens_per_s = CAPACITY_SHARE * ENGINES.nominal_tokens_per_s();
    let phases = vec![token_rate_phase(
        Duration::ZERO,
        LOAD_DURATION,
        tokens_per_s,
        MEAN_TOKENS,
    )];
    let load = build_load(cluster, vec![chat_flow(CLASS, TOKENS, 500, phases)], seed)?;
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

/// Slows down two engines at a time, in rotation, until the load has ended.
async fn rotate_slow_engines(cluster: &Cluster) -> Result<(), MeasureError> {
    let periods = LOAD_DURATION.as_millis() / SLOW_PERIOD.as_millis();
    for period in 0..periods as usize {
        let first = period * SLOW_ENGINES % ENGINES.count;
        let slow = first..first + SLOW_ENGINES;
        for engine in slow.clone() {
            cluster
                .set_faults(&format!("engine-{engine}"), SLOW_FAULT)
                .await?;
        }
        smol::Timer::after(SLOW_PERIOD).await;
        for engine in slow {
            cluster
                .set_faults(&format!("engine-{engine}"), NO_FAULTS)
                .await?;
        }
    }
    Ok(())
}
