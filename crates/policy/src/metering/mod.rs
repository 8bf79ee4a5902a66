//! Usage of teams by window: counting, merging and the choice of what to report.
//!
//! Load pattern: some twenty gateways each begin up to a hundred requests a second
//! for twenty teams. Every five seconds one report of all of them is due within ten
//! seconds, though gateways are killed, paused and cut off at any moment. Counts are
//! absolute and merge by maximum for each run of a gateway, so that a message may
//! be lost, repeated or late; a run that ends leaves its counts with its peers.

mod book;
mod report;

pub use book::{RunUsage, UsageBook, UsagePart, WindowCounts};
pub use report::{Pending, ReportPlan, SendBackoff};

/// Index of a usage window: its start in Unix time divided by its length.
pub type Window = u64;

/// Lengths and times of usage windows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowTiming {
    /// Length of a window, in milliseconds; above 0.
    pub window_ms: u64,
    /// Time after the end of a window at which its report is due, in milliseconds.
    pub due_ms: u64,
}

impl WindowTiming {
    /// Returns the window of a time.
    pub fn window_at(&self, unix_ms: u64) -> Window {
        unix_ms / self.window_ms
    }

    /// Returns the Unix time at which a window ends, in milliseconds.
    pub fn end_ms(&self, window: Window) -> u64 {
        (window + 1) * self.window_ms
    }

    /// Returns the time after the end of a window at which its counts are fixed
    /// though gateways have not closed it, in milliseconds: 7 s of 10 s, which leaves
    /// time to send the report three times.
    pub fn fix_after_ms(&self) -> u64 {
        self.due_ms * 7 / 10
    }
}
