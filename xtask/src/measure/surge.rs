//! Power returns: every caller in the same second, five times the capacity,
//! then steadily 1.2 times.

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
    rivals::{chat, generated, load, phase, rounded, Engines, Rival},
    MeasureError,
};

const ENGINES: Engines = Engines {
    count: 4,
    slots: 16,
    token_ms: 10,
    load_lag_ms: 200,
};
/// Requests of a class that each agent queues: less than the crest brings.
const QUEUE_LIMIT: u32 = 16;
const CREST: Duration = Duration::from_secs(1);
const STEADY: Duration = Duration::from_secs(9);

/// A class of the load: name, shortest and longest answer, target in
/// milliseconds, load at the crest and after it in multiples of the capacity.
struct Part {
    class: &'static str,
    tokens: (u32, u32),
    target_ms: u64,
    crest: f64,
    steady: f64,
}

/// Five times the capacity at the crest, 1.2 times after it. Urgent work alone
/// fits the capacity at any time.
const PARTS: [Part; 3] = [
    Part {
        class: URGENT,
        tokens: (10, 40),
        target_ms: 500,
        crest: 0.5,
        steady: 0.3,
    },
    Part {
        class: "standard",
        tokens: (30, 120),
        target_ms: 2_000,
        crest: 2.0,
        steady: 0.4,
    },
    Part {
        class: "history",
        tokens: (60, 300),
        target_ms: 10_000,
        crest: 2.5,
        steady: 0.5,
    },
];
const URGENT: &str = "urgent";

/// Measures ours and the baseline under the same load.
///
/// # Errors
///
/// When a process fails.
pub async fn run(programs: Programs) -> Result<Value, MeasureError> {
    let ours = run_rival(&programs, Rival::Ours).await?;
    let baseline = run_rival(&programs, Rival::Baseline).await?;
    Ok(json!({ "ours": ours, "baseline": baseline }))
}

async fn run_rival(programs: &Programs, rival: Rival) -> Result<Value, MeasureError> {
    let mut document = default_document();
    for class in document.classes.values_mut() {
        class.queue_limit = QUEUE_LIMIT;
    }
    let fleet = ENGINES.start(programs, document, rival).await?;
    let capacity = ENGINES.measured_tokens_per_s(&fleet).await?;
    let load = load(&fleet, flows(), 1)?;
    let before = generated(&fleet, ENGINES.count).await?;
    let steady = steady_tokens(&fleet);
    let (records, steady) = future::zip(load::run(&load), steady).await;
    let after = generated(&fleet, ENGINES.count).await?;
    let mut figures = figures(&load, &records, after - before, steady? / capacity);
    let displaced = told_after_displacement(&fleet)?;
    figures["displaced"] = displaced.len().into();
    let refused = records
        .iter()
        .filter(|record| !displaced.contains_key(&record.reply.request_id));
    let told = refusals(refused).chain(displaced.values().copied());
    figures["refusal_p99_ms"] = percentile_ms(told.collect()).into();
    Ok(figures)
}

fn flows() -> Vec<Flow> {
    let capacity = ENGINES.nominal_tokens_per_s();
    let flow = |part: &Part| {
        let mean = f64::from(part.tokens.0 + part.tokens.1) / 2.0;
        let crest = phase(Duration::ZERO, CREST, part.crest * capacity, mean);
        let steady = phase(CREST, STEADY, part.steady * capacity, mean);
        chat(part.class, part.tokens, part.target_ms, vec![crest, steady])
    };
    PARTS.iter().map(flow).collect()
}

/// Tokens a second that the engines generate from the crest's end to the end
/// of the load.
async fn steady_tokens(fleet: &Cluster) -> Result<f64, MeasureError> {
    smol::Timer::after(CREST).await;
    let before = generated(fleet, ENGINES.count).await?;
    smol::Timer::after(STEADY).await;
    let after = generated(fleet, ENGINES.count).await?;
    Ok((after - before) as f64 / STEADY.as_secs_f64())
}

fn figures(load: &LoadPlan, records: &[Record], generated: u64, used_share: f64) -> Value {
    let reports = load::summarize(load, records);
    let whole: u64 = reports.values().map(|report| report.tokens_whole).sum();
    let wasted = 1.0 - whole as f64 / generated.max(1) as f64;
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
        "goodput_of_capacity": rounded(used_share * (1.0 - wasted)),
        "wasted_share": rounded(wasted),
        "urgent_shed_for_lower": urgent_shed_for_lower(load, records),
        "classes_unserved": unserved,
        "refused_after_wait_p99_ms": percentile_ms(refusals(records.iter()).collect()),
        "refused": reports.values().map(|report| report.refused_total()).sum::<usize>(),
        "sent": sent,
        "failures": failures,
        "urgent_first_token_p99_ms": rounded(reports[URGENT].first_p99_ms),
    })
}

/// Urgent requests that were refused although a lower class got its first
/// token between their arrival and the refusal.
fn urgent_shed_for_lower(load: &LoadPlan, records: &[Record]) -> usize {
    let is_urgent = |record: &&Record| load.flows[record.flow].name == URGENT;
    let served_at: Vec<Duration> = records
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
            let waited = record.planned_at..refused_at;
            served_at.iter().any(|served| waited.contains(served))
        })
        .count()
}

/// Times from the arrival to the refusal.
fn refusals<'a>(records: impl Iterator<Item = &'a Record>) -> impl Iterator<Item = Duration> {
    let is_refused = |record: &&Record| matches!(record.reply.outcome, Outcome::Refused { .. });
    records.filter(is_refused).map(Record::total)
}

/// Requests that were queued, displaced and refused, with the time from the
/// displacement until the caller was told, from the entries' logs.
fn told_after_displacement(fleet: &Cluster) -> Result<IndexMap<String, Duration>, MeasureError> {
    let mut displaced_at = IndexMap::new();
    let mut told_after = IndexMap::new();
    for entry in ["entry-0", "entry-1"] {
        for line in fleet.process(entry)?.log() {
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
                        let waited = Duration::from_millis(at_ms.saturating_sub(*displaced_ms));
                        told_after.insert(id.to_string(), waited);
                    }
                }
                _ => {}
            }
        }
    }
    Ok(told_after)
}

/// 99th percentile in milliseconds; 0 of nothing.
fn percentile_ms(mut times: Vec<Duration>) -> f64 {
    times.sort_unstable();
    let index = (times.len() * 99 / 100).min(times.len().saturating_sub(1));
    times
        .get(index)
        .map_or(0.0, |time| rounded(time.as_secs_f64() * 1_000.0))
}
