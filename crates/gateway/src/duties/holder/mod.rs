//! Contends for the lease, and performs the duties while this process holds it.
//!
//! One task makes all calls, one after another, as the state machine of the lease
//! requires: no call of the lease is made while a call of a duty is in progress.

mod reports;
mod restoration;

use std::{sync::Arc, time::Duration};

use coord::{
    ticket_lease::{Step, TicketLease},
    WriteResult,
};
use futures_lite::FutureExt;
use indexmap::IndexMap;
use policy::metering::{ReportPlan, SendBackoff, Window, WindowCounts, WindowTiming};
use store::StoreError;
use telemetry::{emit, events::GatewayEvent};
use types::TimeMs;

use super::{
    clock::boot_now,
    exchange::{announce_release, ranked, HOLDER_SILENT_MS},
    DutyApi, DutyApiFactory, DutySettings, DutyStore, FixedWindow,
};
use crate::app::{lock, App};

/// Longest sleep between two looks at the duties, so that a window is fixed soon
/// after all gateways have closed it.
const WORK_INTERVAL_MS: u64 = 100;

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

/// Time after yielding within which it contends late and does not yield again, in
/// milliseconds: the API may be out of reach for all.
const YIELDED_MS: u64 = 30_000;

/// Time by which it contends later than the others then.
const YIELDED_STAGGER_MS: u64 = 4_000;

/// Time by which a process contends later than the holder before, which knows what it
/// has fixed, after the store came back from an older copy.
const RESTORED_STAGGER_MS: u64 = 1_000;

/// Time after a call without an answer before the lease is released, in
/// milliseconds: the call may still arrive. The next holder waits, too, where the
/// platform does not check the token.
const RELEASE_DELAY_MS: u64 = 500;

/// Time added to the thaw time, within which calls do not count.
const THAW_MARGIN_MS: u64 = 50;

/// Time for which pauses may delay a report, in milliseconds. An overloaded machine
/// pauses the process all the time; a report that is sent then is repeated.
const PAUSED_MAX_MS: u64 = 1_500;

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
    /// Windows whose fixed counts can't be read. They may have been sent and are abandoned.
    unreadable: Vec<Window>,
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
        let now_unix_ms = self.unix_ms(boot_now());
        let is_kept = |window: Window| self.timing.end_ms(window) + FIXED_KEPT_MS >= now_unix_ms;
        let (kept, expired): (Vec<FixedWindow>, Vec<FixedWindow>) =
            fixed.into_iter().partition(|(window, _)| is_kept(*window));
        // A window that another holder has fixed may not be reported yet.
        let oldest_fixed = kept.iter().map(|(window, _)| *window).min();
        let first = first.min(oldest_fixed.unwrap_or(first));
        let mut held = Held {
            token,
            plan: ReportPlan::new(reported_through, first),
            fixed: IndexMap::new(),
            unreadable: Vec::new(),
            lost_through,
            backoff: SendBackoff::default(),
            acquired_at: boot_now(),
            work_from: TimeMs(0),
            paused_since: None,
            doubtful: None,
        };
        for (window, counts) in kept {
            match counts {
                Some(counts) => drop(held.fixed.insert(window, counts)),
                None => held.unreadable.push(window),
            }
        }
        for (window, _) in expired {
            if let Err(error) = self.store.delete_window(window).await {
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
}
