//! Aggregates the records of a load into reports by flow name.

use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{LoadPlan, Record};
use crate::caller::Outcome;

/// Maximum recorded time in microseconds (ten minutes); longer times are
/// recorded as this value.
const TIME_MAX_US: u64 = 600_000_000;

/// Counts and latency percentiles of the requests of one flow.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Number of requests sent.
    pub sent: usize,
    /// Number of complete and correct responses.
    pub whole: usize,
    /// Number of refusals by error code, or by HTTP status without a code.
    pub refused: IndexMap<String, usize>,
    /// Number of responses that were visibly interrupted.
    pub broken: usize,
    /// Number of responses that belong to another request.
    pub crossed: usize,
    /// Number of invalid responses, such as with missing or repeated tokens.
    pub corrupt: usize,
    /// Number of requests without a response or with a timeout.
    pub lost: usize,
    /// Number of complete responses that met the latency target.
    pub attained: usize,
    /// Share of the sent requests that met the latency target, from 0 to 1.
    pub attainment: f64,
    /// Total tokens of complete responses.
    pub tokens_whole: u64,
    /// Median time to the first token of complete responses, in milliseconds.
    pub first_p50_ms: f64,
    /// 99th percentile of the time to the first token of complete responses, in
    /// milliseconds.
    pub first_p99_ms: f64,
    /// 99th percentile of the time to the end of complete responses, in
    /// milliseconds.
    pub total_p99_ms: f64,
    /// 99th percentile of the time to a refusal, in milliseconds.
    pub refusal_p99_ms: f64,
}

impl Report {
    /// Returns the number of refusals with any code.
    pub fn refused_total(&self) -> usize {
        self.refused.values().sum()
    }

    /// Returns the number of interrupted, crossed, corrupt and lost responses.
    pub fn failures(&self) -> usize {
        self.broken + self.crossed + self.corrupt + self.lost
    }
}

/// Returns one report per flow name; flows with the same name are merged.
pub fn summarize(load: &LoadPlan, records: &[Record]) -> IndexMap<String, Report> {
    let mut builders: IndexMap<String, ReportBuilder> = IndexMap::new();
    for flow in &load.flows {
        builders.entry(flow.name.clone()).or_default();
    }
    for record in records {
        let flow = &load.flows[record.flow];
        if let Some(builder) = builders.get_mut(&flow.name) {
            builder.add(record, flow.target_ms);
        }
    }
    builders
        .into_iter()
        .map(|(name, builder)| (name, builder.finish()))
        .collect()
}

/// Accumulates the records of one report.
struct ReportBuilder {
    report: Report,
    first: Histogram<u64>,
    total: Histogram<u64>,
    refusal: Histogram<u64>,
}

impl Default for ReportBuilder {
    fn default() -> Self {
        Self {
            report: Report::default(),
            first: histogram(),
            total: histogram(),
            refusal: histogram(),
        }
    }
}

impl ReportBuilder {
    fn add(&mut self, record: &Record, target_ms: u64) {
        let report = &mut self.report;
        report.sent += 1;
        if record.meets_target(target_ms) {
            report.attained += 1;
        }
        match &record.reply.outcome {
            Outcome::Complete { tokens } => {
                report.whole += 1;
                report.tokens_whole += u64::from(*tokens);
                record_time(
                    &mut self.first,
                    record.time_to_first_token().unwrap_or_default(),
                );
                record_time(&mut self.total, record.total());
            }
            Outcome::Refused { code, status, .. } => {
                let code = code.map_or_else(|| status.to_string(), |code| code.as_str().into());
                *report.refused.entry(code).or_default() += 1;
                record_time(&mut self.refusal, record.total());
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

/// Returns a histogram of times in microseconds that resizes automatically.
fn histogram() -> Histogram<u64> {
    // The library accepts up to five significant digits.
    Histogram::new(3).unwrap_or_else(|_| unreachable!("three significant digits are allowed"))
}

fn record_time(histogram: &mut Histogram<u64>, time: Duration) {
    let time_us = (time.as_micros() as u64).clamp(1, TIME_MAX_US);
    // An auto-resizing histogram accepts every value.
    let _ = histogram.record(time_us);
}

fn at_quantile(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}
