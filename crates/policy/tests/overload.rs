//! Refusal of long prompts under overload, replayed from a trace and compared
//! with expected outcomes.
#![allow(missing_docs)]

mod support;

use policy::placement::{Demand, InstanceSpec, Overload, Part, Placement, Placer, Ticket, Urgency};
use rstest::rstest;
use support::engine::BLOCKING_PREFILL;
use support::prompts::{instance_spec, load_trace, Outcome, Rule, Simulation};
use types::{Priority, TimeMs};

/// Number of engines that the trace fully loads.
const FULLY_LOADED_ENGINES: usize = 10;
const ENTRIES: usize = 4;

const TARGET_MS: u32 = 1_000;
const LOW: Priority = Priority(10);
const HIGH: Priority = Priority(20);
/// Time that callers allow for a request.
const ALLOWED_MS: u64 = 10_000;

fn placer() -> Placer {
    let members: Vec<InstanceSpec> = (0..4).map(instance_spec).collect();
    let mut placer = Placer::default();
    placer.set_members(&members);
    placer
}

fn long_prompt() -> Demand {
    let own = Part {
        id: 1,
        tokens: 10_000,
    };
    Demand {
        parts: [own].into(),
        prompt_tokens: own.tokens,
        output_tokens: 100,
        target_ms: TARGET_MS,
        pause_target_ms: 800,
        priority: LOW,
    }
}

fn first_attempt(priority: Priority) -> Urgency {
    Urgency {
        priority,
        remaining_ms: ALLOWED_MS,
    }
}

fn send(placer: &mut Placer, now: u64) -> (Placement, Ticket) {
    let now = TimeMs(now);
    let placement = placer
        .choose(now, &long_prompt(), &[])
        .expect("placer should choose an instance");
    let ticket = placer.on_sent(now, &long_prompt(), &placement);
    (placement, ticket)
}

/// Returns a placer whose entry had ten prompts prefilled in the last two
/// seconds, five per second, and has `waiting` more in flight.
fn busy_placer(waiting: usize) -> (Placer, Vec<(Placement, Ticket)>) {
    let mut placer = placer();
    for number in 0..10 {
        let (placement, mut ticket) = send(&mut placer, number * 200);
        placer.on_first_event(TimeMs(number * 200 + 100), &placement.instance, &mut ticket);
        placer.on_end(&placement.instance, ticket);
    }
    let sent = (0..waiting).map(|_| send(&mut placer, 2_000)).collect();
    (placer, sent)
}

fn replay(rule: Rule) -> Outcome {
    let trace = load_trace("shared_prompts");
    let outcome =
        Simulation::new(rule, FULLY_LOADED_ENGINES, BLOCKING_PREFILL, ENTRIES).replay(&trace);
    println!(
        "{rule:?}: {} refused, {} retried, {} on time, {} tokens prefilled, by priority {:?}",
        outcome.refused,
        outcome.retried,
        outcome.on_time,
        outcome.prefilled_tokens,
        outcome.by_priority
    );
    outcome
}

/// Five prompts per second are prefilled, so a prompt behind three others meets
/// its target of one second, and one behind eight does not.
#[rstest]
#[case::short_queue(3, false)]
#[case::long_queue(8, true)]
fn a_prompt_is_refused_when_the_queue_is_longer_than_its_target(
    #[case] waiting: usize,
    #[case] refused: bool,
) {
    let (mut placer, _sent) = busy_placer(waiting);

    let overload = placer.overload(TimeMs(2_010), &long_prompt(), &first_attempt(LOW));

    assert_eq!(overload.is_some(), refused, "{overload:?}");
}

#[test]
fn a_more_urgent_prompt_is_not_refused_before_a_less_urgent_one() {
    let (mut placer, _sent) = busy_placer(20);
    let low = placer.overload(TimeMs(2_010), &long_prompt(), &first_attempt(LOW));

    let high = placer.overload(TimeMs(2_010), &long_prompt(), &first_attempt(HIGH));

    assert!(low.is_some());
    assert_eq!(high, None);
}

