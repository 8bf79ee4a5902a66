//! Checks whether the guarantees to callers held during the demonstration.

use harness::{Ledger, Outcome};
use indexmap::IndexMap;
use standins::load::{LoadPlan, Record};
use types::Verdict;

/// Returns a description of each violation: a response that was lost,
/// truncated, invalid or meant for another request, a request with an
/// idempotency key that ran twice, or one that ran although its caller got the
/// verdict "not run".
pub(super) fn find_violations(load: &LoadPlan, records: &[Record], ledger: &Ledger) -> Vec<String> {
    let mut violations: Vec<String> = records
        .iter()
        .filter_map(|record| response_violation(load, record))
        .collect();
    let mut runs: IndexMap<&str, usize> = IndexMap::new();
    for run in &ledger.runs {
        *runs.entry(run.idempotency_key.as_str()).or_default() += 1;
        let was_reported_not_run = records.iter().any(|record| {
            record.reply.request_id == run.request_id
                && record.reply.outcome.verdict() == Some(Verdict::NotRun)
        });
        if was_reported_not_run {
            violations.push(format!(
                "{} ran although its caller got the verdict \"not run\"",
                run.request_id
            ));
        }
    }
    let duplicate_runs = runs
        .iter()
        .filter(|(key, count)| !key.is_empty() && **count > 1);
    violations.extend(
        duplicate_runs.map(|(key, count)| format!("idempotency key {key} ran {count} times")),
    );
    violations
}

fn response_violation(load: &LoadPlan, record: &Record) -> Option<String> {
    let description = match &record.reply.outcome {
        Outcome::Complete { .. } | Outcome::Refused { .. } => return None,
        Outcome::Broken { tokens, reason, .. } => {
            format!("response truncated after {tokens} tokens: {reason}")
        }
        Outcome::Crossed { reason } => format!("response of another request: {reason}"),
        Outcome::Corrupt { reason } => format!("invalid response: {reason}"),
        Outcome::NoResponse { reason } => format!("no response: {reason}"),
        Outcome::TimedOut { tokens } => format!("no end of the response after {tokens} tokens"),
    };
    let flow = &load.flows[record.flow].name;
    Some(format!("{flow} {}: {description}", record.reply.request_id))
}
