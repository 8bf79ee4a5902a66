//! Connection settings and output of the operator commands.

use std::sync::Arc;

use ::console::{OperatorClient, OperatorError};
use clap::{Args, ValueEnum};
use serde::Serialize;

use super::{
    common::{check_addr, PlatformArgs},
    CliError,
};

/// Sender name in the internal calls of operator commands.
const SENDER: &str = "operator";

/// Format of the output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub(crate) enum Output {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON document, for scripts.
    Json,
}

/// Arguments of every operator command.
#[derive(Debug, Args)]
pub(crate) struct OperatorArgs {
    #[command(flatten)]
    platform: PlatformArgs,
    /// Internal addresses (IP:port) of entries or agents that provide the
    /// instance list while the platform is unavailable.
    #[arg(long, env = "LIMPETGW_SEEDS", value_delimiter = ',')]
    seeds: Vec<String>,
    /// Format of the output.
    #[arg(long, env = "LIMPETGW_OUTPUT", value_enum, default_value = "text")]
    pub(crate) output: Output,
}

impl OperatorArgs {
    pub(crate) fn client(&self) -> Result<OperatorClient, CliError> {
        let platform = Arc::new(self.platform.client()?);
        let secrets = self.platform.secrets()?;
        let seeds = self.seeds.iter().map(|seed| check_addr("--seeds", seed));
        Ok(OperatorClient {
            seeds: seeds.collect::<Result<_, _>>()?,
            store: platform.clone(),
            instances: platform,
            peers: rpc::Client::new(SENDER.into(), secrets),
        })
    }

    /// Prints a report in the selected format.
    pub(crate) fn print<T: Serialize>(&self, report: &T, as_text: impl FnOnce(&T) -> String) {
        match self.output {
            Output::Json => {
                // Serializing strings and numbers cannot fail.
                let text = serde_json::to_string_pretty(report).unwrap_or_default();
                println!("{text}");
            }
            Output::Text => println!("{}", as_text(report)),
        }
    }
}

/// Formats items with one line per item.
pub(crate) fn join_lines<T: ToString>(items: &[T]) -> String {
    let lines: Vec<String> = items.iter().map(T::to_string).collect();
    lines.join("\n")
}

impl From<OperatorError> for CliError {
    fn from(error: OperatorError) -> Self {
        CliError::Operator(Box::new(error))
    }
}
