//! Crash evidence: which contents ran when the upstream crashed.

use telemetry::events::AgentEvent;
use types::RequestId;

use crate::{agent::Agent, upstream::Fault};

impl Agent {
    /// Notes a failed exchange with the upstream; when it crashed, everything
    /// that ran becomes a suspect. The failed request must still be running
    /// for the scheduler.
    pub(crate) async fn on_fault(&self, request_id: &RequestId, fault: &Fault) {
        telemetry::emit(&AgentEvent::UpstreamFault {
            request_id: request_id.clone(),
            fault: fault.to_string(),
            verdict: fault.verdict(),
        });
        if !fault.may_be_crash() {
            return;
        }
        let running = self.gate.running_set();
        if self.upstream.probe().await {
            return;
        }
        let Some(sequence) = self.gate.count_crash(&running) else {
            return;
        };
        let instance = &self.settings.instance;
        let now = self.clock.now();
        self.suspects()
            .on_crash(now, instance, sequence, &running.fingerprints);
        self.meters.crashed();
        telemetry::emit(&AgentEvent::UpstreamCrashed {
            instance: instance.clone(),
            sequence,
            suspects: running.fingerprints,
        });
    }
}
