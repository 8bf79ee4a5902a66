//! Checks the product's guarantees against the data recorded during a run.
//!
//! Each check covers one guarantee of the product's documentation, with the
//! limits stated there. Guarantees with a time limit are checked only for
//! gateways that are undisturbed: no recent fault of the gateway itself, its
//! links or the store.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use serde::Serialize;
use wire_standins::{
    engine::event_text,
    instance::{response_body, stream_event_count, PAUSE_MS},
};

use crate::{
    callers::{DEADLINE_MS, DEFAULT_TEAM, OTHER_TEAM},
    plan::{Fault, Link},
    record::{ConfigWrite, InstanceEvent, Kind, Record, RequestRecord},
};

/// Time after the end of a fault from which a gateway counts as undisturbed.
const FAULT_SETTLE_MS: u64 = 3_000;
/// Time after its acknowledgement within which a configuration must be in force
/// at every gateway.
const CONFIG_APPLY_MS: u64 = 2_000;
/// Time after the start of a drain within which the instance may still get
/// requests.
const DRAIN_APPLY_MS: u64 = 2_000;
/// Time after a response that asks for a pause within which requests may still
/// arrive.
const PAUSE_APPLY_MS: u64 = 500;
/// Requests of one gateway that may arrive during a pause.
const LATE_MAX: usize = 2;
/// Time after the deadline of a request within which its caller must get a final
/// response.
const DEADLINE_SLACK_MS: u64 = 500;
/// Time limit for cancelling a request after its caller has disconnected.
const CANCEL_LIMIT_MS: u64 = 500;
/// One in this many requests of disconnected callers may be cancelled later than
/// [`CANCEL_LIMIT_MS`].
const UNCANCELLED_DIVISOR: usize = 4;
/// Length of the window over which the retries of a service are limited.
const RETRY_WINDOW_MS: u64 = 10_000;
/// Retries allowed in a window for each request to the service.
const RETRY_RATIO: f64 = 0.2;
/// Retries allowed in a window in addition to [`RETRY_RATIO`].
const RETRY_ALLOWANCE: f64 = 50.0;
/// Time after the last fault, in milliseconds, within which requests have to be
/// served again.
pub const RECOVERY_LIMIT_MS: u64 = 12_000;
/// Share of requests that must be served after recovery.
const RECOVERED_MIN_PERCENT: usize = 90;
/// Memory limit of a gateway: that of the smallest supported machine.
const MEMORY_MAX_BYTES: u64 = 88 << 20;
/// Limits on the log lines of a gateway: per request of the run, plus an
/// allowance per second.
const LOG_LINES_PER_REQUEST: usize = 12;
const EXTRA_LOG_LINES_PER_S: usize = 50;
/// HTTP statuses that guarantee that the request did not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// A guarantee of the product that a run checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub enum Guarantee {
    /// A caller gets the response to its own request, complete and in order.
    OwnAndWhole,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A request whose status means "not run" did not run.
    TrueRefusal,
    /// A draining instance gets no new requests.
    Drained,
    /// An instance that asks a gateway for a pause gets at most two more requests
    /// from it until the pause ends.
    Heeded,
    /// A configuration is in force in time and is not lost afterwards.
    Configured,
    /// Retries stay within the retry budget.
    RetryBudget,
    /// Every caller gets a final response by, or shortly after, its deadline.
    FinalAnswer,
    /// A planned stop of a gateway truncates no response.
    GracefulStop,
    /// Requests are cancelled when their caller disconnects.
    Cancelled,
    /// API keys are not passed on to instances, and teams are identified
    /// correctly.
    Identity,
    /// Requests are served again after the last fault.
    Recovered,
    /// Memory and log volume of a gateway stay within their limits.
    Bounded,
}

/// A violated guarantee.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The guarantee, serialized under its variant name.
    pub promise: Guarantee,
    /// Request id, gateway, service or group of callers concerned.
    pub subject: String,
    /// Observed status, times, counts or bodies that contradict the guarantee.
    pub detail: String,
}

