//! Applies configuration and instance updates from the platform, and runs the
//! periodic maintenance of the roster and the connection pool.

use std::{sync::Arc, time::Duration};

use futures_lite::FutureExt;
use policy::roster::{Member, Removal};
use store::Position;
use telemetry::{emit, events::GatewayEvent};
use types::InstanceId;

use crate::{
    app::{lock, App},
    feed::{Feed, FeedEntry},
    feed_watcher::{log_unreadable, watch_feed, Timing, Update},
    routing::Routing,
};

/// Name of the configuration feed in log events.
const ROUTING_FEED: &str = "routing";
/// Name of the instance feed in log events.
const ROSTER_FEED: &str = "roster";

/// Time by which an instance that leaves is given up before its drain time ends: a
/// watch may deliver a removal late, and a request may wait for its connection.
pub(crate) const SEND_MARGIN: Duration = Duration::from_millis(600);

/// Longest interval between two maintenance runs.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);

/// Applies each newer configuration from the feed. Never returns.
pub(crate) async fn sync_routing(app: Arc<App>, feed: Arc<dyn Feed<Routing>>) {
    watch_feed(feed, ROUTING_FEED, |update, _| {
        let (Update::Snapshot(listing) | Update::Restored(listing) | Update::Changes(listing)) =
            update;
        for entry in listing.entries {
            match entry {
                FeedEntry::Present(routing) => apply_routing(&app, routing, listing.position),
                // The last configuration stays in force if it is deleted.
                FeedEntry::Removed { .. } => {}
                FeedEntry::Unreadable { name, reason } => {
                    log_unreadable(ROUTING_FEED, &name, reason)
                }
            }
        }
    })
    .await;
}

/// Applies a configuration if its version is above the one in force, and logs
/// one with a lower version.
fn apply_routing(app: &App, routing: Routing, position: Position) {
    let before = app.routing.load().version;
    if routing.version <= before {
        if routing.version < before {
            emit(&GatewayEvent::OlderRoutingIgnored {
                version: routing.version,
                in_force: before,
            });
        }
        return;
    }
    emit(&GatewayEvent::RoutingInForce {
        version: routing.version,
        before,
        revision: position.revision,
        routes: routing.route_count(),
    });
    for part in &routing.unreadable_parts {
        log_unreadable(ROUTING_FEED, &part.path, part.reason.clone());
    }
    app.routing.store(Arc::new(routing));
    app.refresh_view();
}

/// Applies each update of the instance list to the roster. Never returns.
pub(crate) async fn sync_roster(app: Arc<App>, feed: Arc<dyn Feed<Member>>) {
    watch_feed(feed, ROSTER_FEED, |update, timing| {
        let removal = removal(&app, timing);
        let before = app.view.load().revision;
        let revision = match update {
            Update::Snapshot(listing) => {
                let revision = listing.position.revision;
                let members = listing.into_readable(ROSTER_FEED);
                lock(&app.roster).on_listing(app.now(), members, removal);
                revision
            }
            Update::Restored(listing) => {
                let revision = listing.position.revision;
                let members = listing.into_readable(ROSTER_FEED);
                lock(&app.roster).on_restored_listing(app.now(), members);
                revision
            }
            Update::Changes(listing) => {
                for entry in listing.entries {
                    apply_change(&app, entry, removal);
                }
                listing.position.revision
            }
        };
        publish_roster_change(&app, before, revision);
        app.on_roster_confirmed();
    })
    .await;
}

/// Returns what the removal of an entry at this time means.
fn removal(app: &App, timing: Timing) -> Removal {
    let drain = app.live.load().instance_drain;
    match timing {
        Timing::Disturbed => Removal::Lapsed,
        Timing::Prompt => Removal::Acknowledged {
            grace_ms: drain.saturating_sub(SEND_MARGIN).as_millis() as u64,
        },
        Timing::Late => Removal::Acknowledged { grace_ms: 0 },
    }
}

/// Applies the change of one instance entry to the roster.
fn apply_change(app: &App, entry: FeedEntry<Member>, removal: Removal) {
    let now = app.now();
    let mut roster = lock(&app.roster);
    match entry {
        FeedEntry::Present(member) => roster.on_entry(member),
        FeedEntry::Removed { name } => roster.on_removed(now, &InstanceId::new(name), removal),
        FeedEntry::Unreadable { name, reason } => {
            log_unreadable(ROSTER_FEED, &name, reason);
            // Without a readable entry the instance must not get requests.
            roster.on_removed(now, &InstanceId::new(name), removal);
        }
    }
}

/// Removes instances whose entries have been missing for the grace period, and
/// closes expired idle connections. Never returns.
pub(crate) async fn run_maintenance(app: Arc<App>) {
    loop {
        let wait = lock(&app.roster).expire(app.now());
        publish_roster_change(&app, app.view.load().revision, 0);
        app.pool.close_expired();
        let wait = wait.map_or(MAINTENANCE_INTERVAL, Duration::from_millis);
        let wait = wait.clamp(Duration::from_millis(20), MAINTENANCE_INTERVAL);
        let timer = async {
            smol::Timer::after(wait).await;
        };
        let due = async {
            // The channel is never closed.
            let _ = app.maintenance_due.1.recv().await;
        };
        timer.or(due).await;
    }
}

/// Rebuilds the view and logs the change if the roster revision is no longer
/// `before`. `revision` is the store revision of the update, 0 if the change is
/// an expiry.
fn publish_roster_change(app: &App, before: u64, revision: u64) {
    if lock(&app.roster).revision() == before {
        return;
    }
    let view = app.refresh_view();
    // A full channel already wakes the maintenance, which expires missing entries.
    let _ = app.maintenance_due.0.try_send(());
    emit(&GatewayEvent::RosterChanged {
        roster_revision: view.revision,
        revision,
        known: lock(&app.roster).len(),
        usable: view.usable,
    });
}
