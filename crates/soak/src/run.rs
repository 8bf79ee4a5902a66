//! Executes soak runs and reports their results.

use std::{
    fs, io,
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use clap::Args;
use harness::HarnessError;
use wire_standins::instance::unix_ms;

use crate::{
    callers::CallerPool,
    checks::{check_run, CheckResults, RECOVERY_LIMIT_MS},
    cluster::Cluster,
    lock,
    plan::{generate, ClusterSize, Fault},
    record::Record,
    report::{draw_timeline, Summary},
};

/// Interval at which due faults are started and ended.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Ticks between two memory samples and progress lines.
const PROGRESS_INTERVAL_TICKS: u64 = 100;
/// Time for which callers keep sending after the last fault, so that recovery
/// can be checked.
const RECOVERY_PERIOD: Duration = Duration::from_millis(RECOVERY_LIMIT_MS + 3_000);
const CALLERS_PER_GATEWAY: usize = 6;
/// Directory for the logs and records of failed runs.
const FAILED_RUN_LOG_DIR: &str = "target/soak";

/// Command-line arguments of the soak test.
#[derive(Clone, Debug, Args)]
pub struct SoakArgs {
    /// Number of runs, each with its own seed.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..))]
    pub seeds: u64,
    /// Seed of the first run; random if omitted.
    #[arg(long)]
    pub seed: Option<u64>,
    /// Time during which faults are injected in each run, in seconds.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=3_600))]
    pub seconds: u64,
    /// Total number of processes: the store, gateways and instances.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(7..=300))]
    pub processes: u64,
    /// File for the JSON summary of the last run; its SVG timeline is written
    /// beside it.
    #[arg(long)]
    pub report: Option<PathBuf>,
}

/// Error that ends a soak test.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// A process cannot be started, restarted or signalled.
    #[error(transparent)]
    Harness(#[from] HarnessError),
    /// No loopback port can be bound for a proxy.
    #[error("cannot start a fault-injection proxy: {0}")]
    Proxy(#[source] io::Error),
    /// A process reported a listen address that cannot be parsed.
    #[error("a process reported an invalid listen address: `{0}`")]
    InvalidAddress(String),
    /// The store accepted no configuration within the allowed attempts.
    #[error("the store accepted no configuration after repeated attempts")]
    StoreUnavailable,
    /// Logs or the report cannot be written.
    #[error("cannot write {path}: {reason}")]
    Write {
        /// Path of the log, record, summary or timeline file.
        path: String,
        /// Text of the I/O or drawing error.
        reason: String,
    },
    /// Some runs completed but violated guarantees.
    #[error("{runs} runs violated guarantees")]
    GuaranteesViolated {
        /// Number of runs with at least one violation.
        runs: usize,
    },
}

/// Executes all runs and prints a summary of each.
///
/// # Errors
///
/// Returns [`SoakError::GuaranteesViolated`] after the last run if any run
/// violated a guarantee, and other errors as soon as a run cannot continue.
pub fn run(args: &SoakArgs) -> Result<(), SoakError> {
    let first_seed = args.seed.unwrap_or_else(rand::random);
    let mut failed_runs = 0;
    for seed in (0..args.seeds).map(|offset| first_seed.wrapping_add(offset)) {
        let size = ClusterSize::from_process_count(args.processes as usize);
        let rerun_command = format!(
            "cargo xtask soak --seed {seed} --seconds {} --processes {}",
            args.seconds, args.processes
        );
        println!("running `{rerun_command}`");
        let (record, results, logs) = run_seed(seed, size, args.seconds)?;
        let summary = Summary::new(seed, &rerun_command, &record, &results);
        print!("{summary}");
        if !results.broken.is_empty() {
            failed_runs += 1;
            write_logs(seed, &record, &logs)?;
        }
        if let Some(path) = &args.report {
            let json = serde_json::to_string_pretty(&summary).unwrap_or_default();
            write_file(path, &json)?;
            let svg = path.with_extension("svg");
            draw_timeline(&svg, &record, &results).map_err(|reason| SoakError::Write {
                path: svg.display().to_string(),
                reason,
            })?;
        }
    }
    match failed_runs {
        0 => Ok(()),
        runs => Err(SoakError::GuaranteesViolated { runs }),
    }
}

/// Log lines by process name.
type Logs = indexmap::IndexMap<String, Vec<String>>;

/// Executes one run and checks its record.
///
/// # Errors
///
/// Returns an error if a process, a proxy or the store fails unexpectedly.
pub(crate) fn run_seed(
    seed: u64,
    size: ClusterSize,
    seconds: u64,
) -> Result<(Record, CheckResults, Logs), SoakError> {
    let record = Arc::new(Mutex::new(Record::default()));
    let mut cluster = Cluster::start(size, record.clone())?;
    let callers = size.gateways * CALLERS_PER_GATEWAY;
    let callers = CallerPool::start(seed, callers, &cluster.caller_addrs());
    let mut schedule = generate(seed, size, seconds * 1_000).into_iter().peekable();
    let mut active: Vec<(u64, u64, Fault)> = Vec::new();
    let started = Instant::now();
    let mut ticks = 0_u64;
    while schedule.peek().is_some() || !active.is_empty() {
        let now_ms = started.elapsed().as_millis() as u64;
        while let Some(scheduled) = schedule.next_if(|scheduled| scheduled.at_ms <= now_ms) {
            let is_allowed = active
                .iter()
                .all(|(_, _, fault)| !scheduled.fault.excludes(fault));
            if is_allowed {
                let from_ms = unix_ms();
                cluster.inject(scheduled.fault)?;
                active.push((now_ms + scheduled.for_ms, from_ms, scheduled.fault));
            }
        }
        let mut still_active = Vec::new();
        for (end_ms, from_ms, fault) in active {
            if now_ms < end_ms || !cluster.try_clear(fault, from_ms)? {
                still_active.push((end_ms, from_ms, fault));
            }
        }
        active = still_active;
        if ticks.is_multiple_of(PROGRESS_INTERVAL_TICKS) {
            cluster.sample_memory();
            println!(
                "  {} s: {} active faults, {} requests ended",
                now_ms / 1_000,
                active.len(),
                callers.count()
            );
        }
        ticks += 1;
        thread::sleep(TICK_INTERVAL);
    }
    lock(&record).calm_from_ms = unix_ms();
    thread::sleep(RECOVERY_PERIOD);
    cluster.sample_memory();
    lock(&record).asked = callers.finish();
    cluster.collect();
    let record = lock(&record).clone();
    let results = check_run(&record);
    Ok((record, results, cluster.logs()))
}

fn write_logs(seed: u64, record: &Record, logs: &Logs) -> Result<(), SoakError> {
    let dir = Path::new(FAILED_RUN_LOG_DIR).join(seed.to_string());
    for (name, lines) in logs {
        write_file(&dir.join(format!("{name}.log")), &lines.join("\n"))?;
    }
    let json = serde_json::to_string(record).unwrap_or_default();
    write_file(&dir.join("record.json"), &json)?;
    println!("  logs written to {}", dir.display());
    Ok(())
}

fn write_file(path: &Path, text: &str) -> Result<(), SoakError> {
    let write = || {
        if let Some(dir) = path.parent() {
            fs::create_dir_all(dir)?;
        }
        fs::write(path, text)
    };
    write().map_err(|error| SoakError::Write {
        path: path.display().to_string(),
        reason: error.to_string(),
    })
}
