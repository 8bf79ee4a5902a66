//! The command line of limpetgw, as a library so that its pages can be made
//! from the same definition that parses it.

mod cli;

use std::process::ExitCode;

use clap::{CommandFactory, Parser};

/// Definition of the command line.
pub fn command() -> clap::Command {
    cli::Cli::command()
}

/// Parses the process's arguments and runs the command.
pub fn run() -> ExitCode {
    let cli = match cli::Cli::try_parse() {
        Ok(cli) => cli,
        Err(error) => return cli::report_usage(&error),
    };
    match smol::block_on(cli.run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("limpetgw: {error}");
            error.exit_code()
        }
    }
}
