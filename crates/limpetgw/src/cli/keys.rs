//! The command `limpetgw keys`, which generates API keys.

use clap::{Args, Subcommand};

use super::{operator::Output, CliError};

/// Arguments of `limpetgw keys`.
#[derive(Debug, Args)]
pub(crate) struct KeysArgs {
    #[command(subcommand)]
    command: KeysCommand,
}

#[derive(Debug, Subcommand)]
enum KeysCommand {
    /// Generate a key and print it once, with the digest to store in the team's
    /// `key_digests`.
    New {
        /// Name of the team that the key is for.
        team: String,
        /// Format of the output.
        #[arg(long, env = "LIMPETGW_OUTPUT", value_enum, default_value = "text")]
        output: Output,
    },
}

impl KeysArgs {
    pub(crate) fn run(&self) -> Result<(), CliError> {
        let KeysCommand::New { team, output } = &self.command;
        let key = ::console::NewKey::random(team.as_str().into());
        match output {
            Output::Json => println!("{}", key.to_json()),
            Output::Text => println!("{}", key.to_text()),
        }
        Ok(())
    }
}
