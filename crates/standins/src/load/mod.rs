//! An open-loop load: requests are sent at set times, whatever became of the
//! ones before.
//!
//! # Invariants
//!
//! The same plan yields the same arrivals with the same prompts. Times count
//! from the arrival that was planned, so a late sender never flatters the
//! fleet.

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

/// Settings of the load tool.
#[derive(Clone, Debug, Args)]
pub struct LoadArgs {
    /// File with the plan as JSON; `-` is standard input.
    #[arg(long)]
    plan: PathBuf,
    /// Addresses of entries (IP:port) in place of those in the plan.
    #[arg(long = "entry")]
    entries: Vec<String>,
}

/// Runs a plan and prints its report as JSON, by class.
///
/// # Errors
///
/// When the plan can't be read.
pub async fn run_tool(args: LoadArgs) -> io::Result<()> {
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
