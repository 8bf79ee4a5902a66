//! Tells the usage of this gateway to others, and hears theirs.

use std::{sync::Arc, time::Duration};

use futures_lite::FutureExt;
use indexmap::IndexMap;
use peer_link::{Peer, PeerLink, Subscriber, Topic};
use policy::metering::Window;
use types::{InstanceId, TimeMs};

use super::{
    clock::boot_now,
    messages::{encode, encode_own, encode_parts, DutyMessage, UsageMessage, ACKNOWLEDGED_MAX},
    HeardHolder,
};
use crate::{
    app::{lock, App},
    peers::PeerRecord,
};

/// Interval at which changed counts are sent.
const SEND_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which the holder announces itself, in milliseconds.
const ANNOUNCE_INTERVAL_MS: u64 = 700;

/// Interval at which each gateway tells its time, in milliseconds.
const TIME_INTERVAL_MS: u64 = 5_000;

/// Time within which a frame shows that a peer runs, in milliseconds.
const HEARD_WITHIN_MS: u64 = 3_000;

/// Time after which the holder counts as silent, in milliseconds: one announcement
/// may be lost. A silent holder costs others reads of the store, no more.
pub(super) const HOLDER_SILENT_MS: u64 = 1_700;

/// Time within which the holder must have acknowledged the usage of this gateway, or
/// it is written into the store, in milliseconds.
const ACKNOWLEDGED_WITHIN_MS: u64 = 3_500;

/// Time after the end of a window within which its counts are repeated at each
/// interval, in milliseconds. Later they are repeated every second.
const REPEAT_OFTEN_MS: u64 = 1_500;
const REPEAT_INTERVAL_MS: u64 = 1_000;

/// Time without a frame after which the counts of a gateway are passed on by those
/// that have them, in milliseconds: its own frames repeat every second.
const SILENT_AFTER_MS: u64 = 1_500;

/// Number of gateways next in rank that get counts beside the holder, so that they
/// outlive the gateway that counted and the holder.
const SPARES: usize = 2;

/// Number of times that a stopping gateway sends its last counts.
const FLUSHES: usize = 3;

/// Interval between them.
const FLUSH_INTERVAL: Duration = Duration::from_millis(30);

/// Longest time for it: less than what is left of the grace period at the exit.
const FLUSH_MAX: Duration = Duration::from_millis(200);

/// What was sent last.
#[derive(Default)]
struct Sent {
    /// Receivers with their runs: a restarted one knows nothing.
    targets: Vec<(InstanceId, Option<u64>)>,
    /// Time at which the counts of silent gateways were sent last.
    silent_sent_at: Option<TimeMs>,
    /// Requests counted in each window, and the time, as sent last.
    windows: IndexMap<Window, (u64, TimeMs)>,
    announced_at: Option<TimeMs>,
    announced_revision: u64,
    told_time_at: Option<TimeMs>,
}

/// Closes windows, and exchanges usage with other gateways. Never returns.
pub(crate) async fn exchange_usage(app: Arc<App>) {
    let link = app.peer_link();
    let mut is_subscribed = false;
    let mut sent = Sent::default();
    loop {
        smol::Timer::after(SEND_INTERVAL).await;
        if app.duties.metering_settings().is_none() {
            continue;
        }
        if let Some(link) = link.as_ref().filter(|_| !is_subscribed) {
            link.subscribe(Topic::Usage, Arc::new(UsageSubscriber(app.clone())));
            link.subscribe(Topic::Duty, Arc::new(DutySubscriber(app.clone())));
            is_subscribed = true;
        }
        let now = boot_now();
        let is_closed = app.duties.advance(now);
        if let Some(link) = &link {
            send_frames(&app, link.as_ref(), now, &mut sent);
        }
        if is_closed {
            app.duties.notify();
            if !is_acknowledged(&app, now) {
                publish_record(&app, now);
            }
        }
    }
}

