//! Fixes the counts of each window in the store, and sends them to the platform.

use std::{future::Future, time::Duration};

use futures_lite::future::poll_fn;
use policy::metering::{Pending, Window, WindowCounts};
use telemetry::{emit, events::GatewayEvent};
use types::{InstanceId, TimeMs};

use super::{Performer, FIXED_KEPT_MS, WORK_INTERVAL_MS};
use crate::{
    app::lock,
    duties::{clock::boot_now, exchange::ranked, DutyCaller, DutyError},
};

/// Shortest time between two calls of a duty, in milliseconds.
const RETRY_MIN_MS: u64 = 5;

/// Time of uninterrupted failures to reach the platform's API after which a holder
/// yields the duties to a gateway that may reach it, in milliseconds.
const UNREACHABLE_MS: u64 = 2_500;

/// Time after a disturbance of the link within which a confirmed report may have
/// arrived during the thaw, so that it is repeated, in milliseconds.
const DOUBTFUL_MS: u64 = 2_000;

/// Time after the acquisition before which nothing is fixed, in milliseconds:
/// gateways send their counts to a new holder once they have heard its announcement.
const FIX_GRACE_MS: u64 = 1_000;

/// Time before a report is due from which a new holder fixes without that delay,
/// in milliseconds.
const FIX_URGENT_MS: u64 = 1_500;

impl Performer {
    /// Fixes or sends one window if that is due. Returns the time at which there is
    /// something to do; `None` if the lease is not held.
    pub(super) async fn work(&mut self) -> Option<TimeMs> {
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
            let is_lost = held.lost_through >= Some(window) && !held.fixed.contains_key(&window);
            if is_lost || held.unreadable.contains(&window) {
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
    fn expected_gateways(&self) -> Vec<InstanceId> {
        let Some(link) = self.app.peer_link() else {
            return Vec::new();
        };
        let ranked = ranked(&self.app, link.as_ref()).into_iter();
        ranked.map(|(instance, _)| instance).collect()
    }

    fn is_closed(&self, now: TimeMs, window: Window, expected: &[InstanceId]) -> bool {
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
                match found {
                    None => self.on_failure(window, "the fixed counts exist, but are not listed"),
                    Some((_, None)) => self.held.as_mut()?.unreadable.push(window),
                    Some((_, Some(counts))) => return Some(counts),
                }
                None
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
        held.unreadable.retain(|other| *other > window);
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
