//! Tests of the load generator: reproducible arrivals and correct reports.

use std::time::Duration;

use rstest::rstest;
use standins::{
    caller::{Outcome, Reply},
    load::{arrivals, summarize, Flow, LoadPlan, Phase, Record, RequestKind},
};
use types::{ErrorCode, Verdict};

fn load(rate_per_s: f64) -> LoadPlan {
    let flow = |name: &str| {
        Flow::builder()
            .name(name)
            .api_key("key")
            .what(RequestKind::Read {
                route: "booking".into(),
            })
            .phases(vec![Phase {
                from_ms: 500,
                length_ms: 10_000,
                rate_per_s,
            }])
            .target_ms(100)
            .build()
    };
    LoadPlan::builder()
        .entries(vec!["127.0.0.1:1".into()])
        .flows(vec![flow("urgent"), flow("history")])
        .seed(7)
        .build()
}

#[test]
fn arrivals_are_reproducible_and_ordered() {
    let load = load(50.0);

    let first = arrivals(&load);
    let second = arrivals(&load);

    assert_eq!(first, second);
    assert!(first.is_sorted_by_key(|arrival| arrival.at_us));
    assert!(first.iter().all(|arrival| arrival.at_us >= 500_000));
    // 1,000 arrivals are expected (2 flows, 10 s, 50/s); 5 standard deviations of
    // the Poisson-distributed count are 158.
    assert!(first.len().abs_diff(1_000) < 158, "{}", first.len());
}

#[test]
fn adding_a_flow_does_not_change_arrivals_of_others() {
    let mut alone = load(50.0);
    alone.flows.truncate(1);
    let both = load(50.0);
    let times = |load: &LoadPlan| -> Vec<u64> {
        let arrivals = arrivals(load).into_iter();
        arrivals
            .filter(|arrival| arrival.flow == 0)
            .map(|arrival| arrival.at_us)
            .collect()
    };

    assert_eq!(times(&alone), times(&both));
}

#[rstest]
#[case::zero_rate(0.0)]
#[case::high_rate(1e5)]
fn arrivals_are_limited_to_requests_max(#[case] rate_per_s: f64) {
    let mut load = load(rate_per_s);
    load.requests_max = 300;

    let arrivals = arrivals(&load);

    let expected = if rate_per_s > 0.0 { 300 } else { 0 };
    assert_eq!(arrivals.len(), expected);
}

fn record(flow: usize, send_delay_ms: u64, first_ms: u64, outcome: Outcome) -> Record {
    Record {
        flow,
        number: 0,
        planned_at: Duration::ZERO,
        send_delay: Duration::from_millis(send_delay_ms),
        reply: Reply {
            outcome,
            request_id: "r-1".into(),
            body: String::new(),
            time_to_first_token: Some(Duration::from_millis(first_ms)),
            total: Duration::from_millis(first_ms),
        },
    }
}

#[test]
fn reports_count_each_request_once_and_measure_from_planned_arrival() {
    let load = load(1.0);
    let refused = Outcome::Refused {
        status: 429,
        code: Some(ErrorCode::QueueFull),
        verdict: Some(Verdict::NotRun),
        retry_after_ms: None,
    };
    let records = [
        record(0, 0, 90, Outcome::Complete { tokens: 5 }),
        record(0, 20, 90, Outcome::Complete { tokens: 5 }),
        record(0, 0, 10, refused),
        record(0, 0, 10, Outcome::TimedOut { tokens: 3 }),
        record(
            1,
            0,
            10,
            Outcome::Crossed {
                reason: String::new(),
            },
        ),
    ];

    let reports = summarize(&load, &records);

    let urgent = &reports["urgent"];
    assert_eq!((urgent.sent, urgent.whole, urgent.attained), (4, 2, 1));
    assert_eq!((urgent.refused["queue_full"], urgent.lost), (1, 1));
    assert_eq!(urgent.tokens_whole, 10);
    assert_eq!(
        (urgent.attainment, urgent.first_p99_ms.round()),
        (0.25, 110.0)
    );
    assert_eq!(reports["history"].failures(), 1);
}
