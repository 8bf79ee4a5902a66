//! The command line of limpetgw. It is a library so that the operator pages
//! can be generated from the definition that parses the arguments.

mod cli;

use std::process::ExitCode;

use clap::{CommandFactory, Parser};

/// Returns the definition of the command line.
pub fn command() -> clap::Command {
    cli::Cli::command()
}

/// Parses the process's arguments, runs the command and returns its exit code.
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
