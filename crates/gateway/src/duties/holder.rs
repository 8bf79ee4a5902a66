//! Contends for the lease, and performs the duties while this process holds it.
//!
//! One task makes all calls, one after another, as the state machine of the lease
//! requires: no call of the lease is made while a call of a duty is in progress.

use std::{future::Future, sync::Arc, time::Duration};

use coord::{
    ticket_lease::{Step, TicketLease},
    WriteResult,
};
use futures_lite::{future::poll_fn, FutureExt};
use indexmap::IndexMap;
use policy::metering::{Pending, ReportPlan, SendBackoff, Window, WindowCounts, WindowTiming};
use store::StoreError;
use telemetry::{emit, events::GatewayEvent};
use types::TimeMs;

use super::{
    clock::boot_now,
    exchange::{announce_release, ranked, HOLDER_SILENT_MS},
    DutyApi, DutyApiFactory, DutyCaller, DutyError, DutySettings, DutyStore,
};
use crate::app::{lock, App};

/// Longest sleep between two looks at the duties, so that a window is fixed soon
/// after all gateways have closed it.
const WORK_INTERVAL_MS: u64 = 100;

/// Shortest time between two calls of a duty, in milliseconds.
const RETRY_MIN_MS: u64 = 5;

/// Interval at which a process without a ticket looks for changed settings and
/// announcements.
const IDLE_INTERVAL_MS: u64 = 250;

/// Time by which a gateway contends later than the one before it in rank, up to a
/// bound, so that usually one creates a ticket.
const STAGGER_MS: u64 = 250;
const STAGGER_MAX_MS: u64 = 1_500;

/// Number of gateways that read the lease often, and of those that read it at least
/// half as often. The others read it a quarter as often.
const FREQUENT_READERS: usize = 2;
const OCCASIONAL_READERS: usize = 6;
const READ_INTERVAL_MS: u64 = 700;

/// Time of uninterrupted failures to reach the platform's API after which a holder
/// yields the duties to a gateway that may reach it, in milliseconds.
const UNREACHABLE_MS: u64 = 2_500;

/// Time after yielding within which it contends late and does not yield again, in
/// milliseconds: the API may be out of reach for all.
const YIELDED_MS: u64 = 30_000;

/// Time by which it contends later than the others then.
const YIELDED_STAGGER_MS: u64 = 4_000;

/// Time by which a process contends later than the holder before, which knows what it
/// has fixed, after the store came back from an older copy.
const RESTORED_STAGGER_MS: u64 = 1_000;

/// Time for which it does so, in milliseconds: the lease is held again by then.
const RESTORED_MS: u64 = 10_000;

/// Time after a call without an answer before the lease is released, in
/// milliseconds: the call may still arrive. The next holder waits, too, where the
/// platform does not check the token.
const RELEASE_DELAY_MS: u64 = 500;

/// Time added to the thaw time, within which calls do not count.
const THAW_MARGIN_MS: u64 = 50;

/// Time after a disturbance of the link within which a confirmed report may have
/// arrived during the thaw, so that it is repeated, in milliseconds.
const DOUBTFUL_MS: u64 = 2_000;

/// Time for which pauses may delay a report, in milliseconds. An overloaded machine
/// pauses the process all the time; a report that is sent then is repeated.
const PAUSED_MAX_MS: u64 = 1_500;

/// Time after the acquisition before which nothing is fixed, in milliseconds:
/// gateways send their counts to a new holder once they have heard its announcement.
const FIX_GRACE_MS: u64 = 1_000;

/// Time before a report is due from which a new holder fixes without that delay,
/// in milliseconds.
const FIX_URGENT_MS: u64 = 1_500;

/// Time for which fixed counts are kept in the store, in milliseconds: far longer
/// than any window is reported.
const FIXED_KEPT_MS: u64 = 300_000;

/// Performs the duties whenever this process holds the lease. Never returns.
pub(crate) async fn perform_duties(
    app: Arc<App>,
    store: Arc<dyn DutyStore>,
    create_api: DutyApiFactory,
) {
    let mut runs = 0_u64;
    loop {
        let Some(settings) = app.duties.metering_settings() else {
            sleep(&app, IDLE_INTERVAL_MS).await;
            continue;
        };
        runs += 1;
        let nonce = format!("t-{:016x}-{runs}", app.duties.run);
        let performer = Performer::new(app.clone(), settings, &store, &create_api, nonce);
        performer.run().await;
    }
}

