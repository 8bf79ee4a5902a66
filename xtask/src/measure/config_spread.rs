//! Measures the time until a configuration is in force in all processes,
//! whether a process ever reverts to an older one, and the store calls per
//! change.
//!
//! With the store up, the time starts with the submission. With the store down,
//! it starts when the store is unavailable and one process has the change. It
//! ends when the last process logs that it has applied the change. No process
//! serves requests during the measurement.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use config::Document;
use harness::{default_document, Cluster, ClusterPlan, Programs};
use serde_json::{json, Value};
use shared_state::{SessionId, Submission};
use store::HttpPlatform;
use types::Generation;

use super::MeasureError;

const ENTRIES: usize = 3;
const AGENTS: usize = 20;
/// Number of changes with the store up.
const CHANGE_COUNT: usize = 16;
/// Pause between two changes.
const CHANGE_PAUSE: Duration = Duration::from_millis(300);
/// Number of changes that are each followed by an immediate store outage.
const OUTAGE_COUNT: usize = 4;
/// Number of races between operators that submit at the same time, and the
/// operators in each.
const RACE_COUNT: usize = 6;
const OPERATORS_PER_RACE: usize = 4;
/// Time limit for a change to be applied by all processes.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(19);
/// Time for which processes are observed after the store has lost its state.
const ROLLBACK_OBSERVATION: Duration = Duration::from_secs(4);
/// Interval between two reads of a process's log.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Expected number of entries and agents in two years.
const TARGET_PROCESSES: f64 = 1_730.0;
/// Expected configuration changes per second in two years: 1,400 a day.
const TARGET_CHANGES_PER_S: f64 = 1_400.0 / 86_400.0;
/// Store calls per second of an idle process: two watches of 20 s each, and a
/// read of the configuration head after every third watch of it.
const IDLE_CALLS_PER_S: f64 = 2.0 / 20.0 + 1.0 / 60.0;
/// The only process that receives a change before the store goes down.
const FIRST_RECEIVER: &str = "agent-0";

/// Runs the measurement and returns its figures as JSON.
///
/// # Errors
///
/// Returns an error if a process fails or does not apply a change in time.
pub async fn run(programs: Programs) -> Result<Value, MeasureError> {
    let plan = ClusterPlan::builder()
        .entries(ENTRIES)
        .engines(AGENTS)
        .programs(programs)
        .build();
    let mut cluster = Cluster::start(plan).await?;
    let names = entry_and_agent_names(&cluster);
    let (up_ms, calls) = measure_with_store_up(&cluster, &names).await?;
    let extra_winners = count_extra_winners(&cluster, &names).await?;
    let down_ms = measure_with_store_down(&mut cluster, &names).await?;
    roll_back_store(&mut cluster, &names).await?;
    let reverts = count_reverts(&cluster, &names)?;
    let processes = names.len() as f64;
    let reads_per_process = calls.reads / processes;
    Ok(json!({
        "entries": ENTRIES,
        "agents": AGENTS,
        "changes": CHANGE_COUNT,
        "outages": OUTAGE_COUNT,
        "in_force_everywhere_p99_ms": p99(&up_ms),
        "in_force_everywhere_store_down_p99_ms": p99(&down_ms),
        "in_force_everywhere_ms": up_ms,
        "in_force_everywhere_store_down_ms": down_ms,
        "reverts": reverts,
        "races": RACE_COUNT,
        "double_winners": extra_winners,
        "store_calls_per_change": calls.reads + calls.writes,
        "store_reads_per_change": calls.reads,
        "store_writes_per_change": calls.writes,
        "at_1730_processes": {
            "store_reads_per_change": reads_per_process * TARGET_PROCESSES,
            "store_reads_per_s_from_changes":
                reads_per_process * TARGET_PROCESSES * TARGET_CHANGES_PER_S,
            "store_reads_per_s_idle": IDLE_CALLS_PER_S * TARGET_PROCESSES,
            "store_writes_per_s": calls.writes * TARGET_CHANGES_PER_S,
        },
    }))
}

/// Mean number of store calls per configuration change.
struct CallsPerChange {
    reads: f64,
    writes: f64,
}

fn entry_and_agent_names(cluster: &Cluster) -> Vec<String> {
    let names = cluster.names();
    names
        .filter(|name| name.starts_with("entry-") || name.starts_with("agent-"))
        .map(String::from)
        .collect()
}

async fn measure_with_store_up(
    cluster: &Cluster,
    names: &[String],
) -> Result<(Vec<u64>, CallsPerChange), MeasureError> {
    let mut times_ms = Vec::new();
    wait_for_generation(cluster, names, 1).await?;
    let before = call_counts(cluster).await?;
    for change in 0..CHANGE_COUNT {
        let start_ms = unix_ms();
        let generation = cluster.submit(document(change)).await?.0;
        let applied_ms = wait_for_generation(cluster, names, generation).await?;
        times_ms.push(applied_ms.saturating_sub(start_ms));
        smol::Timer::after(CHANGE_PAUSE).await;
    }
    let after = call_counts(cluster).await?;
    let changes = CHANGE_COUNT as f64;
    // This includes the submission itself, which reads the head twice.
    let calls = CallsPerChange {
        reads: (after.0 - before.0) / changes,
        writes: (after.1 - before.1) / changes,
    };
    Ok((times_ms, calls))
}

