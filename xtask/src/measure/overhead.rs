//! What a request costs on its way through entry and agent.
//!
//! Latency is the difference to the same questions asked straight at the
//! engine, in the same seconds. Throughput is counted against the processor
//! time that entry and agent use, not against the machine's cores, so that
//! the load and the engine beside them do not blur it.

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

/// Length of the light load.
const LIGHT_MS: u64 = 15_000;
/// Requests a second of the light load, on each of the two ways.
const LIGHT_PER_S: f64 = 80.0;
/// Length of each throughput run.
const BUSY: Duration = Duration::from_secs(6);
/// Short requests under way at once.
const REQUESTS_AT_ONCE: usize = 32;
/// Long streams under way at once, when tokens come as fast as they can.
const STREAMS_AT_ONCE: usize = 8;
/// Long streams under way at once, when tokens come one by one.
const PACED_AT_ONCE: usize = 200;
/// Upstreams that idle processes know.
const UPSTREAMS_KNOWN: usize = 100;
/// Time until idle processes have settled.
const SETTLE: Duration = Duration::from_secs(3);

/// Measures everything, one after another.
///
/// # Errors
///
/// When a process fails or an answer is not whole.
pub async fn run(programs: Programs) -> Result<Value, MeasureError> {
    let unpaced = start(&programs, "--token-ms 0 --batch-max 1024").await?;
    let mut figures = light(&programs, &unpaced).await?;
    let requests = busy(&unpaced, REQUESTS_AT_ONCE, 1).await?;
    let tokens = busy(&unpaced, STREAMS_AT_ONCE, 20_000).await?;
    drop(unpaced);
    let paced = start(
        &programs,
        "--token-ms 10 --batch-max 1024 --batch-slope-permille 0",
    )
    .await?;
    let one_by_one = busy(&paced, PACED_AT_ONCE, 400).await?;
    drop(paced);
    let refused = requests.refused + tokens.refused + one_by_one.refused;
    figures["busy_refused"] = refused.into();
    figures["requests_per_core_s"] = requests.per_core_s(requests.requests).into();
    figures["tokens_relayed_per_core_s"] = tokens.per_core_s(tokens.tokens).into();
    figures["paced_tokens_relayed_per_core_s"] = one_by_one.per_core_s(one_by_one.tokens).into();
    figures["entry_cpu_share_of_requests"] = requests.entry_share().into();
    figures["entry_cpu_share_of_tokens"] = tokens.entry_share().into();
    let (entry_mb, agent_mb) = idle(&programs).await?;
    figures["machine_load_average"] = load_average().into();
    figures["entry_rss_mb"] = entry_mb.into();
    figures["agent_rss_mb"] = agent_mb.into();
    Ok(figures)
}

