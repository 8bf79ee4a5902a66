//! Applies the records of other gateways, and removes those that nobody renews.

use std::{
    sync::{atomic::Ordering, Arc, Mutex},
    time::Duration,
};

use indexmap::{IndexMap, IndexSet};
use policy::crash_evidence::CrashLog;
use telemetry::{emit, events::GatewayEvent};
use types::{InstanceId, TimeMs};

use super::{PeerDirectory, PeerRecord};
use crate::{
    app::{lock, App},
    feed::{FeedEntry, Listing},
    feed_watcher::{watch_feed, Update},
};

/// Name of the feed of other gateways' records in log events.
const PEERS_FEED: &str = "peers";

/// Interval between checks beside the watch. Reports must arrive within 3 s, the
/// client's timeout margin included; they are rare, so that most checks are made
/// for nothing.
const REPORT_CHECK_INTERVAL: Duration = Duration::from_millis(2_100);

/// Interval between checks for expired evidence and abandoned records.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(60);

/// Time without a change after which the record of another gateway is deleted:
/// its evidence has expired everywhere by then.
const RECORD_TTL_MS: u64 = 2 * CrashLog::EVIDENCE_TTL_MS;

/// Time at which each record of another gateway last changed.
type LastChanges = Arc<Mutex<IndexMap<InstanceId, TimeMs>>>;

/// Applies each change of the records. Never returns.
pub(crate) async fn sync_peers(app: Arc<App>, directory: Arc<dyn PeerDirectory>) {
    let last_changes = LastChanges::default();
    let expiry = expire(app.clone(), directory.clone(), last_changes.clone());
    async_global_executor::spawn(expiry).detach();
    watch_feed(directory, PEERS_FEED, REPORT_CHECK_INTERVAL, |update| {
        let is_snapshot = matches!(update, Update::Snapshot(_));
        let (Update::Snapshot(listing) | Update::Changes(listing)) = update;
        if is_snapshot {
            let gateways = gateways(&listing);
            let has_record = |gateway: &InstanceId| gateways.contains(gateway);
            lock(&app.named_limits).retain_gateways(has_record);
        }
        apply(&app, listing, &last_changes);
        if is_snapshot {
            app.peers.has_listed.store(true, Ordering::Relaxed);
            app.peers.notify_changed();
        }
    })
    .await;
}

fn gateways(listing: &Listing<PeerRecord>) -> IndexSet<InstanceId> {
    let entries = listing.entries.iter();
    entries
        .filter_map(|entry| match entry {
            FeedEntry::Present(record) => Some(record.gateway.clone()),
            FeedEntry::Removed { .. } | FeedEntry::Unreadable { .. } => None,
        })
        .collect()
}

fn apply(app: &Arc<App>, listing: Listing<PeerRecord>, last_changes: &LastChanges) {
    let now = app.now();
    for entry in listing.entries {
        match entry {
            FeedEntry::Present(record) if record.gateway == app.settings.instance => {
                app.update_crash_log(|log| log.adopt(now, &record.report.ends));
                if !app.peers.has_listed() {
                    let mut limits = lock(&app.named_limits);
                    limits.adopt(now, &record.report.limits);
                    limits.on_published(now, &record.report.limits);
                }
                if record.report != app.own_report() {
                    app.peers.notify_changed();
                }
            }
            FeedEntry::Present(record) => {
                app.update_crash_log(|log| log.merge(now, &record.report.ends));
                let limits = record.report.limits;
                lock(&app.named_limits).set_claims(&record.gateway, limits);
                lock(last_changes).insert(record.gateway, now);
            }
            // What the gateway told about ends stays true.
            FeedEntry::Removed { name } => {
                let gateway = InstanceId::new(name);
                lock(&app.named_limits).set_claims(&gateway, Vec::new());
                lock(last_changes).swap_remove(&gateway);
            }
            FeedEntry::Unreadable { name, reason } => {
                emit(&GatewayEvent::EntryUnreadable {
                    feed: PEERS_FEED.into(),
                    name: name.to_string(),
                    reason,
                });
            }
        }
    }
}

/// Removes expired evidence and abandoned records periodically. Never returns.
async fn expire(app: Arc<App>, directory: Arc<dyn PeerDirectory>, last_changes: LastChanges) {
    loop {
        smol::Timer::after(EXPIRY_INTERVAL).await;
        let now = app.now();
        if app.update_crash_log(|log| log.expire(now)) {
            app.peers.notify_changed();
        }
        let abandoned: Vec<InstanceId> = lock(&last_changes)
            .iter()
            .filter(|(_, changed_at)| now.since(**changed_at) >= RECORD_TTL_MS)
            .map(|(gateway, _)| gateway.clone())
            .collect();
        for gateway in abandoned {
            match directory.withdraw(&gateway).await {
                Ok(()) => {
                    lock(&last_changes).swap_remove(&gateway);
                }
                // Retried at the next interval.
                Err(error) => log::warn!("record of {gateway} not deleted: {error}"),
            }
        }
    }
}
