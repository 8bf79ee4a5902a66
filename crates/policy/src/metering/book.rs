//! Counts of all gateways by run, window and team.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use types::{InstanceId, TeamName, TimeMs};

use super::{Window, WindowTiming};

/// Requests that began to run, by team.
pub type WindowCounts = IndexMap<TeamName, u64>;

/// Number of past windows of which counts are kept: more than a minute, after which
/// a window is not reported any more.
const WINDOWS_KEPT: u64 = 16;

/// Time after which a run that was not heard is not waited for, in milliseconds.
const HEARD_WITHIN_MS: u64 = 10_000;

/// Number of runs for which counts are kept, against peers that restart in a loop.
const RUNS_MAX: usize = 2_048;

/// Number of windows after the present one that a peer may count in. Its clock may
/// be ahead a little; windows further ahead come from a wrong clock.
const WINDOWS_AHEAD_MAX: u64 = 2;

/// Delay after the end of a window before a gateway closes it, in milliseconds:
/// requests that began just before the end are counted by then.
const CLOSE_DELAY_MS: u64 = 30;

/// What one run of a gateway has counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunUsage {
    /// Identifies the run of the gateway's process.
    pub run: u64,
    /// Window in which the run began to count.
    pub first: Window,
    /// Window from which on the run still counts.
    pub first_open: Window,
    /// Counts of the last windows; a window without counts is missing.
    pub windows: IndexMap<Window, WindowCounts>,
}

/// Part of what one run of a gateway has counted in one window. Each part can be
/// applied on its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsagePart {
    /// Gateway that counted.
    pub gateway: InstanceId,
    /// Run of its process.
    pub run: u64,
    /// Window in which the run began to count.
    pub first: Window,
    /// Window of the counts.
    pub window: Window,
    /// Sum over all teams, once the run counts nothing in the window any more.
    pub closed_total: Option<u64>,
    /// Counts of some teams.
    pub counts: Vec<(TeamName, u64)>,
}

/// Usage of another run, as heard.
#[derive(Clone, Debug, Default)]
struct HeardRun {
    first: Window,
    windows: IndexMap<Window, HeardWindow>,
    /// Time at which the run itself was last heard; `None` if others told of it.
    heard_at: Option<TimeMs>,
}

#[derive(Clone, Debug, Default)]
struct HeardWindow {
    counts: WindowCounts,
    closed_total: Option<u64>,
}

impl HeardWindow {
    /// Returns whether all counts of a window that the run has closed were heard.
    fn is_closed(&self) -> bool {
        self.closed_total == Some(self.counts.values().sum())
    }
}

impl HeardRun {
    fn has_closed(&self, window: Window) -> bool {
        let heard = self.windows.get(&window);
        window < self.first || heard.is_some_and(HeardWindow::is_closed)
    }
}

/// Counts of this gateway and of all runs of others that were heard.
///
/// # Invariants
///
/// No count ever decreases while its window is kept.
#[derive(Clone, Debug)]
pub struct UsageBook {
    instance: InstanceId,
    own: RunUsage,
    heard: IndexMap<(InstanceId, u64), HeardRun>,
}

impl UsageBook {
    /// Creates the book of a run that begins to count in the window `first`.
    pub fn new(instance: InstanceId, run: u64, first: Window) -> Self {
        Self {
            instance,
            own: RunUsage {
                run,
                first,
                first_open: first,
                windows: IndexMap::new(),
            },
            heard: IndexMap::new(),
        }
    }

    /// Counts a request that began to run in a window; in the next open one if that
    /// window was closed meanwhile.
    pub fn count(&mut self, window: Window, team: &TeamName) {
        let window = window.max(self.own.first_open);
        let counts = self.own.windows.entry(window).or_default();
        *counts.entry(team.clone()).or_default() += 1;
    }

