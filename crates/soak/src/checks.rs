//! Judges a run by what callers and instances saw.
//!
//! Each check is a promise of the product's pages. Bounds are those of the
//! users' rules. A promise with a bound in time holds for gateways that are in
//! touch: no fault on them, their links or the store lately.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use serde::Serialize;
use wire_standins::{
    engine::event_text,
    instance::{response_body, stream_event_count},
};

use crate::{
    callers::{DEADLINE_MS, FIRST_TEAM, OTHER_TEAM},
    plan::{Fault, Link},
    record::{Asked, Configured, Kind, Record, Seen},
};

/// Time without a fault after which a gateway is in touch.
const CONTACT_MS: u64 = 3_000;
/// Time within which a configuration is in force.
const CONFIG_MS: u64 = 2_000;
/// Time after which a leaving instance gets nothing more.
const DRAIN_MS: u64 = 2_000;
/// How much later than its deadline a caller has a final answer.
const ANSWER_SLACK_MS: u64 = 500;
/// How long an instance may work on for a caller that has left.
const CANCEL_MS: u64 = 500;
/// Part of those that left for which it may work longer, as a divisor.
const WORKED_ON_DIVISOR: usize = 4;
/// Window, ratio and allowance of attempts beyond the first.
const BUDGET_WINDOW_MS: u64 = 10_000;
const BUDGET_RATIO: f64 = 0.2;
const BUDGET_ALLOWANCE: f64 = 50.0;
/// Time after the last fault from which requests are served again.
pub const RECOVER_MS: u64 = 12_000;
/// Part of them that is served, in hundredths.
const RECOVERED_PERCENT: usize = 90;
/// Memory of the smallest machine on the users' sheets.
const MEMORY_MAX_BYTES: u64 = 88 << 20;
/// Log lines for each request, and for each second beside them.
const LOG_LINES_PER_REQUEST: usize = 12;
const LOG_LINES_PER_S: usize = 50;
/// Statuses that promise that a request did not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// A promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub enum Promise {
    /// Answers are the caller's own, whole, and in order.
    OwnAndWhole,
    /// What must not be repeated runs once at most.
    AtMostOnce,
    /// Who is told "not run" was not run.
    TrueRefusal,
    /// A leaving instance gets nothing more.
    Drained,
    /// A configuration is in force in time, and none is forgotten.
    Configured,
    /// Attempts beyond the first stay within their budget.
    RetryBudget,
    /// Every caller has a final answer in time.
    FinalAnswer,
    /// A planned stop cuts nothing off.
    GracefulStop,
    /// Nobody works on for a caller that left.
    Cancelled,
    /// Keys stay with the gateway, teams are named truly.
    Identity,
    /// Requests are served again once faults are over.
    Recovered,
    /// Memory and logs are bounded.
    Bounded,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Broken {
    /// Which.
    pub promise: Promise,
    /// Request, or gateway, that shows it.
    pub subject: String,
    /// What was seen.
    pub detail: String,
}

/// How often each promise was looked at, and what broke.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Judged {
    /// Cases by promise.
    pub looked_at: BTreeMap<Promise, usize>,
    /// Broken promises.
    pub broken: Vec<Broken>,
}

impl Judged {
    fn look(&mut self, promise: Promise, kept: bool, subject: &str, detail: impl Fn() -> String) {
        *self.looked_at.entry(promise).or_default() += 1;
        if !kept {
            self.broken.push(Broken {
                promise,
                subject: subject.into(),
                detail: detail(),
            });
        }
    }
}

