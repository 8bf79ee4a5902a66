//! Puts one request's events together from the logs of many processes.
//!
//! Pure: log lines come in as text, a report goes out as values. The same
//! request id is logged by every process that decided something about it.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// One event of the request, from one line of a log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoggedEvent {
    /// When the process logged it, in milliseconds since 1970.
    pub time_unix_ms: u64,
    /// Where the line stood, as `FILE:LINE`.
    #[serde(default)]
    pub source: String,
    /// Severity.
    pub level: String,
    /// Number in the catalogue.
    pub number: u32,
    /// Name in the catalogue.
    pub event: String,
    /// The event's fields.
    pub fields: Map<String, Value>,
}

/// Everything that the given logs say about one request.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// The request.
    pub request_id: String,
    /// Its events, by time; clocks of different processes may differ a little.
    pub events: Vec<LoggedEvent>,
    /// Lines that were no log events and have been passed over.
    pub lines_skipped: usize,
}

/// Collects the events of one request.
#[derive(Debug)]
pub struct Collector {
    report: Report,
}

impl Collector {
    /// Starts a report on one request.
    pub fn new(request_id: &str) -> Self {
        Self {
            report: Report {
                request_id: request_id.into(),
                ..Report::default()
            },
        }
    }

    /// Takes in one log in JSON lines. Lines that are no numbered events are
    /// counted and passed over: a log may hold a process's last words.
    pub fn read_log(&mut self, name: &str, text: &str) {
        for (index, line) in text.lines().enumerate() {
            self.read_line(name, index + 1, line);
        }
    }

    /// The report, its events in order of time.
    pub fn finish(mut self) -> Report {
        self.report.events.sort_by_key(|event| event.time_unix_ms);
        self.report
    }

    fn read_line(&mut self, name: &str, line_number: usize, line: &str) {
        // Most lines belong to other requests: look before parsing.
        if !line.contains(&self.report.request_id) {
            return;
        }
        let Ok(mut event) = serde_json::from_str::<LoggedEvent>(line) else {
            self.report.lines_skipped += 1;
            return;
        };
        let id = event.fields.get("request_id").and_then(Value::as_str);
        if id != Some(&self.report.request_id) {
            return;
        }
        event.source = format!("{name}:{line_number}");
        self.report.events.push(event);
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(first) = self.events.first() else {
            return writeln!(f, "no event of request {}", self.request_id);
        };
        writeln!(f, "request {}", self.request_id)?;
        for event in &self.events {
            let since_ms = event.time_unix_ms.saturating_sub(first.time_unix_ms);
            write!(f, "{since_ms:>8} ms  {} {}", event.number, event.event)?;
            for (name, value) in &event.fields {
                if name != "request_id" {
                    write!(f, " {name}={value}")?;
                }
            }
            writeln!(f, "  ({})", event.source)?;
        }
        if self.lines_skipped > 0 {
            writeln!(f, "{} lines were no events", self.lines_skipped)?;
        }
        Ok(())
    }
}