    /// Closes the windows that have ended. Returns whether there was one.
    pub fn close_windows(&mut self, timing: &WindowTiming, unix_ms: u64) -> bool {
        let open = timing.window_at(unix_ms.saturating_sub(CLOSE_DELAY_MS));
        if open <= self.own.first_open {
            return false;
        }
        self.own.first_open = open;
        let is_kept = |window: &Window| *window + WINDOWS_KEPT > open;
        self.own.windows.retain(|window, _| is_kept(window));
        for heard in self.heard.values_mut() {
            heard.windows.retain(|window, _| is_kept(window));
        }
        self.heard.retain(|_, heard| !heard.windows.is_empty());
        true
    }

    /// Returns the counts of this run.
    pub fn own(&self) -> &RunUsage {
        &self.own
    }

    /// Returns the oldest window in which any run has counted.
    pub fn oldest_window(&self) -> Window {
        let heard = self.heard.values().flat_map(|heard| heard.windows.keys());
        heard
            .copied()
            .min()
            .unwrap_or(self.own.first)
            .min(self.own.first)
    }

    /// Merges a part of what a run has counted; `heard_at` is the time at which the
    /// run itself sent it, `None` if another gateway passed it on.
    pub fn merge_part(&mut self, part: &UsagePart, heard_at: Option<TimeMs>) {
        let is_own = part.gateway == self.instance && part.run == self.own.run;
        let oldest = (self.own.first_open + 1).saturating_sub(WINDOWS_KEPT);
        let newest = self.own.first_open + WINDOWS_AHEAD_MAX;
        if is_own || !(oldest..=newest).contains(&part.window) {
            return;
        }
        let key = (part.gateway.clone(), part.run);
        if !self.heard.contains_key(&key) && self.heard.len() >= RUNS_MAX {
            return;
        }
        let heard = self.heard.entry(key).or_default();
        heard.first = part.first;
        heard.heard_at = heard.heard_at.max(heard_at);
        let known = heard.windows.entry(part.window).or_default();
        for (team, count) in &part.counts {
            let known = known.counts.entry(team.clone()).or_default();
            *known = (*known).max(*count);
        }
        known.closed_total = known.closed_total.max(part.closed_total);
    }

    /// Returns what this run has counted in a window, in parts of at most `teams_max`
    /// teams.
    pub fn own_parts(&self, window: Window, teams_max: usize) -> Vec<UsagePart> {
        let no_counts = WindowCounts::new();
        let counts = self.own.windows.get(&window).unwrap_or(&no_counts);
        let is_closed = window < self.own.first_open;
        let total: u64 = counts.values().sum();
        let part = |counts| UsagePart {
            gateway: self.instance.clone(),
            run: self.own.run,
            first: self.own.first,
            window,
            closed_total: is_closed.then_some(total),
            counts,
        };
        split(counts, teams_max).into_iter().map(part).collect()
    }

    /// Returns what the runs that are not heard any more have counted, in parts of at
    /// most `teams_max` teams, so that it can be passed on.
    pub fn silent_parts(&self, now: TimeMs, silent_ms: u64, teams_max: usize) -> Vec<UsagePart> {
        let mut parts = Vec::new();
        for ((gateway, run), heard) in &self.heard {
            if heard.heard_at.is_some_and(|at| now.since(at) < silent_ms) {
                continue;
            }
            for (window, known) in &heard.windows {
                parts.extend(
                    split(&known.counts, teams_max)
                        .into_iter()
                        .map(|counts| UsagePart {
                            gateway: gateway.clone(),
                            run: *run,
                            first: heard.first,
                            window: *window,
                            closed_total: known.closed_total,
                            counts,
                        }),
                );
            }
        }
        parts
    }

    /// Returns the parts that a record of a run consists of: the windows from its
    /// first one to the one that is still open.
    pub fn parts_of(gateway: &InstanceId, usage: &RunUsage) -> Vec<UsagePart> {
        let oldest = (usage.first_open + 1).saturating_sub(WINDOWS_KEPT);
        let windows = usage.first.max(oldest)..=usage.first_open;
        let part = |window| {
            let counts = usage.windows.get(&window).into_iter().flatten();
            let counts: Vec<(TeamName, u64)> =
                counts.map(|(team, count)| (team.clone(), *count)).collect();
            let total = counts.iter().map(|(_, count)| count).sum();
            UsagePart {
                gateway: gateway.clone(),
                run: usage.run,
                first: usage.first,
                window,
                closed_total: (window < usage.first_open).then_some(total),
                counts,
            }
        };
        windows.map(part).collect()
    }

