//! The command line: every setting is a flag and an environment variable.

mod agent;
mod common;
mod config;
mod console;
mod drain;
mod entry;
mod explain;
mod gateway;
mod keys;
mod operator;
mod status;

use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand};

/// Exit code for settings that are wrong or contradict each other.
const EXIT_USAGE: u8 = 2;

/// A router for language-model traffic with service levels and priorities.
#[derive(Debug, Parser)]
#[command(name = "limpetgw", version, about)]
pub(crate) struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run an entry: take in callers and route their requests.
    Entry(Box<entry::EntryArgs>),
    /// Run a gateway: an entry that sends straight to the instances of the
    /// users' platform.
    Gateway(Box<gateway::GatewayArgs>),
    /// Run an agent: the gate beside one upstream instance.
    Agent(Box<agent::AgentArgs>),
    /// Show why a request went where it went, from log files.
    Explain(explain::ExplainArgs),
    /// Show, compare, submit and follow configurations.
    Config(Box<config::ConfigArgs>),
    /// Lead through forms to one document and put it into force.
    Console(Box<console::ConsoleArgs>),
    /// Show the state of every listed process.
    Status(Box<status::StatusArgs>),
    /// Let an instance finish what it has and leave.
    Drain(Box<drain::DrainArgs>),
    /// Make API keys for teams.
    Keys(keys::KeysArgs),
    /// Print a completion script for a shell.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

/// A command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CliError {
    /// A setting is wrong.
    #[error("{flag}: `{value}` is not allowed: {allowed}")]
    Setting {
        flag: &'static str,
        value: String,
        allowed: String,
    },
    /// The command found nothing to show.
    #[error("nothing found")]
    NothingFound,
    /// The entry could not run.
    #[error(transparent)]
    Entry(#[from] ::entry::RunError),
    /// The gateway could not run.
    #[error(transparent)]
    Gateway(#[from] ::gateway::RunError),
    /// The agent could not run.
    #[error(transparent)]
    Agent(#[from] ::agent::RunError),
    /// An operator command failed.
    #[error(transparent)]
    Operator(Box<::console::OperatorError>),
}

impl CliError {
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            CliError::Setting { .. } => ExitCode::from(EXIT_USAGE),
            CliError::Operator(error) => ExitCode::from(error.exit_code()),
            CliError::NothingFound
            | CliError::Entry(_)
            | CliError::Gateway(_)
            | CliError::Agent(_) => ExitCode::FAILURE,
        }
    }
}

impl Cli {
    pub(crate) async fn run(self) -> Result<(), CliError> {
        match self.command {
            Command::Entry(args) => args.run().await,
            Command::Gateway(args) => args.run().await,
            Command::Agent(args) => args.run().await,
            Command::Explain(args) => args.run(),
            Command::Config(args) => args.run().await,
            Command::Console(args) => args.run().await,
            Command::Status(args) => args.run().await,
            Command::Drain(args) => args.run().await,
            Command::Keys(args) => args.run(),
            Command::Completions { shell } => {
                let mut command = Cli::command();
                clap_complete::generate(shell, &mut command, "limpetgw", &mut std::io::stdout());
                Ok(())
            }
        }
    }
}

/// Prints help, version or a usage error as `clap` words it.
pub(crate) fn report_usage(error: &clap::Error) -> ExitCode {
    // Nothing is left to do when the terminal is gone.
    let _ = error.print();
    ExitCode::from(u8::try_from(error.exit_code()).unwrap_or(EXIT_USAGE))
}
