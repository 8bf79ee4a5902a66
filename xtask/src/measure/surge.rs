//! Measures a load peak as after a power cut: all callers send within the same
//! second, five times the capacity, followed by a steady load of 1.2 times the
//! capacity.

use std::time::Duration;

use futures_lite::future;
use harness::{default_document, Cluster, Programs};
use indexmap::IndexMap;
use serde_json::{json, Value};
use standins::{
    caller::Outcome,
    load::{self, Flow, LoadPlan, Record},
};
use types::ErrorCode;

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
/// Queue limit per class and agent, low enough that the peak exceeds it.
const QUEUE_LIMIT: u32 = 16;
const PEAK_PERIOD: Duration = Duration::from_secs(1);
const STEADY_PERIOD: Duration = Duration::from_secs(9);

/// Load of one class: its name, the shortest and longest response in tokens,
/// the latency target, and the load during and after the peak as multiples of
/// the capacity.
struct ClassLoad {
    class: &'static str,
    tokens: (u32, u32),
    target_ms: u64,
    peak_load: f64,
    steady_load: f64,
}

/// Loads that add up to five times the capacity during the peak and 1.2 times
/// after it. Urgent requests alone never exceed the capacity.
const CLASS_LOADS: [ClassLoad; 3] = [
    ClassLoad {
        class: URGENT,
        tokens: (10, 40),
        target_ms: 500,
        peak_load: 0.5,
        steady_load: 0.3,
    },
    ClassLoad {
        class: "standard",
        tokens: (30, 120),
        target_ms: 2_000,
        peak_load: 2.0,
        steady_load: 0.4,
    },
    ClassLoad {
        class: "history",
        tokens: (60, 300),
        target_ms: 10_000,
        peak_load: 2.5,
        steady_load: 0.5,
    },
];
const URGENT: &str = "urgent";

/// Measures limpetgw and the baseline under the same load and returns the
/// figures as JSON.
///
/// # Errors
///
/// Returns an error if a process fails.
pub async fn run(programs: Programs) -> Result<Value, MeasureError> {
    let ours = run_variant(&programs, Variant::Limpetgw).await?;
    let baseline = run_variant(&programs, Variant::Baseline).await?;
    Ok(json!({ "ours": ours, "baseline": baseline }))
}

async fn run_variant(programs: &Programs, variant: Variant) -> Result<Value, MeasureError> {
    let mut document = default_document();
    for class in document.classes.values_mut() {
        class.queue_limit = QUEUE_LIMIT;
    }
    let cluster = ENGINES.start(programs, document, variant).await?;
    let capacity = ENGINES.measured_tokens_per_s(&cluster).await?;
    let load = build_load(&cluster, flows(), 1)?;
    let before = generated_tokens(&cluster, ENGINES.count).await?;
    let steady_rate = steady_token_rate(&cluster);
    let (records, steady_rate) = future::zip(load::run(&load), steady_rate).await;
    let after = generated_tokens(&cluster, ENGINES.count).await?;
    let mut figures = figures(&load, &records, after - before, steady_rate? / capacity);
    let displaced = displacement_refusal_times(&cluster)?;
    figures["displaced"] = displaced.len().into();
    let refused = records
        .iter()
        .filter(|record| !displaced.contains_key(&record.reply.request_id));
    let refusal_times = times_to_refusal(refused).chain(displaced.values().copied());
    figures["refusal_p99_ms"] = percentile_ms(refusal_times.collect()).into();
    Ok(figures)
}

fn flows() -> Vec<Flow> {
    let capacity = ENGINES.nominal_tokens_per_s();
    let flow = |class_load: &ClassLoad| {
        let mean = f64::from(class_load.tokens.0 + class_load.tokens.1) / 2.0;
        let peak_phase = token_rate_phase(
            Duration::ZERO,
            PEAK_PERIOD,
            class_load.peak_load * capacity,
            mean,
        );
        let steady_phase = token_rate_phase(
            PEAK_PERIOD,
            STEADY_PERIOD,
            class_load.steady_load * capacity,
            mean,
        );
        chat_flow(
            class_load.class,
            class_load.tokens,
            class_load.target_ms,
            vec![peak_phase, steady_phase],
        )
    };
    CLASS_LOADS.iter().map(flow).collect()
}

/// Returns the tokens per second that the engines generate from the end of the
/// peak to the end of the load.
async fn steady_token_rate(cluster: &Cluster) -> Result<f64, MeasureError> {
    smol::Timer::after(PEAK_PERIOD).await;
    let before = generated_tokens(cluster, ENGINES.count).await?;
    smol::Timer::after(STEADY_PERIOD).await;
    let after = generated_tokens(cluster, ENGINES.count).await?;
    Ok((after - before) as f64 / STEADY_PERIOD.as_secs_f64())
}

