//! The command `limpetgw explain`, which reports the events of one request.

use std::{
    fs,
    io::{self, Read},
    path::PathBuf,
};

use clap::Args;

use super::CliError;

/// Arguments of `limpetgw explain`.
#[derive(Debug, Args)]
pub(crate) struct ExplainArgs {
    /// Request id, as in the x-request-id header of the response.
    request_id: String,
    /// Log files in JSON Lines format; standard input if none is given.
    logs: Vec<PathBuf>,
    /// Print JSON instead of text.
    #[arg(long)]
    json: bool,
}

impl ExplainArgs {
    pub(crate) fn run(&self) -> Result<(), CliError> {
        let mut collector = explain::Collector::new(&self.request_id);
        if self.logs.is_empty() {
            collector.read_log("standard input", &read_stdin()?);
        }
        for path in &self.logs {
            let name = path.display().to_string();
            let text = fs::read_to_string(path).map_err(|error| CliError::Setting {
                flag: "LOGS",
                value: name.clone(),
                allowed: format!("a readable file ({error})"),
            })?;
            collector.read_log(&name, &text);
        }
        let report = collector.finish();
        if self.json {
            // Serializing strings and numbers cannot fail.
            println!("{}", serde_json::to_string(&report).unwrap_or_default());
        } else {
            print!("{report}");
        }
        if report.events.is_empty() {
            return Err(CliError::NothingFound);
        }
        Ok(())
    }
}

fn read_stdin() -> Result<String, CliError> {
    let mut text = String::new();
    io::stdin()
        .read_to_string(&mut text)
        .map_err(|error| CliError::Setting {
            flag: "standard input",
            value: String::new(),
            allowed: format!("readable UTF-8 text ({error})"),
        })?;
    Ok(text)
}
