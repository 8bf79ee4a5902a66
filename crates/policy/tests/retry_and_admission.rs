//! The retry budget and the entry's gate.
#![allow(missing_docs)]

mod support;

use std::collections::BTreeMap;

use policy::{
    admission::{Admission, InFlightLimiter},
    retry::{backoff_ms, may_hedge, retry_after_ms, RetryBudget},
};
use proptest::prelude::*;
use rstest::rstest;
use support::proptest_config;
use types::{ClassName, Priority, RequestId, TimeMs};

fn id(number: u32) -> RequestId {
    RequestId::from(format!("r-{number}"))
}

fn admit(gate: &mut InFlightLimiter, number: u32, priority: u8) -> Admission {
    gate.admit(id(number), ClassName::from("class"), Priority(priority))
}

#[test]
fn attempts_stay_within_a_tenth_of_the_requests_when_all_upstreams_fail() {
    const REQUESTS: u32 = 1_000;
    let mut budget = RetryBudget::new();
    let mut attempts = 0;
    for _ in 0..REQUESTS {
        budget.on_request();
        attempts += 1;
        while budget.try_take(TimeMs(0)) {
            attempts += 1;
        }
    }

    assert!(
        f64::from(attempts) <= 1.1 * f64::from(REQUESTS),
        "{attempts} attempts"
    );
}

#[rstest]
#[case::waited_long(true, 64, 100, true)]
#[case::waited_too_short(true, 64, 99, false)]
#[case::long_answer(true, 4_096, 100, false)]
#[case::at_most_once(false, 64, 100, false)]
fn only_short_repeatable_work_is_hedged(
    #[case] repeatable: bool,
    #[case] expected_tokens: u32,
    #[case] waited_ms: u64,
    #[case] hedged: bool,
) {
    assert_eq!(
        may_hedge(repeatable, expected_tokens, waited_ms, 100),
        hedged
    );
}

#[test]
fn hedges_leave_budget_for_retries() {
    let mut budget = RetryBudget::new();
    while budget.try_take_hedge(TimeMs(0)) {}

    assert!(budget.try_take(TimeMs(0)));
}

#[test]
fn a_higher_priority_displaces_the_youngest_of_the_lowest_that_is_not_dispatched() {
    let mut gate = InFlightLimiter::new(4);
    for (number, priority) in [(1, 10), (2, 10), (3, 10), (4, 20)] {
        admit(&mut gate, number, priority);
    }
    gate.on_dispatched(&id(3));

    assert_eq!(
        admit(&mut gate, 5, 30),
        Admission::AdmittedByDisplacing { displaced: id(2) }
    );
    assert_eq!(admit(&mut gate, 6, 10), Admission::Refused);
}

#[test]
fn dispatched_lower_work_leaves_places_for_higher_work() {
    let mut gate = InFlightLimiter::new(64);
    admit(&mut gate, 0, 30);
    gate.release(&id(0));
    for number in 1..=64 {
        admit(&mut gate, number, 10);
        gate.on_dispatched(&id(number));
    }

    assert_eq!(admit(&mut gate, 100, 30), Admission::Admitted);
}

proptest! {
    #![proptest_config(proptest_config(300))]

    /// Over any order of requests and failures, the extra attempts of any span
    /// are at most the earned share of its requests and the burst.
    #[test]
    fn extra_attempts_are_bounded_over_any_span(
        steps in prop::collection::vec((any::<bool>(), any::<bool>()), 1..600),
        start in 0..600_usize,
    ) {
        let mut budget = RetryBudget::new();
        let (mut requests, mut extra) = (0_i64, 0_i64);
        for (i, (request, hedge)) in steps.iter().enumerate() {
            let counted = i >= start;
            if *request {
                budget.on_request();
                requests += i64::from(counted);
            }
            let taken = match hedge {
                true => budget.try_take_hedge(TimeMs(0)),
                false => budget.try_take(TimeMs(0)),
            };
            extra += i64::from(counted && taken);
        }
        prop_assert!(extra * 1_000 <= requests * RetryBudget::EARNED_PER_REQUEST_MILLI + RetryBudget::BURST_MILLI);
    }

    /// Jitter stays within its stated range.
    #[test]
    fn jitter_is_bounded(wait_ms in any::<u64>(), attempt in any::<u32>(), random in any::<u64>()) {
        prop_assert!(backoff_ms(attempt, random) <= 200);
        prop_assert!((100..=90_000).contains(&retry_after_ms(wait_ms, random)));
    }

    /// The gate holds at most its limit, displaces only lower priorities that
    /// are not dispatched, and refuses nothing while one such is held.
    #[test]
    fn the_gate_displaces_only_lower_and_undispatched_requests(
        limit in 1..40_u32,
        steps in prop::collection::vec((0..3_u8, 0..60_u32, 0..4_u8), 1..200),
    ) {
        let mut gate = InFlightLimiter::new(limit);
        let mut model: BTreeMap<RequestId, (u8, bool)> = BTreeMap::new();
        for (i, (kind, pick, priority)) in steps.into_iter().enumerate() {
            let picked = model.keys().nth(pick as usize % model.len().max(1)).cloned();
            match (kind, picked) {
                (1, Some(id)) => {
                    gate.on_dispatched(&id);
                    model.get_mut(&id).unwrap().1 = true;
                }
                (2, Some(id)) => {
                    gate.release(&id);
                    model.remove(&id);
                }
                _ => {
                    let number = i as u32;
                    let lower_waits = model.values().any(|(own, sent)| *own < priority && !sent);
                    match admit(&mut gate, number, priority) {
                        Admission::Refused => prop_assert!(!lower_waits),
                        Admission::Admitted => {
                            model.insert(id(number), (priority, false));
                        }
                        Admission::AdmittedByDisplacing { displaced } => {
                            let (own, sent) = model.remove(&displaced).unwrap();
                            prop_assert!(own < priority && !sent);
                            model.insert(id(number), (priority, false));
                        }
                    }
                }
            }
            prop_assert_eq!(gate.in_flight(), model.len());
            prop_assert!(gate.in_flight() <= limit as usize);
        }
    }
}
