//! Sets up the logger of the process.

use std::{
    fmt,
    time::{SystemTime, UNIX_EPOCH},
};

use crate::{events::EVENT_TARGET, log_writer::LogWriter};

/// Encoding of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object per line.
    #[default]
    Json,
    /// Plain text for reading in a terminal.
    Text,
}

/// Destination of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard error, written synchronously.
    #[default]
    Stderr,
    /// Standard output, written by a background thread.
    Stdout,
}

/// Error returned when a logger is already installed in the process.
#[derive(Debug, thiserror::Error)]
#[error("a logger is already installed in this process")]
pub struct LogSetupError;

/// Installs the global logger, which writes to `output`.
///
/// `level` applies to events and to the target `limpetgw`; other targets log
/// warnings and errors only.
///
/// # Errors
///
/// Returns [`LogSetupError`] if a logger is already installed.
pub fn init_log(
    output: LogOutput,
    format: LogFormat,
    level: log::LevelFilter,
) -> Result<(), LogSetupError> {
    // The format adds the line break, so that each line takes one system call.
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
        .map_or(0, |elapsed| elapsed.as_millis())
}