/// Measures changes that only one process receives before the store goes down.
async fn measure_with_store_down(
    cluster: &mut Cluster,
    names: &[String],
) -> Result<Vec<u64>, MeasureError> {
    let mut times_ms = Vec::new();
    for change in 0..OUTAGE_COUNT {
        let others: Vec<&String> = names
            .iter()
            .filter(|name| *name != FIRST_RECEIVER)
            .collect();
        for name in &others {
            cluster.freeze(name)?;
        }
        // A short outage ends the pending watches of the frozen processes, so
        // that they do not receive the change through them.
        cluster.set_faults("platform", r#"{"down": true}"#).await?;
        cluster.set_faults("platform", "{}").await?;
        let generation = cluster.submit(document(CHANGE_COUNT + change)).await?.0;
        wait_for_generation(cluster, &[FIRST_RECEIVER.to_string()], generation).await?;
        cluster.set_faults("platform", r#"{"down": true}"#).await?;
        let start_ms = unix_ms();
        for name in &others {
            cluster.thaw(name)?;
        }
        let applied_ms = wait_for_generation(cluster, names, generation).await?;
        times_ms.push(applied_ms.saturating_sub(start_ms));
        cluster.set_faults("platform", "{}").await?;
    }
    Ok(times_ms)
}

/// Submits documents at the same time from several sessions with the same base
/// generation, of which only one may be accepted. Returns the number of accepted
/// submissions beyond one per race.
async fn count_extra_winners(cluster: &Cluster, names: &[String]) -> Result<usize, MeasureError> {
    let store = HttpPlatform::new(cluster.platform_addr());
    let mut extra_winners = 0;
    for race in 0..RACE_COUNT {
        let stored = shared_state::read_head(&store)
            .await
            .map_err(|error| MeasureError::Invalid(error.to_string()))?;
        let base = stored.map_or(Generation(0), |stored| stored.head.generation);
        let submission_tasks: Vec<_> = (0..OPERATORS_PER_RACE)
            .map(|operator| {
                let store = HttpPlatform::new(cluster.platform_addr());
                let number = race * OPERATORS_PER_RACE + operator;
                let submission = Submission::builder()
                    .document(document(1_000 + number))
                    .session(SessionId::new(base, number as u64))
                    .submitter(format!("operator-{operator}"))
                    .submitted_unix_ms(unix_ms())
                    .build();
                async_global_executor::spawn(async move {
                    shared_state::submit(&store, &submission).await.is_ok()
                })
            })
            .collect();
        let mut winners: usize = 0;
        for submission_task in submission_tasks {
            winners += usize::from(submission_task.await);
        }
        if winners == 0 {
            return Err(MeasureError::Invalid(
                "no submission of a race was accepted".into(),
            ));
        }
        extra_winners += winners - 1;
        wait_for_generation(cluster, names, base.0 + 1).await?;
    }
    Ok(extra_winners)
}

/// Restarts the store without its state and submits a document, so that it
/// serves an older generation than the processes have.
async fn roll_back_store(cluster: &mut Cluster, names: &[String]) -> Result<(), MeasureError> {
    cluster.restart("platform").await?;
    cluster.submit(default_document()).await?;
    for name in names {
        cluster.register(name, "live").await?;
    }
    smol::Timer::after(ROLLBACK_OBSERVATION).await;
    Ok(())
}

/// Returns how often a process logged that it applied a generation that is not
/// higher than its previous one.
fn count_reverts(cluster: &Cluster, names: &[String]) -> Result<usize, MeasureError> {
    let mut reverts = 0;
    for name in names {
        let applied = applied_generations(&cluster.process(name)?.log());
        let pairs = applied.windows(2);
        reverts += pairs.filter(|pair| pair[1].0 <= pair[0].0).count();
    }
    Ok(reverts)
}

/// Waits until every process has logged that it applied `generation` or a
/// higher one. Returns the latest of these Unix times, in milliseconds.
async fn wait_for_generation(
    cluster: &Cluster,
    names: &[String],
    generation: u64,
) -> Result<u64, MeasureError> {
    let deadline = Instant::now() + CHANGE_TIMEOUT;
    let mut last_ms = 0;
    for name in names {
        loop {
            let applied = applied_generations(&cluster.process(name)?.log());
            let first = applied
                .iter()
                .find(|(applied_generation, _)| *applied_generation >= generation);
            if let Some((_, at_ms)) = first {
                last_ms = last_ms.max(*at_ms);
                break;
            }
            if Instant::now() >= deadline {
                let reason = format!("{name} did not apply generation {generation} in time");
                return Err(MeasureError::Invalid(reason));
            }
            smol::Timer::after(POLL_INTERVAL).await;
        }
    }
    Ok(last_ms)
}

/// Returns the generations that a process applied according to its log, each
/// with its Unix time in milliseconds.
fn applied_generations(log: &[String]) -> Vec<(u64, u64)> {
    log.iter()
        .filter(|line| line.contains("ConfigurationApplied"))
        .filter_map(|line| serde_json::from_str::<Value>(line).ok())
        .filter_map(|line| {
            let generation = line["fields"]["generation"].as_u64()?;
            Some((generation, line["time_unix_ms"].as_u64()?))
        })
        .collect()
}

/// Returns the reads, watches included, and the writes that the store has
/// counted.
async fn call_counts(cluster: &Cluster) -> Result<(f64, f64), MeasureError> {
    let calls = cluster.platform_calls().await?;
    let count = |name: &str| calls[name].as_f64().unwrap_or_default();
    let reads = count("reads") + count("watches") + count("instances");
    Ok((reads, count("writes")))
}

/// Returns the default document with a queue limit that differs for each
/// change.
fn document(change: usize) -> Document {
    let mut document = default_document();
    for class in document.classes.values_mut() {
        class.queue_limit = u32::try_from(100 + change).unwrap_or(u32::MAX);
    }
    document
}

/// Returns the 99th percentile by the nearest-rank method, which is the largest
/// value for fewer than 100 values.
fn p99(times_ms: &[u64]) -> u64 {
    let mut sorted = times_ms.to_vec();
    sorted.sort_unstable();
    let rank = (sorted.len() * 99).div_ceil(100);
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0)
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
