//! Which window is fixed or sent next.

use super::{Window, WindowTiming};

/// Time after the end of a window after which it is not reported any more, in
/// milliseconds. Its object in the store is kept for longer, so that nobody can fix
/// the window anew.
const ABANDON_AFTER_MS: u64 = 60_000;

/// Shortest and longest wait before a report is sent again, in milliseconds. All
/// gateways share 50 calls per second, and one gateway sends at a time.
const BACKOFF_MS: std::ops::RangeInclusive<u64> = 100..=800;

/// What the holder does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pending {
    /// The window is too old to be reported.
    Abandon(Window),
    /// The window has ended and is to be fixed, if it is not, and sent.
    Report(Window),
    /// Nothing to report before this Unix time, in milliseconds.
    WaitUntil(u64),
}

/// The oldest window that is neither reported nor abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportPlan {
    next: Window,
}

impl ReportPlan {
    /// Creates the plan of a holder. `reported_through` is the last window up to
    /// which all were reported by any holder, as far as is known; `first` is the one
    /// in which this process started. Without knowledge of earlier reports, windows
    /// before `first` may have been reported with counts that are not known here.
    pub fn new(reported_through: Option<Window>, first: Window) -> Self {
        Self {
            next: reported_through.map_or(first, |window| window + 1),
        }
    }

    /// Returns what to do at a time. `is_closed` tells whether all gateways have
    /// closed a window.
    pub fn pending(
        &self,
        timing: &WindowTiming,
        unix_ms: u64,
        is_closed: impl Fn(Window) -> bool,
    ) -> Pending {
        let end_ms = timing.end_ms(self.next);
        if unix_ms < end_ms {
            return Pending::WaitUntil(end_ms);
        }
        let age_ms = unix_ms - end_ms;
        if age_ms > ABANDON_AFTER_MS {
            return Pending::Abandon(self.next);
        }
        if age_ms >= timing.fix_after_ms() || is_closed(self.next) {
            return Pending::Report(self.next);
        }
        Pending::WaitUntil(end_ms + timing.fix_after_ms())
    }

    /// Records that all windows up to this one are reported or abandoned.
    pub fn on_done(&mut self, window: Window) {
        self.next = self.next.max(window + 1);
    }
}

/// Wait between attempts to send.
#[derive(Clone, Copy, Debug)]
pub struct SendBackoff {
    wait_ms: u64,
}

impl Default for SendBackoff {
    fn default() -> Self {
        Self {
            wait_ms: *BACKOFF_MS.start(),
        }
    }
}

impl SendBackoff {
    /// Returns the wait after a failed attempt, in milliseconds. `jitter` is a random
    /// number from 0 to 1.
    pub fn on_failure(&mut self, jitter: f64) -> u64 {
        let wait_ms = self.wait_ms;
        self.wait_ms = (wait_ms * 2).min(*BACKOFF_MS.end());
        (wait_ms as f64 * (0.75 + jitter / 2.0)) as u64
    }

    /// Starts again with the shortest wait.
    pub fn on_success(&mut self) {
        *self = Self::default();
    }
}
