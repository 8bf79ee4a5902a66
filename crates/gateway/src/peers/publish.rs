//! Publishes the record of this gateway.

use std::{sync::Arc, time::Duration};

use telemetry::{emit, events::GatewayEvent};

use super::{PeerDirectory, PeerRecord, PeerReport};
use crate::app::{lock, App};

/// Delay of a write. Batches what is observed when instances end with many
/// requests.
const BATCH_DELAY: Duration = Duration::from_millis(100);

/// Time after a write before the next one.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(150);

/// Longest delay before a failed write is repeated.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(400);

/// Publishes the own record whenever it changes. Never returns.
pub(crate) async fn publish_own_record(app: Arc<App>, directory: Arc<dyn PeerDirectory>) {
    let mut published: Option<PeerReport> = None;
    let mut retry_delay = PUBLISH_INTERVAL;
    while app.peers.changed.1.recv().await.is_ok() {
        if !app.peers.has_listed() {
            // The first list requests it again.
            continue;
        }
        smol::Timer::after(BATCH_DELAY).await;
        let report = app.own_report();
        if report.is_empty() && published.is_none() {
            continue;
        }
        let record = PeerRecord {
            gateway: app.settings.instance.clone(),
            report,
        };
        let written = match record.report.is_empty() {
            true => directory.withdraw(&record.gateway).await,
            false => directory.publish(&record).await,
        };
        match written {
            Ok(()) => {
                emit(&GatewayEvent::ReportPublished {
                    ends: record.report.ends.len(),
                    limits: record.report.limits.len(),
                });
                lock(&app.named_limits).on_published(app.now(), &record.report.limits);
                published = (!record.report.is_empty()).then_some(record.report);
                retry_delay = PUBLISH_INTERVAL;
                smol::Timer::after(PUBLISH_INTERVAL).await;
            }
            Err(error) => {
                emit(&GatewayEvent::ReportNotPublished {
                    reason: error.to_string(),
                });
                app.peers.notify_changed();
                let jitter = 0.5 + rand::random::<f64>();
                smol::Timer::after(retry_delay.mul_f64(jitter)).await;
                retry_delay = (retry_delay * 2).min(RETRY_DELAY_MAX);
            }
        }
    }
}

impl App {
    /// Returns what this gateway has to tell the others. A draining gateway leaves
    /// its shares of limits to them.
    pub(crate) fn own_report(&self) -> PeerReport {
        let limits = match self.lifecycle.is_draining() {
            true => Vec::new(),
            false => lock(&self.named_limits).own_claims(),
        };
        PeerReport {
            ends: lock(&self.crash_log).own_evidence(),
            limits,
            endpoint: self.udp_link.as_ref().map(|link| link.endpoint()),
            usage: self.duties.usage_record(),
        }
    }
}