/// Number of checks made for each guarantee, and the violations found.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CheckResults {
    /// Number of checks made, by guarantee.
    pub looked_at: BTreeMap<Guarantee, usize>,
    /// Violations in the order in which they were found.
    pub broken: Vec<Violation>,
}

impl CheckResults {
    fn record_check(
        &mut self,
        promise: Guarantee,
        holds: bool,
        subject: &str,
        detail: impl Fn() -> String,
    ) {
        *self.looked_at.entry(promise).or_default() += 1;
        if !holds {
            self.broken.push(Violation {
                promise,
                subject: subject.into(),
                detail: detail(),
            });
        }
    }
}

/// Checks all guarantees against the record of a run. The result contains the
/// violations instead of an error.
pub fn check_run(record: &Record) -> CheckResults {
    let mut results = CheckResults::default();
    let mut by_id: IndexMap<&str, Vec<&InstanceEvent>> = IndexMap::new();
    for event in &record.seen {
        by_id.entry(&event.id).or_default().push(event);
    }
    for request in &record.asked {
        let events = by_id
            .get(request.id.as_str())
            .map_or(&[][..], Vec::as_slice);
        check_response(&mut results, request);
        check_run_count(&mut results, request, events);
        check_identity(&mut results, request, events);
        check_configured(&mut results, record, request);
        check_deadline(&mut results, record, request);
        check_graceful_stop(&mut results, record, request, events);
        check_drained(&mut results, record, request, events);
    }
    check_cancelled(&mut results, record, &by_id);
    check_heeded(&mut results, record);
    check_retry_budget(&mut results, record);
    check_recovered(&mut results, record);
    check_resource_usage(&mut results, record);
    results
}

fn check_response(results: &mut CheckResults, request: &RequestRecord) {
    let has_head = request.status != 0 || request.answered_id.is_some();
    if has_head && !(200..600).contains(&request.status) {
        let detail = || format!("status {} ends no request", request.status);
        results.record_check(Guarantee::OwnAndWhole, false, &request.id, detail);
    }
    if request.status != 200 {
        return;
    }
    let expected = expected_body(request);
    let is_own = request.signed && request.answered_id.as_deref() == Some(request.id.as_str());
    let is_correct = match request.whole {
        true => request.body == expected,
        // A truncated response must be a prefix of the expected one.
        false => expected.starts_with(&request.body),
    };
    results.record_check(
        Guarantee::OwnAndWhole,
        is_own && is_correct,
        &request.id,
        || {
            format!(
                "{}: response body {:?}, expected {:?}, complete: {}, response id {:?}",
                request.target, request.body, expected, request.whole, request.answered_id
            )
        },
    );
}

fn expected_body(request: &RequestRecord) -> String {
    match request.kind {
        Kind::Stream => (1..=stream_event_count(&request.target))
            .map(event_text)
            .collect(),
        _ => response_body(&request.target),
    }
}

fn check_run_count(results: &mut CheckResults, request: &RequestRecord, events: &[&InstanceEvent]) {
    if request.kind != Kind::Unsafe {
        return;
    }
    let runs = events.iter().filter(|event| event.what == "runs").count();
    let detail = || format!("status {}, ran {runs} times: {events:?}", request.status);
    results.record_check(Guarantee::AtMostOnce, runs <= 1, &request.id, detail);
    if NOT_RUN_STATUSES.contains(&request.status) {
        results.record_check(Guarantee::TrueRefusal, runs == 0, &request.id, detail);
    }
}

fn check_identity(results: &mut CheckResults, request: &RequestRecord, events: &[&InstanceEvent]) {
    let team = match request.kind {
        Kind::OtherKey => OTHER_TEAM,
        _ => DEFAULT_TEAM,
    };
    for event in events {
        let holds = !event.has_key && event.team.as_deref() == Some(team);
        results.record_check(Guarantee::Identity, holds, &request.id, || {
            format!(
                "instance received API key: {}, team {:?}",
                event.has_key, event.team
            )
        });
    }
}

