//! The `limpetgw` program: daemons and operator commands in one binary.

mod cli;

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
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
