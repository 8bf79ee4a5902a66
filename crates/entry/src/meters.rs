//! The entry's metrics, exposed at `/metrics`.

use metrics::{counter, gauge, histogram, Counter};
use types::{ClassName, ErrorCode, Verdict};

/// Milliseconds per second.
const MS_PER_S: f64 = 1_000.0;

/// Recorder of the entry's metrics. Caches the handle of the token counter, which
/// is updated for each read of a stream.
pub(crate) struct Meters {
    tokens: Counter,
}

impl Meters {
    /// Registers the token counter; the other metrics are registered on first use.
    pub(crate) fn new() -> Self {
        Self {
            tokens: counter!("limpetgw_entry_tokens_total"),
        }
    }

    /// Counts tokens relayed to callers.
    pub(crate) fn tokens(&self, count: u32) {
        self.tokens.increment(u64::from(count));
    }

    /// Counts a request that the filters refused, by error code.
    pub(crate) fn refused(&self, code: ErrorCode) {
        counter!("limpetgw_entry_refusals_total", "code" => code.as_str()).increment(1);
    }

    /// Counts a started attempt, including hedges.
    pub(crate) fn attempted(&self) {
        counter!("limpetgw_entry_attempts_total").increment(1);
    }

    /// Counts a failed attempt by error code and verdict.
    pub(crate) fn attempt_failed(&self, code: ErrorCode, verdict: Verdict) {
        let labels = [("code", code.as_str()), ("verdict", verdict.as_str())];
        counter!("limpetgw_entry_attempts_failed_total", &labels).increment(1);
    }

    /// Counts a complete response, by whether its first token met the class's target.
    /// For a plain service, the time to the complete response counts.
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

    /// Counts a request that ended without a complete response, by error code and
    /// verdict.
    pub(crate) fn failed(&self, code: ErrorCode, verdict: Verdict) {
        let labels = [("code", code.as_str()), ("verdict", verdict.as_str())];
        counter!("limpetgw_entry_failures_total", &labels).increment(1);
    }

    /// Counts a caller that disconnected before the end of its response.
    pub(crate) fn caller_gone(&self) {
        counter!("limpetgw_entry_callers_gone_total").increment(1);
    }

    /// Counts a claim by its result: `owned` for a new claim, `kept` for the stored
    /// outcome of an earlier submission, or an error code.
    pub(crate) fn claimed(&self, result: &str) {
        counter!("limpetgw_entry_claims_total", "result" => result.to_owned()).increment(1);
    }

    /// Sets the gauge of requests in flight.
    pub(crate) fn in_flight(&self, count: u32) {
        gauge!("limpetgw_entry_in_flight_requests").set(count);
    }
}
