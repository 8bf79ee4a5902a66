//! How soon a configuration is in force everywhere, whether one ever goes
//! back, and what a change costs the store.
//!
//! Times run from the start of the submission (with the store up) or from the
//! moment at which the store is down and one process has the change, to the
//! last process's own log line. No process serves a request meanwhile.

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
/// Changes with the store up.
const CHANGES: usize = 16;
/// Pause between two of them.
const CHANGE_PAUSE: Duration = Duration::from_millis(300);
/// Changes with the store down right after the accepted write.
const OUTAGES: usize = 4;
/// Races of operators, and operators in each.
const RACES: usize = 6;
const OPERATORS: usize = 4;
/// Longest wait for one change.
const CHANGE_LIMIT: Duration = Duration::from_secs(19);
/// How long a store that was set back is watched.
const SET_BACK: Duration = Duration::from_secs(4);
/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// Processes of the fleet in two years: entries and agents.
const TARGET_PROCESSES: f64 = 1_730.0;
/// Configuration changes in two years, per second.
const TARGET_CHANGES_PER_S: f64 = 1_400.0 / 86_400.0;
/// Calls of an idle process: two watches of 20 s, and a plain read of the
/// head after each third watch of it.
const IDLE_CALLS_PER_S: f64 = 2.0 / 20.0 + 1.0 / 60.0;
/// The process that sees a change before the store goes down.
const WITNESS: &str = "agent-0";

