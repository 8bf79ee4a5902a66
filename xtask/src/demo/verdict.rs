//! Whether the promises to callers were kept.

use harness::{Ledger, Outcome};
use indexmap::IndexMap;
use standins::load::{LoadPlan, Record};
use types::Verdict;

/// Every broken promise in words: an answer lost, doubled, crossed or cut, an
/// order run twice, or one that ran though its caller was told it did not.
pub(super) fn broken_promises(load: &LoadPlan, records: &[Record], ledger: &Ledger) -> Vec<String> {
    let mut broken: Vec<String> = records
        .iter()
        .filter_map(|record| bad_answer(load, record))
        .collect();
    let mut runs: IndexMap<&str, usize> = IndexMap::new();
    for run in &ledger.runs {
        *runs.entry(run.idempotency_key.as_str()).or_default() += 1;
        let was_denied = records.iter().any(|record| {
            record.reply.request_id == run.request_id
                && record.reply.outcome.verdict() == Some(Verdict::NotRun)
        });
        if was_denied {
            broken.push(format!("{} was \"not run\" and ran", run.request_id));
        }
    }
    let doubled = runs
        .iter()
        .filter(|(key, count)| !key.is_empty() && **count > 1);
    broken.extend(doubled.map(|(key, count)| format!("{key} ran {count} times")));
    broken
}

fn bad_answer(load: &LoadPlan, record: &Record) -> Option<String> {
    let what = match &record.reply.outcome {
        Outcome::Complete { .. } | Outcome::Refused { .. } => return None,
        Outcome::Broken { tokens, reason, .. } => format!("cut after {tokens} tokens: {reason}"),
        Outcome::Crossed { reason } => format!("crossed: {reason}"),
        Outcome::Corrupt { reason } => format!("not whole: {reason}"),
        Outcome::NoResponse { reason } => format!("lost: {reason}"),
        Outcome::TimedOut { tokens } => format!("lost after {tokens} tokens: no end"),
    };
    let flow = &load.flows[record.flow].name;
    Some(format!("{flow} {}: {what}", record.reply.request_id))
}