async fn sleep(app: &App, wait_ms: u64) {
    let timer = async {
        smol::Timer::after(Duration::from_millis(wait_ms)).await;
    };
    let woken = async {
        // The channel is never closed.
        let _ = app.duties.wake.1.recv().await;
    };
    timer.or(woken).await;
}

/// The duties under one set of settings.
struct Performer {
    app: Arc<App>,
    settings: Arc<DutySettings>,
    timing: WindowTiming,
    store: Arc<dyn DutyStore>,
    api: Arc<dyn DutyApi>,
    lease: TicketLease,
    /// Token and plan of the lease that is held.
    held: Option<Held>,
    /// Time of the last failed call to store or API, or of the last pause.
    disturbed_at: Option<TimeMs>,
    /// Time of the last call to the API that was not answered.
    unanswered_at: Option<TimeMs>,
    /// Time since which no call to the API was answered.
    unreachable_since: Option<TimeMs>,
    /// Whether the lease is to be released, because the API is out of reach.
    is_yielding: bool,
    /// Time at which it was last released for that.
    yielded_at: Option<TimeMs>,
    /// What this process has fixed when it lost the lease because the store came back
    /// from an older copy. Nobody else has fixed these windows with other counts.
    fixed_before_restore: Option<IndexMap<Window, WindowCounts>>,
}

/// State while the lease is held.
struct Held {
    token: u64,
    plan: ReportPlan,
    /// Counts that are known to be fixed in the store.
    fixed: IndexMap<Window, WindowCounts>,
    /// Last window whose fixed counts the store may have lost. Up to it, windows that
    /// are not fixed may have been sent and are abandoned: other counts must not follow.
    lost_through: Option<Window>,
    backoff: SendBackoff,
    acquired_at: TimeMs,
    /// Time before which nothing is fixed or sent.
    work_from: TimeMs,
    /// Time of the first pause since the last report.
    paused_since: Option<TimeMs>,
    /// Window whose report was confirmed, but may have arrived during a thaw.
    doubtful: Option<Window>,
}

impl Performer {
    fn new(
        app: Arc<App>,
        settings: Arc<DutySettings>,
        store: &Arc<dyn DutyStore>,
        create_api: &DutyApiFactory,
        nonce: String,
    ) -> Self {
        let lease = TicketLease::new(
            app.settings.instance.clone(),
            nonce,
            settings.lease_timing(),
            settings.is_fence_checked,
        );
        Self {
            timing: settings.window_timing(),
            store: store.clone(),
            api: create_api(&settings.platform_api),
            app,
            settings,
            lease,
            held: None,
            disturbed_at: None,
            unanswered_at: None,
            unreachable_since: None,
            is_yielding: false,
            yielded_at: None,
            fixed_before_restore: None,
        }
    }

    /// Returns when the settings have changed and the lease is released.
    async fn run(mut self) {
        loop {
            let now = boot_now();
            self.follow_pauses(now);
            self.follow_era(now);
            let is_leaving = self.update_contention(now);
            if is_leaving && !self.lease.has_ticket() {
                if self.has_new_settings() {
                    return;
                }
                sleep(&self.app, IDLE_INTERVAL_MS).await;
                continue;
            }
            let step = self.lease.next(now);
            let wake_at = match step {
                Step::WaitUntil(at) => at,
                step => {
                    self.take_step(step).await;
                    now
                }
            };
            self.follow_holding().await;
            self.follow_permits();
            let work_at = match is_leaving || self.is_yielding {
                true => None,
                false => self.work().await,
            };
            let now = boot_now();
            let idle_ms = match self.held.is_some() {
                true => WORK_INTERVAL_MS,
                false => IDLE_INTERVAL_MS,
            };
            let wake_at = wake_at.min(work_at.unwrap_or(wake_at)).min(now + idle_ms);
            if wake_at > now {
                sleep(&self.app, wake_at.since(now)).await;
            }
        }
    }

    fn has_new_settings(&self) -> bool {
        let settings = self.app.duties.metering_settings();
        settings.is_none_or(|settings| *settings != *self.settings)
    }

