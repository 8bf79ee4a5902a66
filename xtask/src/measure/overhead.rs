//! Measures the latency and CPU time that entry and agent add to a request.
//!
//! Added latency is the difference to the same requests sent directly to the
//! engine during the same period. Throughput is counted per second of CPU time
//! of entry and agent instead of per core of the machine, so that the load
//! generator and the engine on the same machine do not distort it.

use std::{
    io::{self, Write},
    path::Path,
    process::{Command, Stdio},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};

use config::{Document, Upstream};
use futures_lite::future;
use harness::{
    args, default_document, Caller, ChatRequest, Cluster, ClusterPlan, Outcome, Programs,
    CLINIC_KEY, ENGINE_MODEL, ENGINE_UPSTREAM,
};
use indexmap::IndexMap;
use serde_json::{json, Value};
use standins::load::{Flow, LoadPlan, Phase, Report, RequestKind};
use types::UpstreamName;

use super::MeasureError;

/// Duration of the light load.
const LIGHT_LOAD_DURATION_MS: u64 = 15_000;
/// Request rate of the light load, both through the cluster and directly.
const LIGHT_LOAD_RATE_PER_S: f64 = 80.0;
/// Duration of each throughput run.
const THROUGHPUT_RUN_DURATION: Duration = Duration::from_secs(6);
/// Concurrent requests of one token in the run that counts requests.
const CONCURRENT_REQUESTS: usize = 32;
/// Concurrent long streams when the engine sends tokens without delay.
const CONCURRENT_STREAMS: usize = 8;
/// Concurrent long streams when the engine sends tokens at intervals.
const CONCURRENT_PACED_STREAMS: usize = 200;
/// Number of upstreams configured when idle memory is measured.
const UPSTREAM_COUNT: usize = 100;
/// Time for idle processes to reach stable memory use.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Runs all parts of the measurement in sequence and returns the figures as
/// JSON.
///
/// # Errors
///
/// Returns an error if a process fails or a response is incomplete.
pub async fn run(programs: Programs) -> Result<Value, MeasureError> {
    let unpaced = start_cluster(&programs, "--token-ms 0 --batch-max 1024").await?;
    let mut figures = measure_latency(&programs, &unpaced).await?;
    let requests = measure_throughput(&unpaced, CONCURRENT_REQUESTS, 1).await?;
    let tokens = measure_throughput(&unpaced, CONCURRENT_STREAMS, 20_000).await?;
    drop(unpaced);
    let paced = start_cluster(
        &programs,
        "--token-ms 10 --batch-max 1024 --batch-slope-permille 0",
    )
    .await?;
    let paced_tokens = measure_throughput(&paced, CONCURRENT_PACED_STREAMS, 400).await?;
    drop(paced);
    let refused = requests.refused + tokens.refused + paced_tokens.refused;
    figures["busy_refused"] = refused.into();
    figures["requests_per_core_s"] = requests.per_core_s(requests.requests).into();
    figures["tokens_relayed_per_core_s"] = tokens.per_core_s(tokens.tokens).into();
    figures["paced_tokens_relayed_per_core_s"] =
        paced_tokens.per_core_s(paced_tokens.tokens).into();
    figures["entry_cpu_share_of_requests"] = requests.entry_cpu_share().into();
    figures["entry_cpu_share_of_tokens"] = tokens.entry_cpu_share().into();
    let (entry_mb, agent_mb) = measure_idle_memory(&programs).await?;
    figures["machine_load_average"] = load_average().into();
    figures["entry_rss_mb"] = entry_mb.into();
    figures["agent_rss_mb"] = agent_mb.into();
    Ok(figures)
}

async fn start_cluster(programs: &Programs, engine: &str) -> Result<Cluster, MeasureError> {
    let mut document = default_document();
    if let Some(upstream) = document.upstreams.get_mut(ENGINE_UPSTREAM) {
        upstream.running_min = 1024;
        upstream.running_max = 1024;
    }
    let plan = ClusterPlan::builder()
        .programs(programs.clone())
        .document(document)
        .engine_args(args(engine))
        .build();
    Ok(Cluster::start(plan).await?)
}