/// Judges a run.
pub fn judge(record: &Record) -> Judged {
    let mut judged = Judged::default();
    let mut by_id: IndexMap<&str, Vec<&Seen>> = IndexMap::new();
    for seen in &record.seen {
        by_id.entry(&seen.id).or_default().push(seen);
    }
    for asked in &record.asked {
        let seen = by_id.get(asked.id.as_str()).map_or(&[][..], Vec::as_slice);
        check_answer(&mut judged, asked);
        check_runs(&mut judged, asked, seen);
        check_identity(&mut judged, asked, seen);
        check_configured(&mut judged, record, asked);
        check_final(&mut judged, record, asked);
        check_stop(&mut judged, record, asked, seen);
        check_drained(&mut judged, record, asked, seen);
    }
    check_cancelled(&mut judged, record, &by_id);
    check_budget(&mut judged, record);
    check_recovered(&mut judged, record);
    check_bounded(&mut judged, record);
    judged
}

fn check_answer(judged: &mut Judged, asked: &Asked) {
    if asked.status != 200 {
        return;
    }
    let expected = expected_body(asked);
    let is_own = asked.signed && asked.answered_id.as_deref() == Some(asked.id.as_str());
    let is_right = match asked.whole {
        true => asked.body == expected,
        // What came before a break is a part of the right answer.
        false => expected.starts_with(&asked.body),
    };
    judged.look(Promise::OwnAndWhole, is_own && is_right, &asked.id, || {
        format!(
            "{} answered {:?} for {:?}, whole: {}, id {:?}",
            asked.target, asked.body, expected, asked.whole, asked.answered_id
        )
    });
}

fn expected_body(asked: &Asked) -> String {
    match asked.kind {
        Kind::Stream => (1..=stream_event_count(&asked.target))
            .map(event_text)
            .collect(),
        _ => response_body(&asked.target),
    }
}

fn check_runs(judged: &mut Judged, asked: &Asked, seen: &[&Seen]) {
    if asked.kind != Kind::Unsafe {
        return;
    }
    let runs = seen.iter().filter(|seen| seen.what == "runs").count();
    let detail = || format!("answered {}, ran {runs} times: {seen:?}", asked.status);
    judged.look(Promise::AtMostOnce, runs <= 1, &asked.id, detail);
    if NOT_RUN.contains(&asked.status) {
        judged.look(Promise::TrueRefusal, runs == 0, &asked.id, detail);
    }
}

fn check_identity(judged: &mut Judged, asked: &Asked, seen: &[&Seen]) {
    let team = match asked.kind {
        Kind::OtherKey => OTHER_TEAM,
        _ => FIRST_TEAM,
    };
    for seen in seen {
        let is_kept = !seen.has_key && seen.team.as_deref() == Some(team);
        judged.look(Promise::Identity, is_kept, &asked.id, || {
            format!("key passed on: {}, team {:?}", seen.has_key, seen.team)
        });
    }
}

/// Configurations that may be in force for a request, at a gateway in touch.
fn possible<'a>(record: &'a Record, asked: &Asked) -> &'a [Configured] {
    let all = &record.configured;
    let from = all
        .iter()
        .rposition(|config| config.acked_ms + CONFIG_MS <= asked.sent_ms)
        .unwrap_or(0);
    let sent = all.iter().filter(|config| config.sent_ms <= asked.ended_ms);
    &all[from..sent.count().max(from + 1).min(all.len())]
}

fn check_configured(judged: &mut Judged, record: &Record, asked: &Asked) {
    let allows = |config: &Configured| match asked.kind {
        Kind::Changing => config.has_route,
        Kind::OtherKey => config.has_key,
        Kind::Safe | Kind::Unsafe | Kind::Stream => true,
    };
    let denied = matches!(asked.status, 401 | 404);
    let always_allowed = record.configured.iter().all(allows);
    if always_allowed {
        judged.look(Promise::Configured, !denied, &asked.id, || {
            format!(
                "answered {} though each configuration allows it",
                asked.status
            )
        });
        return;
    }
    if !in_touch(record, asked.gateway, asked.sent_ms, asked.ended_ms) {
        return;
    }
    let possible = possible(record, asked);
    let is_kept = match asked.status {
        200 => possible.iter().any(allows),
        401 | 404 => possible.iter().any(|config| !allows(config)),
        _ => return,
    };
    judged.look(Promise::Configured, is_kept, &asked.id, || {
        format!(
            "{:?} answered {} under {possible:?}",
            asked.kind, asked.status
        )
    });
}

