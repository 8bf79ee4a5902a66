//! Shared setup for measurements that compare limpetgw with a baseline on
//! identical clusters.

use std::time::{Duration, Instant};

use config::Document;
use harness::{args, Cluster, ClusterPlan, Programs, CLINIC_KEY, ENGINE_MODEL};
use standins::{
    caller::{Caller, ChatRequest},
    load::{Flow, LoadPlan, Phase, RequestKind},
};

use super::MeasureError;

/// Scheduling and routing rules that the agents and entries of a cluster use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Variant {
    /// The product's rules: scheduling by class at the agents, routing by aged
    /// load reports at the entries.
    Limpetgw,
    /// The rules to compare with: first in, first out at the agents,
    /// round-robin at the entries.
    Baseline,
}

impl Variant {
    fn agent_args(self) -> Vec<String> {
        match self {
            Variant::Limpetgw => args("--discipline classes"),
            Variant::Baseline => args("--discipline fifo"),
        }
    }

    fn entry_args(self) -> Vec<String> {
        match self {
            Variant::Limpetgw => args("--rule aged"),
            Variant::Baseline => args("--rule round-robin"),
        }
    }
}

/// Number and settings of the simulated engines of a cluster.
#[derive(Clone, Copy, Debug)]
pub(super) struct Engines {
    pub(super) count: usize,
    pub(super) slots: u32,
    pub(super) token_ms: u64,
    pub(super) load_lag_ms: u64,
}

impl Engines {
    /// Starts a cluster of these engines, with one agent for each engine, and
    /// two entries. Agents and entries use the rules of `variant`.
    pub(super) async fn start(
        &self,
        programs: &Programs,
        mut document: Document,
        variant: Variant,
    ) -> Result<Cluster, MeasureError> {
        for upstream in document.upstreams.values_mut() {
            upstream.running_max = self.slots;
            // The limit is fixed, because the measurement compares the order of
            // requests, not the adaptation of the batch size.
            upstream.running_min = self.slots;
        }
        let engine = format!(
            "--token-ms {} --batch-max {} --batch-slope-permille 0 --load-lag-ms {}",
            self.token_ms, self.slots, self.load_lag_ms
        );
        let plan = ClusterPlan::builder()
            .programs(programs.clone())
            .document(document)
            .entries(2)
            .engines(self.count)
            .engine_args(args(&engine))
            .agent_args(variant.agent_args())
            .entry_args(variant.entry_args())
            .build();
        Ok(Cluster::start(plan).await?)
    }

    /// Returns the tokens per second that the engines generate according to their
    /// settings if every slot is occupied.
    pub(super) fn nominal_tokens_per_s(&self) -> f64 {
        let slots = self.count as u64 * u64::from(self.slots);
        (slots * 1_000) as f64 / self.token_ms as f64
    }

    /// Measures the tokens per second that the engines generate on this machine
    /// when callers use them directly and occupy every slot.
    pub(super) async fn measured_tokens_per_s(
        &self,
        cluster: &Cluster,
    ) -> Result<f64, MeasureError> {
        const TOKENS: u32 = 150;
        let started_at = Instant::now();
        let mut streams = Vec::new();
        for engine in 0..self.count {
            let addr = cluster
                .process(&format!("engine-{engine}"))?
                .addr()
                .to_string();
            for slot in 0..self.slots {
                let caller = Caller::new(&addr, CLINIC_KEY);
                let prompt = format!("capacity {engine} {slot} [len={TOKENS}]");
                streams.push(async_global_executor::spawn(async move {
                    caller.chat(&ChatRequest::streamed(prompt)).await
                }));
            }
        }
        let slots = streams.len() as f64;
        for stream in streams {
            let reply = stream.await;
            if !reply.outcome.is_complete() {
                return Err(MeasureError::Invalid(format!("{reply:?}")));
            }
        }
        Ok(slots * f64::from(TOKENS) / started_at.elapsed().as_secs_f64())
    }
}

/// Returns the number of tokens that all engines have generated since start.
pub(super) async fn generated_tokens(
    cluster: &Cluster,
    engines: usize,
) -> Result<u64, MeasureError> {
    let mut tokens = 0;
    for engine in 0..engines {
        tokens += cluster
            .stats(&format!("engine-{engine}"))
            .await?
            .tokens_generated;
    }
    Ok(tokens)
}

/// Returns a flow of streamed chat completions of one class, with `tokens` as
/// the shortest and longest output.
pub(super) fn chat_flow(
    class: &str,
    tokens: (u32, u32),
    target_ms: u64,
    phases: Vec<Phase>,
) -> Flow {
    let what = RequestKind::Chat {
        model: ENGINE_MODEL.into(),
        stream: true,
        tokens_min: tokens.0,
        tokens_max: tokens.1,
        prompt_bytes: 200,
    };
    Flow::builder()
        .name(class)
        .class(class)
        .api_key(CLINIC_KEY)
        .what(what)
        .phases(phases)
        .target_ms(target_ms)
        .build()
}

/// Builds a load on both entries of a cluster.
pub(super) fn build_load(
    cluster: &Cluster,
    flows: Vec<Flow>,
    seed: u64,
) -> Result<LoadPlan, MeasureError> {
    let entries = vec![cluster.entry_addr(0)?.into(), cluster.entry_addr(1)?.into()];
    Ok(LoadPlan::builder()
        .entries(entries)
        .flows(flows)
        .seed(seed)
        .build())
}

/// Returns a phase whose requests need `tokens_per_s` on average, if a response
/// has `mean_tokens` on average.
pub(super) fn token_rate_phase(
    from: Duration,
    length: Duration,
    tokens_per_s: f64,
    mean_tokens: f64,
) -> Phase {
    Phase {
        from_ms: from.as_millis() as u64,
        length_ms: length.as_millis() as u64,
        rate_per_s: tokens_per_s / mean_tokens,
    }
}

/// Rounds a figure to three decimals.
pub(super) fn rounded(number: f64) -> f64 {
    (number * 1_000.0).round() / 1_000.0
}