/// Returns the configurations that may be in force for a request at an
/// undisturbed gateway: the last one acknowledged at least
/// [`CONFIG_APPLY_MS`] before the request was sent, and all later ones up to the
/// end of the response.
fn possible_configs<'a>(record: &'a Record, request: &RequestRecord) -> &'a [ConfigWrite] {
    let all = &record.configured;
    let from = all
        .iter()
        .rposition(|config| config.acked_ms + CONFIG_APPLY_MS <= request.sent_ms)
        .unwrap_or(0);
    let sent = all
        .iter()
        .filter(|config| config.sent_ms <= request.ended_ms);
    &all[from..sent.count().max(from + 1).min(all.len())]
}

fn check_configured(results: &mut CheckResults, record: &Record, request: &RequestRecord) {
    let allows = |config: &ConfigWrite| match request.kind {
        Kind::Changing => config.has_route,
        Kind::OtherKey => config.has_key,
        Kind::Safe | Kind::Unsafe | Kind::Stream => true,
    };
    let denied = matches!(request.status, 401 | 404);
    // Every request is proper, so the gateway has no other reason to deny one.
    let is_unfounded = (300..500).contains(&request.status)
        && !matches!(request.status, 401 | 404 | 408 | 421 | 429);
    results.record_check(Guarantee::Configured, !is_unfounded, &request.id, || {
        format!("status {} for a proper request", request.status)
    });
    let always_allowed = record.configured.iter().all(allows);
    if always_allowed {
        results.record_check(Guarantee::Configured, !denied, &request.id, || {
            format!(
                "status {} although every configuration allows the request",
                request.status
            )
        });
        return;
    }
    if !is_undisturbed(record, request.gateway, request.sent_ms, request.ended_ms) {
        return;
    }
    let possible_configs = possible_configs(record, request);
    let holds = match request.status {
        200 => possible_configs.iter().any(allows),
        401 | 404 => possible_configs.iter().any(|config| !allows(config)),
        _ => return,
    };
    results.record_check(Guarantee::Configured, holds, &request.id, || {
        format!(
            "{:?} request got status {}; configurations that may apply: {possible_configs:?}",
            request.kind, request.status
        )
    });
}

fn check_deadline(results: &mut CheckResults, record: &Record, request: &RequestRecord) {
    if request.left || !is_undisturbed(record, request.gateway, request.sent_ms, request.ended_ms) {
        return;
    }
    let elapsed_ms = request.ended_ms.saturating_sub(request.sent_ms);
    let holds = elapsed_ms <= DEADLINE_MS + DEADLINE_SLACK_MS;
    results.record_check(Guarantee::FinalAnswer, holds, &request.id, || {
        format!("ended after {elapsed_ms} ms with status {}", request.status)
    });
}

fn check_graceful_stop(
    results: &mut CheckResults,
    record: &Record,
    request: &RequestRecord,
    events: &[&InstanceEvent],
) {
    let (from_ms, to_ms) = (request.sent_ms, request.ended_ms);
    let is_stopping = record.happened.iter().any(|injected| {
        injected.fault == Fault::StopGateway(request.gateway)
            && injected.from_ms <= to_ms
            && injected.to_ms >= from_ms
    });
    let is_disturbed = record.happened.iter().any(|injected| {
        !injected.fault.is_planned()
            && !leaves_requests_waiting(injected.fault)
            && injected.from_ms <= to_ms
            && injected.to_ms + FAULT_SETTLE_MS >= from_ms
    });
    let has_run = events.iter().any(|event| event.what == "runs");
    if !is_stopping || is_disturbed || request.left || !has_run {
        return;
    }
    let holds = request.status != 0 && request.whole;
    results.record_check(Guarantee::GracefulStop, holds, &request.id, || {
        format!(
            "response truncated after {} ms at gateway {}: {events:?}",
            to_ms.saturating_sub(from_ms),
            request.gateway
        )
    });
}

/// Returns whether a fault only keeps instances from responding. A gateway that
/// stops still has to tell callers whether their requests may have run.
fn leaves_requests_waiting(fault: Fault) -> bool {
    matches!(
        fault,
        Fault::FaultyInstance(_, "loses-answers" | "hangs" | "wants-pause" | "full")
    )
}

