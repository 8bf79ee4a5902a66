//! Each check sees a promise broken that is broken, and none that is kept.
#![allow(missing_docs)]

use rstest::rstest;
use soak::{
    checks::{judge, Promise, RECOVER_MS},
    plan::{Fault, Link, LinkFault},
    record::{Asked, Configured, Happened, Kind, Record, Seen, Used},
};
use wire_standins::{
    engine::event_text,
    instance::{response_body, stream_event_count},
};

/// When the requests of the tests are sent.
const SENT_MS: u64 = 100_000;

fn asked(kind: Kind, target: &str) -> Asked {
    let body = match kind {
        Kind::Stream => (1..=stream_event_count(target)).map(event_text).collect(),
        _ => response_body(target),
    };
    Asked {
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

fn order() -> Asked {
    asked(Kind::Unsafe, "/cut/r1")
}

fn refused(mut asked: Asked, status: u16) -> Asked {
    asked.status = status;
    asked.signed = false;
    asked.body.clear();
    asked
}

fn seen(what: &str, at_ms: u64) -> Seen {
    Seen {
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

fn configured(sent_ms: u64, has_route: bool) -> Configured {
    Configured {
        sent_ms,
        acked_ms: sent_ms + 10,
        has_route,
        has_key: true,
    }
}

fn record(asked: Asked, seen: Vec<Seen>) -> Record {
    Record {
        asked: vec![asked],
        seen,
        configured: vec![configured(0, true)],
        calm_from_ms: u64::MAX / 2,
        ..Record::default()
    }
}

fn happened(fault: Fault, from_ms: u64, to_ms: u64) -> Happened {
    Happened {
        fault,
        from_ms,
        to_ms,
    }
}

fn broken(record: &Record) -> Vec<Promise> {
    let mut broken: Vec<Promise> = judge(record)
        .broken
        .iter()
        .map(|broken| broken.promise)
        .collect();
    broken.dedup();
    broken
}

#[rstest]
#[case::order(order())]
#[case::stream(asked(Kind::Stream, "/stream/r1"))]
#[case::refused(refused(order(), 503))]
fn a_kept_promise_is_not_called_broken(#[case] asked: Asked) {
    let seen = match asked.status {
        200 => vec![seen("runs", SENT_MS + 10), seen("done", SENT_MS + 50)],
        _ => vec![seen("refused", SENT_MS + 10)],
    };

    assert_eq!(broken(&record(asked, seen)), []);
}

#[rstest]
#[case::of_another(|asked: &mut Asked| asked.body = response_body("/cut/r2"))]
#[case::cut_but_called_whole(|asked: &mut Asked| asked.body.truncate(5))]
#[case::unsigned(|asked: &mut Asked| asked.signed = false)]
#[case::with_another_id(|asked: &mut Asked| asked.answered_id = Some("r2".into()))]
fn an_answer_that_is_not_the_callers_own_is_seen(#[case] change: fn(&mut Asked)) {
    let mut asked = order();
    change(&mut asked);

    assert_eq!(broken(&record(asked, Vec::new())), [Promise::OwnAndWhole]);
}

#[rstest]
#[case::twice(format!("{0}{0}", event_text(1)))]
#[case::missing(event_text(2))]
fn a_stream_out_of_order_is_seen(#[case] body: String) {
    let mut asked = asked(Kind::Stream, "/stream/r1");
    asked.body = body;
    asked.whole = false;

    assert_eq!(broken(&record(asked, Vec::new())), [Promise::OwnAndWhole]);
}

#[test]
fn a_second_run_is_seen() {
    let runs = vec![seen("runs", SENT_MS + 10), seen("runs", SENT_MS + 20)];

    assert_eq!(broken(&record(order(), runs)), [Promise::AtMostOnce]);
}

#[test]
fn a_refusal_of_what_ran_is_seen() {
    let runs = vec![seen("runs", SENT_MS + 10)];

    let record = record(refused(order(), 503), runs);

    assert_eq!(broken(&record), [Promise::TrueRefusal]);
}

#[rstest]
#[case::key_passed_on(|seen: &mut Seen| seen.has_key = true)]
#[case::another_team(|seen: &mut Seen| seen.team = Some("school".into()))]
#[case::no_team(|seen: &mut Seen| seen.team = None)]
fn a_leaked_key_or_a_wrong_team_is_seen(#[case] change: fn(&mut Seen)) {
    let mut runs = seen("runs", SENT_MS + 10);
    change(&mut runs);

    assert_eq!(broken(&record(order(), vec![runs])), [Promise::Identity]);
}

#[rstest]
#[case::late(1_990, 2_500, true)]
#[case::in_time(1_990, 1_500, false)]
fn a_run_at_an_instance_that_has_left_is_seen(
    #[case] sent_after_ms: u64,
    #[case] after_ms: u64,
    #[case] is_broken: bool,
) {
    let leave_ms = SENT_MS - sent_after_ms;
    let mut record = record(order(), vec![seen("runs", leave_ms + after_ms)]);
    record.draining.insert("i-1".into(), leave_ms);

    assert_eq!(broken(&record).contains(&Promise::Drained), is_broken);
}

#[rstest]
#[case::old_one_after_its_time(3_000, true)]
#[case::old_one_within_its_time(1_000, false)]
fn a_configuration_that_came_too_late_is_seen(#[case] age_ms: u64, #[case] is_broken: bool) {
    let asked = refused(asked(Kind::Changing, "/changing/r1"), 404);
    let mut record = record(asked, Vec::new());
    record.configured = vec![configured(0, false), configured(SENT_MS - age_ms, true)];

    assert_eq!(broken(&record).contains(&Promise::Configured), is_broken);
}

#[test]
fn a_denial_of_what_was_always_allowed_is_seen() {
    let record = record(refused(order(), 404), Vec::new());

    assert_eq!(broken(&record), [Promise::Configured]);
}

#[test]
fn too_many_repeats_are_seen() {
    let repeats = (0..60).map(|number| seen("refused", SENT_MS + number));

    let record = record(refused(order(), 503), repeats.collect());

    assert_eq!(broken(&record), [Promise::RetryBudget]);
}

#[rstest]
#[case::in_touch(None, true)]
#[case::cut_off(Some(Fault::Link(Link::Store(0), LinkFault::Silence)), false)]
#[case::another_gateway(Some(Fault::KillGateway(1)), true)]
fn a_caller_left_without_an_answer_is_seen(#[case] fault: Option<Fault>, #[case] is_broken: bool) {
    let mut asked = refused(order(), 0);
    asked.whole = false;
    asked.ended_ms = SENT_MS + 5_000;
    let mut record = record(asked, Vec::new());
    let faults = fault.map(|fault| happened(fault, SENT_MS, SENT_MS + 10));
    record.happened.extend(faults);

    assert_eq!(broken(&record).contains(&Promise::FinalAnswer), is_broken);
}

#[rstest]
#[case::planned(Fault::Configure, true)]
#[case::beside_a_crash(Fault::KillInstance(0), false)]
fn an_answer_cut_by_a_planned_stop_is_seen(#[case] beside: Fault, #[case] is_broken: bool) {
    let mut asked = asked(Kind::Stream, "/stream/r1");
    asked.whole = false;
    let mut record = record(asked, vec![seen("runs", SENT_MS + 10)]);
    for fault in [Fault::StopGateway(0), beside] {
        let happened = happened(fault, SENT_MS + 20, SENT_MS + 500);
        record.happened.push(happened);
    }

    assert_eq!(broken(&record).contains(&Promise::GracefulStop), is_broken);
}

#[test]
fn work_for_a_caller_that_left_is_seen() {
    let mut asked = asked(Kind::Stream, "/stream/r1");
    asked.whole = false;
    asked.left = true;
    let record = record(asked, vec![seen("done", SENT_MS + 1_000)]);

    assert_eq!(broken(&record), [Promise::Cancelled]);
}

#[test]
fn a_gateway_that_does_not_recover_is_seen() {
    let mut record = record(refused(order(), 503), Vec::new());
    record.calm_from_ms = SENT_MS - RECOVER_MS;

    assert_eq!(broken(&record), [Promise::Recovered]);
}

#[rstest]
#[case::memory(89 << 20, 10)]
#[case::logs(20 << 20, 1_000)]
fn unbounded_use_is_seen(#[case] memory_bytes: u64, #[case] log_lines: usize) {
    let mut record = record(order(), Vec::new());
    record.used.push(Used {
        gateway: 0,
        memory_bytes,
        log_lines,
    });

    assert_eq!(broken(&record), [Promise::Bounded]);
}
