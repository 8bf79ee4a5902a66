//! Short questions that come while long plans fill every engine.

use std::time::Duration;

use futures_lite::future;
use harness::{default_document, Cluster, Programs};
use serde_json::{json, Value};
use standins::load::{self, Flow, Record};

use super::{
    rivals::{chat, generated, load, phase, rounded, Engines, Rival},
    MeasureError,
};

const ENGINES: Engines = Engines {
    count: 4,
    slots: 16,
    token_ms: 10,
    load_lag_ms: 200,
};
/// Slots of each engine kept for short and urgent work.
const RESERVED_SLOTS: u32 = 1;
/// Time in which the long plans come.
const FILL: Duration = Duration::from_millis(500);
/// Start of the short questions.
const SHORT_FROM: Duration = Duration::from_secs(2);
/// Length of their load.
const SHORT_FOR: Duration = Duration::from_secs(8);
const SHORT: &str = "urgent";
const SHORT_TOKENS: (u32, u32) = (5, 15);
const SHORT_MEAN: f64 = 10.0;
/// Share of the capacity that short questions need.
const SHORT_SHARE: f64 = 0.05;
const LONG: &str = "standard";
const LONG_TOKENS: (u32, u32) = (600, 1_200);
const LONG_MEAN: f64 = 900.0;
/// Work in long plans, in seconds of the capacity.
const LONG_SECONDS: f64 = 11.0;

/// Measures short questions alone, behind long plans with our decisions, and
/// with those of the baseline.
///
/// # Errors
///
/// When a process fails.
pub async fn run(programs: Programs) -> Result<Value, MeasureError> {
    let fleet = start(&programs, Rival::Ours).await?;
    let uncontended = run_load(&fleet, vec![short()]).await?;
    let ours = run_load(&fleet, vec![short(), long()]).await?;
    drop(fleet);
    let fleet = start(&programs, Rival::Baseline).await?;
    let baseline = run_load(&fleet, vec![short(), long()]).await?;
    Ok(json!({
        "ours": ours,
        "baseline": baseline,
        "uncontended": uncontended,
    }))
}

async fn start(programs: &Programs, rival: Rival) -> Result<Cluster, MeasureError> {
    let mut document = default_document();
    for upstream in document.upstreams.values_mut() {
        upstream.reserved_slots = RESERVED_SLOTS;
    }
    ENGINES.start(programs, document, rival).await
}

fn short() -> Flow {
    let tokens_per_s = SHORT_SHARE * ENGINES.nominal_tokens_per_s();
    let phases = vec![phase(SHORT_FROM, SHORT_FOR, tokens_per_s, SHORT_MEAN)];
    chat(SHORT, SHORT_TOKENS, 500, phases)
}

fn long() -> Flow {
    let work = LONG_SECONDS * ENGINES.nominal_tokens_per_s();
    let tokens_per_s = work / FILL.as_secs_f64();
    let phases = vec![phase(Duration::ZERO, FILL, tokens_per_s, LONG_MEAN)];
    chat(LONG, LONG_TOKENS, 60_000, phases)
}

async fn run_load(fleet: &Cluster, flows: Vec<Flow>) -> Result<Value, MeasureError> {
    let load = load(fleet, flows, 1)?;
    let generating = generated_meanwhile(fleet);
    let (records, generated) = future::zip(load::run(&load), generating).await;
    let reports = load::summarize(&load, &records);
    let long_tokens = generated?.saturating_sub(short_tokens(&records));
    let failures: usize = reports.values().map(|report| report.failures()).sum();
    Ok(json!({
        "short_p99_ms": rounded(reports[SHORT].first_p99_ms),
        "short_p50_ms": rounded(reports[SHORT].first_p50_ms),
        "short_sent": reports[SHORT].sent,
        "short_whole": reports[SHORT].whole,
        "long_goodput": (long_tokens as f64 / SHORT_FOR.as_secs_f64()).round(),
        "long_whole": reports.get(LONG).map_or(0, |report| report.whole),
        "failures": failures,
    }))
}

/// Tokens that the engines generate while short questions come.
async fn generated_meanwhile(fleet: &Cluster) -> Result<u64, MeasureError> {
    smol::Timer::after(SHORT_FROM).await;
    let before = generated(fleet, ENGINES.count).await?;
    smol::Timer::after(SHORT_FOR).await;
    Ok(generated(fleet, ENGINES.count).await? - before)
}

/// Tokens of short answers that ended while short questions came.
fn short_tokens(records: &[Record]) -> u64 {
    let end = SHORT_FROM + SHORT_FOR;
    let ended = |record: &&Record| record.planned_at + record.total() <= end;
    let short = records.iter().filter(|record| record.flow == 0);
    short
        .filter(ended)
        .filter_map(|record| match record.reply.outcome {
            standins::caller::Outcome::Complete { tokens } => Some(u64::from(tokens)),
            _ => None,
        })
        .sum()
}
