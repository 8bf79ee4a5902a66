//! Development tasks of the project, run as `cargo xtask NAME`.

use std::{error::Error, path::Path, process::ExitCode};

use clap::{Parser, Subcommand};
use xtask::{build, demo, docs, measure};

/// Development tasks of the project.
#[derive(Debug, Parser)]
#[command(name = "cargo xtask")]
struct Cli {
    #[command(subcommand)]
    chore: Task,
}

#[derive(Debug, Subcommand)]
enum Task {
    /// Build everything, run a cluster under load, crash an engine and print
    /// the results that callers saw.
    Demo,
    /// Measure the release build and print the figures as JSON.
    Measure(measure::MeasureArgs),
    /// Inject random faults into real processes and check the product's
    /// guarantees.
    Soak(soak::SoakArgs),
    /// Update the documentation sections that are generated from the code.
    Docs,
}

fn main() -> ExitCode {
    let result = match Cli::parse().chore {
        Task::Demo => demo::run().map_err(Box::<dyn Error>::from),
        Task::Measure(args) => measure::run(&args).map_err(Box::<dyn Error>::from),
        Task::Soak(args) => run_soak(&args),
        Task::Docs => docs::update_docs(root()).map_err(Box::<dyn Error>::from),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("xtask: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_soak(args: &soak::SoakArgs) -> Result<(), Box<dyn Error>> {
    build::build(build::Profile::Dev)?;
    Ok(soak::run(args)?)
}

fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/.."))
}
