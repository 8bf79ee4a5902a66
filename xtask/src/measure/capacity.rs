//! What control costs a process, by the size of the fleet and of the
//! configuration.
//!
//! One entry and one agent are started anew at each size, so that they read
//! everything at once. The rest of the fleet is lines in the platform's
//! instance list that lead to these two; each of them therefore gets about
//! as many internal calls as it makes, as in a real fleet.

use std::time::Duration;

use config::{key_digest, Document, Team};
use harness::{default_document, Cluster, ClusterPlan, Programs};
use serde_json::{json, Value};
use store::{Instance, InstanceState, Role};
use types::TeamName;

use super::{fit::Line, MeasureError};

/// Sizes measured: teams, listed instances.
const POINTS: [(usize, usize); 5] = [
    (500, 20),
    (4_000, 20),
    (13_000, 20),
    (13_000, 600),
    (13_000, 1_730),
];
/// Points that differ in teams only.
const BY_TEAMS: std::ops::Range<usize> = 0..3;
/// Points that differ in instances only.
const BY_INSTANCES: std::ops::Range<usize> = 2..5;
/// Time for a fresh process to read all it needs.
const SETTLE: Duration = Duration::from_millis(1_500);
/// Time over which idle costs are measured.
const IDLE: Duration = Duration::from_secs(2);
/// Time over which the reads of idle processes are counted, at the smallest
/// size: longer than a watch.
const IDLE_READS: Duration = Duration::from_secs(21);
/// Configuration changes at each size.
const CHANGES: u32 = 4;
/// Time between two changes.
const CHANGE_EVERY: Duration = Duration::from_millis(700);

/// Processes of the fleet in two years: entries and agents.
const TARGET_PROCESSES: f64 = 1_730.0;
/// Teams in two years.
const TARGET_TEAMS: f64 = 13_000.0;
/// Configuration changes in two years, per second.
const TARGET_CHANGES_PER_S: f64 = 1_400.0 / 86_400.0;
/// Changes of the instance list in two years, per second: 129 instances fail
/// or are replaced a day, each leaves, goes and comes.
const TARGET_LIST_CHANGES_PER_S: f64 = 129.0 * 3.0 / 86_400.0;
/// Calls a second that must run at most once, of 5,400 requests: two writes
/// each, one to claim and one to settle.
const TARGET_AT_MOST_ONCE_PER_S: f64 = 108.0;

const MB: f64 = 1024.0 * 1024.0;

/// What one process used.
#[derive(Clone, Copy, Debug, Default)]
struct Used {
    cpu_s: f64,
    control_bytes: f64,
}

/// What one process costs at one size.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    rss_mb: f64,
    idle_core_share: f64,
    idle_kb_per_s: f64,
    cpu_s_per_change: f64,
    kb_per_change: f64,
}

/// Both processes and the store at one size.
#[derive(Clone, Copy, Debug, Default)]
struct Point {
    teams: f64,
    instances: f64,
    entry: Cost,
    agent: Cost,
    idle_reads_per_s: f64,
    reads_per_change: f64,
}

/// Measures all sizes.
///
/// # Errors
///
/// When a process fails.
pub async fn run(programs: Programs) -> Result<Value, MeasureError> {
    let plan = ClusterPlan::builder()
        .programs(programs)
        .document(document(POINTS[0].0, 0))
        .build();
    let mut fleet = Cluster::start(plan).await?;
    let mut points = Vec::new();
    let idle_reads_per_s = count_idle_reads(&fleet).await?;
    let mut listed = 0;
    for (teams, instances) in POINTS {
        while listed < instances {
            fleet.register_instance(&line(&fleet, listed)?).await?;
            listed += 1;
        }
        let point = measure_point(&mut fleet, teams, instances).await?;
        points.push(Point {
            idle_reads_per_s,
            ..point
        });
    }
    Ok(report(&points))
}

/// Reads and watches of one idle process, per second.
async fn count_idle_reads(fleet: &Cluster) -> Result<f64, MeasureError> {
    /// An entry and an agent.
    const PROCESSES: f64 = 2.0;
    let before = reads(fleet).await?;
    smol::Timer::after(IDLE_READS).await;
    let count = reads(fleet).await? - before;
    Ok(count / IDLE_READS.as_secs_f64() / PROCESSES)
}

