//! Measures the latency of short requests that arrive while long requests
//! occupy all engines.

use std::time::Duration;

use futures_lite::future;
use harness::{default_document, Cluster, Programs};
use serde_json::{json, Value};
use standins::load::{self, Flow, Record};

use super::{
    comparison::{
        build_load, chat_flow, generated_tokens, rounded, token_rate_phase, Engines, Variant,
    },
    MeasureError,
};

const ENGINES: Engines = Engines {
    count: 4,
    slots: 16,
    token_ms: 10,
    load_lag_ms: 200,
};
/// Slots of each engine reserved for short and urgent requests.
const RESERVED_SLOTS: u32 = 1;
/// Period at the start in which the long requests arrive.
const LONG_ARRIVAL_PERIOD: Duration = Duration::from_millis(500);
/// Start of the short requests.
const SHORT_START: Duration = Duration::from_secs(2);
/// Duration for which short requests arrive.
const SHORT_DURATION: Duration = Duration::from_secs(8);
const SHORT_CLASS: &str = "urgent";
const SHORT_TOKENS: (u32, u32) = (5, 15);
const SHORT_MEAN_TOKENS: f64 = 10.0;
/// Share of the engines' capacity that short requests need.
const SHORT_CAPACITY_SHARE: f64 = 0.05;
const LONG_CLASS: &str = "standard";
const LONG_TOKENS: (u32, u32) = (600, 1_200);
const LONG_MEAN_TOKENS: f64 = 900.0;
/// Total work of the long requests, as seconds of the engines' capacity.
const LONG_WORK_S: f64 = 11.0;

/// Measures short requests without long ones, then together with long ones for
/// limpetgw and for the baseline. Returns the figures as JSON.
///
/// # Errors
///
/// Returns an error if a process fails.
pub async fn run(programs: Programs) -> Result<Value, MeasureError> {
    let cluster = start_cluster(&programs, Variant::Limpetgw).await?;
    let uncontended = run_load(&cluster, vec![short_flow()]).await?;
    let ours = run_load(&cluster, vec![short_flow(), long_flow()]).await?;
    drop(cluster);
    let cluster = start_cluster(&programs, Variant::Baseline).await?;
    let baseline = run_load(&cluster, vec![short_flow(), long_flow()]).await?;
    Ok(json!({
        "ours": ours,
        "baseline": baseline,
        "uncontended": uncontended,
    }))
}

async fn start_cluster(programs: &Programs, variant: Variant) -> Result<Cluster, MeasureError> {
    let mut document = default_document();
    for upstream in document.upstreams.values_mut() {
        upstream.reserved_slots = RESERVED_SLOTS;
    }
    ENGINES.start(programs, document, variant).await
}

fn short_flow() -> Flow {
    let tokens_per_s = SHORT_CAPACITY_SHARE * ENGINES.nominal_tokens_per_s();
    let phases = vec![token_rate_phase(
        SHORT_START,
        SHORT_DURATION,
        tokens_per_s,
        SHORT_MEAN_TOKENS,
    )];
    chat_flow(SHORT_CLASS, SHORT_TOKENS, 500, phases)
}

fn long_flow() -> Flow {
    let work = LONG_WORK_S * ENGINES.nominal_tokens_per_s();
    let tokens_per_s = work / LONG_ARRIVAL_PERIOD.as_secs_f64();
    let phases = vec![token_rate_phase(
        Duration::ZERO,
        LONG_ARRIVAL_PERIOD,
        tokens_per_s,
        LONG_MEAN_TOKENS,
    )];
    chat_flow(LONG_CLASS, LONG_TOKENS, 60_000, phases)
}

async fn run_load(cluster: &Cluster, flows: Vec<Flow>) -> Result<Value, MeasureError> {
    let load = build_load(cluster, flows, 1)?;
    let generating = generated_during_short_load(cluster);
    let (records, generated_tokens) = future::zip(load::run(&load), generating).await;
    let reports = load::summarize(&load, &records);
    let long_tokens = generated_tokens?.saturating_sub(short_tokens(&records));
    let failures: usize = reports.values().map(|report| report.failures()).sum();
    Ok(json!({
        "short_p99_ms": rounded(reports[SHORT_CLASS].first_p99_ms),
        "short_p50_ms": rounded(reports[SHORT_CLASS].first_p50_ms),
        "short_sent": reports[SHORT_CLASS].sent,
        "short_whole": reports[SHORT_CLASS].whole,
        "long_goodput": (long_tokens as f64 / SHORT_DURATION.as_secs_f64()).round(),
        "long_whole": reports.get(LONG_CLASS).map_or(0, |report| report.whole),
        "failures": failures,
    }))
}

/// Returns the tokens that the engines generate while short requests arrive.
async fn generated_during_short_load(cluster: &Cluster) -> Result<u64, MeasureError> {
    smol::Timer::after(SHORT_START).await;
    let before = generated_tokens(cluster, ENGINES.count).await?;
    smol::Timer::after(SHORT_DURATION).await;
    Ok(generated_tokens(cluster, ENGINES.count).await? - before)
}

/// Returns the tokens of the short responses that ended while short requests
/// arrived.
fn short_tokens(records: &[Record]) -> u64 {
    let end = SHORT_START + SHORT_DURATION;
    let ended_in_time = |record: &&Record| record.planned_at + record.total() <= end;
    let short_requests = records.iter().filter(|record| record.flow == 0);
    short_requests
        .filter(ended_in_time)
        .filter_map(|record| match record.reply.outcome {
            standins::caller::Outcome::Complete { tokens } => Some(u64::from(tokens)),
            _ => None,
        })
        .sum()
}
