//! Measures the control-plane cost of a process by the size of the fleet and of
//! the configuration: memory, CPU time, traffic and store reads.
//!
//! One entry and one agent are restarted at each size, so that they read the
//! whole state at once. The rest of the fleet exists only as records of the
//! platform's instance list that point to these two. Each of them therefore
//! receives about as many internal calls as it makes, as in a real fleet.

use std::time::Duration;

use config::{key_digest, Document, Team};
use harness::{default_document, Cluster, ClusterPlan, Programs};
use serde_json::{json, Value};
use store::{Instance, InstanceState, Role};
use types::TeamName;

use super::{fit::LinearFit, MeasureError};

/// Sizes to measure: number of teams, number of listed instances.
const POINTS: [(usize, usize); 5] = [
    (500, 20),
    (4_000, 20),
    (13_000, 20),
    (13_000, 600),
    (13_000, 1_730),
];
/// Range of indices in [`POINTS`] whose points differ only in the number of
/// teams.
const BY_TEAMS: std::ops::Range<usize> = 0..3;
/// Indices of the points that differ only in the number of instances.
const BY_INSTANCES: std::ops::Range<usize> = 2..5;
/// Time for a restarted process to read the whole state.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Period over which idle cost is measured.
const IDLE_PERIOD: Duration = Duration::from_secs(2);
/// Period over which the read and watch calls of idle processes to the platform
/// are counted, at the smallest size. It is longer than the timeout of a watch,
/// so that each watch is renewed within it.
const IDLE_READS_PERIOD: Duration = Duration::from_secs(21);
/// Number of configuration changes at each size.
const CHANGE_COUNT: u32 = 4;
/// Time between two configuration changes, in which both processes apply one.
const CHANGE_INTERVAL: Duration = Duration::from_millis(700);

/// Expected number of entries and agents in two years.
const TARGET_PROCESSES: f64 = 1_730.0;
/// Expected number of teams in two years.
const TARGET_TEAMS: f64 = 13_000.0;
/// Expected configuration changes per second in two years: 1,400 a day.
const TARGET_CHANGES_PER_S: f64 = 1_400.0 / 86_400.0;
/// Expected changes of the instance list per second in two years: 129 instances
/// fail or are replaced a day, with three changes each (leaving, removed,
/// added).
const TARGET_LIST_CHANGES_PER_S: f64 = 129.0 * 3.0 / 86_400.0;
/// Expected at-most-once calls per second, out of 5,400 requests. Each takes
/// two writes: one to claim it and one to store the result.
const TARGET_AT_MOST_ONCE_PER_S: f64 = 108.0;

const MB: f64 = 1024.0 * 1024.0;

/// Cumulative resource usage of a process.
#[derive(Clone, Copy, Debug, Default)]
struct ResourceUsage {
    cpu_s: f64,
    control_bytes: f64,
}

/// Control-plane cost of one process at one size.
#[derive(Clone, Copy, Debug, Default)]
struct ProcessCost {
    rss_mb: f64,
    idle_core_share: f64,
    idle_kb_per_s: f64,
    cpu_s_per_change: f64,
    kb_per_change: f64,
}

/// Cost of both processes and their store reads at one size.
#[derive(Clone, Copy, Debug, Default)]
struct SizePoint {
    teams: f64,
    instances: f64,
    entry: ProcessCost,
    agent: ProcessCost,
    idle_reads_per_s: f64,
    reads_per_change: f64,
}

/// Measures all sizes and returns the figures as JSON.
///
/// # Errors
///
/// Returns an error if a process fails.
pub async fn run(programs: Programs) -> Result<Value, MeasureError> {
    let plan = ClusterPlan::builder()
        .programs(programs)
        .document(document(POINTS[0].0, 0))
        .build();
    let mut cluster = Cluster::start(plan).await?;
    let mut points = Vec::new();
    let idle_reads_per_s = count_idle_reads(&cluster).await?;
    let mut listed = 0;
    for (teams, instances) in POINTS {
        while listed < instances {
            cluster
                .register_instance(&listed_instance(&cluster, listed)?)
                .await?;
            listed += 1;
        }
        let point = measure_point(&mut cluster, teams, instances).await?;
        points.push(SizePoint {
            idle_reads_per_s,
            ..point
        });
    }
    Ok(report(&points))
}

/// Returns the reads and watches per second of one idle process.
async fn count_idle_reads(cluster: &Cluster) -> Result<f64, MeasureError> {
    /// One entry and one agent.
    const PROCESSES: f64 = 2.0;
    let before = read_calls(cluster).await?;
    smol::Timer::after(IDLE_READS_PERIOD).await;
    let count = read_calls(cluster).await? - before;
    Ok(count / IDLE_READS_PERIOD.as_secs_f64() / PROCESSES)
}