/// Returns whether the link carries the usage of this gateway. The holder's own is
/// carried to the next in rank if it hears any.
fn is_acknowledged(app: &App, now: TimeMs) -> bool {
    let Some(link) = app.peer_link() else {
        return false;
    };
    let view = lock(&app.duties.view);
    if view.own_token.is_some() {
        drop(view);
        return ranked(app, link.as_ref()).len() > 1;
    }
    let acknowledged_at = view.acknowledged_at;
    acknowledged_at.is_some_and(|at| now.since(at) < ACKNOWLEDGED_WITHIN_MS)
}

/// Has the own record in the store tell the present usage.
fn publish_record(app: &App, now: TimeMs) {
    let strength = app.settings.strength;
    let record = app
        .duties
        .with_metering(|metering| metering.record(now, strength));
    *lock(&app.duties.record) = record.flatten();
    app.peers.notify_changed();
}

/// Sends the last counts before the process exits. The process must count nothing
/// any more.
pub(crate) async fn flush_usage(app: &App) {
    let timer = async {
        smol::Timer::after(FLUSH_MAX).await;
    };
    if app.duties.metering_settings().is_some() {
        flush(app).or(timer).await;
    }
}

async fn flush(app: &App) {
    let now = boot_now();
    app.duties.with_metering(|metering| metering.close_all(now));
    if let Some(link) = app.peer_link() {
        for _ in 0..FLUSHES {
            send_frames(app, link.as_ref(), boot_now(), &mut Sent::default());
            smol::Timer::after(FLUSH_INTERVAL).await;
        }
    }
    // Before the first list, the record of an earlier run would be overwritten.
    if is_acknowledged(app, now) || !app.peers.has_listed() {
        return;
    }
    publish_record(app, now);
    let record = PeerRecord {
        gateway: app.settings.instance.clone(),
        report: app.own_report(),
    };
    if let Err(error) = app.peer_directory.publish(&record).await {
        log::warn!("usage of the last window not published: {error}");
    }
}

/// Sends what is due to the holder, to the next in rank and to all.
fn send_frames(app: &App, link: &dyn PeerLink, now: TimeMs, sent: &mut Sent) {
    let is_due = |at: Option<TimeMs>, interval_ms| at.is_none_or(|at| now.since(at) >= interval_ms);
    let unix_ms = app.duties.with_metering(|metering| metering.unix_ms(now));
    let Some(at_unix_ms) = unix_ms else {
        return;
    };
    if is_due(sent.told_time_at, TIME_INTERVAL_MS) {
        sent.told_time_at = Some(now);
        broadcast(link, &DutyMessage::Time { at_unix_ms });
    }
    let greeted = std::mem::take(&mut lock(&app.duties.view).greeted);
    if let Some(payload) = encode(&DutyMessage::Time { at_unix_ms }) {
        for peer in greeted {
            link.send_to(&peer, Topic::Duty, &payload);
        }
    }
    let (own_token, own_ticket, reported_through) = {
        let view = lock(&app.duties.view);
        let own_ticket = view.own_ticket.clone();
        (view.own_token, own_ticket, view.reported_through)
    };
    if let (Some(token), Some((ticket, revision))) = (own_token, own_ticket) {
        let is_renewed = sent.announced_revision != revision;
        if is_renewed || is_due(sent.announced_at, ANNOUNCE_INTERVAL_MS) {
            sent.announced_at = Some(now);
            sent.announced_revision = revision;
            let message = DutyMessage::Holder {
                at_unix_ms,
                token,
                ticket,
                revision,
                reported_through,
                acknowledged: acknowledged_runs(app, now),
            };
            broadcast(link, &message);
        }
    }
    send_usage(app, link, now, at_unix_ms, sent);
}

fn broadcast(link: &dyn PeerLink, message: &DutyMessage) {
    if let Some(payload) = encode(message) {
        link.broadcast(Topic::Duty, &payload);
    }
}