fn check_final(judged: &mut Judged, record: &Record, asked: &Asked) {
    if asked.left || !in_touch(record, asked.gateway, asked.sent_ms, asked.ended_ms) {
        return;
    }
    let took_ms = asked.ended_ms.saturating_sub(asked.sent_ms);
    let is_kept = took_ms <= DEADLINE_MS + ANSWER_SLACK_MS;
    judged.look(Promise::FinalAnswer, is_kept, &asked.id, || {
        format!("{took_ms} ms, status {}", asked.status)
    });
}

fn check_stop(judged: &mut Judged, record: &Record, asked: &Asked, seen: &[&Seen]) {
    let (from_ms, to_ms) = (asked.sent_ms, asked.ended_ms);
    let stops = record.happened.iter().any(|happened| {
        happened.fault == Fault::StopGateway(asked.gateway)
            && happened.from_ms <= to_ms
            && happened.to_ms >= from_ms
    });
    let is_disturbed = record.happened.iter().any(|happened| {
        !happened.fault.is_planned()
            && happened.from_ms <= to_ms
            && happened.to_ms + CONTACT_MS >= from_ms
    });
    let has_run = seen.iter().any(|seen| seen.what == "runs");
    if !stops || is_disturbed || asked.left || !has_run {
        return;
    }
    let is_kept = asked.status != 0 && asked.whole;
    judged.look(Promise::GracefulStop, is_kept, &asked.id, || {
        format!(
            "cut after {} ms at gateway {}: {seen:?}",
            to_ms.saturating_sub(from_ms),
            asked.gateway
        )
    });
}

fn check_drained(judged: &mut Judged, record: &Record, asked: &Asked, seen: &[&Seen]) {
    for seen in seen {
        let Some(drained_ms) = record.draining.get(&seen.instance) else {
            continue;
        };
        let is_after = seen.at_ms > drained_ms + DRAIN_MS && seen.what == "runs";
        let is_bound = in_touch(record, asked.gateway, *drained_ms, seen.at_ms)
            && asked.sent_ms + DRAIN_MS > *drained_ms;
        if is_bound {
            judged.look(Promise::Drained, !is_after, &asked.id, || {
                let late_ms = seen.at_ms.saturating_sub(*drained_ms);
                format!("reached {} {late_ms} ms after its leave", seen.instance)
            });
        }
    }
}

fn check_cancelled(judged: &mut Judged, record: &Record, by_id: &IndexMap<&str, Vec<&Seen>>) {
    let left: Vec<&Asked> = record
        .asked
        .iter()
        .filter(|asked| asked.left)
        .filter(|asked| in_touch(record, asked.gateway, asked.sent_ms, asked.ended_ms))
        .collect();
    let worked_on = left
        .iter()
        .filter(|asked| {
            let seen = by_id.get(asked.id.as_str()).map_or(&[][..], Vec::as_slice);
            let late_ms = asked.ended_ms + CANCEL_MS;
            seen.iter().any(|seen| seen.at_ms > late_ms)
        })
        .count();
    let is_kept = worked_on * WORKED_ON_DIVISOR <= left.len();
    judged.look(Promise::Cancelled, is_kept, "all callers that left", || {
        format!("{worked_on} of {} were worked on", left.len())
    });
}