/// Sends the same kind of request through the cluster and directly to the engine
/// at the same time, and returns the added latency.
async fn measure_latency(programs: &Programs, cluster: &Cluster) -> Result<Value, MeasureError> {
    let flow = |name: &str| {
        let what = RequestKind::Chat {
            model: ENGINE_MODEL.into(),
            stream: true,
            tokens_min: 20,
            tokens_max: 20,
            prompt_bytes: 400,
        };
        let phase = Phase {
            from_ms: 0,
            length_ms: LIGHT_LOAD_DURATION_MS,
            rate_per_s: LIGHT_LOAD_RATE_PER_S,
        };
        Flow::builder()
            .name(name)
            .api_key(CLINIC_KEY)
            .what(what)
            .phases(vec![phase])
            .target_ms(1_000)
            .build()
    };
    let load = |addr: &str, name: &str, seed: u64| {
        LoadPlan::builder()
            .entries(vec![addr.into()])
            .flows(vec![flow(name)])
            .seed(seed)
            .build()
    };
    let through = load(cluster.entry_addr(0)?, "through", 1);
    let direct = load(cluster.process("engine-0")?.addr(), "direct", 2);
    // The load generators run as separate processes in the release build, like
    // the programs that they measure.
    let runs = future::try_zip(
        run_load(programs, &through, "through"),
        run_load(programs, &direct, "direct"),
    );
    let (through, direct) = runs.await?;
    if through.whole != through.sent || direct.whole != direct.sent {
        return Err(MeasureError::Invalid(format!(
            "not every response was complete: {through:?} {direct:?}"
        )));
    }
    Ok(json!({
        "added_first_token_p50_ms": rounded(through.first_p50_ms - direct.first_p50_ms),
        "added_first_token_p99_ms": rounded(through.first_p99_ms - direct.first_p99_ms),
        "direct_first_token_p50_ms": rounded(direct.first_p50_ms),
        "direct_first_token_p99_ms": rounded(direct.first_p99_ms),
        "light_requests": through.sent,
    }))
}

/// Runs a load with the program `standins load` and returns the report of its
/// only flow.
async fn run_load(
    programs: &Programs,
    load: &LoadPlan,
    flow: &'static str,
) -> Result<Report, MeasureError> {
    let invalid = |reason: String| MeasureError::Invalid(format!("load tool failed: {reason}"));
    let program = programs.standins()?;
    let plan = json!(load).to_string();
    let output = smol::unblock(move || run_load_tool(&program, &plan)).await;
    let output = output.map_err(|error| invalid(error.to_string()))?;
    let mut reports: IndexMap<String, Report> =
        serde_json::from_slice(&output).map_err(|error| invalid(error.to_string()))?;
    reports
        .shift_remove(flow)
        .ok_or_else(|| invalid(format!("its output has no report for {flow}")))
}

