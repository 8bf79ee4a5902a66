//! Tests that each check reports a violated guarantee and accepts a correct
//! record.
#![allow(missing_docs)]

use rstest::rstest;
use soak::{
    checks::{check_run, Guarantee, RECOVERY_LIMIT_MS},
    plan::{Fault, Link, LinkFault},
    record::{
        ConfigWrite, GatewayUsage, InjectedFault, InstanceEvent, Kind, Record, RequestRecord,
    },
};
use wire_standins::{
    engine::event_text,
    instance::{response_body, stream_event_count},
};

/// Unix time at which the requests of the tests are sent.
const SENT_MS: u64 = 100_000;

fn answered_request(kind: Kind, target: &str) -> RequestRecord {
    let body = match kind {
        Kind::Stream => (1..=stream_event_count(target)).map(event_text).collect(),
        _ => response_body(target),
    };
    RequestRecord {
        id: "r1".into(),
        kind,
        target: target.into(),
        gateway: 0,
        sent_ms: SENT_MS,
        ended_ms: SENT_MS + 100,
        status: 200,
        whole: true,
        signed: true,
        answered_id: Some("r1".into()),
        body,
        left: false,
    }
}

fn unsafe_request() -> RequestRecord {
    answered_request(Kind::Unsafe, "/cut/r1")
}

fn refused_with_status(mut request: RequestRecord, status: u16) -> RequestRecord {
    request.status = status;
    request.signed = false;
    request.body.clear();
    request
}

fn instance_event(what: &str, at_ms: u64) -> InstanceEvent {
    InstanceEvent {
        what: what.into(),
        id: "r1".into(),
        at_ms,
        instance: "i-1".into(),
        service: "orders".into(),
        target: "/cut/r1".into(),
        team: Some("clinic".into()),
        has_key: false,
        deadline_ms: Some(4_000),
    }
}

fn config_write(sent_ms: u64, has_route: bool) -> ConfigWrite {
    ConfigWrite {
        sent_ms,
        acked_ms: sent_ms + 10,
        has_route,
        has_key: true,
    }
}

fn record_with(request: RequestRecord, events: Vec<InstanceEvent>) -> Record {
    Record {
        asked: vec![request],
        seen: events,
        configured: vec![config_write(0, true)],
        calm_from_ms: u64::MAX / 2,
        ..Record::default()
    }
}

fn injected_fault(fault: Fault, from_ms: u64, to_ms: u64) -> InjectedFault {
    InjectedFault {
        fault,
        from_ms,
        to_ms,
    }
}

fn violations(record: &Record) -> Vec<Guarantee> {
    let mut violations: Vec<Guarantee> = check_run(record)
        .broken
        .iter()
        .map(|violation| violation.promise)
        .collect();
    violations.dedup();
    violations
}

#[rstest]
#[case::unsafe_request(unsafe_request())]
#[case::stream(answered_request(Kind::Stream, "/stream/r1"))]
#[case::refused(refused_with_status(unsafe_request(), 503))]
fn correct_run_has_no_violations(#[case] request: RequestRecord) {
    let events = match request.status {
        200 => vec![
            instance_event("runs", SENT_MS + 10),
            instance_event("done", SENT_MS + 50),
        ],
        _ => vec![instance_event("refused", SENT_MS + 10)],
    };

    assert_eq!(violations(&record_with(request, events)), []);
}

#[rstest]
#[case::response_of_another_request(|request: &mut RequestRecord| request.body = response_body("/cut/r2"))]
#[case::truncated_but_marked_complete(|request: &mut RequestRecord| request.body.truncate(5))]
#[case::unsigned(|request: &mut RequestRecord| request.signed = false)]
#[case::wrong_response_id(|request: &mut RequestRecord| request.answered_id = Some("r2".into()))]
#[case::switches_protocols(|request: &mut RequestRecord| request.status = 101)]
#[case::has_no_status(|request: &mut RequestRecord| request.status = 0)]
fn wrong_or_unsigned_response_is_a_violation(#[case] change: fn(&mut RequestRecord)) {
    let mut request = unsafe_request();
    change(&mut request);

    assert_eq!(
        violations(&record_with(request, Vec::new())),
        [Guarantee::OwnAndWhole]
    );
}

