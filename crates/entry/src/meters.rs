//! The entry's metrics, as `/metrics` shows them.

use metrics::{counter, gauge, histogram, Counter};
use types::{ClassName, ErrorCode, Verdict};

/// Milliseconds of a second.
const MS_PER_S: f64 = 1_000.0;

/// Handles that the relay uses without a look-up.
pub(crate) struct Meters {
    tokens: Counter,
}

impl Meters {
    /// Registers the metrics.
    pub(crate) fn new() -> Self {
        Self {
            tokens: counter!("limpetgw_entry_tokens_total"),
        }
    }

    /// Counts tokens relayed.
    pub(crate) fn tokens(&self, count: u32) {
        self.tokens.increment(u64::from(count));
    }

    /// Counts a request refused before it was dispatched.
    pub(crate) fn refused(&self, code: ErrorCode) {
        counter!("limpetgw_entry_refusals_total", "code" => code.as_str()).increment(1);
    }

    /// Counts an attempt.
    pub(crate) fn attempted(&self) {
        counter!("limpetgw_entry_attempts_total").increment(1);
    }

    /// Counts a failed attempt.
    pub(crate) fn attempt_failed(&self, code: ErrorCode, verdict: Verdict) {
        let labels = [("code", code.as_str()), ("verdict", verdict.as_str())];
        counter!("limpetgw_entry_attempts_failed_total", &labels).increment(1);
    }

    /// Counts a whole answer, and whether its first token met the class's
    /// target. A plain service's answer is its first token.
    pub(crate) fn finished(&self, class: &ClassName, first_token_ms: u64, target_ms: u64) {
        let attained = match first_token_ms <= target_ms {
            true => "true",
            false => "false",
        };
        let class = class.to_string();
        counter!("limpetgw_entry_answers_total", "class" => class.clone(), "attained" => attained)
            .increment(1);
        histogram!("limpetgw_entry_first_token_seconds", "class" => class)
            .record(first_token_ms as f64 / MS_PER_S);
    }

    /// Counts a request that ended without a whole answer.
    pub(crate) fn failed(&self, code: ErrorCode, verdict: Verdict) {
        let labels = [("code", code.as_str()), ("verdict", verdict.as_str())];
        counter!("limpetgw_entry_failures_total", &labels).increment(1);
    }

    /// Counts a caller that hung up.
    pub(crate) fn caller_gone(&self) {
        counter!("limpetgw_entry_callers_gone_total").increment(1);
    }

    /// Counts a claim, by what came of it.
    pub(crate) fn claimed(&self, result: &str) {
        counter!("limpetgw_entry_claims_total", "result" => result.to_owned()).increment(1);
    }

    /// Shows the requests held now.
    pub(crate) fn in_flight(&self, count: u32) {
        gauge!("limpetgw_entry_in_flight_requests").set(count);
    }
}
