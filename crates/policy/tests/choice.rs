//! Selection among the instances of an upstream.
#![allow(missing_docs)]

mod support;

use std::collections::BTreeMap;

use policy::{
    choice::{ChoiceCriteria, Member, Pool, Rule},
    schedule::LoadReport,
};
use proptest::prelude::*;
use rstest::rstest;
use support::proptest_config;
use types::{InstanceId, TimeMs, ZoneName};

const SALT: u64 = 42;

fn members(count: usize) -> Vec<Member> {
    let member = |i: usize| Member {
        instance: InstanceId::from(format!("engine-{i}")),
        zone: ZoneName::from(format!("az-{}", i % 3 + 1)),
    };
    (0..count).map(member).collect()
}

fn pool(count: usize, subset_max: usize) -> Pool {
    Pool::default().with_members(&members(count), &ZoneName::from("az-1"), subset_max, SALT)
}

fn random(seed: &mut u64) -> u64 {
    *seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
    *seed >> 11
}

fn instances(pool: &Pool) -> Vec<InstanceId> {
    let candidates = pool.candidates().iter();
    candidates
        .map(|candidate| candidate.member.instance.clone())
        .collect()
}

/// Sends `count` requests, each of which ends after its first token with a
/// first-token time of `wait_ms`.
fn send(
    pool: &Pool,
    now: &mut TimeMs,
    count: usize,
    wait_ms: impl Fn(&str) -> u64,
) -> BTreeMap<String, usize> {
    let mut sent = BTreeMap::new();
    let mut seed = 7;
    for _ in 0..count {
        let choice = pool
            .choose(
                Rule::Aged,
                *now,
                &ChoiceCriteria::default(),
                random(&mut seed),
            )
            .unwrap();
        let name = choice.candidate.member.instance.as_str().to_owned();
        let wait_ms = wait_ms(&name);
        choice.candidate.on_sent(*now, 16);
        *now = *now + 2;
        choice.candidate.on_first_token(*now, wait_ms);
        choice.candidate.on_end(*now, 16);
        *sent.entry(name).or_insert(0) += 1;
    }
    sent
}

#[test]
fn the_subset_is_bounded_and_takes_two_thirds_from_the_own_zone() {
    let pool = pool(90, 15);

    let own = pool
        .candidates()
        .iter()
        .filter(|candidate| candidate.member.zone.as_str() == "az-1");
    assert_eq!(pool.candidates().len(), 15);
    assert_eq!(own.count(), 10);
}

#[test]
fn the_subset_is_refilled_after_a_zone_loss_and_keeps_other_statistics() {
    let before = pool(90, 15);
    before
        .candidates()
        .iter()
        .for_each(|candidate| candidate.on_sent(TimeMs(1), 1));
    let remaining: Vec<_> = members(90)
        .into_iter()
        .filter(|member| member.zone.as_str() != "az-1")
        .collect();

    let after = before.with_members(&remaining, &ZoneName::from("az-1"), 15, SALT);

    assert_eq!(after.candidates().len(), 15);
    let kept = after
        .candidates()
        .iter()
        .filter(|candidate| candidate.in_flight() == 1);
    assert_eq!(
        kept.count(),
        5,
        "candidates of other zones should keep their statistics"
    );
}

#[test]
fn an_added_member_changes_at_most_one_candidate() {
    let before = instances(&pool(90, 15));
    let after = instances(&pool(91, 15));

    let new = after.iter().filter(|instance| !before.contains(instance));
    assert!(new.count() <= 1);
}

#[test]
fn a_straggler_is_avoided_within_a_few_requests_and_used_again_once_it_recovers() {
    let other_zone = ZoneName::from("az-9");
    let pool = Pool::default().with_members(&members(5), &other_zone, 0, SALT);
    let mut now = TimeMs(10_000);
    send(&pool, &mut now, 200, |_| 20);

    let slow = send(&pool, &mut now, 400, |name| {
        if name == "engine-2" {
            100
        } else {
            20
        }
    });
    now = now + 1_000;
    send(&pool, &mut now, 400, |_| 20);
    let recovered = send(&pool, &mut now, 400, |_| 20);

    let slow_sent = slow.get("engine-2").copied().unwrap_or(0);
    assert!(
        slow_sent <= 4,
        "{slow_sent} requests were sent to a straggler"
    );
    assert!(recovered.get("engine-2").copied().unwrap_or(0) >= 40);
}

#[test]
fn a_silent_instance_is_avoided_before_its_first_answer() {
    let pool = pool(5, 0);
    let mut now = TimeMs(10_000);
    send(&pool, &mut now, 100, |_| 20);
    let frozen = pool.candidates()[0].clone();
    frozen.on_sent(now, 16);

    now = now + 100;
    let sent = send(&pool, &mut now, 100, |_| 20);

    assert_eq!(sent.get(frozen.member.instance.as_str()), None);
}

#[test]
fn an_instance_whose_streams_stall_is_avoided_before_their_next_token() {
    let pool = pool(5, 0);
    let mut now = TimeMs(10_000);
    send(&pool, &mut now, 100, |_| 20);
    let slow = pool.candidates()[0].clone();
    for candidate in pool.candidates() {
        candidate.on_sent(now, 16);
        candidate.on_first_token(now, 20);
        (0..10).for_each(|_| candidate.on_token_gap(now, 10));
    }

    now = now + 40;
    for candidate in &pool.candidates()[1..] {
        candidate.on_token_gap(now, 10);
    }
    let sent = send(&pool, &mut now, 20, |_| 20);

    assert_eq!(sent.get(slow.member.instance.as_str()), None);
}