    /// Tells the lease whether and when to contend. Returns whether this gateway
    /// leaves the duties to others.
    fn update_contention(&mut self, now: TimeMs) -> bool {
        let mut rank = 0;
        let mut has_others = false;
        if let Some(link) = self.app.peer_link() {
            let ranked = ranked(&self.app, link.as_ref());
            let own = &self.app.settings.instance;
            rank = ranked
                .iter()
                .position(|(instance, _)| instance == own)
                .unwrap_or(0);
            has_others = ranked.len() > 1;
        } else {
            let recent = self.app.duties.with_metering(|metering| {
                let book = metering.book()?;
                Some(book.recent_gateways(now))
            });
            let recent = recent.flatten().unwrap_or_default();
            let own = &self.app.settings.instance;
            rank = recent
                .iter()
                .filter(|instance| *instance < own)
                .count()
                .max(rank);
            has_others |= !recent.is_empty();
        }
        let is_leaving = self.app.lifecycle.is_draining() || self.has_new_settings();
        self.is_yielding &= has_others && self.lease.has_ticket();
        let mut stagger_ms = (rank as u64 * STAGGER_MS).min(STAGGER_MAX_MS);
        if self.has_yielded(now) {
            stagger_ms += YIELDED_STAGGER_MS;
        }
        if self.is_just_restored(now) && self.fixed_before_restore.is_none() {
            stagger_ms += RESTORED_STAGGER_MS;
        }
        let read_interval_ms = match rank {
            0..FREQUENT_READERS => READ_INTERVAL_MS,
            FREQUENT_READERS..OCCASIONAL_READERS => 2 * READ_INTERVAL_MS,
            _ => 4 * READ_INTERVAL_MS,
        };
        self.lease
            .set_contention(!is_leaving, stagger_ms, read_interval_ms);
        if (is_leaving || self.is_yielding) && self.lease.has_ticket() && self.may_release(now) {
            self.lease.release();
            if self.is_yielding {
                self.is_yielding = false;
                self.yielded_at = Some(now);
            }
        }
        let mut view = lock(&self.app.duties.view);
        if std::mem::take(&mut view.is_released) {
            self.lease.expedite_read(now);
        }
        if let Some(window) = view.reported_through {
            self.lease.set_reported_through(window);
        }
        if let Some(heard) = &view.heard {
            self.lease.postpone_read(heard.at + HOLDER_SILENT_MS);
            self.lease
                .on_announced(heard.at, &heard.ticket, heard.revision);
        }
        is_leaving
    }

    fn has_yielded(&self, now: TimeMs) -> bool {
        self.yielded_at.is_some_and(|at| now.since(at) < YIELDED_MS)
    }

    /// Returns whether another holder has yielded recently: the API is out of reach
    /// for more than one gateway, so another change of the holder would not help.
    fn has_other_yielded(&self, now: TimeMs) -> bool {
        let other_yielded_at = lock(&self.app.duties.view).other_yielded_at;
        other_yielded_at.is_some_and(|at| now.since(at) < YIELDED_MS)
    }

    /// Returns whether no call of this process can arrive any more.
    fn may_release(&self, now: TimeMs) -> bool {
        self.unanswered_at
            .is_none_or(|at| now.since(at) >= RELEASE_DELAY_MS)
    }

    /// Waits after a pause, because calls do not count just after it.
    fn follow_pauses(&mut self, now: TimeMs) {
        let resumed_at = self.app.duties.pauses.resumed_at(now);
        if resumed_at == TimeMs(0) || self.disturbed_at >= Some(resumed_at) {
            return;
        }
        self.disturbed_at = Some(resumed_at);
        let work_from = resumed_at + self.thaw_ms();
        if let Some(held) = &mut self.held {
            let paused_since = *held.paused_since.get_or_insert(resumed_at);
            if resumed_at.since(paused_since) < PAUSED_MAX_MS {
                held.work_from = held.work_from.max(work_from);
            }
        }
    }

    /// Gives the lease up if the store came back from an older copy.
    fn follow_era(&mut self, now: TimeMs) {
        let was_holder = self.lease.has_held_until(now);
        let restored_at = self.lease.restored_at();
        self.lease.on_era(now, self.store.era().number());
        if self.lease.restored_at() == restored_at {
            return;
        }
        self.disturbed_at = Some(now);
        let held = self.held.as_ref().filter(|_| was_holder);
        self.fixed_before_restore = held.map(|held| held.fixed.clone());
    }

