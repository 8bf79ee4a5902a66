//! Crash evidence: records of which contents ran when the upstream crashed.
//!
//! A content is the target and body of a request, identified by their
//! fingerprint. One that ran during a crash is a suspect and must run alone,
//! until a complete response clears it or it is quarantined; the rules are in
//! [`policy::quarantine`].
//!
//! Engines are reachable through agents only, so quarantine is enforced by the
//! agents of an upstream. Evidence of a crash is broadcast to all of them
//! before the entry receives the failure. A retry of the content through any
//! entry therefore reaches an agent that has the evidence. Entries obtain it
//! from the agent whose response failed and from periodic exchanges.

mod exchange;
mod persistence;

pub(crate) use persistence::{load_evidence, persist_evidence};

use std::time::{SystemTime, UNIX_EPOCH};

use policy::quarantine::QuarantineStatus;
use telemetry::events::AgentEvent;
use types::{ErrorCode, Fingerprint};

use crate::{
    agent::Agent,
    refusal::Refusal,
    scheduler::{Request, Started},
    upstream::Fault,
};

impl Agent {
    /// Whether a content is a suspect and has to run without other requests.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the remaining time if the content is quarantined.
    pub(crate) fn must_run_alone(&self, fingerprint: Fingerprint) -> Result<bool, Refusal> {
        let now = self.clock.now();
        match self.suspects().status(now, fingerprint) {
            QuarantineStatus::Clear => Ok(false),
            QuarantineStatus::Suspect => Ok(true),
            QuarantineStatus::Quarantined { remaining_ms } => {
                Err(Refusal::not_run(ErrorCode::Quarantined).with_retry_after_ms(remaining_ms))
            }
        }
    }

    /// Records that a request with this content received a complete response.
    pub(crate) fn on_completed(&self, fingerprint: Fingerprint) {
        let now = self.clock.now();
        self.suspects().on_completed(now, fingerprint);
    }

    /// Records a failed exchange with the upstream. If a probe shows that the
    /// upstream crashed, all contents that were running become suspects.
    pub(crate) async fn on_fault(&self, request: &Request<Started>, fault: &Fault) {
        telemetry::emit(&AgentEvent::UpstreamFault {
            request_id: request.id().clone(),
            fault: fault.to_string(),
            verdict: fault.verdict(),
        });
        if !fault.may_be_crash() {
            return;
        }
        let running = self.scheduler.running_fingerprints();
        if self.upstream.probe().await {
            return;
        }
        if request.count_crash() {
            self.on_crash(running);
        }
        // Every failed request waits for the broadcast, up to its timeout, so that
        // an entry does not retry before the other agents have the evidence.
        self.broadcast_evidence().await;
    }

    fn on_crash(&self, running: Vec<Fingerprint>) {
        let instance = &self.settings.instance;
        let sequence = crash_sequence();
        let now = self.clock.now();
        self.suspects().on_crash(now, instance, sequence, &running);
        self.has_new_evidence.notify();
        self.meters.crashed();
        telemetry::emit(&AgentEvent::UpstreamCrashed {
            instance: instance.clone(),
            sequence,
            suspects: running,
        });
    }
}

/// Returns a crash number that no earlier process of this instance has used:
/// the current Unix time in microseconds.
fn crash_sequence() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |span| {
        u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
    })
}
