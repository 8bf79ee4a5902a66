//! What a load came to, by flow.

use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{LoadPlan, Record};
use crate::caller::Outcome;

/// Longest time that is told apart, in microseconds (ten minutes).
const TIME_MAX_US: u64 = 600_000_000;

/// What became of the requests of one flow.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Requests sent.
    pub sent: usize,
    /// Own and whole answers.
    pub whole: usize,
    /// Refusals by their code.
    pub refused: IndexMap<String, usize>,
    /// Answers that visibly broke off.
    pub broken: usize,
    /// Answers of someone else.
    pub crossed: usize,
    /// Answers that looked whole and were not: tokens missing or twice.
    pub corrupt: usize,
    /// Requests without any answer.
    pub lost: usize,
    /// Whole answers whose first part came within the target.
    pub attained: usize,
    /// Share of the sent requests that attained the target.
    pub attainment: f64,
    /// Tokens of whole answers.
    pub tokens_whole: u64,
    /// Median time to the first token of whole answers, in milliseconds.
    pub first_p50_ms: f64,
    /// 99th percentile of the same, in milliseconds.
    pub first_p99_ms: f64,
    /// 99th percentile of the time to a whole answer's end, in milliseconds.
    pub total_p99_ms: f64,
    /// 99th percentile of the time to a refusal, in milliseconds.
    pub refusal_p99_ms: f64,
}

impl Report {
    /// All refusals.
    pub fn refused_total(&self) -> usize {
        self.refused.values().sum()
    }

    /// Answers that a caller must never get, or never got.
    pub fn failures(&self) -> usize {
        self.broken + self.crossed + self.corrupt + self.lost
    }
}

/// Reports by the names of the flows; flows of one name are put together.
pub fn summarize(load: &LoadPlan, records: &[Record]) -> IndexMap<String, Report> {
    let mut tallies: IndexMap<String, Tally> = IndexMap::new();
    for flow in &load.flows {
        tallies.entry(flow.name.clone()).or_default();
    }
    for record in records {
        let flow = &load.flows[record.flow];
        if let Some(tally) = tallies.get_mut(&flow.name) {
            tally.take(record, flow.target_ms);
        }
    }
    tallies
        .into_iter()
        .map(|(name, tally)| (name, tally.finish()))
        .collect()
}

/// A report in the making.
struct Tally {
    report: Report,
    first: Histogram<u64>,
    total: Histogram<u64>,
    refusal: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            report: Report::default(),
            first: histogram(),
            total: histogram(),
            refusal: histogram(),
        }
    }
}

impl Tally {
    fn take(&mut self, record: &Record, target_ms: u64) {
        let report = &mut self.report;
        report.sent += 1;
        if record.meets_target(target_ms) {
            report.attained += 1;
        }
        match &record.reply.outcome {
            Outcome::Complete { tokens } => {
                report.whole += 1;
                report.tokens_whole += u64::from(*tokens);
                note(
                    &mut self.first,
                    record.time_to_first_token().unwrap_or_default(),
                );
                note(&mut self.total, record.total());
            }
            Outcome::Refused { code, status, .. } => {
                let code = code.map_or_else(|| status.to_string(), |code| code.as_str().into());
                *report.refused.entry(code).or_default() += 1;
                note(&mut self.refusal, record.total());
            }
            Outcome::Broken { .. } => report.broken += 1,
            Outcome::Crossed { .. } => report.crossed += 1,
            Outcome::Corrupt { .. } => report.corrupt += 1,
            Outcome::NoResponse { .. } | Outcome::TimedOut { .. } => report.lost += 1,
        }
    }

    fn finish(self) -> Report {
        let mut report = self.report;
        report.attainment = report.attained as f64 / report.sent.max(1) as f64;
        report.first_p50_ms = at_quantile(&self.first, 0.5);
        report.first_p99_ms = at_quantile(&self.first, 0.99);
        report.total_p99_ms = at_quantile(&self.total, 0.99);
        report.refusal_p99_ms = at_quantile(&self.refusal, 0.99);
        report
    }
}

/// A histogram of times in microseconds that grows as it has to.
fn histogram() -> Histogram<u64> {
    // Three digits are within what the library takes.
    Histogram::new(3).unwrap_or_else(|_| unreachable!("three significant digits are allowed"))
}

fn note(histogram: &mut Histogram<u64>, time: Duration) {
    let time_us = (time.as_micros() as u64).clamp(1, TIME_MAX_US);
    // An auto-resizing histogram takes every value.
    let _ = histogram.record(time_us);
}

fn at_quantile(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}
