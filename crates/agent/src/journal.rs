//! Notes what became of a request: its events and metrics.

use std::time::{Duration, Instant};

use policy::schedule::{End, LoadReport};
use rpc::DispatchMeta;
use telemetry::events::AgentEvent;
use types::{InstanceId, RequestId};

use crate::{agent::Agent, meters::end_name, refusal::Refusal};

/// The course of one started request.
#[derive(Debug)]
pub(crate) struct Course {
    started: Instant,
    first_token: Option<Duration>,
    tokens: u32,
}

impl Course {
    /// Begins with the first start.
    pub(crate) fn new() -> Self {
        Self {
            started: Instant::now(),
            first_token: None,
            tokens: 0,
        }
    }

    /// Notes that `tokens` were generated in all so far.
    pub(crate) fn note_tokens(&mut self, agent: &Agent, tokens: u32) {
        self.tokens = tokens;
        if self.first_token.is_none() {
            let span = self.started.elapsed();
            self.first_token = Some(span);
            agent.meters.first_token(span);
        }
    }

    /// Notes the end.
    pub(crate) fn note_end(&self, agent: &Agent, request_id: &RequestId, end: End) {
        agent.meters.ended(end);
        telemetry::emit(&AgentEvent::RequestEnded {
            request_id: request_id.clone(),
            end: end_name(end),
            tokens: self.tokens,
            first_token_ms: self.first_token.map_or(0, millis),
            total_ms: millis(self.started.elapsed()),
        });
    }
}

impl Agent {
    /// Notes that a dispatch was queued under `load`.
    pub(crate) fn note_queued(&self, meta: &DispatchMeta, run_alone: bool, load: &LoadReport) {
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

    /// Notes a start.
    pub(crate) fn note_started(
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

    /// Notes a pause.
    pub(crate) fn note_paused(&self, request_id: &RequestId, tokens: u32) {
        telemetry::emit(&AgentEvent::RequestPaused {
            request_id: request_id.clone(),
            tokens,
        });
    }

    /// Notes a dispatch that got no answer of the upstream.
    pub(crate) fn note_refused(
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

    /// Notes the answer to a recall.
    pub(crate) fn note_recalled(
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