async fn measure_point(
    fleet: &mut Cluster,
    teams: usize,
    instances: usize,
) -> Result<Point, MeasureError> {
    fleet.submit(document(teams, 0)).await?;
    for name in ["entry-0", "agent-0"] {
        fleet.kill(name)?;
        fleet.restart(name).await?;
    }
    smol::Timer::after(SETTLE).await;
    let before = [used(fleet, "entry-0").await?, used(fleet, "agent-0").await?];
    smol::Timer::after(IDLE).await;
    let idle = [used(fleet, "entry-0").await?, used(fleet, "agent-0").await?];
    let calls_idle = reads(fleet).await?;
    for change in 1..=CHANGES {
        fleet.submit(document(teams, change)).await?;
        smol::Timer::after(CHANGE_EVERY).await;
    }
    let after = [used(fleet, "entry-0").await?, used(fleet, "agent-0").await?];
    let calls_after = reads(fleet).await?;
    let changes_s = CHANGE_EVERY.as_secs_f64() * f64::from(CHANGES);
    let cost = |i: usize, rss_bytes: u64| {
        let idle_core_share = (idle[i].cpu_s - before[i].cpu_s) / IDLE.as_secs_f64();
        let idle_bytes_per_s =
            (idle[i].control_bytes - before[i].control_bytes) / IDLE.as_secs_f64();
        let cpu_s = after[i].cpu_s - idle[i].cpu_s - idle_core_share * changes_s;
        let bytes = after[i].control_bytes - idle[i].control_bytes - idle_bytes_per_s * changes_s;
        Cost {
            rss_mb: rss_bytes as f64 / MB,
            idle_core_share,
            idle_kb_per_s: idle_bytes_per_s / 1024.0,
            cpu_s_per_change: cpu_s.max(0.0) / f64::from(CHANGES),
            kb_per_change: bytes.max(0.0) / 1024.0 / f64::from(CHANGES),
        }
    };
    let change_reads = calls_after - calls_idle;
    Ok(Point {
        teams: teams as f64,
        instances: instances as f64,
        entry: cost(0, fleet.process("entry-0")?.rss_bytes()?),
        agent: cost(1, fleet.process("agent-0")?.rss_bytes()?),
        idle_reads_per_s: 0.0,
        reads_per_change: change_reads / f64::from(CHANGES) / 2.0,
    })
}

/// A document with so many teams; `change` differs in one of them.
fn document(teams: usize, change: u32) -> Document {
    let mut document = default_document();
    for index in 0..teams {
        let team = Team {
            key_digests: vec![key_digest(&format!("key of team {index}"))],
            classes: vec!["standard".into()],
            weight: if index == 0 { 1 + change } else { 1 },
        };
        let name = TeamName::from(format!("team-{index:05}"));
        document.teams.insert(name, team.into());
    }
    document
}

/// A line of the instance list; every fifth is an entry's.
fn line(fleet: &Cluster, index: usize) -> Result<Instance, MeasureError> {
    let is_entry = index.is_multiple_of(5);
    let process = fleet.process(if is_entry { "entry-0" } else { "agent-0" })?;
    Ok(Instance {
        instance: format!("listed-{index:04}").into(),
        role: if is_entry { Role::Entry } else { Role::Agent },
        upstream: (!is_entry).then(|| format!("model-{:02}", index % 25).into()),
        zone: format!("az-{}", index % 18).into(),
        addr: process.internal_addr().into(),
        state: InstanceState::Live,
    })
}

async fn used(fleet: &Cluster, name: &str) -> Result<Used, MeasureError> {
    let (_, text) = fleet.get_internal(name, "/metrics").await?;
    let control_bytes = text
        .lines()
        .filter(|line| line.starts_with("limpetgw_control_bytes_total"))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum();
    Ok(Used {
        cpu_s: fleet.process(name)?.cpu_time()?.as_secs_f64(),
        control_bytes,
    })
}

/// Read calls that the platform has counted, waiting watches as one each.
async fn reads(fleet: &Cluster) -> Result<f64, MeasureError> {
    let calls = fleet.platform_calls().await?;
    let count = |name: &str| calls[name].as_f64().unwrap_or_default();
    Ok(count("reads") + count("watches") + count("instances"))
}

