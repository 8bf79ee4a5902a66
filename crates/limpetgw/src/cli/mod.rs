//! The command line. Every setting is a flag and an environment variable.

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

/// Exit code for invalid or conflicting settings.
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
    /// Run an entry, which accepts requests from callers and routes them to
    /// agents.
    Entry(Box<entry::EntryArgs>),
    /// Run a gateway, which routes requests directly to the instances of the
    /// users' platform.
    Gateway(Box<gateway::GatewayArgs>),
    /// Run an agent, which queues and schedules the requests of one upstream
    /// instance.
    Agent(Box<agent::AgentArgs>),
    /// Report the routing decisions for a request from log files.
    Explain(explain::ExplainArgs),
    /// Show, compare and submit configurations.
    Config(Box<config::ConfigArgs>),
    /// Edit the configuration with forms and submit it.
    Console(Box<console::ConsoleArgs>),
    /// Show the state of every listed process.
    Status(Box<status::StatusArgs>),
    /// Drain an instance: it completes its requests and stops.
    Drain(Box<drain::DrainArgs>),
    /// Generate API keys for teams.
    Keys(keys::KeysArgs),
    /// Print a completion script for a shell.
    Completions {
        /// Shell that the script is for.
        shell: clap_complete::Shell,
    },
}

/// An error of a command, printed to stderr.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CliError {
    /// A setting has an invalid value.
    #[error("invalid value `{value}` for {flag}: expected {allowed}")]
    Setting {
        flag: &'static str,
        value: String,
        allowed: String,
    },
    /// The log files contain no event of the request.
    #[error("nothing found: the log files contain no event of the request")]
    NothingFound,
    /// The entry failed to start or to run.
    #[error(transparent)]
    Entry(#[from] ::entry::RunError),
    /// The gateway failed to start or to run.
    #[error(transparent)]
    Gateway(#[from] ::gateway::RunError),
    /// The agent failed to start or to run.
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

/// Prints the help, the version or a usage error and returns the exit code.
pub(crate) fn report_usage(error: &clap::Error) -> ExitCode {
    // A write error is ignored: the message cannot be shown anywhere else.
    let _ = error.print();
    ExitCode::from(u8::try_from(error.exit_code()).unwrap_or(EXIT_USAGE))
}
