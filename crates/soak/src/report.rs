//! Reports of a run: the printed table, the JSON summary and the SVG timeline.

use std::{collections::BTreeMap, fmt, path::Path};

use plotters::prelude::*;
use serde::Serialize;

use crate::{
    checks::{CheckResults, Guarantee, Violation},
    record::Record,
};

/// Largest number of violations listed in the table.
const VIOLATIONS_SHOWN_MAX: usize = 12;
/// Width and height of the timeline, in pixels.
const TIMELINE_SIZE: (u32, u32) = (1_200, 500);

/// Result of a run, as printed and as written to the JSON report.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Seed from which the run was generated.
    pub seed: u64,
    /// Command that repeats the run.
    pub again: String,
    /// Number of injected faults, by kind.
    pub faults: BTreeMap<&'static str, usize>,
    /// Number of requests, by HTTP status; status 0 means no response.
    pub requests: BTreeMap<u16, usize>,
    /// Number of checks made, by guarantee.
    pub looked_at: BTreeMap<Guarantee, usize>,
    /// Violations that the checks found.
    pub broken: Vec<Violation>,
    /// Largest resident set size of any gateway, in bytes.
    pub memory_peak_bytes: u64,
}

impl Summary {
    /// Summarizes a run; `again` is the command that repeats it.
    pub fn new(seed: u64, again: &str, record: &Record, results: &CheckResults) -> Self {
        let mut faults = BTreeMap::new();
        for injected in &record.happened {
            *faults.entry(injected.fault.kind()).or_default() += 1;
        }
        let mut requests = BTreeMap::new();
        for request in &record.asked {
            *requests.entry(request.status).or_default() += 1;
        }
        let peaks = record.used.iter().map(|used| used.memory_bytes);
        Self {
            seed,
            again: again.into(),
            faults,
            requests,
            looked_at: results.looked_at.clone(),
            broken: results.broken.clone(),
            memory_peak_bytes: peaks.max().unwrap_or(0),
        }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (kind, count) in &self.faults {
            writeln!(out, "  fault    {count:>6}  {kind}")?;
        }
        for (status, count) in &self.requests {
            writeln!(out, "  answered {count:>6}  {status}")?;
        }
        for (guarantee, count) in &self.looked_at {
            let is_of_guarantee = |broken: &&Violation| broken.promise == *guarantee;
            let broken = self.broken.iter().filter(is_of_guarantee).count();
            writeln!(out, "  checked  {count:>6}  {guarantee:?}, {broken} broken")?;
        }
        for broken in self.broken.iter().take(VIOLATIONS_SHOWN_MAX) {
            let Violation {
                promise,
                subject,
                detail,
            } = broken;
            writeln!(out, "  BROKEN {promise:?} {subject}: {detail}")?;
        }
        match self.broken.is_empty() {
            true => writeln!(out, "  seed {}: no guarantee was violated", self.seed),
            false => writeln!(
                out,
                "  seed {}: repeat the run with `{}`",
                self.seed, self.again
            ),
        }
    }
}

/// Writes an SVG timeline that shows faults as bars, served requests per
/// second as a line, and requests with a violation as dots.
///
/// # Errors
///
/// Returns the text of the error if the file cannot be drawn or written.
pub fn draw_timeline(path: &Path, record: &Record, results: &CheckResults) -> Result<(), String> {
    let start_ms = record.asked.iter().map(|request| request.sent_ms).min();
    let start_ms = start_ms.unwrap_or(0);
    let end_ms = record.asked.iter().map(|request| request.ended_ms).max();
    let seconds_since_start = |at_ms: u64| at_ms.saturating_sub(start_ms) as f64 / 1_000.0;
    let mut kinds: Vec<&str> = record
        .happened
        .iter()
        .map(|injected| injected.fault.kind())
        .collect();
    kinds.sort_unstable();
    kinds.dedup();
    let row = |kind: &str| kinds.iter().position(|known| *known == kind).unwrap_or(0) as f64;
    let rows = kinds.len() as f64 + 3.0;
    let served = served_by_second(record, start_ms);
    let served_max = served.iter().copied().max().unwrap_or(1).max(1) as f64;

    let area = SVGBackend::new(path, TIMELINE_SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|error| error.to_string())?;
    let length_s = seconds_since_start(end_ms.unwrap_or(start_ms)).max(1.0);
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .build_cartesian_2d(0.0..length_s, 0.0..rows)
        .map_err(|error| error.to_string())?;
    let bars = record.happened.iter().map(|injected| {
        let bottom = row(injected.fault.kind());
        let corners = [
            (seconds_since_start(injected.from_ms), bottom + 0.1),
            (seconds_since_start(injected.to_ms), bottom + 0.9),
        ];
        Rectangle::new(corners, BLUE.mix(0.4).filled())
    });
    chart.draw_series(bars).map_err(|error| error.to_string())?;
    let line = served.iter().enumerate().map(|(at_s, count)| {
        let height = rows - 3.0 + 2.8 * *count as f64 / served_max;
        (at_s as f64, height)
    });
    let line = LineSeries::new(line, &GREEN);
    chart.draw_series(line).map_err(|error| error.to_string())?;
    let dots = results.broken.iter().filter_map(|broken| {
        let mut requests = record.asked.iter();
        let request = requests.find(|request| request.id == broken.subject)?;
        Some(Circle::new(
            (seconds_since_start(request.ended_ms), rows - 0.1),
            4,
            RED.filled(),
        ))
    });
    chart.draw_series(dots).map_err(|error| error.to_string())?;
    area.present().map_err(|error| error.to_string())
}

fn served_by_second(record: &Record, start_ms: u64) -> Vec<usize> {
    let mut served = Vec::new();
    for request in record.asked.iter().filter(|request| request.status == 200) {
        let at_s = (request.ended_ms.saturating_sub(start_ms) / 1_000) as usize;
        if served.len() <= at_s {
            served.resize(at_s + 1, 0);
        }
        served[at_s] += 1;
    }
    served
}
