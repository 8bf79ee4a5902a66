//! Collects the events of one request from the logs of several processes.
//!
//! Every process that makes a decision about a request logs it with the
//! request id. This crate does no I/O: callers pass in the text of the logs.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// One event of the request, parsed from one line of a log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoggedEvent {
    /// Time at which the event was logged, in milliseconds since the Unix epoch.
    pub time_unix_ms: u64,
    /// Position of the line in the logs, as `FILE:LINE`.
    #[serde(default)]
    pub source: String,
    /// Log level of the event, such as `INFO`.
    pub level: String,
    /// Number of the event in the event catalogue.
    pub number: u32,
    /// Name of the event in the event catalogue.
    pub event: String,
    /// Fields of the event, including `request_id`.
    pub fields: Map<String, Value>,
}

/// All events of one request that the given logs contain.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Id of the request.
    pub request_id: String,
    /// Events sorted by time. Clock differences between processes can put them
    /// in the wrong order.
    pub events: Vec<LoggedEvent>,
    /// Number of lines that contain the request id but are not log events.
    pub lines_skipped: usize,
}

/// Collects the events of one request.
#[derive(Debug)]
pub struct Collector {
    report: Report,
}

impl Collector {
    /// Creates a collector for the events of one request.
    pub fn new(request_id: &str) -> Self {
        Self {
            report: Report {
                request_id: request_id.into(),
                ..Report::default()
            },
        }
    }

    /// Reads one log in JSON Lines format. Lines that are not numbered events are
    /// skipped and counted: a log may contain other output, such as the message
    /// of a panic.
    pub fn read_log(&mut self, name: &str, text: &str) {
        for (index, line) in text.lines().enumerate() {
            self.read_line(name, index + 1, line);
        }
    }

    /// Returns the report with the events sorted by time.
    pub fn finish(mut self) -> Report {
        self.report.events.sort_by_key(|event| event.time_unix_ms);
        self.report
    }

    fn read_line(&mut self, name: &str, line_number: usize, line: &str) {
        // Most lines belong to other requests; a substring search avoids parsing
        // them.
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
            writeln!(
                f,
                "{} lines with the request id were not log events",
                self.lines_skipped
            )?;
        }
        Ok(())
    }
}
