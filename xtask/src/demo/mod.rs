//! The demonstration: a small fleet under load loses an engine, and its
//! callers notice nothing.

mod load;
mod table;
mod verdict;

use std::time::{Duration, Instant};

use futures_lite::future;
use harness::{args, Cluster, ClusterPlan, HarnessError};
use standins::load as tool;

use crate::build::{build, BuildError, Profile};

/// The engine that is killed.
const VICTIM: &str = "engine-1";
/// When it is killed, after the load's start.
const KILL_AFTER: Duration = Duration::from_secs(3);
/// When it is started again, after the load's start.
const RESTART_AFTER: Duration = Duration::from_secs(6);

/// The demonstration did not go as promised.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// The programs could not be built.
    #[error(transparent)]
    Build(#[from] BuildError),
    /// A process failed.
    #[error(transparent)]
    Cluster(#[from] HarnessError),
    /// A promise to callers was broken.
    #[error("{0} broken promises, listed above")]
    BrokenPromises(usize),
}

/// Builds, runs and shows the demonstration.
///
/// # Errors
///
/// When an answer was lost, doubled, crossed or cut, or a process failed.
pub fn run() -> Result<(), DemoError> {
    println!("Building limpetgw and the stand-ins ...");
    let programs = build(Profile::Dev)?;
    smol::block_on(show(programs))
}

async fn show(programs: harness::Programs) -> Result<(), DemoError> {
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
    let mut fleet = Cluster::start(plan).await?;
    let load = load::mixed(&fleet)?;
    println!(
        "Sending a mixed load of {} requests over {} s ...",
        tool::arrivals(&load).len(),
        load::LENGTH.as_secs()
    );
    let (records, crash) = future::zip(tool::run(&load), crash(&mut fleet)).await;
    crash?;

    let reports = tool::summarize(&load, &records);
    println!();
    print!("{}", table::render(&reports));
    println!();
    let broken = verdict::broken_promises(&load, &records, &fleet.ledger());
    for promise in &broken {
        println!("broken promise: {promise}");
    }
    if broken.is_empty() {
        println!(
            "Every answer was its caller's own and whole; no order ran twice; whoever\n\
             was refused was told so. All processes are ended now."
        );
        return Ok(());
    }
    Err(DemoError::BrokenPromises(broken.len()))
}

/// Kills an engine during the load and starts it again.
async fn crash(fleet: &mut Cluster) -> Result<(), HarnessError> {
    let start = Instant::now();
    smol::Timer::at(start + KILL_AFTER).await;
    fleet.kill(VICTIM)?;
    println!("  after {} s: {VICTIM} crashed", KILL_AFTER.as_secs());
    smol::Timer::at(start + RESTART_AFTER).await;
    fleet.restart(VICTIM).await?;
    println!("  after {} s: {VICTIM} is back", RESTART_AFTER.as_secs());
    Ok(())
}