fn figures(
    load: &LoadPlan,
    records: &[Record],
    generated_tokens: u64,
    capacity_share: f64,
) -> Value {
    let reports = load::summarize(load, records);
    let complete_tokens: u64 = reports.values().map(|report| report.tokens_whole).sum();
    let wasted = 1.0 - complete_tokens as f64 / generated_tokens.max(1) as f64;
    let attainment: Value = reports
        .iter()
        .map(|(class, report)| (class.clone(), json!(rounded(report.attainment))))
        .collect();
    let unserved = reports.values().filter(|report| report.whole == 0).count();
    let sent: usize = reports.values().map(|report| report.sent).sum();
    let failures: usize = reports.values().map(|report| report.failures()).sum();
    json!({
        "urgent_attainment": rounded(reports[URGENT].attainment),
        "attainment": attainment,
        "goodput_of_capacity": rounded(capacity_share * (1.0 - wasted)),
        "wasted_share": rounded(wasted),
        "urgent_shed_for_lower": urgent_shed_for_lower(load, records),
        "classes_unserved": unserved,
        "refused_after_wait_p99_ms": percentile_ms(times_to_refusal(records.iter()).collect()),
        "refused": reports.values().map(|report| report.refused_total()).sum::<usize>(),
        "sent": sent,
        "failures": failures,
        "urgent_first_token_p99_ms": rounded(reports[URGENT].first_p99_ms),
    })
}

/// Returns the number of urgent requests that were refused although a request
/// of a lower class got its first token while they waited.
fn urgent_shed_for_lower(load: &LoadPlan, records: &[Record]) -> usize {
    let is_urgent = |record: &&Record| load.flows[record.flow].name == URGENT;
    let first_token_times: Vec<Duration> = records
        .iter()
        .filter(|record| !is_urgent(record))
        .filter_map(|record| Some(record.planned_at + record.time_to_first_token()?))
        .collect();
    records
        .iter()
        .filter(is_urgent)
        .filter(|record| matches!(record.reply.outcome, Outcome::Refused { .. }))
        .filter(|record| {
            let refused_at = record.planned_at + record.total();
            let waiting_period = record.planned_at..refused_at;
            first_token_times
                .iter()
                .any(|first_token_at| waiting_period.contains(first_token_at))
        })
        .count()
}

/// Returns the times from arrival to refusal of all refused requests.
fn times_to_refusal<'a>(
    records: impl Iterator<Item = &'a Record>,
) -> impl Iterator<Item = Duration> {
    let is_refusal = |record: &&Record| matches!(record.reply.outcome, Outcome::Refused { .. });
    records.filter(is_refusal).map(Record::total)
}

/// Returns the ids of requests that were displaced from a queue and refused,
/// each with the time from displacement to refusal, from the entries' logs.
fn displacement_refusal_times(
    cluster: &Cluster,
) -> Result<IndexMap<String, Duration>, MeasureError> {
    let mut displaced_at = IndexMap::new();
    let mut refused_after = IndexMap::new();
    for entry in ["entry-0", "entry-1"] {
        for line in cluster.process(entry)?.log() {
            let Ok(line) = serde_json::from_str::<Value>(&line) else {
                continue;
            };
            let id = line["fields"]["request_id"].as_str().unwrap_or_default();
            let at_ms = line["time_unix_ms"].as_u64().unwrap_or_default();
            let code = line["fields"]["code"].as_str().unwrap_or_default();
            match line["event"].as_str() {
                Some("AttemptFailed") if code == ErrorCode::Displaced.as_str() => {
                    displaced_at.entry(id.to_string()).or_insert(at_ms);
                }
                Some("RequestFailed") => {
                    if let Some(displaced_ms) = displaced_at.get(id) {
                        let waiting_time =
                            Duration::from_millis(at_ms.saturating_sub(*displaced_ms));
                        refused_after.insert(id.to_string(), waiting_time);
                    }
                }
                _ => {}
            }
        }
    }
    Ok(refused_after)
}

/// Returns the 99th percentile in milliseconds, or 0 without values.
fn percentile_ms(mut times: Vec<Duration>) -> f64 {
    times.sort_unstable();
    let index = (times.len() * 99 / 100).min(times.len().saturating_sub(1));
    times
        .get(index)
        .map_or(0.0, |time| rounded(time.as_secs_f64() * 1_000.0))
}
