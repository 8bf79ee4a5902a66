//! The agent's metrics, as `/metrics` shows them.

use std::time::Duration;

use metrics::{counter, gauge, histogram, Counter, Histogram};
use policy::schedule::{End, LoadReport};

use crate::refusal::Refusal;

/// Handles that the request path uses without a look-up.
pub(crate) struct Meters {
    tokens: Counter,
    whole: Counter,
    cancelled: Counter,
    failed: Counter,
    queued: Histogram,
    first_token: Histogram,
}

impl Meters {
    /// Registers the metrics.
    pub(crate) fn new() -> Self {
        let ended = |end| counter!("limpetgw_agent_requests_ended_total", "end" => end_name(end));
        Self {
            tokens: counter!("limpetgw_agent_tokens_total"),
            whole: ended(End::Whole),
            cancelled: ended(End::Cancelled),
            failed: ended(End::Failed),
            queued: histogram!("limpetgw_agent_queued_seconds"),
            first_token: histogram!("limpetgw_agent_first_token_seconds"),
        }
    }

    /// Counts tokens passed on.
    pub(crate) fn tokens(&self, count: u32) {
        self.tokens.increment(u64::from(count));
    }

    /// Notes the time of a request in the queue.
    pub(crate) fn queued(&self, span: Duration) {
        self.queued.record(span);
    }

    /// Notes the time from a start to its first token.
    pub(crate) fn first_token(&self, span: Duration) {
        self.first_token.record(span);
    }

    /// Counts a request that has left the upstream.
    pub(crate) fn ended(&self, end: End) {
        match end {
            End::Whole => self.whole.increment(1),
            End::Cancelled => self.cancelled.increment(1),
            End::Failed => self.failed.increment(1),
        }
    }

    /// Counts a dispatch that got no answer of the upstream.
    pub(crate) fn refused(&self, refusal: &Refusal) {
        let labels = [
            ("code", refusal.code.as_str()),
            ("verdict", refusal.verdict.as_str()),
        ];
        counter!("limpetgw_agent_refusals_total", &labels).increment(1);
    }

    /// Counts a crash of the upstream.
    pub(crate) fn crashed(&self) {
        counter!("limpetgw_agent_upstream_crashes_total").increment(1);
    }

    /// Shows the load now.
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

/// How a request ended, as events and metrics name it.
pub(crate) fn end_name(end: End) -> &'static str {
    match end {
        End::Whole => "whole",
        End::Cancelled => "cancelled",
        End::Failed => "failed",
    }
}
