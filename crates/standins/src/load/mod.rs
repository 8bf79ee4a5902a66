//! Open-loop load generator: requests are sent at planned times, independently
//! of the outcome of earlier requests.
//!
//! # Invariants
//!
//! The same plan yields the same arrivals with the same prompts. Latencies are
//! measured from the planned arrival, so a delay of the sender does not reduce
//! them.

mod arrivals;
mod plan;
mod report;
mod run;

use std::{io, path::PathBuf};

use clap::Args;

pub use arrivals::{arrivals, Arrival};
pub use plan::{Flow, LoadPlan, Phase, RequestKind};
pub use report::{summarize, Report};
pub use run::{run, Record};

/// Command-line arguments of the load generator.
#[derive(Clone, Debug, Args)]
pub struct LoadArgs {
    /// File with the load plan as JSON; `-` reads standard input.
    #[arg(long)]
    plan: PathBuf,
    /// Addresses of entries (IP:port), instead of those in the plan.
    #[arg(long = "entry")]
    entries: Vec<String>,
}

/// Runs a load plan and prints the reports by flow name as JSON.
///
/// # Errors
///
/// Returns an error if the plan can't be read or decoded.
pub async fn run_from_args(args: LoadArgs) -> io::Result<()> {
    let text = match args.plan.as_os_str() == "-" {
        true => io::read_to_string(io::stdin())?,
        false => std::fs::read_to_string(&args.plan)?,
    };
    let mut load: LoadPlan = serde_json::from_str(&text)?;
    if !args.entries.is_empty() {
        load.entries = args.entries;
    }
    let records = run(&load).await;
    println!(
        "{}",
        serde_json::to_string_pretty(&summarize(&load, &records))?
    );
    Ok(())
}