    /// Returns whether the store came back from an older copy so recently that another
    /// process should contend later than the holder before.
    fn is_just_restored(&self, now: TimeMs) -> bool {
        let restored_at = self.lease.restored_at();
        restored_at.is_some_and(|at| now.since(at) < RESTORED_MS)
    }

    /// Returns the last window that the holder before the store came back may have
    /// fixed, so that the store may have lost its counts; `None` if there is no such
    /// holder, or it is this process.
    fn lost_through(&self) -> Option<Window> {
        let restored_at = self.lease.restored_at()?;
        if self.fixed_before_restore.is_some() {
            return None;
        }
        let permits_end = restored_at + self.settings.lease.as_millis() as u64;
        self.timing
            .window_at(self.unix_ms(permits_end))
            .checked_sub(1)
    }

    /// Fixes what this process had fixed before the store came back once more, so that
    /// a later holder finds it.
    async fn fix_again(&mut self, fixed: &mut Vec<(Window, WindowCounts)>) {
        let reported_through = self.lease.reported_through();
        for (window, counts) in self.fixed_before_restore.take().into_iter().flatten() {
            let is_listed = fixed.iter().any(|(other, _)| *other == window);
            if is_listed || reported_through.is_some_and(|through| window <= through) {
                continue;
            }
            // The counts were perhaps sent, so they count without the answer, too.
            if let Err(error) = self.store.fix_window(window, &counts).await {
                log::warn!("usage of window {window} not fixed again: {error}");
            }
            fixed.push((window, counts));
        }
    }

    fn thaw_ms(&self) -> u64 {
        self.settings.thaw.as_millis() as u64 + THAW_MARGIN_MS
    }

    /// Makes the call that the lease asks for.
    async fn take_step(&mut self, step: Step) {
        match step {
            Step::WaitUntil(_) => {}
            Step::Check => match self.store.check_tickets().await {
                Ok(changed) => self.lease.on_activity(boot_now(), &changed),
                Err(error) => self.on_read_failed(&error),
            },
            Step::List => match self.store.list_tickets().await {
                Ok(tickets) => self.lease.on_listed(boot_now(), &tickets),
                Err(error) => self.on_read_failed(&error),
            },
            Step::Create { name, ticket } => {
                self.lease.on_write_started(boot_now());
                let result = self.store.create_ticket(&name, &ticket).await;
                self.on_written(result);
            }
            Step::Replace { name, ticket } => {
                self.lease.on_write_started(boot_now());
                let result = self.store.replace_ticket(&name, &ticket).await;
                self.on_written(result);
            }
            Step::Delete { name } => {
                if let Err(error) = self.store.delete_ticket(&name).await {
                    log::debug!("ticket {name} not deleted: {error}");
                }
                self.lease.on_deleted();
            }
        }
    }

    fn on_read_failed(&mut self, error: &StoreError) {
        log::debug!("tickets not read: {error}");
        let now = boot_now();
        self.disturbed_at = Some(now);
        self.lease.on_read_failed(now);
    }

    fn on_written(&mut self, result: Result<bool, StoreError>) {
        let now = boot_now();
        let result = match result {
            // The revision shows in the next list.
            Ok(true) => WriteResult::Written(0),
            Ok(false) | Err(StoreError::Conflict) => WriteResult::Conflict,
            Err(StoreError::Refused(_) | StoreError::TooLarge { .. }) => WriteResult::Refused,
            Err(StoreError::OutcomeUnknown(_)) => WriteResult::OutcomeUnknown,
        };
        if matches!(result, WriteResult::Refused | WriteResult::OutcomeUnknown) {
            self.disturbed_at = Some(now);
        }
        self.lease.on_written(now, result);
    }

    /// Follows a change of the holder.
    async fn follow_holding(&mut self) {
        let token = self.lease.held_token();
        let before = self.held.as_ref().map(|held| held.token);
        if token == before {
            return;
        }
        if let Some(held) = self.held.take() {
            self.on_lost(held.token);
        }
        if let Some(token) = token {
            self.on_acquired(token).await;
        }
    }

    /// Announces whether this process has permits.
    fn follow_permits(&self) {
        let ticket = self.lease.announcement(boot_now());
        let ticket = ticket.map(|(name, revision)| (name.to_owned(), revision));
        let mut view = lock(&self.app.duties.view);
        let is_lost = view.own_ticket.is_some() && ticket.is_none();
        let token = view.own_token;
        view.own_ticket = ticket;
        drop(view);
        if let Some(token) = token.filter(|_| is_lost) {
            announce_release(&self.app, token, false);
        }
    }

