//! Chores of the project: `cargo xtask NAME`.

use std::{path::Path, process::ExitCode};

use clap::{Parser, Subcommand};

/// Chores of the project.
#[derive(Debug, Parser)]
#[command(name = "cargo xtask")]
struct Cli {
    #[command(subcommand)]
    chore: Chore,
}

#[derive(Debug, Subcommand)]
enum Chore {
    /// Renew the pages that are made from the code.
    Docs,
}

fn main() -> ExitCode {
    match Cli::parse().chore {
        Chore::Docs => docs(),
    }
}

fn docs() -> ExitCode {
    let root = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/.."));
    if let Err(error) = xtask::docs::write_pages(root) {
        eprintln!("docs: {error}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
