//! Emits the log events of a request and updates its metrics.

use std::time::{Duration, Instant};

use policy::schedule::{End, LoadReport};
use rpc::DispatchMeta;
use telemetry::events::AgentEvent;
use types::{InstanceId, RequestId};

use crate::{agent::Agent, meters::end_label, refusal::Refusal};

/// Progress of one started request, reported when it ends.
#[derive(Debug)]
pub(crate) struct RequestStats {
    started: Instant,
    first_token: Option<Duration>,
    tokens: u32,
}

impl RequestStats {
    /// Creates the statistics of a request that starts now. All times are measured
    /// from this call.
    pub(crate) fn new() -> Self {
        Self {
            started: Instant::now(),
            first_token: None,
            tokens: 0,
        }
    }

    /// Records the total number of tokens so far, and at the first call the
    /// time to the first token.
    pub(crate) fn record_tokens(&mut self, agent: &Agent, tokens: u32) {
        self.tokens = tokens;
        if self.first_token.is_none() {
            let span = self.started.elapsed();
            self.first_token = Some(span);
            agent.meters.first_token(span);
        }
    }

    /// Counts the end of the request and emits its event.
    pub(crate) fn record_end(&self, agent: &Agent, request_id: &RequestId, end: End) {
        agent.meters.ended(end);
        telemetry::emit(&AgentEvent::RequestEnded {
            request_id: request_id.clone(),
            end: end_label(end),
            tokens: self.tokens,
            first_token_ms: self.first_token.map_or(0, millis),
            total_ms: millis(self.started.elapsed()),
        });
    }
}

impl Agent {
    /// Emits the event of a queued dispatch, with the load before it was queued.
    pub(crate) fn record_queued(&self, meta: &DispatchMeta, run_alone: bool, load: &LoadReport) {
        telemetry::emit(&AgentEvent::RequestQueued {
            request_id: meta.request_id.clone(),
            sender: meta.sender.clone(),
            attempt: meta.attempt,
            team: meta.team.clone(),
            class: meta.class.clone(),
            fingerprint: meta.fingerprint,
            run_alone,
            running: load.running,
            running_limit: load.running_limit,
            queued: load.queued,
        });
    }

    /// Records the time in the queue and emits the event of a start.
    pub(crate) fn record_started(
        &self,
        request_id: &RequestId,
        queued: Duration,
        engine_priority: u8,
        resume_from: u32,
    ) {
        self.meters.queued(queued);
        telemetry::emit(&AgentEvent::RequestStarted {
            request_id: request_id.clone(),
            queued_ms: millis(queued),
            engine_priority,
            resume_from,
        });
    }

    /// Emits the event of a pause after `tokens` tokens.
    pub(crate) fn record_paused(&self, request_id: &RequestId, tokens: u32) {
        telemetry::emit(&AgentEvent::RequestPaused {
            request_id: request_id.clone(),
            tokens,
        });
    }

    /// Counts a dispatch that ended without a response of the upstream and
    /// emits its event.
    pub(crate) fn record_refused(
        &self,
        request_id: Option<&RequestId>,
        refusal: &Refusal,
        load: &LoadReport,
    ) {
        self.meters.refused(refusal);
        telemetry::emit(&AgentEvent::RequestRefused {
            request_id: request_id.cloned(),
            code: refusal.code,
            verdict: refusal.verdict,
            running: load.running,
            running_limit: load.running_limit,
            queued: load.queued,
        });
    }

    /// Emits the event of a recall; `recalled` is its result.
    pub(crate) fn record_recalled(
        &self,
        request_id: &RequestId,
        sender: &InstanceId,
        recalled: bool,
        cancel: bool,
    ) {
        telemetry::emit(&AgentEvent::RequestRecalled {
            request_id: request_id.clone(),
            sender: sender.clone(),
            recalled,
            cancel,
        });
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