    fn on_lost(&mut self, token: u64) {
        let released = !self.lease.has_ticket() || self.app.lifecycle.is_draining();
        emit(&GatewayEvent::DutiesLost {
            instance: self.app.settings.instance.clone(),
            token,
            released,
        });
        metrics::gauge!("limpetgw_duties_held").set(0.0);
        lock(&self.app.duties.view).own_token = None;
        let has_just_yielded = self
            .yielded_at
            .is_some_and(|at| boot_now().since(at) < YIELDED_STAGGER_MS);
        announce_release(&self.app, token, has_just_yielded);
    }

    /// Reads what earlier holders have fixed. Without an answer the duties wait.
    async fn on_acquired(&mut self, token: u64) {
        let first = self
            .app
            .duties
            .with_metering(|metering| metering.first_window());
        let Some(first) = first.flatten() else {
            return;
        };
        let mut fixed = match self.store.fixed_windows().await {
            Ok(fixed) => fixed,
            Err(error) => {
                log::warn!("fixed usage not read: {error}");
                self.disturbed_at = Some(boot_now());
                return;
            }
        };
        let lost_through = self.lost_through();
        self.fix_again(&mut fixed).await;
        let reported_through = self.lease.reported_through();
        emit(&GatewayEvent::DutiesAcquired {
            instance: self.app.settings.instance.clone(),
            token,
            reported_through: reported_through.unwrap_or_default(),
        });
        metrics::gauge!("limpetgw_duties_held").set(1.0);
        metrics::gauge!("limpetgw_duties_token").set(token as f64);
        lock(&self.app.duties.view).own_token = Some(token);
        // A window that another holder has fixed may not be reported yet.
        let oldest_fixed = fixed.iter().map(|(window, _)| *window).min();
        let first = first.min(oldest_fixed.unwrap_or(first));
        let mut held = Held {
            token,
            plan: ReportPlan::new(reported_through, first),
            fixed: IndexMap::new(),
            lost_through,
            backoff: SendBackoff::default(),
            acquired_at: boot_now(),
            work_from: TimeMs(0),
            paused_since: None,
            doubtful: None,
        };
        let now_unix_ms = self.unix_ms(boot_now());
        for (window, counts) in fixed {
            if self.timing.end_ms(window) + FIXED_KEPT_MS >= now_unix_ms {
                held.fixed.insert(window, counts);
            } else if let Err(error) = self.store.delete_window(window).await {
                log::debug!("usage of window {window} not deleted: {error}");
            }
        }
        self.held = Some(held);
    }

    fn unix_ms(&self, boot: TimeMs) -> u64 {
        let unix_ms = self
            .app
            .duties
            .with_metering(|metering| metering.unix_ms(boot));
        unix_ms.unwrap_or_default()
    }

    /// Fixes or sends one window if that is due. Returns the time at which there is
    /// something to do; `None` if the lease is not held.
    async fn work(&mut self) -> Option<TimeMs> {
        let now = boot_now();
        let reported_through = self.lease.reported_through();
        let held = self.held.as_mut()?;
        if let Some(window) = reported_through {
            held.plan.on_done(window);
        }
        if now < held.work_from {
            return Some(held.work_from);
        }
        let unix_ms = self
            .app
            .duties
            .with_metering(|metering| metering.unix_ms(now))?;
        let expected = self.expected_gateways();
        let is_closed = |window| self.is_closed(now, window, &expected);
        let held = self.held.as_ref()?;
        let mut pending = held.plan.pending(&self.timing, unix_ms, is_closed);
        if let Pending::Report(window) = pending {
            if held.lost_through >= Some(window) && !held.fixed.contains_key(&window) {
                pending = Pending::Abandon(window);
            }
        }
        match pending {
            Pending::WaitUntil(at_unix_ms) => Some(now + at_unix_ms.saturating_sub(unix_ms)),
            Pending::Abandon(window) => {
                emit(&GatewayEvent::UsageAbandoned { window });
                metrics::counter!("limpetgw_usage_windows_missed_total").increment(1);
                self.on_done(window);
                Some(now)
            }
            Pending::Report(window) => {
                if let Some(fix_from) = self.fix_from(window, unix_ms).filter(|at| now < *at) {
                    return Some(fix_from);
                }
                let Some(counts) = self.fixed_counts(window).await else {
                    return Some(boot_now() + RETRY_MIN_MS);
                };
                self.send(window, &counts).await;
                Some(boot_now() + RETRY_MIN_MS)
            }
        }
    }

