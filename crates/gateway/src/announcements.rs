//! Applies what instances announce in their responses: that they leave, or that
//! they want a pause.

use policy::announcement::Availability;
use telemetry::{emit, events::GatewayEvent};
use types::{InstanceId, RequestId, TimeMs, UpstreamName};

use crate::{
    app::{lock, App},
    header_codec::ResponseMeta,
    platform_sync::SEND_MARGIN,
};

/// Instances that a request must not be sent to because of their announcements.
#[derive(Debug, Default)]
pub(crate) struct Unavailable {
    /// Instances that must not be sent anything.
    pub(crate) closed: Vec<InstanceId>,
    /// Instances that leave, for requests that no other instance takes.
    pub(crate) last_resort: Vec<InstanceId>,
    /// Earliest end of a pause among `closed`.
    pub(crate) reopens_at: Option<TimeMs>,
}

impl App {
    /// Records what a response announces about its instance, and logs what is new.
    pub(crate) fn on_announced(
        &self,
        request_id: &RequestId,
        (instance, incarnation): (&InstanceId, u64),
        meta: &ResponseMeta,
    ) {
        // A misdirected request was answered by another instance.
        if meta.misdirected || !meta.leaving && meta.pause_ms.is_none() {
            return;
        }
        let now = self.now();
        let start = (instance, incarnation);
        let drain = self.live.load().instance_drain;
        let grace_ms = drain.saturating_sub(SEND_MARGIN).as_millis() as u64;
        let mut announcements = lock(&self.announcements);
        let leaves = meta.leaving && announcements.on_leaving(now, start, grace_ms);
        let pause_ms = meta
            .pause_ms
            .filter(|pause_ms| announcements.on_pause(now, start, *pause_ms));
        drop(announcements);
        if leaves {
            emit(&GatewayEvent::InstanceLeaving {
                request_id: request_id.clone(),
                instance: instance.clone(),
                grace_ms,
            });
        }
        if let Some(pause_ms) = pause_ms {
            emit(&GatewayEvent::InstancePaused {
                request_id: request_id.clone(),
                instance: instance.clone(),
                pause_ms,
            });
        }
    }

    /// Returns the instances of an upstream to which a request must not be sent now.
    pub(crate) fn unavailable_instances(&self, upstream: &UpstreamName) -> Unavailable {
        let announcements = lock(&self.announcements);
        let mut unavailable = Unavailable::default();
        if announcements.is_empty() {
            return unavailable;
        }
        let now = self.now();
        let view = self.view.load();
        for instance in announcements.instances() {
            let Some(incarnation) = view.incarnation(instance) else {
                continue;
            };
            match announcements.availability(now, instance, incarnation) {
                Availability::Open => {}
                Availability::LastResort => unavailable.last_resort.push(instance.clone()),
                Availability::Closed { until } => {
                    unavailable.closed.push(instance.clone());
                    let until = until.filter(|_| view.serves(instance, upstream));
                    unavailable.reopens_at = match (unavailable.reopens_at, until) {
                        (Some(earliest), Some(until)) => Some(earliest.min(until)),
                        (earliest, until) => earliest.or(until),
                    };
                }
            }
        }
        unavailable
    }

    /// Returns whether a request that was placed on an instance may still be sent
    /// there.
    pub(crate) fn is_available(&self, instance: &InstanceId, incarnation: u64) -> bool {
        let announcements = lock(&self.announcements);
        let availability = announcements.availability(self.now(), instance, incarnation);
        !matches!(availability, Availability::Closed { .. })
    }
}
