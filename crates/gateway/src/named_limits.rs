//! Applies the limits that instances name in their responses.

use policy::placement::Placement;
use telemetry::{emit, events::GatewayEvent};
use types::{InstanceId, RequestId, TimeMs};

use crate::app::{lock, App};

impl App {
    /// Records what the response to a request sent at `sent_at` says about the
    /// limit of its instance, and logs a change.
    pub(crate) fn on_limit(
        &self,
        request_id: &RequestId,
        sent_at: TimeMs,
        (instance, incarnation): (&InstanceId, u64),
        limit_milli_per_s: Option<u64>,
    ) {
        let mut limits = lock(&self.named_limits);
        if limit_milli_per_s.is_none() && limits.is_empty() {
            return;
        }
        let start = (instance, incarnation);
        let changed = limits.on_response(self.now(), sent_at, start, limit_milli_per_s);
        drop(limits);
        if !changed {
            return;
        }
        self.peers.notify_changed();
        match limit_milli_per_s {
            Some(limit_milli_per_s) => emit(&GatewayEvent::InstanceLimitNamed {
                request_id: request_id.clone(),
                instance: instance.clone(),
                limit_milli_per_s,
            }),
            None => emit(&GatewayEvent::InstanceLimitLifted {
                request_id: request_id.clone(),
                instance: instance.clone(),
            }),
        }
    }

    /// Returns the instances to which this gateway may send nothing now because of
    /// their limits.
    pub(crate) fn instances_at_limit(&self) -> Vec<InstanceId> {
        let mut limits = lock(&self.named_limits);
        if limits.is_empty() {
            return Vec::new();
        }
        let now = self.now();
        let view = self.view.load();
        let mut at_limit = Vec::new();
        for instance in limits.instances() {
            let Some(incarnation) = view.incarnation(&instance) else {
                continue;
            };
            let gateway = &self.settings.instance;
            let (may_send, changed) = limits.may_send(now, gateway, (&instance, incarnation));
            if changed {
                self.peers.notify_changed();
            }
            if !may_send {
                at_limit.push(instance);
            }
        }
        at_limit
    }

    /// Counts a request that is sent as placed against the limit of its instance.
    pub(crate) fn on_placed(&self, placement: &Placement) {
        lock(&self.named_limits).on_sent(&placement.instance);
    }
}