/// Measures.
///
/// # Errors
///
/// When a process fails or a change does not arrive.
pub async fn run(programs: Programs) -> Result<Value, MeasureError> {
    let plan = ClusterPlan::builder()
        .entries(ENTRIES)
        .engines(AGENTS)
        .programs(programs)
        .build();
    let mut fleet = Cluster::start(plan).await?;
    let names = state_holders(&fleet);
    let (up_ms, calls) = with_store_up(&fleet, &names).await?;
    let double_winners = double_winners(&fleet, &names).await?;
    let down_ms = with_store_down(&mut fleet, &names).await?;
    set_back(&mut fleet, &names).await?;
    let reverts = count_reverts(&fleet, &names)?;
    let processes = names.len() as f64;
    let reads_per_process = calls.reads / processes;
    Ok(json!({
        "entries": ENTRIES,
        "agents": AGENTS,
        "changes": CHANGES,
        "outages": OUTAGES,
        "in_force_everywhere_p99_ms": p99(&up_ms),
        "in_force_everywhere_store_down_p99_ms": p99(&down_ms),
        "in_force_everywhere_ms": up_ms,
        "in_force_everywhere_store_down_ms": down_ms,
        "reverts": reverts,
        "races": RACES,
        "double_winners": double_winners,
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

/// Store calls of one change.
struct Calls {
    reads: f64,
    writes: f64,
}

/// Entries and agents.
fn state_holders(fleet: &Cluster) -> Vec<String> {
    let names = fleet.names();
    names
        .filter(|name| name.starts_with("entry-") || name.starts_with("agent-"))
        .map(String::from)
        .collect()
}

async fn with_store_up(
    fleet: &Cluster,
    names: &[String],
) -> Result<(Vec<u64>, Calls), MeasureError> {
    let mut times_ms = Vec::new();
    wait_for(fleet, names, 1).await?;
    let before = call_counts(fleet).await?;
    for change in 0..CHANGES {
        let start_ms = unix_ms();
        let generation = fleet.submit(document(change)).await?.0;
        let applied_ms = wait_for(fleet, names, generation).await?;
        times_ms.push(applied_ms.saturating_sub(start_ms));
        smol::Timer::after(CHANGE_PAUSE).await;
    }
    let after = call_counts(fleet).await?;
    let changes = CHANGES as f64;
    // The submission itself reads the head twice.
    let calls = Calls {
        reads: (after.0 - before.0) / changes,
        writes: (after.1 - before.1) / changes,
    };
    Ok((times_ms, calls))
}

/// One process only sees each change before the store goes down.
async fn with_store_down(fleet: &mut Cluster, names: &[String]) -> Result<Vec<u64>, MeasureError> {
    let mut times_ms = Vec::new();
    for change in 0..OUTAGES {
        let others: Vec<&String> = names.iter().filter(|name| *name != WITNESS).collect();
        for name in &others {
            fleet.freeze(name)?;
        }
        // The watches of the frozen ones are answered by a refusal.
        fleet.set_faults("platform", r#"{"down": true}"#).await?;
        fleet.set_faults("platform", "{}").await?;
        let generation = fleet.submit(document(CHANGES + change)).await?.0;
        wait_for(fleet, &[WITNESS.to_string()], generation).await?;
        fleet.set_faults("platform", r#"{"down": true}"#).await?;
        let start_ms = unix_ms();
        for name in &others {
            fleet.thaw(name)?;
        }
        let applied_ms = wait_for(fleet, names, generation).await?;
        times_ms.push(applied_ms.saturating_sub(start_ms));
        fleet.set_faults("platform", "{}").await?;
    }
    Ok(times_ms)
}

/// Several sessions that began at the same generation submit at once; the
/// winners beyond one.
async fn double_winners(fleet: &Cluster, names: &[String]) -> Result<usize, MeasureError> {
    let store = HttpPlatform::new(fleet.platform_addr());
    let mut double = 0;
    for race in 0..RACES {
        let stored = shared_state::read_head(&store)
            .await
            .map_err(|error| MeasureError::Invalid(error.to_string()))?;
        let base = stored.map_or(Generation(0), |stored| stored.head.generation);
        let racers: Vec<_> = (0..OPERATORS)
            .map(|operator| {
                let store = HttpPlatform::new(fleet.platform_addr());
                let number = race * OPERATORS + operator;
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
        for racer in racers {
            winners += usize::from(racer.await);
        }
        if winners == 0 {
            return Err(MeasureError::Invalid("a race had no winner".into()));
        }
        double += winners - 1;
        wait_for(fleet, names, base.0 + 1).await?;
    }
    Ok(double)
}

/// The store loses everything and answers with an older generation.
async fn set_back(fleet: &mut Cluster, names: &[String]) -> Result<(), MeasureError> {
    fleet.restart("platform").await?;
    fleet.submit(default_document()).await?;
    for name in names {
        fleet.register(name, "live").await?;
    }
    smol::Timer::after(SET_BACK).await;
    Ok(())
}

/// Lines of the processes' logs that apply a generation not above the one before.
fn count_reverts(fleet: &Cluster, names: &[String]) -> Result<usize, MeasureError> {
    let mut reverts = 0;
    for name in names {
        let applied = applied(&fleet.process(name)?.log());
        let pairs = applied.windows(2);
        reverts += pairs.filter(|pair| pair[1].0 <= pair[0].0).count();
    }
    Ok(reverts)
}

/// Waits until every process has logged a generation or a higher one; the
/// time of the last one, in milliseconds since the Unix epoch.
async fn wait_for(fleet: &Cluster, names: &[String], wanted: u64) -> Result<u64, MeasureError> {
    let deadline = Instant::now() + CHANGE_LIMIT;
    let mut last_ms = 0;
    for name in names {
        loop {
            let applied = applied(&fleet.process(name)?.log());
            let first = applied.iter().find(|(generation, _)| *generation >= wanted);
            if let Some((_, at_ms)) = first {
                last_ms = last_ms.max(*at_ms);
                break;
            }
            if Instant::now() >= deadline {
                let reason = format!("{name} does not have generation {wanted} in time");
                return Err(MeasureError::Invalid(reason));
            }
            smol::Timer::after(LOOK_PAUSE).await;
        }
    }
    Ok(last_ms)
}

/// Generations applied, with the time of each, from a process's log.
fn applied(log: &[String]) -> Vec<(u64, u64)> {
    log.iter()
        .filter(|line| line.contains("ConfigurationApplied"))
        .filter_map(|line| serde_json::from_str::<Value>(line).ok())
        .filter_map(|line| {
            let generation = line["fields"]["generation"].as_u64()?;
            Some((generation, line["time_unix_ms"].as_u64()?))
        })
        .collect()
}

/// Reads with watches, and writes, that the store has counted.
async fn call_counts(fleet: &Cluster) -> Result<(f64, f64), MeasureError> {
    let calls = fleet.platform_calls().await?;
    let count = |name: &str| calls[name].as_f64().unwrap_or_default();
    let reads = count("reads") + count("watches") + count("instances");
    Ok((reads, count("writes")))
}

/// The default document with a bound of its own for each change.
fn document(change: usize) -> Document {
    let mut document = default_document();
    for class in document.classes.values_mut() {
        class.queue_limit = u32::try_from(100 + change).unwrap_or(u32::MAX);
    }
    document
}

/// The largest of fewer than a hundred values.
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