fn run_load_tool(program: &Path, plan: &str) -> io::Result<Vec<u8>> {
    let mut tool = Command::new(program)
        .args(["load", "--plan", "-"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()?;
    if let Some(mut stdin) = tool.stdin.take() {
        stdin.write_all(plan.as_bytes())?;
    }
    Ok(tool.wait_with_output()?.stdout)
}

/// Requests and tokens handled, and the CPU time used for them.
#[derive(Clone, Copy, Debug, Default)]
struct Throughput {
    requests: u64,
    refused: u64,
    tokens: u64,
    entry_cpu: Duration,
    agent_cpu: Duration,
}

impl Throughput {
    fn per_core_s(&self, count: u64) -> f64 {
        let cpu_s = (self.entry_cpu + self.agent_cpu).as_secs_f64();
        (count as f64 / cpu_s.max(0.01)).round()
    }

    fn entry_cpu_share(&self) -> f64 {
        let cpu_s = (self.entry_cpu + self.agent_cpu).as_secs_f64();
        rounded(self.entry_cpu.as_secs_f64() / cpu_s.max(0.01))
    }
}

/// Keeps `concurrency` requests of one length in flight and returns the
/// throughput.
async fn measure_throughput(
    cluster: &Cluster,
    concurrency: usize,
    tokens: u32,
) -> Result<Throughput, MeasureError> {
    let entry = cluster.process("entry-0")?;
    let agent = cluster.process("agent-0")?;
    let entry_before = entry.cpu_time()?;
    let agent_before = agent.cpu_time()?;
    let deadline = Instant::now() + THROUGHPUT_RUN_DURATION;
    let caller = cluster.caller(0);
    let counts = Arc::new(RequestCounts::default());
    let mut workers = Vec::new();
    for _ in 0..concurrency {
        let worker = send_until(deadline, caller.clone(), tokens, counts.clone());
        workers.push(async_global_executor::spawn(worker));
    }
    for worker in workers {
        worker.await?;
    }
    let requests = counts.complete.load(Ordering::Relaxed);
    Ok(Throughput {
        requests,
        refused: counts.refused.load(Ordering::Relaxed),
        tokens: requests * u64::from(tokens),
        entry_cpu: entry.cpu_time()?.saturating_sub(entry_before),
        agent_cpu: agent.cpu_time()?.saturating_sub(agent_before),
    })
}

/// Number of requests that have ended, by outcome.
#[derive(Debug, Default)]
struct RequestCounts {
    complete: AtomicU64,
    refused: AtomicU64,
}

async fn send_until(
    deadline: Instant,
    caller: Caller,
    tokens: u32,
    counts: Arc<RequestCounts>,
) -> Result<(), MeasureError> {
    while Instant::now() < deadline {
        let number = counts.complete.load(Ordering::Relaxed);
        let question = ChatRequest::streamed(format!("question {number} [len={tokens}]"));
        let reply = caller.chat(&question).await;
        match &reply.outcome {
            Outcome::Complete { tokens: received } if *received == tokens => {
                counts.complete.fetch_add(1, Ordering::Relaxed);
            }
            Outcome::Refused { .. } => {
                counts.refused.fetch_add(1, Ordering::Relaxed);
            }
            _ => return Err(MeasureError::Invalid(format!("{reply:?}"))),
        }
    }
    Ok(())
}

/// Returns the memory use of an idle entry and agent with many upstreams, in
/// megabytes.
async fn measure_idle_memory(programs: &Programs) -> Result<(f64, f64), MeasureError> {
    let plan = ClusterPlan::builder()
        .programs(programs.clone())
        .document(with_many_upstreams(default_document()))
        .build();
    let cluster = Cluster::start(plan).await?;
    for index in 1..UPSTREAM_COUNT {
        let instance = format!("known-{index}");
        let upstream = format!("upstream-{index}");
        cluster
            .register_alias(&instance, "agent-0", &upstream)
            .await?;
    }
    smol::Timer::after(SETTLE_TIME).await;
    let megabytes = |name: &str| -> Result<f64, MeasureError> {
        let bytes = cluster.process(name)?.rss_bytes()?;
        Ok(rounded(bytes as f64 / 1e6))
    };
    Ok((megabytes("entry-0")?, megabytes("agent-0")?))
}

fn with_many_upstreams(mut document: Document) -> Document {
    let Some(engines) = document.upstreams.get(ENGINE_UPSTREAM).cloned() else {
        return document;
    };
    for index in 1..UPSTREAM_COUNT {
        let upstream = Upstream {
            models: vec![format!("model-{index}").into()],
            ..engines.clone()
        };
        let name = UpstreamName::from(format!("upstream-{index}"));
        document.upstreams.insert(name, upstream);
    }
    document
}

/// Returns the one-minute load average of the machine, or 0 if it is not
/// available. A high value means that other processes affected the figures.
fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|number| number.parse().ok()).unwrap_or(0.0)
}

fn rounded(number: f64) -> f64 {
    (number * 1000.0).round() / 1000.0
}