fn report(points: &[Point]) -> Value {
    let by_teams = &points[BY_TEAMS];
    let by_instances = &points[BY_INSTANCES];
    let teams = |of: fn(&Point) -> f64| {
        Line::fit(
            by_teams
                .iter()
                .map(|point| (point.teams / 1_000.0, of(point))),
        )
    };
    let instances = |of: fn(&Point) -> f64| {
        Line::fit(
            by_instances
                .iter()
                .map(|point| (point.instances / 1_000.0, of(point))),
        )
    };
    let slopes = json!({
        "entry_rss_mb_per_1000_teams": teams(|p| p.entry.rss_mb).to_json(),
        "agent_rss_mb_per_1000_teams": teams(|p| p.agent.rss_mb).to_json(),
        "entry_rss_mb_per_1000_instances": instances(|p| p.entry.rss_mb).to_json(),
        "agent_rss_mb_per_1000_instances": instances(|p| p.agent.rss_mb).to_json(),
        "entry_idle_core_share_per_1000_instances": instances(|p| p.entry.idle_core_share).to_json(),
        "agent_idle_core_share_per_1000_instances": instances(|p| p.agent.idle_core_share).to_json(),
        "entry_cpu_s_per_change_per_1000_teams": teams(|p| p.entry.cpu_s_per_change).to_json(),
        "agent_cpu_s_per_change_per_1000_teams": teams(|p| p.agent.cpu_s_per_change).to_json(),
        "entry_kb_per_change_per_1000_teams": teams(|p| p.entry.kb_per_change).to_json(),
        "agent_kb_per_change_per_1000_teams": teams(|p| p.agent.kb_per_change).to_json(),
        "entry_idle_kb_per_s_per_1000_instances": instances(|p| p.entry.idle_kb_per_s).to_json(),
        "agent_idle_kb_per_s_per_1000_instances": instances(|p| p.agent.idle_kb_per_s).to_json(),
        "reads_per_change_per_process_per_1000_teams": teams(|p| p.reads_per_change).to_json(),
    });
    json!({
        "slopes": slopes,
        "at_target_size": at_target(points),
        "points": points.iter().map(point_json).collect::<Vec<_>>(),
    })
}

/// The last point has the target's size; only rates are worked out.
fn at_target(points: &[Point]) -> Value {
    let Some(point) = points.last() else {
        return Value::Null;
    };
    debug_assert!(point.teams >= TARGET_TEAMS && point.instances >= TARGET_PROCESSES);
    let worst = |of: fn(&Cost) -> f64| of(&point.entry).max(of(&point.agent));
    let list_kb = point.instances * LIST_LINE_BYTES / 1024.0;
    let core_share = worst(|cost| cost.idle_core_share)
        + worst(|cost| cost.cpu_s_per_change) * TARGET_CHANGES_PER_S;
    let kb_per_s = worst(|cost| cost.idle_kb_per_s)
        + worst(|cost| cost.kb_per_change) * TARGET_CHANGES_PER_S
        + list_kb * TARGET_LIST_CHANGES_PER_S;
    let reads_per_s = TARGET_PROCESSES
        * (point.idle_reads_per_s
            + point.reads_per_change * TARGET_CHANGES_PER_S
            + TARGET_LIST_CHANGES_PER_S);
    json!({
        "control_core_share": core_share,
        "control_rss_mb": worst(|cost| cost.rss_mb),
        "control_kb_per_s": kb_per_s,
        "store_reads_per_s": reads_per_s,
        "store_writes_per_s": 2.0 * TARGET_AT_MOST_ONCE_PER_S + WRITES_PER_CHANGE * TARGET_CHANGES_PER_S,
    })
}

/// Size of a line of the instance list as JSON, in bytes, about.
const LIST_LINE_BYTES: f64 = 150.0;
/// Writes of one submission: a shard and the head.
const WRITES_PER_CHANGE: f64 = 2.0;

fn point_json(point: &Point) -> Value {
    let cost = |cost: &Cost| {
        json!({
            "rss_mb": cost.rss_mb,
            "idle_core_share": cost.idle_core_share,
            "idle_kb_per_s": cost.idle_kb_per_s,
            "cpu_s_per_change": cost.cpu_s_per_change,
            "kb_per_change": cost.kb_per_change,
        })
    };
    json!({
        "teams": point.teams,
        "instances": point.instances,
        "entry": cost(&point.entry),
        "agent": cost(&point.agent),
        "idle_reads_per_s_per_process": point.idle_reads_per_s,
        "reads_per_change_per_process": point.reads_per_change,
    })
}
