//! Counts of this gateway and of others, in true time.

use policy::{
    metering::{RunUsage, UsageBook, UsagePart, Window, WindowTiming},
    true_time::TrueTime,
};
use serde::{Deserialize, Serialize};
use types::{InstanceId, TeamName, TimeMs};

/// Longest time that a message through the link takes, in milliseconds.
const LINK_DELAY_MAX_MS: u64 = 600;

/// Longest time from the write of a record to its reading after a change, in
/// milliseconds: the interval between reads, and the age of a replica.
const RECORD_DELAY_MAX_MS: u64 = 5_000;

/// Age of a record after which it does not show that its gateway runs, in
/// milliseconds, in addition to the length of a window.
const RECORD_LIVE_MS: u64 = 5_000;

/// Time after the start within which the time is settled without agreement of
/// peers, in milliseconds.
const SETTLE_WAIT_MS: u64 = 3_000;

/// Time after the start in which the records of all gateways appear, in milliseconds,
/// in addition to the length of a window: gateways that start together settle their
/// time, write and read.
const RECORDS_KNOWN_MS: u64 = SETTLE_WAIT_MS + 4_000;

/// Number of requests and parts that are kept until the time is settled.
const UNSETTLED_MAX: usize = 20_000;

/// Usage in the record of a gateway in the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UsageRecord {
    /// Time at which the record was made, in Unix milliseconds.
    pub at_unix_ms: u64,
    /// Share of a core that the gateway has, in thousandths.
    pub strength: u32,
    /// Counts of the present run and of earlier ones, the present one first.
    pub runs: Vec<RunUsage>,
}

/// Usage of all gateways as known here.
///
/// Until the time is settled, requests and messages are kept as they come.
pub(crate) struct Metering {
    pub(crate) timing: WindowTiming,
    instance: InstanceId,
    run: u64,
    time: TrueTime,
    started_at: TimeMs,
    begun: Vec<(TimeMs, TeamName)>,
    early_parts: Vec<(UsagePart, Option<TimeMs>)>,
    book: Option<UsageBook>,
}

impl Metering {
    pub(crate) fn new(
        timing: WindowTiming,
        instance: InstanceId,
        run: u64,
        unix_ms: u64,
        boot: TimeMs,
    ) -> Self {
        Self {
            timing,
            instance,
            run,
            time: TrueTime::new(unix_ms, boot),
            started_at: boot,
            begun: Vec::new(),
            early_parts: Vec::new(),
            book: None,
        }
    }

    /// Returns the counts; `None` before the time is settled.
    pub(crate) fn book(&self) -> Option<&UsageBook> {
        self.book.as_ref()
    }

    /// Returns the true time, which may change until it is settled.
    pub(crate) fn unix_ms(&self, boot: TimeMs) -> u64 {
        self.time.unix_ms(boot)
    }

    /// Returns whether this process has run for long enough to know of all gateways
    /// by their records in the store.
    pub(crate) fn knows_records(&self, boot: TimeMs) -> bool {
        boot.since(self.started_at) >= self.timing.window_ms + RECORDS_KNOWN_MS
    }

    /// Counts a request that has just begun to run.
    pub(crate) fn on_begun(&mut self, boot: TimeMs, team: &TeamName) {
        match &mut self.book {
            Some(book) => book.count(self.timing.window_at(self.time.unix_ms(boot)), team),
            None if self.begun.len() < UNSETTLED_MAX => self.begun.push((boot, team.clone())),
            None => {}
        }
    }

    /// Handles a part that a peer sent through the link. `heard_at` is set if it is
    /// the peer's own.
    pub(crate) fn on_part(&mut self, part: UsagePart, heard_at: Option<TimeMs>) {
        match &mut self.book {
            Some(book) => book.merge_part(&part, heard_at),
            None if self.early_parts.len() < UNSETTLED_MAX => {
                self.early_parts.push((part, heard_at));
            }
            None => {}
        }
    }

    /// Handles the time in a message of a peer through the link.
    pub(crate) fn on_peer_time(&mut self, boot: TimeMs, peer: &InstanceId, unix_ms: u64) {
        self.time
            .on_peer_time(boot, peer, unix_ms, LINK_DELAY_MAX_MS);
    }

    /// Handles the record of a gateway, which may be this one in an earlier run.
    /// `is_change` tells that the record was written since the last read.
    pub(crate) fn on_record(
        &mut self,
        boot: TimeMs,
        gateway: &InstanceId,
        record: &UsageRecord,
        is_change: bool,
    ) {
        if is_change && *gateway != self.instance {
            let unix_ms = record.at_unix_ms;
            self.time
                .on_peer_time(boot, gateway, unix_ms, RECORD_DELAY_MAX_MS);
        }
        let age_ms = self.time.unix_ms(boot).saturating_sub(record.at_unix_ms);
        let is_live = is_change || age_ms < self.timing.window_ms + RECORD_LIVE_MS;
        for (position, usage) in record.runs.iter().enumerate() {
            let is_present_run = position == 0 && *gateway != self.instance;
            let heard_at = (is_live && is_present_run).then_some(boot);
            for part in UsageBook::parts_of(gateway, usage) {
                self.on_part(part, heard_at);
            }
        }
    }

    /// Settles the time if it can be, and closes the windows that have ended.
    /// Returns the correction of the time when it is settled, and whether a window
    /// was closed.
    pub(crate) fn advance(&mut self, boot: TimeMs) -> (Option<i64>, bool) {
        let settled = self.time.settle(boot, SETTLE_WAIT_MS);
        if settled.is_some() {
            self.on_settled(boot);
        }
        let unix_ms = self.time.unix_ms(boot);
        let closed = match &mut self.book {
            Some(book) => book.close_windows(&self.timing, unix_ms),
            None => false,
        };
        // What was counted until now is to be told, too.
        (settled, closed || settled.is_some())
    }

    fn on_settled(&mut self, boot: TimeMs) {
        let window = |boot: TimeMs| self.timing.window_at(self.time.unix_ms(boot));
        let first = window(self.started_at);
        let mut book = UsageBook::new(self.instance.clone(), self.run, first);
        for (boot, team) in &self.begun {
            book.count(window(*boot), team);
        }
        book.close_windows(&self.timing, self.time.unix_ms(boot));
        for (part, heard_at) in self.early_parts.drain(..) {
            book.merge_part(&part, heard_at);
        }
        self.begun = Vec::new();
        self.book = Some(book);
    }

    /// Closes all windows, because the process counts nothing any more.
    pub(crate) fn close_all(&mut self, boot: TimeMs) {
        let unix_ms = self.time.unix_ms(boot) + self.timing.window_ms;
        if let Some(book) = &mut self.book {
            book.close_windows(&self.timing, unix_ms);
        }
    }

    /// Returns the record for the store; `None` before the time is settled.
    pub(crate) fn record(&self, boot: TimeMs, strength: u32) -> Option<UsageRecord> {
        let book = self.book.as_ref()?;
        let mut runs = vec![book.own().clone()];
        runs.extend(book.earlier_own_runs());
        Some(UsageRecord {
            at_unix_ms: self.time.unix_ms(boot),
            strength,
            runs,
        })
    }

    /// Returns the first window that this process reports if nothing is known of
    /// earlier reports.
    pub(crate) fn first_window(&self) -> Option<Window> {
        self.book.as_ref().map(UsageBook::oldest_window)
    }
}
