//! Tests of the retry budget, hedging and the entry's admission control.
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

fn admit(limiter: &mut InFlightLimiter, number: u32, priority: u8) -> Admission {
    limiter.admit(id(number), ClassName::from("class"), Priority(priority))
}

#[test]
fn retries_add_at_most_ten_percent_when_all_attempts_fail() {
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
#[case::after_hedge_delay(true, 64, 100, true)]
#[case::before_hedge_delay(true, 64, 99, false)]
#[case::long_answer(true, 4_096, 100, false)]
#[case::at_most_once(false, 64, 100, false)]
fn only_short_retryable_requests_are_hedged(
    #[case] retryable: bool,
    #[case] expected_tokens: u32,
    #[case] waited_ms: u64,
    #[case] expected_hedge: bool,
) {
    assert_eq!(
        may_hedge(retryable, expected_tokens, waited_ms, 100),
        expected_hedge
    );
}

#[test]
fn hedges_leave_budget_for_retries() {
    let mut budget = RetryBudget::new();
    while budget.try_take_hedge(TimeMs(0)) {}

    assert!(budget.try_take(TimeMs(0)));
}

#[test]
fn higher_priority_displaces_newest_undispatched_request_of_lowest_priority() {
    let mut limiter = InFlightLimiter::new(4);
    for (number, priority) in [(1, 10), (2, 10), (3, 10), (4, 20)] {
        admit(&mut limiter, number, priority);
    }
    limiter.on_dispatched(&id(3));

    assert_eq!(
        admit(&mut limiter, 5, 30),
        Admission::AdmittedByDisplacing { displaced: id(2) }
    );
    assert_eq!(admit(&mut limiter, 6, 10), Admission::Refused);
}

#[test]
fn capacity_is_reserved_for_higher_priorities() {
    let mut limiter = InFlightLimiter::new(64);
    admit(&mut limiter, 0, 30);
    limiter.release(&id(0));
    for number in 1..=64 {
        admit(&mut limiter, number, 10);
        limiter.on_dispatched(&id(number));
    }

    assert_eq!(admit(&mut limiter, 100, 30), Admission::Admitted);
}

proptest! {
    #![proptest_config(proptest_config(300))]

    /// For any order of requests and failures, the extra attempts within any
    /// range are at most those earned by its requests plus the burst.
    #[test]
    fn extra_attempts_are_bounded_over_any_range_of_requests(
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

    /// Backoff and retry delays stay within their documented ranges.
    #[test]
    fn jitter_is_bounded(wait_ms in any::<u64>(), attempt in any::<u32>(), random in any::<u64>()) {
        prop_assert!(backoff_ms(attempt, random) <= 200);
        prop_assert!((100..=90_000).contains(&retry_after_ms(wait_ms, random)));
    }

    /// The limiter never exceeds its limit, displaces only requests of a lower
    /// priority that are not dispatched, and refuses no request while it can
    /// displace another one.
    #[test]
    fn only_undispatched_requests_of_lower_priority_are_displaced(
        limit in 1..40_u32,
        steps in prop::collection::vec((0..3_u8, 0..60_u32, 0..4_u8), 1..200),
    ) {
        let mut limiter = InFlightLimiter::new(limit);
        let mut model: BTreeMap<RequestId, (u8, bool)> = BTreeMap::new();
        for (i, (kind, pick, priority)) in steps.into_iter().enumerate() {
            let picked = model.keys().nth(pick as usize % model.len().max(1)).cloned();
            match (kind, picked) {
                (1, Some(id)) => {
                    limiter.on_dispatched(&id);
                    model.get_mut(&id).unwrap().1 = true;
                }
                (2, Some(id)) => {
                    limiter.release(&id);
                    model.remove(&id);
                }
                _ => {
                    let number = i as u32;
                    let has_lower_undispatched = model
                        .values()
                        .any(|(held_priority, dispatched)| *held_priority < priority && !dispatched);
                    match admit(&mut limiter, number, priority) {
                        Admission::Refused => prop_assert!(!has_lower_undispatched),
                        Admission::Admitted => {
                            model.insert(id(number), (priority, false));
                        }
                        Admission::AdmittedByDisplacing { displaced } => {
                            let (held_priority, dispatched) = model.remove(&displaced).unwrap();
                            prop_assert!(held_priority < priority && !dispatched);
                            model.insert(id(number), (priority, false));
                        }
                    }
                }
            }
            prop_assert_eq!(limiter.in_flight(), model.len());
            prop_assert!(limiter.in_flight() <= limit as usize);
        }
    }
}