    /// Returns the time from which a window that is not fixed yet may be; `None` if
    /// its report is nearly due.
    fn fix_from(&self, window: Window, unix_ms: u64) -> Option<TimeMs> {
        let held = self.held.as_ref()?;
        let due_unix_ms = self.timing.end_ms(window) + self.timing.due_ms;
        let is_urgent = unix_ms + FIX_URGENT_MS >= due_unix_ms;
        let is_fixed = held.fixed.contains_key(&window);
        (!is_urgent && !is_fixed).then_some(held.acquired_at + FIX_GRACE_MS)
    }

    /// Returns the gateways that run, which must have closed a window before it is
    /// fixed early.
    fn expected_gateways(&self) -> Vec<types::InstanceId> {
        let Some(link) = self.app.peer_link() else {
            return Vec::new();
        };
        let ranked = ranked(&self.app, link.as_ref()).into_iter();
        ranked.map(|(instance, _)| instance).collect()
    }

    fn is_closed(&self, now: TimeMs, window: Window, expected: &[types::InstanceId]) -> bool {
        let is_linked = self.app.udp_link.is_some();
        let is_closed = self.app.duties.with_metering(|metering| {
            let knows_others = is_linked || metering.knows_records(now);
            let book = metering.book().filter(|_| knows_others)?;
            Some(book.is_closed_by_all(now, window, expected))
        });
        self.app.peers.has_listed() && is_closed.flatten().unwrap_or(false)
    }

    /// Returns the fixed counts of a window, which are fixed now if they are not.
    /// Returns `None` if the store did not confirm it.
    async fn fixed_counts(&mut self, window: Window) -> Option<WindowCounts> {
        if let Some(counts) = self.held.as_ref()?.fixed.get(&window) {
            return Some(counts.clone());
        }
        let counts = self.app.duties.with_metering(|metering| {
            let book = metering.book()?;
            Some(book.total(window))
        });
        let counts = counts.flatten()?;
        let result = self.store.fix_window(window, &counts).await;
        let (counts, by_other) = match result {
            Ok(true) => (counts, false),
            Ok(false) => (self.read_fixed(window).await?, true),
            // The write may have taken effect; the next attempt shows it.
            Err(error) => {
                self.on_failure(window, &error.to_string());
                return None;
            }
        };
        emit(&GatewayEvent::UsageFixed {
            window,
            teams: counts.len(),
            requests: counts.values().sum(),
            after_ms: self.age_ms(window),
            by_other,
        });
        metrics::counter!("limpetgw_usage_windows_fixed_total").increment(1);
        let held = self.held.as_mut()?;
        held.fixed.insert(window, counts.clone());
        Some(counts)
    }

    async fn read_fixed(&mut self, window: Window) -> Option<WindowCounts> {
        match self.store.fixed_windows().await {
            Ok(fixed) => {
                let mut fixed = fixed.into_iter();
                let found = fixed.find(|(other, _)| *other == window);
                if found.is_none() {
                    self.on_failure(window, "the fixed counts exist, but are not listed");
                }
                found.map(|(_, counts)| counts)
            }
            Err(error) => {
                self.on_failure(window, &error.to_string());
                None
            }
        }
    }

    /// Sends the report of a window once.
    async fn send(&mut self, window: Window, counts: &WindowCounts) {
        let now = boot_now();
        self.follow_pauses(now);
        let (Some(permit), Some(held)) = (self.lease.permit(now), self.held.as_ref()) else {
            return self.wait_for_permit(now);
        };
        if now < held.work_from {
            return;
        }
        let caller = DutyCaller {
            holder: self.app.settings.instance.clone(),
            token: permit.fencing,
        };
        let sent_at = now;
        let api = self.api.clone();
        let call = api.report_usage(&caller, window, counts);
        let result = before(permit.finish_by, call).await;
        let now = boot_now();
        self.follow_pauses(now);
        match result {
            Ok(()) => self.on_confirmed(now, window, permit.fencing),
            Err(error) => {
                if matches!(error, DutyError::Unanswered(_)) {
                    self.unreachable_since.get_or_insert(sent_at);
                }
                self.on_send_failed(now, window, &error);
            }
        }
    }

