//! Sends the planned requests and collects their outcomes.

use std::time::{Duration, Instant};

use smol::channel::{unbounded, Sender};

use super::{arrivals, plan::RequestKind, Arrival, Flow, LoadPlan};
use crate::caller::{Caller, ChatRequest, Outcome, Reply, ServiceCall};

/// One planned request with its reply and times.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Index of the flow in [`LoadPlan::flows`].
    pub flow: usize,
    /// Position of the arrival within the load, from 0.
    pub number: usize,
    /// Planned time of sending, after the start of the load.
    pub planned_at: Duration,
    /// Delay between the planned and the actual sending.
    pub send_delay: Duration,
    /// The reply. Its times are measured from the actual sending, those that the
    /// methods of this type return from the planned sending.
    pub reply: Reply,
}

impl Record {
    /// Returns the time from the planned sending to the first token of a stream,
    /// or to the head of any other response.
    pub fn time_to_first_token(&self) -> Option<Duration> {
        Some(self.send_delay + self.reply.time_to_first_token?)
    }

    /// Returns the time from the planned sending to the end of the response.
    pub fn total(&self) -> Duration {
        self.send_delay + self.reply.total
    }

    /// Returns whether the response was complete and its first token or head was
    /// received within `target_ms` milliseconds.
    pub fn meets_target(&self, target_ms: u64) -> bool {
        let target = Duration::from_millis(target_ms);
        self.reply.outcome.is_complete()
            && self
                .time_to_first_token()
                .is_some_and(|first| first <= target)
    }

    /// Returns whether the caller received no response or timed out, so that the
    /// result of the request is unknown.
    pub fn is_lost(&self) -> bool {
        matches!(
            self.reply.outcome,
            Outcome::NoResponse { .. } | Outcome::TimedOut { .. }
        )
    }
}

/// Runs a load and returns the records by number, after every request has
/// ended or timed out.
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
        let task = send(caller, flow, arrival, load.seed, due, records.clone());
        async_global_executor::spawn(task).detach();
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
    let timeout = Duration::from_millis(load.patience_ms);
    let base = Caller::new("", "").with_timeout(timeout);
    load.flows
        .iter()
        .map(|flow| base.with_key(&flow.api_key))
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
    let send_delay = due.elapsed();
    let reply = match &flow.what {
        RequestKind::Chat { .. } => caller.chat(&chat_request(&flow, &arrival, seed)).await,
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
        send_delay,
        reply,
    };
    // The receiver waits for all senders, so the channel is open.
    let _ = records.send(record).await;
}

fn with_class(call: ServiceCall, flow: &Flow) -> ServiceCall {
    ServiceCall {
        class: flow.class.clone(),
        ..call
    }
}

/// Returns the chat request of an arrival. Prompts of a flow share a prefix and
/// differ only at the end.
fn chat_request(flow: &Flow, arrival: &Arrival, seed: u64) -> ChatRequest {
    let mut request = ChatRequest::streamed("");
    request.class.clone_from(&flow.class);
    if let RequestKind::Chat {
        model,
        stream,
        prompt_bytes,
        ..
    } = &flow.what
    {
        let suffix = format!(
            "question {seed}-{} [len={}]",
            arrival.number, arrival.tokens
        );
        let prefix = format!("as a servant of {} I ask: ", flow.name);
        let filler_bytes = prompt_bytes.saturating_sub(suffix.len());
        request.prompt = prefix.chars().cycle().take(filler_bytes).collect();
        request.prompt.push_str(&suffix);
        request.model.clone_from(model);
        request.stream = *stream;
    }
    request
}