#[rstest]
#[case::duplicate_event(format!("{0}{0}", event_text(1)))]
#[case::missing_event(event_text(2))]
fn stream_with_duplicate_or_missing_event_is_a_violation(#[case] body: String) {
    let mut request = answered_request(Kind::Stream, "/stream/r1");
    request.body = body;
    request.whole = false;

    assert_eq!(
        violations(&record_with(request, Vec::new())),
        [Guarantee::OwnAndWhole]
    );
}

#[test]
fn second_run_of_unsafe_request_is_a_violation() {
    let runs = vec![
        instance_event("runs", SENT_MS + 10),
        instance_event("runs", SENT_MS + 20),
    ];

    assert_eq!(
        violations(&record_with(unsafe_request(), runs)),
        [Guarantee::AtMostOnce]
    );
}

#[test]
fn refusal_of_request_that_ran_is_a_violation() {
    let runs = vec![instance_event("runs", SENT_MS + 10)];

    let record = record_with(refused_with_status(unsafe_request(), 503), runs);

    assert_eq!(violations(&record), [Guarantee::TrueRefusal]);
}

#[rstest]
#[case::key_passed_on(|event: &mut InstanceEvent| event.has_key = true)]
#[case::wrong_team(|event: &mut InstanceEvent| event.team = Some("school".into()))]
#[case::no_team(|event: &mut InstanceEvent| event.team = None)]
fn leaked_key_or_wrong_team_is_a_violation(#[case] change: fn(&mut InstanceEvent)) {
    let mut event = instance_event("runs", SENT_MS + 10);
    change(&mut event);

    assert_eq!(
        violations(&record_with(unsafe_request(), vec![event])),
        [Guarantee::Identity]
    );
}

#[rstest]
#[case::after_drain_limit(1_990, 2_500, true)]
#[case::within_drain_limit(1_990, 1_500, false)]
fn run_on_drained_instance_is_a_violation(
    #[case] sent_after_drain_ms: u64,
    #[case] run_after_drain_ms: u64,
    #[case] is_violation: bool,
) {
    let drain_ms = SENT_MS - sent_after_drain_ms;
    let mut record = record_with(
        unsafe_request(),
        vec![instance_event("runs", drain_ms + run_after_drain_ms)],
    );
    record.draining.insert("i-1".into(), drain_ms);

    assert_eq!(
        violations(&record).contains(&Guarantee::Drained),
        is_violation
    );
}

#[rstest]
#[case::old_config_after_limit(3_000, true)]
#[case::old_config_within_limit(1_000, false)]
fn late_configuration_is_a_violation(#[case] age_ms: u64, #[case] is_violation: bool) {
    let request = refused_with_status(answered_request(Kind::Changing, "/changing/r1"), 404);
    let mut record = record_with(request, Vec::new());
    record.configured = vec![config_write(0, false), config_write(SENT_MS - age_ms, true)];

    assert_eq!(
        violations(&record).contains(&Guarantee::Configured),
        is_violation
    );
}

#[test]
fn denial_of_always_allowed_request_is_a_violation() {
    let record = record_with(refused_with_status(unsafe_request(), 404), Vec::new());

    assert_eq!(violations(&record), [Guarantee::Configured]);
}

#[test]
fn too_many_retries_are_a_violation() {
    let retries = (0..60).map(|number| instance_event("refused", SENT_MS + number));

    let record = record_with(
        refused_with_status(unsafe_request(), 503),
        retries.collect(),
    );

    assert_eq!(violations(&record), [Guarantee::RetryBudget]);
}