/// A refused caller has less time left when it retries, and is admitted before
/// one that tries for the first time.
#[test]
fn a_retry_is_admitted_before_a_first_attempt() {
    let (mut placer, _sent) = busy_placer(4);
    let retry = Urgency {
        priority: LOW,
        remaining_ms: ALLOWED_MS * 7 / 10,
    };

    let first = placer.overload(TimeMs(2_010), &long_prompt(), &first_attempt(LOW));
    let second = placer.overload(TimeMs(2_010), &long_prompt(), &retry);

    assert!(first.is_some());
    assert_eq!(second, None);
}

/// If all instances fail, nothing is prefilled, and some prompts are still sent
/// because nothing else shows that the instances have recovered.
#[test]
fn some_prompts_are_admitted_when_none_are_prefilled() {
    let (mut placer, _sent) = busy_placer(2);

    let overload = placer.overload(TimeMs(60_000), &long_prompt(), &first_attempt(LOW));

    assert_eq!(overload, None);
}

#[test]
fn prompts_that_end_before_prefill_leave_the_queue() {
    let (mut placer, sent) = busy_placer(20);

    for (placement, ticket) in sent {
        placer.on_end(&placement.instance, ticket);
    }

    let overload = placer.overload(TimeMs(2_010), &long_prompt(), &first_attempt(LOW));
    assert_eq!(overload, None);
}

#[test]
fn short_prompts_are_never_refused() {
    let (mut placer, _sent) = busy_placer(20);
    let short = Demand {
        prompt_tokens: 1_000,
        ..long_prompt()
    };

    assert_eq!(
        placer.overload(TimeMs(2_010), &short, &first_attempt(LOW)),
        None
    );
}

/// A thousand callers that are refused together retry over at least a second,
/// none before the queue has capacity, and at most a fifth of them within any
/// tenth of a second.
#[test]
fn retries_of_refused_callers_are_spread_over_time() {
    let overload = Overload {
        wait_ms: 2_000.0,
        excess_ms: 1_000.0,
    };

    let mut callers_by_tenth = [0_u32; 100];
    for caller in 0..1_000 {
        let after_ms = overload.retry_after_ms(f64::from(caller) / 1_000.0);
        assert!(after_ms >= 1_000);
        callers_by_tenth[after_ms as usize / 100] += 1;
    }

    assert!(
        callers_by_tenth.iter().all(|callers| *callers <= 200),
        "{callers_by_tenth:?}"
    );
    assert!(
        callers_by_tenth
            .iter()
            .filter(|callers| **callers > 0)
            .count()
            >= 10
    );
}

/// Guards against a failure seen on large sites: while more prompts arrived
/// than could be prefilled, all of them were late, and half of the prefill work
/// was wasted. Refused callers retry once, at another entry.
#[test]
fn refusing_some_prompts_serves_more_on_time() {
    let without_refusals = replay(Rule::PlacerWithoutRefusals);
    let with_refusals = replay(Rule::Placer);

    assert!(with_refusals.on_time > without_refusals.on_time);
    for (priority, (_, on_time)) in &with_refusals.by_priority {
        let (_, before) = without_refusals.by_priority[priority];
        assert!(
            *on_time >= before,
            "priority {priority}: {on_time} on time, {before} without refusals"
        );
    }
}

/// Guards against a prompt being subtracted from the queue twice, which happened
/// when its instance was removed from the list, or restarted, and answered
/// afterwards.
#[test]
fn answers_of_removed_instances_are_subtracted_once() {
    let (mut placer, sent) = busy_placer(16);
    let remaining: Vec<InstanceSpec> = (0..2).map(instance_spec).collect();
    placer.set_members(&remaining);

    for (placement, mut ticket) in sent {
        let is_removed = remaining
            .iter()
            .all(|kept| kept.instance != placement.instance);
        if is_removed {
            placer.on_first_event(TimeMs(2_005), &placement.instance, &mut ticket);
            placer.on_end(&placement.instance, ticket);
        }
    }

    let overload = placer.overload(TimeMs(2_010), &long_prompt(), &first_attempt(LOW));
    assert!(
        overload.is_some(),
        "eight prompts should still count as waiting"
    );
}
