//! Metrics of the agent, exported at `/metrics`.

use std::time::Duration;

use metrics::{counter, gauge, histogram, Counter, Histogram};
use policy::schedule::{End, LoadReport};

use crate::refusal::Refusal;

/// Metric handles, registered once so that the request path needs no look-up.
pub(crate) struct Meters {
    tokens: Counter,
    completed: Counter,
    cancelled: Counter,
    failed: Counter,
    queued: Histogram,
    first_token: Histogram,
}

impl Meters {
    /// Registers the metrics with the global recorder.
    pub(crate) fn new() -> Self {
        let ended = |end| counter!("limpetgw_agent_requests_ended_total", "end" => end_label(end));
        Self {
            tokens: counter!("limpetgw_agent_tokens_total"),
            completed: ended(End::Whole),
            cancelled: ended(End::Cancelled),
            failed: ended(End::Failed),
            queued: histogram!("limpetgw_agent_queued_seconds"),
            first_token: histogram!("limpetgw_agent_first_token_seconds"),
        }
    }

    /// Counts tokens received from the engine and validated.
    pub(crate) fn tokens(&self, count: u32) {
        self.tokens.increment(u64::from(count));
    }

    /// Records the time that a request spent in the queue.
    pub(crate) fn queued(&self, span: Duration) {
        self.queued.record(span);
    }

    /// Records the time from the first start of a request to its first token.
    pub(crate) fn first_token(&self, span: Duration) {
        self.first_token.record(span);
    }

    /// Counts a started request that has ended.
    pub(crate) fn ended(&self, end: End) {
        match end {
            End::Whole => self.completed.increment(1),
            End::Cancelled => self.cancelled.increment(1),
            End::Failed => self.failed.increment(1),
        }
    }

    /// Counts a dispatch that ended without a response of the upstream, by code and
    /// verdict.
    pub(crate) fn refused(&self, refusal: &Refusal) {
        let labels = [
            ("code", refusal.code.as_str()),
            ("verdict", refusal.verdict.as_str()),
        ];
        counter!("limpetgw_agent_refusals_total", &labels).increment(1);
    }

    /// Counts one crash of the upstream, however many requests it interrupted.
    pub(crate) fn crashed(&self) {
        counter!("limpetgw_agent_upstream_crashes_total").increment(1);
    }

    /// Sets the load gauges; called at each scrape of `/metrics`.
    pub(crate) fn load(&self, load: &LoadReport) {
        gauge!("limpetgw_agent_running_requests").set(load.running);
        gauge!("limpetgw_agent_running_limit_requests").set(load.running_limit);
        gauge!("limpetgw_agent_queued_requests").set(load.queued);
    }
}

impl std::fmt::Debug for Meters {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Meters(..)")
    }
}

/// Returns the label for the end of a request in events and metrics.
pub(crate) fn end_label(end: End) -> &'static str {
    match end {
        End::Whole => "whole",
        End::Cancelled => "cancelled",
        End::Failed => "failed",
    }
}
