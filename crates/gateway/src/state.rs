//! Takes in what the platform says of configuration and instances.

use std::{sync::Arc, time::Duration};

use policy::roster::Member;
use telemetry::{emit, events::GatewayEvent};
use types::InstanceId;

use crate::{
    app::{lock, App},
    feed::{Feed, FeedEntry},
    follow::{follow, Update},
    routing::Routing,
};

/// Name of the feed of configurations in logs.
const ROUTING_FEED: &str = "routing";
/// Name of the feed of instances in logs.
const ROSTER_FEED: &str = "roster";

/// How often idle connections are looked through.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Keeps the configuration in force up to date.
pub(crate) async fn follow_routing(app: Arc<App>, feed: Arc<dyn Feed<Routing>>) {
    follow(feed, ROUTING_FEED, |update| {
        let (Update::All(listing) | Update::Changes(listing)) = update;
        for entry in listing.entries {
            match entry {
                FeedEntry::Present(routing) => put_in_force(&app, routing, listing.revision),
                // A configuration that is removed stays in force.
                FeedEntry::Removed { .. } => {}
                FeedEntry::Unreadable { name, reason } => {
                    log_unreadable(ROUTING_FEED, &name, reason)
                }
            }
        }
    })
    .await;
}

fn put_in_force(app: &App, routing: Routing, revision: u64) {
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
        revision,
        routes: routing.routes(),
    });
    app.routing.store(Arc::new(routing));
    app.refresh_view();
}

/// Keeps the roster up to date.
pub(crate) async fn follow_roster(app: Arc<App>, feed: Arc<dyn Feed<Member>>) {
    follow(feed, ROSTER_FEED, |update| {
        let before = app.view.load().revision;
        let revision = match update {
            Update::All(listing) => {
                let mut members = Vec::new();
                for entry in listing.entries {
                    match entry {
                        FeedEntry::Present(member) => members.push(member),
                        FeedEntry::Removed { .. } => {}
                        FeedEntry::Unreadable { name, reason } => {
                            log_unreadable(ROSTER_FEED, &name, reason);
                        }
                    }
                }
                lock(&app.roster).on_listing(app.now(), members);
                listing.revision
            }
            Update::Changes(listing) => {
                for entry in listing.entries {
                    take_in(&app, entry);
                }
                listing.revision
            }
        };
        app.on_roster_confirmed();
        refresh(&app, before, revision);
    })
    .await;
}

fn take_in(app: &App, entry: FeedEntry<Member>) {
    let now = app.now();
    let mut roster = lock(&app.roster);
    match entry {
        FeedEntry::Present(member) => roster.on_entry(member),
        FeedEntry::Removed { name } => roster.on_removed(now, &InstanceId::new(name)),
        FeedEntry::Unreadable { name, reason } => {
            log_unreadable(ROSTER_FEED, &name, reason);
            // It names no instance that may be used.
            roster.on_removed(now, &InstanceId::new(name));
        }
    }
}

/// Forgets instances whose entries stay away, and closes idle connections.
pub(crate) async fn tidy(app: Arc<App>) {
    loop {
        let wait = lock(&app.roster).expire(app.now());
        refresh(&app, app.view.load().revision, 0);
        app.pool.sweep();
        let wait = wait.map_or(SWEEP_INTERVAL, Duration::from_millis);
        smol::Timer::after(wait.clamp(Duration::from_millis(20), SWEEP_INTERVAL)).await;
    }
}

fn refresh(app: &App, before: u64, revision: u64) {
    if lock(&app.roster).revision() == before {
        return;
    }
    let view = app.refresh_view();
    emit(&GatewayEvent::RosterChanged {
        roster_revision: view.revision,
        revision,
        known: lock(&app.roster).len(),
        usable: view.usable,
    });
}

fn log_unreadable(feed: &str, name: &str, reason: String) {
    emit(&GatewayEvent::EntryUnreadable {
        feed: feed.into(),
        name: name.into(),
        reason,
    });
}