/// Attempts beyond the first, in windows that begin with each of them.
fn check_budget(judged: &mut Judged, record: &Record) {
    let mut known: IndexMap<&str, ()> = IndexMap::new();
    let mut repeats: IndexMap<&str, Vec<u64>> = IndexMap::new();
    for seen in &record.seen {
        let is_arrival = seen.what == "runs" || seen.what == "refused";
        if is_arrival && known.insert(&seen.id, ()).is_some() {
            repeats.entry(&seen.service).or_default().push(seen.at_ms);
        }
    }
    for (service, at_ms) in &repeats {
        for from_ms in at_ms {
            let window = *from_ms..from_ms + BUDGET_WINDOW_MS;
            let count = at_ms.iter().filter(|at_ms| window.contains(at_ms)).count();
            let asked = requests_in(record, service, &window);
            let allowed = BUDGET_RATIO * asked as f64 + BUDGET_ALLOWANCE;
            judged.look(
                Promise::RetryBudget,
                count as f64 <= allowed,
                service,
                || format!("{count} repeats in 10 s for {asked} requests"),
            );
        }
    }
}

/// Requests for a service in a window, or the one before it if that has more.
fn requests_in(record: &Record, service: &str, window: &std::ops::Range<u64>) -> usize {
    let is_for = |asked: &&Asked| match asked.kind {
        Kind::Stream => service == "plans",
        _ => service == "orders",
    };
    let count = |from_ms: u64, to_ms: u64| {
        let mine = record.asked.iter().filter(is_for);
        mine.filter(|asked| (from_ms..to_ms).contains(&asked.sent_ms))
            .count()
    };
    let before = window.start.saturating_sub(BUDGET_WINDOW_MS);
    count(window.start, window.end).max(count(before, window.start))
}

fn check_recovered(judged: &mut Judged, record: &Record) {
    let from_ms = record.calm_from_ms + RECOVER_MS;
    let mut by_gateway: BTreeMap<usize, (usize, usize)> = BTreeMap::new();
    let late = record.asked.iter().filter(|asked| asked.sent_ms >= from_ms);
    for asked in late.filter(|asked| !asked.left) {
        let counts = by_gateway.entry(asked.gateway).or_default();
        counts.0 += 1;
        counts.1 += usize::from(matches!(asked.status, 200 | 401 | 404));
    }
    for (gateway, (all, served)) in by_gateway {
        let is_kept = served * 100 >= all * RECOVERED_PERCENT;
        judged.look(
            Promise::Recovered,
            is_kept,
            &format!("gateway {gateway}"),
            || format!("{served} of {all} served"),
        );
    }
}

fn check_bounded(judged: &mut Judged, record: &Record) {
    let first_ms = record.asked.iter().map(|asked| asked.sent_ms).min();
    let last_ms = record.asked.iter().map(|asked| asked.ended_ms).max();
    let length_ms = last_ms.unwrap_or(0).saturating_sub(first_ms.unwrap_or(0));
    let lines_max = record.asked.len() * LOG_LINES_PER_REQUEST
        + (length_ms as usize / 1_000 + 1) * LOG_LINES_PER_S;
    for used in &record.used {
        let is_kept = used.memory_bytes <= MEMORY_MAX_BYTES && used.log_lines <= lines_max;
        judged.look(
            Promise::Bounded,
            is_kept,
            &format!("gateway {}", used.gateway),
            || format!("{} bytes, {} log lines", used.memory_bytes, used.log_lines),
        );
    }
}

/// Whether a gateway was in touch from a moment to another.
fn in_touch(record: &Record, gateway: usize, from_ms: u64, to_ms: u64) -> bool {
    !record.happened.iter().any(|happened| {
        let is_of_gateway = match happened.fault {
            Fault::StopGateway(number)
            | Fault::KillGateway(number)
            | Fault::PauseGateway(number)
            | Fault::Link(Link::Callers(number) | Link::Store(number), _) => number == gateway,
            Fault::Store(_) | Fault::CompactStore => true,
            Fault::Link(Link::Instance(_), _) => true,
            _ => false,
        };
        is_of_gateway && happened.from_ms <= to_ms && happened.to_ms + CONTACT_MS >= from_ms
    })
}