/// Tells all gateways that this one has given up the lease or can't renew it, so
/// that they read it.
pub(super) fn announce_release(app: &App, token: u64, is_unreachable: bool) {
    let message = DutyMessage::Released {
        token,
        is_unreachable,
    };
    if let Some(link) = app.peer_link() {
        broadcast(link.as_ref(), &message);
    }
}

fn acknowledged_runs(app: &App, now: TimeMs) -> Vec<u32> {
    let runs = app.duties.with_metering(|metering| {
        let book = metering.book()?;
        let runs = book.runs_heard_within(now, HEARD_WITHIN_MS);
        Some(runs.take(ACKNOWLEDGED_MAX).map(|run| run as u32).collect())
    });
    runs.flatten().unwrap_or_default()
}

/// Sends counts that have changed or may not have arrived.
fn send_usage(app: &App, link: &dyn PeerLink, now: TimeMs, at_unix_ms: u64, sent: &mut Sent) {
    let peers = link.peers();
    let run_of = |target: &InstanceId| {
        let mut peers = peers.iter();
        peers
            .find(|peer| peer.instance == *target)
            .map(|peer| peer.run)
    };
    let targets: Vec<(InstanceId, Option<u64>)> = targets(app, link, now)
        .into_iter()
        .map(|target| {
            let run = run_of(&target);
            (target, run)
        })
        .collect();
    // A new target knows nothing yet.
    let is_new_target = targets.iter().any(|target| !sent.targets.contains(target));
    if is_new_target {
        sent.windows.clear();
    }
    // Gateways that fall silent one after the other are told of again, because the
    // target may have changed in between.
    let is_silent_due = is_new_target
        || sent
            .silent_sent_at
            .is_none_or(|at| now.since(at) >= REPEAT_INTERVAL_MS);
    if is_silent_due {
        sent.silent_sent_at = Some(now);
    }
    sent.targets = targets;
    let reported_through = lock(&app.duties.view).reported_through;
    let payloads = app.duties.with_metering(|metering| {
        let timing = metering.timing;
        let Some(book) = metering.book() else {
            return Vec::new();
        };
        let own = book.own();
        let mut payloads = Vec::new();
        for window in own.first.max(own.first_open.saturating_sub(12))..=own.first_open {
            let is_open = window == own.first_open;
            if !is_open && Some(window) <= reported_through {
                continue;
            }
            let counts = own.windows.get(&window);
            let count: u64 = counts.into_iter().flat_map(|counts| counts.values()).sum();
            // Closing a window is a change.
            let state = count * 2 + u64::from(!is_open);
            let closed_ms = at_unix_ms.saturating_sub(timing.end_ms(window));
            let is_due = match sent.windows.get(&window) {
                None => true,
                Some((sent_state, _)) if *sent_state != state => true,
                Some(_) if !is_open && closed_ms < REPEAT_OFTEN_MS => true,
                Some((_, sent_at)) => now.since(*sent_at) >= REPEAT_INTERVAL_MS,
            };
            if is_due {
                sent.windows.insert(window, (state, now));
                payloads.extend(encode_own(book, window, at_unix_ms));
            }
        }
        let first_kept = own.first_open.saturating_sub(20);
        sent.windows.retain(|window, _| *window >= first_kept);
        if is_silent_due {
            payloads.extend(encode_parts(at_unix_ms, |teams_max| {
                let mut parts = book.silent_parts(now, SILENT_AFTER_MS, teams_max);
                parts.retain(|part| Some(part.window) > reported_through);
                parts
            }));
        }
        payloads
    });
    for payload in payloads.unwrap_or_default() {
        for (target, _) in &sent.targets {
            link.send_to(target, Topic::Usage, &payload);
        }
    }
}

