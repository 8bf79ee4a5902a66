//! Applies the records of other gateways, and removes those that nobody renews.

use std::{
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};

use indexmap::{IndexMap, IndexSet};
use peer_link::PeerLink;
use policy::crash_evidence::CrashLog;
use types::{InstanceId, TimeMs};

use super::{PeerDirectory, PeerRecord};
use crate::{
    app::{lock, App},
    feed::{FeedEntry, Listing},
    feed_watcher::{log_unreadable, poll_feed, Poll, Update},
};

/// Name of the feed of other gateways' records in log events.
const PEERS_FEED: &str = "peers";

/// Interval between reads while nothing has happened. With the time until a report
/// is written it stays below 3 s, within which reports must be known.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(1_500);

/// Interval between reads while instances end or name limits.
const ACTIVE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest time between two reads that must not return stale data, in
/// milliseconds. The first one follows as soon as an instance has ended.
const CONSISTENT_READ_INTERVAL_MS: u64 = 2_500;

/// Interval between checks for expired evidence and abandoned records.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(60);

/// Time without a change after which the record of another gateway is deleted:
/// its evidence has expired everywhere by then.
const RECORD_TTL_MS: u64 = 2 * CrashLog::EVIDENCE_TTL_MS;

/// Time within which a frame shows that a gateway still runs, in milliseconds. Its
/// record may stay unchanged as long as it runs.
const RUNNING_WITHIN_MS: u64 = EXPIRY_INTERVAL.as_millis() as u64;

/// Time at which each record of another gateway last changed.
type LastChanges = Arc<Mutex<IndexMap<InstanceId, TimeMs>>>;

/// Applies each change of the records. Never returns.
pub(crate) async fn sync_peers(app: Arc<App>, directory: Arc<dyn PeerDirectory>) {
    let last_changes = LastChanges::default();
    let expiry = expire(app.clone(), directory.clone(), last_changes.clone());
    async_global_executor::spawn(expiry).detach();
    let consistent_at_ms = AtomicU64::new(0);
    let next_poll = || next_poll(&app, &consistent_at_ms);
    poll_feed(directory, PEERS_FEED, next_poll, |update| {
        let is_complete = matches!(update, Update::Snapshot(_));
        let is_snapshot = is_complete || matches!(update, Update::Restored(_));
        let (Update::Snapshot(listing) | Update::Restored(listing) | Update::Changes(listing)) =
            update;
        if is_complete {
            let gateways = gateways(&listing);
            let has_record = |gateway: &InstanceId| gateways.contains(gateway);
            lock(&app.named_limits).retain_gateways(has_record);
            if let Some(link) = &app.udp_link {
                link.retain_records(has_record);
            }
        }
        apply(&app, listing, is_snapshot, &last_changes);
        if is_snapshot {
            app.peers.has_listed.store(true, Ordering::Relaxed);
            app.peers.notify_changed();
        }
    })
    .await;
}

/// Decides how the records are read next. `consistent_at_ms` holds the time of the
/// last read that did not return stale data.
fn next_poll(app: &App, consistent_at_ms: &AtomicU64) -> Poll {
    let now = app.now();
    let has_ends = lock(&app.crash_log).is_active(now);
    let reads_usage = app.duties.reads_records(app);
    let is_active = has_ends || reads_usage || !lock(&app.named_limits).is_empty();
    let last_consistent_at = TimeMs(consistent_at_ms.load(Ordering::Relaxed));
    let is_consistent =
        (has_ends || reads_usage) && now.since(last_consistent_at) >= CONSISTENT_READ_INTERVAL_MS;
    if is_consistent {
        consistent_at_ms.store(now.0, Ordering::Relaxed);
    }
    Poll {
        delay: match is_active {
            true => ACTIVE_POLL_INTERVAL,
            false => IDLE_POLL_INTERVAL,
        },
        is_consistent,
    }
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

fn apply(
    app: &Arc<App>,
    listing: Listing<PeerRecord>,
    is_snapshot: bool,
    last_changes: &LastChanges,
) {
    let now = app.now();
    for entry in listing.entries {
        match entry {
            FeedEntry::Present(record) if record.gateway == app.settings.instance => {
                app.update_crash_log(|log| log.adopt(now, &record.report.ends));
                // What another run of this gateway has counted.
                if let Some(usage) = &record.report.usage {
                    app.duties.on_record(&record.gateway, usage, false);
                }
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
                apply_endpoint(app, &record);
                if let Some(usage) = &record.report.usage {
                    app.duties.on_record(&record.gateway, usage, !is_snapshot);
                }
                let limits = record.report.limits;
                lock(&app.named_limits).set_claims(&record.gateway, limits);
                lock(last_changes).insert(record.gateway, now);
            }
            // What the gateway told about ends stays true.
            FeedEntry::Removed { name } => {
                let gateway = InstanceId::new(name);
                if gateway == app.settings.instance {
                    // Deleted by a gateway that did not hear this one.
                    app.peers.notify_changed();
                }
                if let Some(link) = &app.udp_link {
                    link.on_record_removed(&gateway);
                }
                lock(&app.named_limits).set_claims(&gateway, Vec::new());
                lock(last_changes).swap_remove(&gateway);
            }
            FeedEntry::Unreadable { name, reason } => {
                log_unreadable(PEERS_FEED, &name, reason);
            }
        }
    }
}

fn apply_endpoint(app: &App, record: &PeerRecord) {
    let Some(link) = &app.udp_link else {
        return;
    };
    match &record.report.endpoint {
        Some(endpoint) => link.on_record(&record.gateway, endpoint),
        None => link.on_record_removed(&record.gateway),
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
            .filter(|(gateway, _)| !app.is_peer_heard(gateway))
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

impl App {
    fn is_peer_heard(&self, gateway: &InstanceId) -> bool {
        let link = self.udp_link.as_ref();
        link.is_some_and(|link| link.is_heard(gateway, RUNNING_WITHIN_MS))
    }
}
