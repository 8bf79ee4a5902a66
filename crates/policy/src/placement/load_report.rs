//! Load that an instance reports about itself.
//!
//! Load pattern: a hundred entries place prompts on the same instances, and each
//! sees an instance again only after half a minute. Its own observations then say
//! nothing about the queue that a prompt joins, all prompts go to their home, and
//! homes that got several busy prefixes are late while their neighbours are idle.
//! An entry therefore asks the few instances that it would choose, just before it
//! chooses.
//!
//! The idea of probing a few servers per request and choosing among them by their
//! queue is that of Sparrow (Ousterhout et al., SOSP 2013) and Prequal (Wydrowski
//! et al., NSDI 2024).

use types::TimeMs;

/// Load of an instance, as the instance reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of requests that wait, the most urgent first. Their priorities are
    /// not known.
    pub queued: u32,
    /// Number of requests whose prompt is being prefilled.
    pub prefilling: u32,
}

impl LoadReport {
    /// Returns the number of prompts that are prefilled before one that arrives
    /// now. An instance with a queue serves urgent requests at once, so those
    /// that wait are taken to be of the least urgent priority.
    fn prompts_before(self, is_least_urgent: bool) -> u32 {
        match is_least_urgent {
            true => self.prefilling.saturating_add(self.queued),
            false => self.prefilling,
        }
    }
}

/// Time for which a report is used. An instance prefills several prompts in it.
const REPORT_RETENTION_MS: u64 = 400;

/// Wait that is assumed at an instance that did not answer in time.
const SILENT_WAIT_MS: f64 = 1_500.0;

/// The last report of an instance, or that there was none.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReceivedReport {
    received_at: TimeMs,
    /// `None` if the instance did not answer in time.
    report: Option<LoadReport>,
}

impl ReceivedReport {
    pub(super) fn new(now: TimeMs, report: Option<LoadReport>) -> Self {
        Self {
            received_at: now,
            report,
        }
    }

    pub(super) fn is_fresh(&self, now: TimeMs) -> bool {
        now.since(self.received_at) < REPORT_RETENTION_MS
    }

    /// Returns the wait of a prompt for those before it if each takes
    /// `prompt_ms` to prefill, in milliseconds.
    pub(super) fn wait_ms(&self, is_least_urgent: bool, prompt_ms: f64) -> f64 {
        match self.report {
            Some(report) => f64::from(report.prompts_before(is_least_urgent)) * prompt_ms,
            None => SILENT_WAIT_MS,
        }
    }
}