#[rstest]
#[case::undisturbed(None, true)]
#[case::store_link_silent(Some(Fault::Link(Link::Store(0), LinkFault::Silence)), false)]
#[case::another_gateway(Some(Fault::KillGateway(1)), true)]
fn missing_response_from_undisturbed_gateway_is_a_violation(
    #[case] fault: Option<Fault>,
    #[case] is_violation: bool,
) {
    let mut request = refused_with_status(unsafe_request(), 0);
    request.whole = false;
    request.ended_ms = SENT_MS + 5_000;
    let mut record = record_with(request, Vec::new());
    let faults = fault.map(|fault| injected_fault(fault, SENT_MS, SENT_MS + 10));
    record.happened.extend(faults);

    assert_eq!(
        violations(&record).contains(&Guarantee::FinalAnswer),
        is_violation
    );
}

#[rstest]
#[case::beside_planned_action(Fault::Configure, true)]
#[case::beside_a_crash(Fault::KillInstance(0), false)]
fn response_truncated_by_planned_stop_is_a_violation(
    #[case] concurrent_fault: Fault,
    #[case] is_violation: bool,
) {
    let mut request = answered_request(Kind::Stream, "/stream/r1");
    request.whole = false;
    let mut record = record_with(request, vec![instance_event("runs", SENT_MS + 10)]);
    for fault in [Fault::StopGateway(0), concurrent_fault] {
        let injected = injected_fault(fault, SENT_MS + 20, SENT_MS + 500);
        record.happened.push(injected);
    }

    assert_eq!(
        violations(&record).contains(&Guarantee::GracefulStop),
        is_violation
    );
}

#[test]
fn work_after_caller_disconnect_is_a_violation() {
    let mut request = answered_request(Kind::Stream, "/stream/r1");
    request.whole = false;
    request.left = true;
    let record = record_with(request, vec![instance_event("done", SENT_MS + 1_000)]);

    assert_eq!(violations(&record), [Guarantee::Cancelled]);
}

#[test]
fn gateway_that_does_not_recover_is_a_violation() {
    let mut record = record_with(refused_with_status(unsafe_request(), 503), Vec::new());
    record.calm_from_ms = SENT_MS - RECOVERY_LIMIT_MS;

    assert_eq!(violations(&record), [Guarantee::Recovered]);
}

#[rstest]
#[case::too_much_memory(89 << 20, 10)]
#[case::too_many_log_lines(20 << 20, 1_000)]
fn excessive_memory_or_log_use_is_a_violation(#[case] memory_bytes: u64, #[case] log_lines: usize) {
    let mut record = record_with(unsafe_request(), Vec::new());
    record.used.push(GatewayUsage {
        gateway: 0,
        memory_bytes,
        log_lines,
    });

    assert_eq!(violations(&record), [Guarantee::Bounded]);
}

/// BUDGET: an instance that wants a pause gets two more requests at most.
#[rstest]
#[case::two_late(2, true)]
#[case::three_late(3, false)]
fn requests_during_a_pause_are_reported(#[case] late: usize, #[case] holds: bool) {
    let mut events = vec![instance_event("wants-pause", SENT_MS + 50)];
    for number in 0..late as u64 {
        events.push(instance_event("refused", SENT_MS + 700 + number));
    }

    let results = check_run(&record_with(unsafe_request(), events));

    let is_reported = results
        .broken
        .iter()
        .any(|violation| violation.promise == Guarantee::Heeded);
    assert_eq!(is_reported, !holds);
}

/// DENIED: a 431 for a proper request is a response to something else.
#[test]
fn unfounded_client_error_is_reported() {
    let request = refused_with_status(unsafe_request(), 431);

    let results = check_run(&record_with(request, Vec::new()));

    let is_reported = results
        .broken
        .iter()
        .any(|violation| violation.promise == Guarantee::Configured);
    assert!(is_reported);
}
