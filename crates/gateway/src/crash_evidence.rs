//! Collects evidence about requests that crash instances, and refuses requests
//! that are quarantined for it.
//!
//! A connection that breaks does not show that its instance ended: the network
//! or a faulty instance may reset it. The instance counts as ended once it
//! refuses connections or is replaced in the roster.

use std::{
    io,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use policy::crash_evidence::{CrashLog, EndEvidence, InstanceEnd, Screening, Suspect, TrialId};
use telemetry::{emit, events::GatewayEvent};
use types::{ErrorCode, InstanceId, RequestId};

use crate::{
    app::{lock, App},
    failure::Failure,
    upstream::ConnectError,
};

/// Delays before the checks whether an instance has ended. The entry of an ended
/// instance leaves the roster within three heartbeats and the grace time for
/// missing entries.
const CHECK_DELAYS_MS: [u64; 8] = [0, 60, 150, 300, 600, 1_200, 2_000, 2_500];

/// Number of checks that open a connection; the others only look at the roster.
const CONNECT_CHECKS: usize = 4;

impl App {
    /// Runs `change` on the crash log, and logs which suspects it puts into
    /// quarantine or releases.
    pub(crate) fn update_crash_log<T>(&self, change: impl FnOnce(&mut CrashLog) -> T) -> T {
        let mut log = lock(&self.crash_log);
        let before: Vec<Suspect> = log.quarantined().map(|(suspect, _)| *suspect).collect();
        let result = change(&mut log);
        let after: Vec<(Suspect, usize)> = log
            .quarantined()
            .map(|(suspect, ends)| (*suspect, ends))
            .collect();
        drop(log);
        for suspect in &before {
            if !after.iter().any(|(other, _)| other == suspect) {
                emit(&GatewayEvent::SuspectReleased {
                    suspect: suspect.to_string(),
                });
            }
        }
        for (suspect, ends) in after {
            if !before.contains(&suspect) {
                emit(&GatewayEvent::SuspectQuarantined {
                    suspect: suspect.to_string(),
                    ends,
                });
            }
        }
        result
    }

    /// Records that a connection broke while a request with the given suspects
    /// was waiting on it for its first event.
    pub(crate) fn on_connection_lost(self: &Arc<Self>, end: InstanceEnd, suspects: &[Suspect]) {
        if lock(&self.crash_log).has_observed(&end) {
            self.record_end(&end, suspects);
            return;
        }
        let is_first = {
            let mut unconfirmed = lock(&self.unconfirmed_ends);
            let is_first = !unconfirmed.contains_key(&end);
            unconfirmed
                .entry(end.clone())
                .or_default()
                .extend_from_slice(suspects);
            is_first
        };
        if is_first {
            async_global_executor::spawn(confirm_end(self.clone(), end)).detach();
        }
    }

    /// Records that a request with the given suspects got its first event.
    pub(crate) fn on_response_begun(&self, suspects: &[Suspect]) {
        let now = self.now();
        if self.update_crash_log(|log| log.on_first_event(now, suspects)) {
            self.peers.notify_changed();
        }
    }

    fn record_end(&self, end: &InstanceEnd, suspects: &[Suspect]) {
        let now = self.now();
        let evidence = EndEvidence {
            end: end.clone(),
            at_unix_ms: unix_ms(),
            suspects: suspects.to_vec(),
            cleared: Vec::new(),
        };
        if self.update_crash_log(|log| log.on_end(now, &evidence)) {
            self.peers.notify_changed();
        }
    }

    /// Returns whether the roster still has the incarnation.
    fn is_listed(&self, end: &InstanceEnd) -> bool {
        self.view.load().incarnation(&end.instance) == Some(end.incarnation)
    }

    /// Returns whether nothing listens at the address of the instance any more.
    /// A connection that could be opened goes to the pool.
    async fn refuses_connections(&self, instance: &InstanceId) -> bool {
        let Some(addr) = self.view.load().addr(instance).cloned() else {
            return false;
        };
        match self.pool.probe(&addr).await {
            Err(ConnectError::Failed(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
            Err(ConnectError::InUse(_)) | Ok(()) => false,
        }
    }

    /// Decides whether a request with the given suspects may be sent.
    ///
    /// # Errors
    ///
    /// The [`Failure`] for the caller if one of them is quarantined.
    pub(crate) async fn screen(
        &self,
        request_id: &RequestId,
        suspects: &[Suspect],
    ) -> Result<(), Failure> {
        let now = self.now();
        let screening = lock(&self.crash_log).screen(now, suspects);
        let refusal = match screening {
            Screening::Pass => return Ok(()),
            Screening::Refused(refusal) => refusal,
            Screening::RefusedUnlessClaimed(refusal, trial) => {
                if self.claim_trial(trial).await {
                    emit(&GatewayEvent::SuspectTried {
                        request_id: request_id.clone(),
                        suspect: refusal.suspect.to_string(),
                        ends: refusal.ends,
                    });
                    return Ok(());
                }
                refusal
            }
        };
        let reason = format!(
            "{} instances ended when they began to answer requests with {}",
            refusal.ends, refusal.suspect
        );
        Err(Failure::not_run(ErrorCode::CrashesUpstream, reason)
            .retry_after(refusal.trial_in_ms.max(CrashLog::TRIAL_DELAY_MS)))
    }

    async fn claim_trial(&self, trial: TrialId) -> bool {
        match self.peer_directory.claim(&trial.to_string()).await {
            Ok(is_first) => is_first,
            Err(error) => {
                log::warn!("trial {trial} not claimed: {error}");
                false
            }
        }
    }
}

/// Waits until it is certain that the instance has ended, and records its end
/// with the suspects collected until then. Discards them if it has not.
async fn confirm_end(app: Arc<App>, end: InstanceEnd) {
    let mut has_ended = false;
    for (check, delay_ms) in CHECK_DELAYS_MS.into_iter().enumerate() {
        smol::Timer::after(Duration::from_millis(delay_ms)).await;
        has_ended = !app.is_listed(&end)
            || (check < CONNECT_CHECKS && app.refuses_connections(&end.instance).await);
        if has_ended {
            break;
        }
    }
    let suspects = lock(&app.unconfirmed_ends).swap_remove(&end);
    let suspects = suspects.unwrap_or_default();
    if !has_ended {
        return;
    }
    emit(&GatewayEvent::InstanceEnded {
        instance: end.instance.clone(),
        incarnation: end.incarnation,
        suspects: suspects.len(),
    });
    metrics::counter!("limpetgw_gateway_instance_ends_total").increment(1);
    app.record_end(&end, &suspects);
}

/// Returns the time of day in Unix milliseconds.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
