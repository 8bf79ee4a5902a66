//! What is compared: the product and its kept baseline, on equal fleets.

use std::time::{Duration, Instant};

use config::Document;
use harness::{args, Cluster, ClusterPlan, Programs, CLINIC_KEY, ENGINE_MODEL};
use standins::{
    caller::{Caller, ChatRequest},
    load::{Flow, LoadPlan, Phase, RequestKind},
};

use super::MeasureError;

/// Which decisions a fleet makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rival {
    /// Classes at the agents, aged load at the entries.
    Ours,
    /// First in, first out at the agents, each in turn at the entries.
    Baseline,
}

impl Rival {
    fn agent_args(self) -> Vec<String> {
        match self {
            Rival::Ours => args("--discipline classes"),
            Rival::Baseline => args("--discipline fifo"),
        }
    }

    fn entry_args(self) -> Vec<String> {
        match self {
            Rival::Ours => args("--rule aged"),
            Rival::Baseline => args("--rule round-robin"),
        }
    }
}

/// The engines of a fleet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Engines {
    pub(super) count: usize,
    pub(super) slots: u32,
    pub(super) token_ms: u64,
    pub(super) load_lag_ms: u64,
}

impl Engines {
    /// Starts a fleet with two entries before these engines.
    pub(super) async fn start(
        &self,
        programs: &Programs,
        mut document: Document,
        rival: Rival,
    ) -> Result<Cluster, MeasureError> {
        for upstream in document.upstreams.values_mut() {
            upstream.running_max = self.slots;
            // A fixed batch: the measurement is about order, not about size.
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
            .agent_args(rival.agent_args())
            .entry_args(rival.entry_args())
            .build();
        Ok(Cluster::start(plan).await?)
    }

    /// Tokens a second by the engines' own pace.
    pub(super) fn nominal_tokens_per_s(&self) -> f64 {
        let slots = self.count as u64 * u64::from(self.slots);
        (slots * 1_000) as f64 / self.token_ms as f64
    }

    /// Tokens a second that the engines generate on this machine when they
    /// are asked directly and every slot is in use.
    pub(super) async fn measured_tokens_per_s(&self, fleet: &Cluster) -> Result<f64, MeasureError> {
        const TOKENS: u32 = 150;
        let started = Instant::now();
        let mut streams = Vec::new();
        for engine in 0..self.count {
            let addr = fleet
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
        Ok(slots * f64::from(TOKENS) / started.elapsed().as_secs_f64())
    }
}

/// Tokens that all engines have generated since their start.
pub(super) async fn generated(fleet: &Cluster, engines: usize) -> Result<u64, MeasureError> {
    let mut tokens = 0;
    for engine in 0..engines {
        tokens += fleet
            .stats(&format!("engine-{engine}"))
            .await?
            .tokens_generated;
    }
    Ok(tokens)
}

/// Streamed chat completions of one class.
pub(super) fn chat(class: &str, tokens: (u32, u32), target_ms: u64, phases: Vec<Phase>) -> Flow {
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

/// A load on all entries of a fleet.
pub(super) fn load(fleet: &Cluster, flows: Vec<Flow>, seed: u64) -> Result<LoadPlan, MeasureError> {
    let entries = vec![fleet.entry_addr(0)?.into(), fleet.entry_addr(1)?.into()];
    Ok(LoadPlan::builder()
        .entries(entries)
        .flows(flows)
        .seed(seed)
        .build())
}

/// A phase with a rate that asks for `tokens_per_s` in answers of a mean length.
pub(super) fn phase(from: Duration, length: Duration, tokens_per_s: f64, mean: f64) -> Phase {
    Phase {
        from_ms: from.as_millis() as u64,
        length_ms: length.as_millis() as u64,
        rate_per_s: tokens_per_s / mean,
    }
}

/// A figure with three decimals.
pub(super) fn rounded(number: f64) -> f64 {
    (number * 1_000.0).round() / 1_000.0
}
