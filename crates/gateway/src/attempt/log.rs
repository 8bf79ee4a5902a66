//! Log events and metrics for the attempts of a request.

use policy::placement::{
    CapacityChange, CopyDecision, Demand, LaneSplit, LearnedCapacity, Placement,
};
use telemetry::{emit, events::GatewayEvent};
use types::{InstanceId, UpstreamName};

use super::{receive::AttemptError, session::Session};

impl Session {
    /// Logs the instance chosen for the current attempt.
    pub(super) fn log_placed(&self, placement: &Placement) {
        let view = self.app.view.load();
        emit(&GatewayEvent::RequestPlaced {
            request_id: self.request.request_id.clone(),
            attempt: self.attempts,
            route: self.request.route.name.clone(),
            upstream: self.request.upstream.clone(),
            instance: placement.instance.clone(),
            priority: self.request.priority.0,
            predicted_ms: placement.predicted_ms as u64,
            cached_tokens: placement.cached_tokens,
            prompt_tokens: self.request.demand.prompt_tokens,
            prefix: self.request.demand.prefix_hash(),
            shared_tokens: self.request.demand.shared_tokens(),
            target_ms: self.request.demand.target_ms,
            home_rank: placement.home_rank,
            in_flight: placement.in_flight,
            remaining_ms: self.remaining().as_millis() as u64,
            config_version: self.request.config_version,
            roster_revision: view.revision,
            roster_age_ms: self.app.roster_age_ms(),
        });
    }

    /// Logs and counts the copy that the current attempt requests, or counts why
    /// it requests none.
    pub(super) fn log_prefix_copy(&self, placement: &Placement) {
        let copy = match &placement.prefix_copy {
            CopyDecision::NotNeeded => return,
            CopyDecision::Refused(reason) => {
                metrics::counter!("limpetgw_gateway_prefix_copies_refused_total", "reason" => reason.as_str())
                    .increment(1);
                return;
            }
            CopyDecision::Requested(copy) => copy,
        };
        emit(&GatewayEvent::PrefixCopyRequested {
            request_id: self.request.request_id.clone(),
            attempt: self.attempts,
            instance: placement.instance.clone(),
            source: copy.source.clone(),
            tokens: copy.tokens,
            expected_tokens: copy.expected_tokens,
            transfer_ms: copy.transfer_ms as u64,
        });
        let purpose = match copy.expected_tokens {
            0 => "precaution",
            _ => "saving",
        };
        metrics::counter!("limpetgw_gateway_prefix_copies_requested_total", "purpose" => purpose)
            .increment(1);
        metrics::counter!("limpetgw_gateway_prefix_copy_tokens_total", "purpose" => purpose)
            .increment(u64::from(copy.tokens));
    }

    /// Logs and counts a failed attempt. `after_ms` is the time since sending,
    /// or since receipt of the request if a stream failed after its first event.
    pub(super) fn log_attempt_failed(
        &self,
        instance: &InstanceId,
        attempt_error: &AttemptError,
        last_id: Option<u64>,
        after_ms: u64,
    ) {
        let verdict = attempt_error.verdict;
        emit(&GatewayEvent::AttemptBroke {
            request_id: self.request.request_id.clone(),
            attempt: self.attempts,
            instance: instance.clone(),
            reason: attempt_error.reason.clone(),
            verdict,
            after_ms,
            last_event: last_id.unwrap_or_default(),
            progress: attempt_error.progress.as_str(),
            parts: part_ids(&self.request.demand),
        });
        metrics::counter!("limpetgw_gateway_attempts_broken_total", "verdict" => verdict.as_str())
            .increment(1);
    }

    /// Logs and counts a complete response. Without a first event, the total
    /// time is recorded as the time to the first event.
    pub(crate) fn log_completed(&self, status: u16, events: u32) {
        let total_ms = self.age_ms();
        let first_ms = match self.first_ms {
            0 => total_ms,
            first_ms => first_ms,
        };
        emit(&GatewayEvent::RequestAnswered {
            request_id: self.request.request_id.clone(),
            status,
            attempts: self.attempts,
            events,
            first_ms,
            total_ms,
            longest_pause_ms: self.longest_pause_ms,
            pause_target_ms: self.request.demand.pause_target_ms,
        });
        metrics::counter!("limpetgw_gateway_answers_total", "status" => status.to_string())
            .increment(1);
        metrics::histogram!("limpetgw_gateway_first_event_seconds")
            .record(first_ms as f64 / 1_000.0);
    }

    /// Records the current time as the one at which the first event is sent to
    /// the caller.
    pub(crate) fn record_first_event(&mut self) {
        self.first_ms = self.age_ms();
        self.event_at_ms = self.first_ms;
    }

    /// Records data received after the first event.
    pub(crate) fn record_next_event(&mut self) {
        let at_ms = self.age_ms();
        self.longest_pause_ms = self.longest_pause_ms.max(at_ms - self.event_at_ms);
        self.event_at_ms = at_ms;
    }

    /// Logs and counts a caller that disconnected before the response was
    /// complete.
    pub(crate) fn log_caller_disconnected(&self, events: u32) {
        emit(&GatewayEvent::CallerLeft {
            request_id: self.request.request_id.clone(),
            events,
            total_ms: self.age_ms(),
        });
        metrics::counter!("limpetgw_gateway_callers_gone_total").increment(1);
    }
}

/// Logs a change in the number of instances that are reserved for short
/// prompts.
pub(super) fn log_lane_split(upstream: &UpstreamName, before: &LaneSplit, after: &LaneSplit) {
    emit(&GatewayEvent::ShortLaneMoved {
        upstream: upstream.clone(),
        short_instances: after.short_instances,
        before: before.short_instances,
        instances: after.instances,
        pause_percent: (after.pause_share * 100.0) as u32,
    });
}

/// Logs a change of an instance's learned capacity and updates its gauges.
pub(super) fn log_capacity_change(upstream: &UpstreamName, change: &CapacityChange) {
    let percent = |capacity: &LearnedCapacity| (capacity.speed * 100.0).round() as u32;
    let limit = |capacity: &LearnedCapacity| capacity.concurrency_limit.unwrap_or(0);
    emit(&GatewayEvent::InstanceCapacityChanged {
        upstream: upstream.clone(),
        instance: change.instance.clone(),
        speed_percent: percent(&change.after),
        speed_percent_before: percent(&change.before),
        concurrency_limit: limit(&change.after),
        concurrency_limit_before: limit(&change.before),
    });
    let labels = [
        ("upstream", upstream.as_str().to_string()),
        ("instance", change.instance.as_str().to_string()),
    ];
    metrics::gauge!("limpetgw_instance_capacity", &labels).set(change.after.speed);
    metrics::gauge!("limpetgw_instance_concurrency_limit", &labels)
        .set(f64::from(limit(&change.after)));
}

/// Formats the ids of the parts that other prompts may share, in order.
fn part_ids(demand: &Demand) -> String {
    let ids = demand.shared().iter().map(|part| format!("{:x}", part.id));
    ids.collect::<Vec<_>>().join(",")
}
