//! Sends the planned requests and collects what became of them.

use std::time::{Duration, Instant};

use smol::channel::{unbounded, Sender};

use super::{arrivals, plan::RequestKind, Arrival, Flow, LoadPlan};
use crate::caller::{Caller, ChatRequest, Outcome, Reply, ServiceCall};

/// What became of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Index of its flow.
    pub flow: usize,
    /// Number within the load.
    pub number: usize,
    /// When it was to be sent, after the load's start.
    pub planned_at: Duration,
    /// How much later it was sent.
    pub late: Duration,
    /// The answer; its times count from the sending.
    pub reply: Reply,
}

impl Record {
    /// Time from the planned arrival to the first token or answer.
    pub fn time_to_first_token(&self) -> Option<Duration> {
        Some(self.late + self.reply.time_to_first_token?)
    }

    /// Time from the planned arrival to the end.
    pub fn total(&self) -> Duration {
        self.late + self.reply.total
    }

    /// Whether the answer was whole and its first part within the target.
    pub fn meets_target(&self, target_ms: u64) -> bool {
        let target = Duration::from_millis(target_ms);
        self.reply.outcome.is_complete()
            && self
                .time_to_first_token()
                .is_some_and(|first| first <= target)
    }

    /// Whether the caller never learned what became of its request.
    pub fn is_lost(&self) -> bool {
        matches!(
            self.reply.outcome,
            Outcome::NoResponse { .. } | Outcome::TimedOut { .. }
        )
    }
}

/// Runs a load to its end: every request has an outcome or ran out of patience.
pub async fn run(load: &LoadPlan) -> Vec<Record> {
    let callers = callers(load);
    let (records, collected) = unbounded();
    let start = Instant::now();
    for arrival in arrivals(load) {
        let due = start + Duration::from_micros(arrival.at_us);
        if due > Instant::now() {
            smol::Timer::at(due).await;
        }
        let entry = arrival.number % load.entries.len().max(1);
        let caller = &callers[arrival.flow];
        let caller = caller.with_addr(load.entries.get(entry).map_or("", String::as_str));
        let flow = load.flows[arrival.flow].clone();
        let sending = send(caller, flow, arrival, load.seed, due, records.clone());
        async_global_executor::spawn(sending).detach();
    }
    drop(records);
    let mut all = Vec::new();
    while let Ok(record) = collected.recv().await {
        all.push(record);
    }
    all.sort_by_key(|record| record.number);
    all
}

fn callers(load: &LoadPlan) -> Vec<Caller> {
    let patience = Duration::from_millis(load.patience_ms);
    let any = Caller::new("", "").with_timeout(patience);
    load.flows
        .iter()
        .map(|flow| any.with_key(&flow.api_key))
        .collect()
}

async fn send(
    caller: Caller,
    flow: Flow,
    arrival: Arrival,
    seed: u64,
    due: Instant,
    records: Sender<Record>,
) {
    let late = due.elapsed();
    let reply = match &flow.what {
        RequestKind::Chat { .. } => caller.chat(&question(&flow, &arrival, seed)).await,
        RequestKind::Read { route } => {
            let path = format!("/history/{}", arrival.number);
            let call = ServiceCall::read(route, &path);
            caller.call(&with_class(call, &flow)).await
        }
        RequestKind::Order { route } => {
            let key = format!("order-{seed}-{}", arrival.number);
            let body = format!(r#"{{"part":"burr","order":{}}}"#, arrival.number);
            let call = ServiceCall::at_most_once(route, "/orders/new", &body, &key);
            caller.call(&with_class(call, &flow)).await
        }
    };
    let record = Record {
        flow: arrival.flow,
        number: arrival.number,
        planned_at: Duration::from_micros(arrival.at_us),
        late,
        reply,
    };
    // The collector waits for every sender, so the channel is open.
    let _ = records.send(record).await;
}

fn with_class(call: ServiceCall, flow: &Flow) -> ServiceCall {
    ServiceCall {
        class: flow.class.clone(),
        ..call
    }
}

/// The question of an arrival; its prompt differs from all others at its end.
fn question(flow: &Flow, arrival: &Arrival, seed: u64) -> ChatRequest {
    let mut question = ChatRequest::streamed("");
    question.class.clone_from(&flow.class);
    if let RequestKind::Chat {
        model,
        stream,
        prompt_bytes,
        ..
    } = &flow.what
    {
        let own = format!(
            "question {seed}-{} [len={}]",
            arrival.number, arrival.tokens
        );
        let common = format!("as a servant of {} I ask: ", flow.name);
        let filler_bytes = prompt_bytes.saturating_sub(own.len());
        question.prompt = common.chars().cycle().take(filler_bytes).collect();
        question.prompt.push_str(&own);
        question.model.clone_from(model);
        question.stream = *stream;
    }
    question
}