async fn measure_point(
    cluster: &mut Cluster,
    teams: usize,
    instances: usize,
) -> Result<SizePoint, MeasureError> {
    cluster.submit(document(teams, 0)).await?;
    for name in ["entry-0", "agent-0"] {
        cluster.kill(name)?;
        cluster.restart(name).await?;
    }
    smol::Timer::after(SETTLE_TIME).await;
    let before = [
        resource_usage(cluster, "entry-0").await?,
        resource_usage(cluster, "agent-0").await?,
    ];
    smol::Timer::after(IDLE_PERIOD).await;
    let idle = [
        resource_usage(cluster, "entry-0").await?,
        resource_usage(cluster, "agent-0").await?,
    ];
    let calls_idle = read_calls(cluster).await?;
    for change in 1..=CHANGE_COUNT {
        cluster.submit(document(teams, change)).await?;
        smol::Timer::after(CHANGE_INTERVAL).await;
    }
    let after = [
        resource_usage(cluster, "entry-0").await?,
        resource_usage(cluster, "agent-0").await?,
    ];
    let calls_after = read_calls(cluster).await?;
    let changes_s = CHANGE_INTERVAL.as_secs_f64() * f64::from(CHANGE_COUNT);
    let cost = |i: usize, rss_bytes: u64| {
        let idle_core_share = (idle[i].cpu_s - before[i].cpu_s) / IDLE_PERIOD.as_secs_f64();
        let idle_bytes_per_s =
            (idle[i].control_bytes - before[i].control_bytes) / IDLE_PERIOD.as_secs_f64();
        let cpu_s = after[i].cpu_s - idle[i].cpu_s - idle_core_share * changes_s;
        let bytes = after[i].control_bytes - idle[i].control_bytes - idle_bytes_per_s * changes_s;
        ProcessCost {
            rss_mb: rss_bytes as f64 / MB,
            idle_core_share,
            idle_kb_per_s: idle_bytes_per_s / 1024.0,
            cpu_s_per_change: cpu_s.max(0.0) / f64::from(CHANGE_COUNT),
            kb_per_change: bytes.max(0.0) / 1024.0 / f64::from(CHANGE_COUNT),
        }
    };
    let change_reads = calls_after - calls_idle;
    Ok(SizePoint {
        teams: teams as f64,
        instances: instances as f64,
        entry: cost(0, cluster.process("entry-0")?.rss_bytes()?),
        agent: cost(1, cluster.process("agent-0")?.rss_bytes()?),
        idle_reads_per_s: 0.0,
        reads_per_change: change_reads / f64::from(CHANGE_COUNT) / 2.0,
    })
}

/// Returns a document with `teams` teams. `change` alters one team, so that
/// each change is a new document.
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

/// Returns the record of a listed instance. Every fifth is an entry and has the
/// address of `entry-0`; the others are agents with the address of `agent-0`.
fn listed_instance(cluster: &Cluster, index: usize) -> Result<Instance, MeasureError> {
    let is_entry = index.is_multiple_of(5);
    let process = cluster.process(if is_entry { "entry-0" } else { "agent-0" })?;
    Ok(Instance {
        instance: format!("listed-{index:04}").into(),
        role: if is_entry { Role::Entry } else { Role::Agent },
        upstream: (!is_entry).then(|| format!("model-{:02}", index % 25).into()),
        zone: format!("az-{}", index % 18).into(),
        addr: process.internal_addr().into(),
        state: InstanceState::Live,
    })
}

async fn resource_usage(cluster: &Cluster, name: &str) -> Result<ResourceUsage, MeasureError> {
    let (_, text) = cluster.get_internal(name, "/metrics").await?;
    let control_bytes = text
        .lines()
        .filter(|line| line.starts_with("limpetgw_control_bytes_total"))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum();
    Ok(ResourceUsage {
        cpu_s: cluster.process(name)?.cpu_time()?.as_secs_f64(),
        control_bytes,
    })
}

/// Returns the number of read calls that the platform has counted. A waiting
/// watch counts as one call.
async fn read_calls(cluster: &Cluster) -> Result<f64, MeasureError> {
    let calls = cluster.platform_calls().await?;
    let count = |name: &str| calls[name].as_f64().unwrap_or_default();
    Ok(count("reads") + count("watches") + count("instances"))
}

fn report(points: &[SizePoint]) -> Value {
    let by_teams = &points[BY_TEAMS];
    let by_instances = &points[BY_INSTANCES];
    let teams = |value_of: fn(&SizePoint) -> f64| {
        LinearFit::from_points(
            by_teams
                .iter()
                .map(|point| (point.teams / 1_000.0, value_of(point))),
        )
    };
    let instances = |value_of: fn(&SizePoint) -> f64| {
        LinearFit::from_points(
            by_instances
                .iter()
                .map(|point| (point.instances / 1_000.0, value_of(point))),
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

/// Extrapolates the cost to the target size. The last point has the target's
/// number of teams and instances, so only rates are calculated.
fn at_target(points: &[SizePoint]) -> Value {
    let Some(point) = points.last() else {
        return Value::Null;
    };
    debug_assert!(point.teams >= TARGET_TEAMS && point.instances >= TARGET_PROCESSES);
    let worst =
        |value_of: fn(&ProcessCost) -> f64| value_of(&point.entry).max(value_of(&point.agent));
    let list_kb = point.instances * INSTANCE_RECORD_BYTES / 1024.0;
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

/// Approximate size of one record of the instance list as JSON.
const INSTANCE_RECORD_BYTES: f64 = 150.0;
/// Store writes of one configuration submission: a shard and the head.
const WRITES_PER_CHANGE: f64 = 2.0;

fn point_json(point: &SizePoint) -> Value {
    let cost = |cost: &ProcessCost| {
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