/// Checks that instances get the pauses that they ask for.
fn check_heeded(results: &mut CheckResults, record: &Record) {
    let gateways: IndexMap<&str, usize> = record
        .asked
        .iter()
        .map(|request| (request.id.as_str(), request.gateway))
        .collect();
    let mut arrivals: IndexMap<(&str, usize), Vec<&InstanceEvent>> = IndexMap::new();
    for event in &record.seen {
        let is_arrival = matches!(event.what.as_str(), "runs" | "refused" | "wants-pause");
        if let (true, Some(gateway)) = (is_arrival, gateways.get(event.id.as_str())) {
            let key = (event.instance.as_str(), *gateway);
            arrivals.entry(key).or_default().push(event);
        }
    }
    for ((instance, gateway), events) in &arrivals {
        let count_in = |from_ms: u64, to_ms: u64| {
            let late = events
                .iter()
                .filter(|event| (from_ms..to_ms).contains(&event.at_ms));
            late.count()
        };
        for asked in events.iter().filter(|event| event.what == "wants-pause") {
            let (from_ms, to_ms) = (asked.at_ms + PAUSE_APPLY_MS, asked.at_ms + PAUSE_MS);
            if is_undisturbed(record, *gateway, asked.at_ms, to_ms) {
                let late = count_in(from_ms, to_ms);
                results.record_check(Guarantee::Heeded, late <= LATE_MAX, instance, || {
                    format!("{late} requests of gateway {gateway} during a pause")
                });
            }
        }
    }
}

fn check_drained(
    results: &mut CheckResults,
    record: &Record,
    request: &RequestRecord,
    events: &[&InstanceEvent],
) {
    for event in events {
        let Some(drained_ms) = record.draining.get(&event.instance) else {
            continue;
        };
        let ran_too_late = event.at_ms > drained_ms + DRAIN_APPLY_MS && event.what == "runs";
        let is_applicable = is_undisturbed(record, request.gateway, *drained_ms, event.at_ms)
            && request.sent_ms + DRAIN_APPLY_MS > *drained_ms;
        if is_applicable {
            results.record_check(Guarantee::Drained, !ran_too_late, &request.id, || {
                let late_ms = event.at_ms.saturating_sub(*drained_ms);
                format!(
                    "reached {} {late_ms} ms after the start of its drain",
                    event.instance
                )
            });
        }
    }
}

fn check_cancelled(
    results: &mut CheckResults,
    record: &Record,
    by_id: &IndexMap<&str, Vec<&InstanceEvent>>,
) {
    let disconnected: Vec<&RequestRecord> = record
        .asked
        .iter()
        .filter(|request| request.left)
        .filter(|request| {
            is_undisturbed(record, request.gateway, request.sent_ms, request.ended_ms)
        })
        .collect();
    let uncancelled = disconnected
        .iter()
        .filter(|request| {
            let events = by_id
                .get(request.id.as_str())
                .map_or(&[][..], Vec::as_slice);
            let late_ms = request.ended_ms + CANCEL_LIMIT_MS;
            events.iter().any(|event| event.at_ms > late_ms)
        })
        .count();
    let holds = uncancelled * UNCANCELLED_DIVISOR <= disconnected.len();
    results.record_check(
        Guarantee::Cancelled,
        holds,
        "all callers that disconnected",
        || {
            format!(
                "{uncancelled} of {} requests were not cancelled in time",
                disconnected.len()
            )
        },
    );
}

