//! The process's log output.

use std::{
    fmt,
    time::{SystemTime, UNIX_EPOCH},
};

use crate::{events::EVENT_TARGET, log_writer::LogWriter};

/// Form of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object a line.
    #[default]
    Json,
    /// Text for a terminal.
    Text,
}

/// Where the log lines go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogOutput {
    /// To standard error, each as it is logged.
    #[default]
    Stderr,
    /// To standard output, in the background.
    Stdout,
}

/// The log could not be set up.
#[derive(Debug, thiserror::Error)]
#[error("the log is already set up")]
pub struct LogSetupError;

/// Sends log lines to `output`.
///
/// # Errors
///
/// [`LogSetupError`] when the process has a logger already.
pub fn init_log(
    output: LogOutput,
    format: LogFormat,
    level: log::LevelFilter,
) -> Result<(), LogSetupError> {
    // The line's end goes with the line: one system call for each.
    let output = match output {
        LogOutput::Stderr => fern::Output::stderr(""),
        LogOutput::Stdout => {
            let writer = LogWriter::start(std::io::stdout());
            fern::Output::call(move |record| writer.write(record.args().to_string()))
        }
    };
    let dispatch = fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for(EVENT_TARGET, level)
        .level_for("limpetgw", level)
        .chain(output);
    let dispatch = match format {
        LogFormat::Json => dispatch.format(|out, message, record| {
            out.finish(format_args!("{}\n", json_line(message, record)))
        }),
        LogFormat::Text => dispatch.format(|out, message, record| {
            out.finish(format_args!(
                "{} {} {} {message}\n",
                unix_ms(),
                record.level(),
                record.target()
            ))
        }),
    };
    dispatch.apply().map_err(|_| LogSetupError)
}

fn json_line(message: &fmt::Arguments<'_>, record: &log::Record<'_>) -> String {
    let time_ms = unix_ms();
    let level = record.level();
    let text = message.to_string();
    if record.target() == EVENT_TARGET {
        let mut parts = text.splitn(3, ' ');
        let number = parts.next().unwrap_or_default();
        let name = parts.next().unwrap_or_default();
        let fields = parts.next().unwrap_or("{}");
        return format!(
            r#"{{"time_unix_ms":{time_ms},"level":"{level}","number":{number},"event":"{name}","fields":{fields}}}"#
        );
    }
    let target = record.target();
    let message = serde_json::Value::String(text);
    format!(
        r#"{{"time_unix_ms":{time_ms},"level":"{level}","target":"{target}","message":{message}}}"#
    )
}

fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |span| span.as_millis())
}
