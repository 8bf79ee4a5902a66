//! Table of results that the demonstration prints at the end.

use std::fmt::Write;

use indexmap::IndexMap;
use standins::load::Report;

/// Returns a table with one line per flow below a line of headings.
pub(super) fn render(reports: &IndexMap<String, Report>) -> String {
    let mut text =
        String::from("class       sent  whole  refused  in target  first token p50   p99\n");
    for (name, report) in reports {
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{name:<10} {:>5}  {:>5}  {:>7}  {:>8.1}%  {:>12.1} ms  {:>4.0} ms",
            report.sent,
            report.whole,
            report.refused_total(),
            report.attainment * 100.0,
            report.first_p50_ms,
            report.first_p99_ms,
        );
    }
    text
}
