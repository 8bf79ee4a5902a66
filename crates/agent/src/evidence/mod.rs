//! Crash evidence: which contents ran when the upstream crashed.
//!
//! Agents are the only gates to the engines, so what matters is that the
//! agents of one upstream know. A crash is told to all of them before the
//! entry learns that its request failed: whoever sends the content again, and
//! through whichever entry, meets a gate that knows. Entries learn from the
//! agent whose answer failed, and from exchanges at leisure.

mod keep;
mod share;

pub(crate) use keep::{keep, recall_evidence};

use std::time::{SystemTime, UNIX_EPOCH};

use policy::quarantine::QuarantineStatus;
use telemetry::events::AgentEvent;
use types::{ErrorCode, Fingerprint};

use crate::{
    agent::Agent,
    gate::{Request, Started},
    refusal::Refusal,
    upstream::Fault,
};

impl Agent {
    /// Whether a content has to run alone.
    ///
    /// # Errors
    ///
    /// The refusal of a quarantined content.
    pub(crate) fn must_run_alone(&self, fingerprint: Fingerprint) -> Result<bool, Refusal> {
        let now = self.clock.now();
        match self.suspects().status(now, fingerprint) {
            QuarantineStatus::Clear => Ok(false),
            QuarantineStatus::Suspect => Ok(true),
            QuarantineStatus::Quarantined { remaining_ms } => {
                Err(Refusal::not_run(ErrorCode::Quarantined).after_ms(remaining_ms))
            }
        }
    }

    /// Notes a whole answer.
    pub(crate) fn on_whole(&self, fingerprint: Fingerprint) {
        let now = self.clock.now();
        self.suspects().on_completed(now, fingerprint);
    }

    /// Notes a failed exchange with the upstream; when it crashed, everything
    /// that ran becomes a suspect.
    pub(crate) async fn on_fault(&self, request: &Request<Started>, fault: &Fault) {
        telemetry::emit(&AgentEvent::UpstreamFault {
            request_id: request.id().clone(),
            fault: fault.to_string(),
            verdict: fault.verdict(),
        });
        if !fault.may_be_crash() {
            return;
        }
        let running = self.gate.running_fingerprints();
        if self.upstream.probe().await {
            return;
        }
        if request.count_crash() {
            self.on_crash(running);
        }
        // Every failed request waits, so that its entry can't be faster than
        // the evidence.
        self.tell_agents().await;
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

/// A number that no process for this instance has used for an earlier crash.
fn crash_sequence() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |span| {
        u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
    })
}