    /// Returns what earlier runs of this gateway have counted, which its record in
    /// the store must keep.
    pub fn earlier_own_runs(&self) -> Vec<RunUsage> {
        let heard = self.heard.iter();
        let own = heard.filter(|((instance, _), _)| *instance == self.instance);
        own.map(|((_, run), heard)| {
            let windows = heard.windows.iter();
            let last_closed = windows.clone().filter(|(_, known)| known.is_closed());
            RunUsage {
                run: *run,
                first: heard.first,
                first_open: last_closed
                    .map(|(window, _)| window + 1)
                    .max()
                    .unwrap_or(heard.first),
                windows: windows
                    .map(|(window, known)| (*window, known.counts.clone()))
                    .collect(),
            }
        })
        .collect()
    }

    /// Returns whether this run and all runs that were heard recently have closed a
    /// window, and every gateway in `expected` has a run among them.
    pub fn is_closed_by_all(&self, now: TimeMs, window: Window, expected: &[InstanceId]) -> bool {
        if window >= self.own.first_open {
            return false;
        }
        let mut recent = self.recent(now);
        let is_heard = |gateway: &InstanceId| {
            let mut recent = self.recent(now);
            *gateway == self.instance || recent.any(|(heard, _)| heard == gateway)
        };
        recent.all(|(gateway, heard)| heard.has_closed(window) || self.is_replaced(gateway, heard))
            && expected.iter().all(is_heard)
    }

    /// Returns the other gateways that were heard recently.
    pub fn recent_gateways(&self, now: TimeMs) -> Vec<InstanceId> {
        let mut gateways: Vec<InstanceId> = self
            .recent(now)
            .map(|(gateway, _)| gateway.clone())
            .filter(|gateway| *gateway != self.instance)
            .collect();
        gateways.sort();
        gateways.dedup();
        gateways
    }

    /// Returns the runs that were heard themselves within a time.
    pub fn runs_heard_within(&self, now: TimeMs, within_ms: u64) -> impl Iterator<Item = u64> + '_ {
        let heard = self.heard.iter();
        heard
            .filter(move |(_, heard)| heard.heard_at.is_some_and(|at| now.since(at) < within_ms))
            .map(|((_, run), _)| *run)
    }

    /// Returns the sum over all runs, ordered by team.
    pub fn total(&self, window: Window) -> WindowCounts {
        let mut total = self.own.windows.get(&window).cloned().unwrap_or_default();
        for heard in self.heard.values() {
            let known = heard.windows.get(&window);
            for (team, count) in known.into_iter().flat_map(|known| &known.counts) {
                *total.entry(team.clone()).or_default() += count;
            }
        }
        total.sort_keys();
        total
    }

    /// Returns whether another run of the gateway was heard later, so that this one
    /// has ended.
    fn is_replaced(&self, gateway: &InstanceId, run: &HeardRun) -> bool {
        let mut heard = self.heard.iter();
        let is_own = *gateway == self.instance;
        is_own || heard.any(|((other, _), heard)| other == gateway && heard.heard_at > run.heard_at)
    }

    fn recent(&self, now: TimeMs) -> impl Iterator<Item = (&InstanceId, &HeardRun)> {
        let is_recent = move |at: TimeMs| now.since(at) < HEARD_WITHIN_MS;
        let heard = self.heard.iter();
        heard
            .filter(move |(_, heard)| heard.heard_at.is_some_and(is_recent))
            .map(|((gateway, _), heard)| (gateway, heard))
    }
}

/// Splits counts into lists of at most `teams_max` teams; one empty list if there
/// are none.
fn split(counts: &WindowCounts, teams_max: usize) -> Vec<Vec<(TeamName, u64)>> {
    let all: Vec<(TeamName, u64)> = counts
        .iter()
        .map(|(team, count)| (team.clone(), *count))
        .collect();
    if all.is_empty() {
        return vec![all];
    }
    all.chunks(teams_max.max(1)).map(<[_]>::to_vec).collect()
}