    /// Waits for the renewal of the lease.
    fn wait_for_permit(&mut self, now: TimeMs) {
        if let Some(held) = &mut self.held {
            held.work_from = now + WORK_INTERVAL_MS / 2;
        }
    }

    fn on_confirmed(&mut self, now: TimeMs, window: Window, token: u64) {
        self.unanswered_at = None;
        self.unreachable_since = None;
        let thaw_ms = self.thaw_ms();
        let is_disturbed = self
            .disturbed_at
            .is_some_and(|at| now.since(at) < DOUBTFUL_MS);
        let Some(held) = &mut self.held else {
            return;
        };
        held.backoff.on_success();
        if is_disturbed && held.doubtful != Some(window) {
            held.doubtful = Some(window);
            held.work_from = now + thaw_ms;
            return;
        }
        emit(&GatewayEvent::UsageReported {
            window,
            token,
            after_ms: self.age_ms(window),
        });
        metrics::counter!("limpetgw_usage_windows_sent_total").increment(1);
        metrics::gauge!("limpetgw_usage_lag_seconds").set(self.age_ms(window) as f64 / 1_000.0);
        self.on_done(window);
    }

    fn on_send_failed(&mut self, now: TimeMs, window: Window, error: &DutyError) {
        if matches!(error, DutyError::Unanswered(_)) {
            self.disturbed_at = Some(now);
            self.unanswered_at = Some(now);
            let is_unreachable = self
                .unreachable_since
                .is_some_and(|since| now.since(since) >= UNREACHABLE_MS);
            self.is_yielding =
                is_unreachable && !self.has_yielded(now) && !self.has_other_yielded(now);
        } else {
            self.unreachable_since = None;
        }
        self.on_failure(window, &error.to_string());
    }

    fn on_failure(&mut self, window: Window, reason: &str) {
        emit(&GatewayEvent::UsageNotReported {
            window,
            reason: reason.into(),
        });
        metrics::counter!("limpetgw_usage_failures_total").increment(1);
        let now = boot_now();
        if let Some(held) = &mut self.held {
            held.work_from = now + held.backoff.on_failure(rand::random());
        }
    }

    /// Records that a window is reported or abandoned, and deletes old counts.
    fn on_done(&mut self, window: Window) {
        self.lease.set_reported_through(window);
        let mut view = lock(&self.app.duties.view);
        view.reported_through = view.reported_through.max(Some(window));
        drop(view);
        let Some(held) = &mut self.held else {
            return;
        };
        held.plan.on_done(window);
        held.doubtful = None;
        held.paused_since = None;
        let kept = FIXED_KEPT_MS / self.timing.window_ms;
        let expired: Vec<Window> = held
            .fixed
            .keys()
            .copied()
            .filter(|other| other + kept < window)
            .collect();
        for window in expired {
            held.fixed.shift_remove(&window);
            let store = self.store.clone();
            async_global_executor::spawn(async move {
                if let Err(error) = store.delete_window(window).await {
                    log::debug!("usage of window {window} not deleted: {error}");
                }
            })
            .detach();
        }
    }

    fn age_ms(&self, window: Window) -> u64 {
        let unix_ms = self.unix_ms(boot_now());
        unix_ms.saturating_sub(self.timing.end_ms(window))
    }
}

/// Runs a call until it ends or a time of the boot clock has come. A call that was
/// not begun by then, because the process was paused, is not begun any more.
async fn before(
    finish_by: TimeMs,
    call: impl Future<Output = Result<(), DutyError>>,
) -> Result<(), DutyError> {
    let mut call = std::pin::pin!(call);
    let wait = Duration::from_millis(finish_by.since(boot_now()));
    let mut timer = smol::Timer::after(wait);
    poll_fn(|cx| {
        let is_over = std::pin::Pin::new(&mut timer).poll(cx).is_ready();
        if is_over || boot_now() >= finish_by {
            let reason = "no answer within the time of a call";
            return std::task::Poll::Ready(Err(DutyError::Unanswered(reason.into())));
        }
        call.as_mut().poll(cx)
    })
    .await
}