/// Returns the gateways that get the counts: the holder and the next in rank.
fn targets(app: &App, link: &dyn PeerLink, now: TimeMs) -> Vec<InstanceId> {
    let own = &app.settings.instance;
    let holder = lock(&app.duties.view).heard.clone();
    let holder = holder.filter(|holder| now.since(holder.at) < HOLDER_SILENT_MS);
    let mut targets: Vec<InstanceId> = holder.map(|holder| holder.gateway).into_iter().collect();
    let spares: Vec<InstanceId> = ranked(app, link)
        .into_iter()
        .map(|peer| peer.0)
        .filter(|instance| instance != own && !targets.contains(instance))
        .take(SPARES)
        .collect();
    targets.extend(spares);
    targets
}

/// Returns the running gateways with their strengths, this one among them, in the
/// order in which they contend for the lease.
pub(super) fn ranked(app: &App, link: &dyn PeerLink) -> Vec<(InstanceId, u32)> {
    let own = (app.settings.instance.clone(), app.settings.strength);
    let peers = link.peers().into_iter();
    let mut ranked: Vec<(InstanceId, u32)> = peers
        .filter(|peer| link.is_heard(&peer.instance, HEARD_WITHIN_MS))
        .map(|peer| (peer.instance, peer.strength))
        .chain([own])
        .collect();
    ranked.sort_by(|one, other| other.1.cmp(&one.1).then_with(|| one.0.cmp(&other.0)));
    ranked
}

/// Handles the usage that peers tell.
struct UsageSubscriber(Arc<App>);

impl Subscriber for UsageSubscriber {
    fn on_frame(&self, from: &Peer, payload: &[u8]) {
        let Ok(message) = postcard::from_bytes::<UsageMessage>(payload) else {
            return;
        };
        let now = boot_now();
        self.0.duties.with_metering(|metering| {
            metering.on_peer_time(now, &from.instance, message.at_unix_ms);
            let is_own = message.part.gateway == from.instance;
            metering.on_part(message.part, is_own.then_some(now));
        });
    }
}

/// Handles the announcements of peers.
struct DutySubscriber(Arc<App>);

impl Subscriber for DutySubscriber {
    fn on_frame(&self, from: &Peer, payload: &[u8]) {
        let Ok(message) = postcard::from_bytes::<DutyMessage>(payload) else {
            return;
        };
        let now = boot_now();
        match message {
            DutyMessage::Time { at_unix_ms } => {
                self.on_time(now, from, at_unix_ms);
                let mut view = lock(&self.0.duties.view);
                let known = view.known_runs.insert(from.instance.clone(), from.run);
                if known != Some(from.run) {
                    view.greeted.push(from.instance.clone());
                }
            }
            DutyMessage::Released {
                token,
                is_unreachable,
            } => {
                let mut view = lock(&self.0.duties.view);
                if is_unreachable {
                    view.other_yielded_at = Some(now);
                }
                if view
                    .heard
                    .as_ref()
                    .is_some_and(|heard| heard.token <= token)
                {
                    view.heard = None;
                    view.is_released = true;
                }
                drop(view);
                self.0.duties.notify();
            }
            DutyMessage::Holder {
                at_unix_ms,
                token,
                ticket,
                revision,
                reported_through,
                acknowledged,
            } => {
                self.on_time(now, from, at_unix_ms);
                let mut view = lock(&self.0.duties.view);
                view.reported_through = view.reported_through.max(reported_through);
                let is_newest = view.heard.as_ref().is_none_or(|heard| heard.token <= token);
                if is_newest {
                    view.heard = Some(HeardHolder {
                        gateway: from.instance.clone(),
                        token,
                        ticket,
                        revision,
                        at: now,
                    });
                    if acknowledged.contains(&(self.0.duties.run as u32)) {
                        view.acknowledged_at = Some(now);
                    }
                }
            }
        }
    }
}

impl DutySubscriber {
    fn on_time(&self, now: TimeMs, from: &Peer, at_unix_ms: u64) {
        self.0.duties.with_metering(|metering| {
            metering.on_peer_time(now, &from.instance, at_unix_ms);
        });
    }
}