#[test]
fn own_requests_count_as_load_before_a_report_includes_them() {
    let pool = pool(2, 0);
    let now = TimeMs(10_000);
    let idle = LoadReport {
        running_limit: 4,
        ..LoadReport::default()
    };
    let busy = LoadReport { running: 2, ..idle };
    pool.candidates()[0].on_report(now, &idle, 5_000);
    pool.candidates()[1].on_report(now, &busy, 0);

    for _ in 0..4 {
        pool.candidates()[0].on_sent(now, 16);
    }
    let choice = pool
        .choose(Rule::Aged, now, &ChoiceCriteria::default(), 0)
        .unwrap();

    assert_eq!(choice.candidate.member, pool.candidates()[1].member);
    let baseline = pool
        .choose(Rule::LeastUsed, now, &ChoiceCriteria::default(), 0)
        .unwrap();
    assert_eq!(baseline.candidate.member, pool.candidates()[0].member);
}

#[test]
fn a_failed_instance_is_excluded_and_then_probed_with_one_request() {
    let pool = pool(3, 0);
    let failed = pool.candidates()[0].clone();
    let mut now = TimeMs(10_000);
    failed.on_failure(now);

    let sent = send(&pool, &mut now, 50, |_| 20);
    assert_eq!(sent.get(failed.member.instance.as_str()), None);
    now = now + 10_000;
    failed.on_sent(now, 16);
    let sent = send(&pool, &mut now, 5, |_| 20);
    assert_eq!(
        sent.get(failed.member.instance.as_str()),
        None,
        "only one probe at a time"
    );
    failed.on_first_token(now, 20);
    failed.on_end(now, 16);
    let sent = send(&pool, &mut now, 60, |_| 20);
    assert!(sent.contains_key(failed.member.instance.as_str()));
}

#[test]
fn affinity_applies_until_the_load_exceeds_the_mean() {
    let pool = pool(4, 0);
    let now = TimeMs(10_000);
    let criteria = ChoiceCriteria {
        prefix_hash: 99,
        ..ChoiceCriteria::default()
    };
    let preferred = pool.choose(Rule::Aged, now, &criteria, 1).unwrap();
    assert!(preferred.inputs.by_affinity);

    for _ in 0..6 {
        preferred.candidate.on_sent(now, 16);
    }
    let other = pool.choose(Rule::Aged, now, &criteria, 1).unwrap();

    assert!(!other.inputs.by_affinity);
    assert_ne!(other.candidate.member, preferred.candidate.member);
}

#[rstest]
#[case(Rule::Aged)]
#[case(Rule::RoundRobin)]
#[case(Rule::LeastUsed)]
fn tried_instances_are_not_chosen_again(#[case] rule: Rule) {
    let pool = pool(3, 0);
    let mut tried = Vec::new();
    for random in 0..3 {
        let criteria = ChoiceCriteria {
            exclude: &tried,
            ..ChoiceCriteria::default()
        };
        let choice = pool.choose(rule, TimeMs(1), &criteria, random).unwrap();
        let instance = choice.candidate.member.instance.clone();
        assert!(!tried.contains(&instance));
        tried.push(instance);
    }

    let criteria = ChoiceCriteria {
        exclude: &tried,
        ..ChoiceCriteria::default()
    };
    assert!(pool.choose(rule, TimeMs(1), &criteria, 0).is_none());
}

proptest! {
    #![proptest_config(proptest_config(200))]

    /// For any observations, scores and hedge delays stay finite and bounded, a
    /// candidate is chosen whenever one is eligible, and the same inputs give
    /// the same choice.
    #[test]
    fn choices_are_bounded_and_deterministic_for_any_input(
        steps in prop::collection::vec((0..8_u8, 0..4_usize, any::<u64>()), 1..120),
        rule in prop::sample::select(vec![Rule::Aged, Rule::RoundRobin, Rule::LeastUsed]),
    ) {
        let pools = [pool(4, 0), pool(4, 0)];
        let mut now = TimeMs(0);
        for (kind, pick, value) in steps {
            now = now + value % 3_000;
            let report = LoadReport {
                running: value as u32,
                running_limit: (value >> 7) as u32 % 9,
                queued: (value >> 9) as u32,
                outstanding_tokens: value,
                first_token_ms: (value >> 3) as u32,
            };
            for pool in &pools {
                let candidate = &pool.candidates()[pick];
                match kind {
                    0 | 1 => candidate.on_sent(now, value as u32),
                    2 => candidate.on_first_token(now, value),
                    3 => candidate.on_token_gap(now, value),
                    4 => candidate.on_end(now, value as u32),
                    5 => candidate.on_failure(now),
                    6 => candidate.on_refusal(now),
                    _ => candidate.on_report(now, &report, value),
                }
                prop_assert!((10..=10_000).contains(&candidate.hedge_after_ms()));
            }
            let criteria = ChoiceCriteria { prefix_hash: value % 2, expected_tokens: value as u32, ..ChoiceCriteria::default() };
            let choices = pools.each_ref().map(|pool| pool.choose(rule, now, &criteria, value).unwrap());
            prop_assert!(choices[0].inputs.scores.iter().all(|(_, score)| score.is_finite()));
            prop_assert_eq!(&choices[0].inputs, &choices[1].inputs);
            prop_assert_eq!(&choices[0].candidate.member, &choices[1].candidate.member);
        }
    }
}