async fn start(programs: &Programs, engine: &str) -> Result<Cluster, MeasureError> {
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

/// Asks the same kind of question through the fleet and straight at the
/// engine in one run.
async fn light(programs: &Programs, fleet: &Cluster) -> Result<Value, MeasureError> {
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
            length_ms: LIGHT_MS,
            rate_per_s: LIGHT_PER_S,
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
    let through = load(fleet.entry_addr(0)?, "through", 1);
    let direct = load(fleet.process("engine-0")?.addr(), "direct", 2);
    // In processes of their own, built like what they measure.
    let runs = future::try_zip(
        run_load(programs, &through, "through"),
        run_load(programs, &direct, "direct"),
    );
    let (through, direct) = runs.await?;
    if through.whole != through.sent || direct.whole != direct.sent {
        return Err(MeasureError::Invalid(format!(
            "not every answer was whole: {through:?} {direct:?}"
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

/// Runs a load as the program `standins load`; the report of its one flow.
async fn run_load(
    programs: &Programs,
    load: &LoadPlan,
    flow: &'static str,
) -> Result<Report, MeasureError> {
    let invalid = |reason: String| MeasureError::Invalid(format!("the load tool: {reason}"));
    let program = programs.standins()?;
    let plan = json!(load).to_string();
    let output = smol::unblock(move || run_tool(&program, &plan)).await;
    let output = output.map_err(|error| invalid(error.to_string()))?;
    let mut reports: IndexMap<String, Report> =
        serde_json::from_slice(&output).map_err(|error| invalid(error.to_string()))?;
    reports
        .shift_remove(flow)
        .ok_or_else(|| invalid(format!("no report on {flow}")))
}

fn run_tool(program: &Path, plan: &str) -> io::Result<Vec<u8>> {
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

/// Work done, and the processor time it took.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    requests: u64,
    refused: u64,
    tokens: u64,
    entry_cpu: Duration,
    agent_cpu: Duration,
}

impl Work {
    fn per_core_s(&self, count: u64) -> f64 {
        let cpu_s = (self.entry_cpu + self.agent_cpu).as_secs_f64();
        (count as f64 / cpu_s.max(0.01)).round()
    }

    fn entry_share(&self) -> f64 {
        let cpu_s = (self.entry_cpu + self.agent_cpu).as_secs_f64();
        rounded(self.entry_cpu.as_secs_f64() / cpu_s.max(0.01))
    }
}

/// Keeps `at_once` questions of one length under way.
async fn busy(fleet: &Cluster, at_once: usize, tokens: u32) -> Result<Work, MeasureError> {
    let entry = fleet.process("entry-0")?;
    let agent = fleet.process("agent-0")?;
    let entry_before = entry.cpu_time()?;
    let agent_before = agent.cpu_time()?;
    let deadline = Instant::now() + BUSY;
    let caller = fleet.caller(0);
    let counted = Arc::new(Counted::default());
    let mut askers = Vec::new();
    for _ in 0..at_once {
        let asker = ask_until(deadline, caller.clone(), tokens, counted.clone());
        askers.push(async_global_executor::spawn(asker));
    }
    for asker in askers {
        asker.await?;
    }
    let requests = counted.whole.load(Ordering::Relaxed);
    Ok(Work {
        requests,
        refused: counted.refused.load(Ordering::Relaxed),
        tokens: requests * u64::from(tokens),
        entry_cpu: entry.cpu_time()?.saturating_sub(entry_before),
        agent_cpu: agent.cpu_time()?.saturating_sub(agent_before),
    })
}

/// Requests that have ended.
#[derive(Debug, Default)]
struct Counted {
    whole: AtomicU64,
    refused: AtomicU64,
}

async fn ask_until(
    deadline: Instant,
    caller: Caller,
    tokens: u32,
    counted: Arc<Counted>,
) -> Result<(), MeasureError> {
    while Instant::now() < deadline {
        let number = counted.whole.load(Ordering::Relaxed);
        let question = ChatRequest::streamed(format!("question {number} [len={tokens}]"));
        let reply = caller.chat(&question).await;
        match &reply.outcome {
            Outcome::Complete { tokens: came } if *came == tokens => {
                counted.whole.fetch_add(1, Ordering::Relaxed);
            }
            Outcome::Refused { .. } => {
                counted.refused.fetch_add(1, Ordering::Relaxed);
            }
            _ => return Err(MeasureError::Invalid(format!("{reply:?}"))),
        }
    }
    Ok(())
}

/// Memory of an idle entry and agent that know many upstreams, in megabytes.
async fn idle(programs: &Programs) -> Result<(f64, f64), MeasureError> {
    let plan = ClusterPlan::builder()
        .programs(programs.clone())
        .document(with_many_upstreams(default_document()))
        .build();
    let fleet = Cluster::start(plan).await?;
    for index in 1..UPSTREAMS_KNOWN {
        let instance = format!("known-{index}");
        let upstream = format!("upstream-{index}");
        fleet
            .register_alias(&instance, "agent-0", &upstream)
            .await?;
    }
    smol::Timer::after(SETTLE).await;
    let megabytes = |name: &str| -> Result<f64, MeasureError> {
        let bytes = fleet.process(name)?.rss_bytes()?;
        Ok(rounded(bytes as f64 / 1e6))
    };
    Ok((megabytes("entry-0")?, megabytes("agent-0")?))
}

fn with_many_upstreams(mut document: Document) -> Document {
    let Some(engines) = document.upstreams.get(ENGINE_UPSTREAM).cloned() else {
        return document;
    };
    for index in 1..UPSTREAMS_KNOWN {
        let upstream = Upstream {
            models: vec![format!("model-{index}").into()],
            ..engines.clone()
        };
        let name = UpstreamName::from(format!("upstream-{index}"));
        document.upstreams.insert(name, upstream);
    }
    document
}

/// Mean number of runnable threads on the machine over the last minute: how
/// much others got in the way.
fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|number| number.parse().ok()).unwrap_or(0.0)
}

fn rounded(number: f64) -> f64 {
    (number * 1000.0).round() / 1000.0
}
