//! Demonstration: kills an engine of a small cluster under load and shows that
//! callers still get complete responses.

mod load;
mod table;
mod violations;

use std::time::{Duration, Instant};

use futures_lite::future;
use harness::{args, Cluster, ClusterPlan, HarnessError};
use standins::load as tool;

use crate::build::{build, BuildError, Profile};

/// Engine that is killed and restarted.
const CRASHED_ENGINE: &str = "engine-1";
/// Time from the start of the load until the engine is killed.
const CRASH_AFTER: Duration = Duration::from_secs(3);
/// Time from the start of the load until the engine is restarted.
const RESTART_AFTER: Duration = Duration::from_secs(6);

/// Error that ends the demonstration.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// The programs could not be built.
    #[error(transparent)]
    Build(#[from] BuildError),
    /// A process of the cluster failed.
    #[error(transparent)]
    Cluster(#[from] HarnessError),
    /// Guarantees to callers were violated; contains the number of violations.
    #[error("{0} guarantees were violated; see the list above")]
    GuaranteesViolated(usize),
}

/// Builds the programs, runs the demonstration and prints its results.
///
/// # Errors
///
/// Returns an error if the build or a process fails, or if a response was lost,
/// truncated, invalid or meant for another request, or a request ran twice.
pub fn run() -> Result<(), DemoError> {
    println!("Building limpetgw and the simulated components ...");
    let programs = build(Profile::Dev)?;
    smol::block_on(run_demo(programs))
}

async fn run_demo(programs: harness::Programs) -> Result<(), DemoError> {
    println!(
        "Starting a platform, 4 engines in 3 zones, a plain service, an agent beside\n\
         each, and 2 entries, all as processes on loopback ..."
    );
    let plan = ClusterPlan::builder()
        .programs(programs)
        .entries(2)
        .engines(4)
        .services(1)
        .engine_args(args("--batch-max 8 --token-ms 10"))
        .agent_args(args("--membership-lag-ms 0"))
        .build();
    let mut cluster = Cluster::start(plan).await?;
    let load = load::mixed_load(&cluster)?;
    println!(
        "Sending a mixed load of {} requests over {} s ...",
        tool::arrivals(&load).len(),
        load::LOAD_DURATION.as_secs()
    );
    let (records, crash_result) = future::zip(tool::run(&load), crash_engine(&mut cluster)).await;
    crash_result?;

    let reports = tool::summarize(&load, &records);
    println!();
    print!("{}", table::render(&reports));
    println!();
    let violations = violations::find_violations(&load, &records, &cluster.ledger());
    for violation in &violations {
        println!("violated guarantee: {violation}");
    }
    if violations.is_empty() {
        println!(
            "Every response was complete and reached its own caller. No at-most-once request\n\
             ran twice, and every refusal was reported. All processes have been stopped."
        );
        return Ok(());
    }
    Err(DemoError::GuaranteesViolated(violations.len()))
}

/// Kills an engine during the load and restarts it.
async fn crash_engine(cluster: &mut Cluster) -> Result<(), HarnessError> {
    let start = Instant::now();
    smol::Timer::at(start + CRASH_AFTER).await;
    cluster.kill(CRASHED_ENGINE)?;
    println!(
        "  after {} s: killed {CRASHED_ENGINE}",
        CRASH_AFTER.as_secs()
    );
    smol::Timer::at(start + RESTART_AFTER).await;
    cluster.restart(CRASHED_ENGINE).await?;
    println!(
        "  after {} s: {CRASHED_ENGINE} was restarted",
        RESTART_AFTER.as_secs()
    );
    Ok(())
}