/// Checks the number of retries in each window that starts with a retry.
fn check_retry_budget(results: &mut CheckResults, record: &Record) {
    let mut arrived_ids: IndexMap<&str, ()> = IndexMap::new();
    let mut retries: IndexMap<&str, Vec<u64>> = IndexMap::new();
    for event in &record.seen {
        let is_arrival = event.what == "runs" || event.what == "refused";
        if is_arrival && arrived_ids.insert(&event.id, ()).is_some() {
            retries.entry(&event.service).or_default().push(event.at_ms);
        }
    }
    for (service, at_ms) in &retries {
        for from_ms in at_ms {
            let window = *from_ms..from_ms + RETRY_WINDOW_MS;
            let count = at_ms.iter().filter(|at_ms| window.contains(at_ms)).count();
            let request_count = requests_in(record, service, &window);
            let allowed = RETRY_RATIO * request_count as f64 + RETRY_ALLOWANCE;
            results.record_check(
                Guarantee::RetryBudget,
                count as f64 <= allowed,
                service,
                || format!("{count} retries in 10 s for {request_count} requests"),
            );
        }
    }
}

/// Returns the number of requests for a service in a window, or in the window
/// before it if that is larger.
fn requests_in(record: &Record, service: &str, window: &std::ops::Range<u64>) -> usize {
    let is_for_service = |request: &&RequestRecord| match request.kind {
        Kind::Stream => service == "plans",
        _ => service == "orders",
    };
    let count = |from_ms: u64, to_ms: u64| {
        let matching = record.asked.iter().filter(is_for_service);
        matching
            .filter(|request| (from_ms..to_ms).contains(&request.sent_ms))
            .count()
    };
    let before = window.start.saturating_sub(RETRY_WINDOW_MS);
    count(window.start, window.end).max(count(before, window.start))
}

fn check_recovered(results: &mut CheckResults, record: &Record) {
    let from_ms = record.calm_from_ms + RECOVERY_LIMIT_MS;
    let mut by_gateway: BTreeMap<usize, (usize, usize)> = BTreeMap::new();
    let after_recovery = record
        .asked
        .iter()
        .filter(|request| request.sent_ms >= from_ms);
    for request in after_recovery.filter(|request| !request.left) {
        let counts = by_gateway.entry(request.gateway).or_default();
        counts.0 += 1;
        counts.1 += usize::from(matches!(request.status, 200 | 401 | 404));
    }
    for (gateway, (all, served)) in by_gateway {
        let holds = served * 100 >= all * RECOVERED_MIN_PERCENT;
        results.record_check(
            Guarantee::Recovered,
            holds,
            &format!("gateway {gateway}"),
            || format!("{served} of {all} requests were served"),
        );
    }
}

fn check_resource_usage(results: &mut CheckResults, record: &Record) {
    let first_ms = record.asked.iter().map(|request| request.sent_ms).min();
    let last_ms = record.asked.iter().map(|request| request.ended_ms).max();
    let length_ms = last_ms.unwrap_or(0).saturating_sub(first_ms.unwrap_or(0));
    let lines_max = record.asked.len() * LOG_LINES_PER_REQUEST
        + (length_ms as usize / 1_000 + 1) * EXTRA_LOG_LINES_PER_S;
    for usage in &record.used {
        let holds = usage.memory_bytes <= MEMORY_MAX_BYTES && usage.log_lines <= lines_max;
        results.record_check(
            Guarantee::Bounded,
            holds,
            &format!("gateway {}", usage.gateway),
            || {
                format!(
                    "{} bytes of memory, {} log lines",
                    usage.memory_bytes, usage.log_lines
                )
            },
        );
    }
}

/// Returns whether a gateway was undisturbed during a period and
/// [`FAULT_SETTLE_MS`] before it: it was not stopped, killed or paused, and the
/// store, its links to callers and store and all links to instances had no fault.
fn is_undisturbed(record: &Record, gateway: usize, from_ms: u64, to_ms: u64) -> bool {
    !record.happened.iter().any(|injected| {
        let is_of_gateway = match injected.fault {
            Fault::StopGateway(number)
            | Fault::KillGateway(number)
            | Fault::PauseGateway(number)
            | Fault::Link(Link::Callers(number) | Link::Store(number), _) => number == gateway,
            Fault::Store(_) | Fault::CompactStore | Fault::RestoreStore => true,
            Fault::Link(Link::Instance(_), _) => true,
            _ => false,
        };
        is_of_gateway && injected.from_ms <= to_ms && injected.to_ms + FAULT_SETTLE_MS >= from_ms
    })
}
