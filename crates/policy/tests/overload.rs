//! When long prompts are refused, replayed against stated outcomes.
#![allow(missing_docs)]

mod support;

use policy::placement::{Demand, InstanceSpec, Overload, Part, Placement, Placer, Ticket, Urgency};
use rstest::rstest;
use support::engine::BATCHES;
use support::prompts::{load, member, Fleet, Outcome, Rule};
use types::{Priority, TimeMs};

/// Engines that the trace fills.
const FEW_ENGINES: usize = 10;
const ENTRIES: usize = 4;

const TARGET_MS: u32 = 1_000;
const LOW: Priority = Priority(10);
const HIGH: Priority = Priority(20);
/// Time that callers of the tests allow.
const ALLOWED_MS: u64 = 10_000;

fn placer() -> Placer {
    let members: Vec<InstanceSpec> = (0..4).map(member).collect();
    let mut placer = Placer::default();
    placer.set_members(TimeMs(0), &members);
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
    }
}

fn fresh(priority: Priority) -> Urgency {
    Urgency {
        priority,
        remaining_ms: ALLOWED_MS,
    }
}

fn send(placer: &mut Placer, now: u64) -> (Placement, Ticket) {
    let now = TimeMs(now);
    let placed = placer
        .choose(now, &long_prompt(), &[])
        .expect("an instance");
    let ticket = placer.on_sent(now, &long_prompt(), &placed);
    (placed, ticket)
}

/// A placer whose entry has read ten prompts in the last two seconds, five a
/// second, and has `waiting` more under way.
fn busy(waiting: usize) -> (Placer, Vec<(Placement, Ticket)>) {
    let mut placer = placer();
    for number in 0..10 {
        let (placed, mut ticket) = send(&mut placer, number * 200);
        placer.on_first_event(TimeMs(number * 200 + 100), &placed.instance, &mut ticket);
        placer.on_end(&placed.instance, ticket);
    }
    let sent = (0..waiting).map(|_| send(&mut placer, 2_000)).collect();
    (placer, sent)
}

fn replay(rule: Rule) -> Outcome {
    let trace = load("shared_prompts");
    let outcome = Fleet::new(rule, FEW_ENGINES, BATCHES, ENTRIES).replay(&trace);
    println!(
        "{rule:?}: {} refused, {} came back, on time {}, read {}, by priority {:?}",
        outcome.refused, outcome.returned, outcome.on_time, outcome.read, outcome.by_priority
    );
    outcome
}

/// Five prompts a second are read, so the fourth in the queue is on time and
/// the eighth is not.
#[rstest]
#[case::short_queue(3, false)]
#[case::long_queue(8, true)]
fn a_prompt_is_refused_when_the_queue_is_longer_than_its_target(
    #[case] waiting: usize,
    #[case] refused: bool,
) {
    let (mut placer, _sent) = busy(waiting);

    let overload = placer.overload(TimeMs(2_010), &long_prompt(), &fresh(LOW));

    assert_eq!(overload.is_some(), refused, "{overload:?}");
}

#[test]
fn a_more_urgent_prompt_is_not_refused_before_a_less_urgent_one() {
    let (mut placer, _sent) = busy(20);
    let low = placer.overload(TimeMs(2_010), &long_prompt(), &fresh(LOW));

    let high = placer.overload(TimeMs(2_010), &long_prompt(), &fresh(HIGH));

    assert!(low.is_some());
    assert_eq!(high, None);
}

/// Whoever was refused has less time left, and goes before whoever comes first.
#[test]
fn a_caller_who_came_back_is_let_in_first() {
    let (mut placer, _sent) = busy(4);
    let came_back = Urgency {
        priority: LOW,
        remaining_ms: ALLOWED_MS * 7 / 10,
    };

    let first = placer.overload(TimeMs(2_010), &long_prompt(), &fresh(LOW));
    let second = placer.overload(TimeMs(2_010), &long_prompt(), &came_back);

    assert!(first.is_some());
    assert_eq!(second, None);
}

/// All instances went dark: nothing is read, and still some prompts are sent,
/// since nothing else shows that they are back.
#[test]
fn some_prompts_are_sent_even_if_nothing_is_read() {
    let (mut placer, _sent) = busy(2);

    let overload = placer.overload(TimeMs(60_000), &long_prompt(), &fresh(LOW));

    assert_eq!(overload, None);
}

#[test]
fn the_queue_forgets_prompts_that_left_unread() {
    let (mut placer, sent) = busy(20);

    for (placed, ticket) in sent {
        placer.on_end(&placed.instance, ticket);
    }

    let overload = placer.overload(TimeMs(2_010), &long_prompt(), &fresh(LOW));
    assert_eq!(overload, None);
}

#[test]
fn short_prompts_are_never_refused() {
    let (mut placer, _sent) = busy(20);
    let short = Demand {
        prompt_tokens: 1_000,
        ..long_prompt()
    };

    assert_eq!(placer.overload(TimeMs(2_010), &short, &fresh(LOW)), None);
}

/// A thousand callers refused together come back over a second at least, none
/// before the queue has room, and no tenth of a second gets more than a fifth
/// of them.
#[test]
fn refused_callers_do_not_come_back_as_a_wave() {
    let overload = Overload {
        wait_ms: 2_000.0,
        excess_ms: 1_000.0,
    };

    let mut by_tenth = [0_u32; 100];
    for caller in 0..1_000 {
        let after_ms = overload.retry_after_ms(f64::from(caller) / 1_000.0);
        assert!(after_ms >= 1_000);
        by_tenth[after_ms as usize / 100] += 1;
    }

    assert!(
        by_tenth.iter().all(|callers| *callers <= 200),
        "{by_tenth:?}"
    );
    assert!(by_tenth.iter().filter(|callers| **callers > 0).count() >= 10);
}

/// Seen on the grown sites: while more prompts came than could be read all of
/// them were late, and half of what was read was read in vain. Refused callers
/// come back once, at another entry.
#[test]
fn refusing_some_serves_more() {
    let everyone = replay(Rule::PlacerAdmitsAll);
    let ours = replay(Rule::Placer);

    assert!(ours.on_time > everyone.on_time);
    for (priority, (_, on_time)) in &ours.by_priority {
        let (_, before) = everyone.by_priority[priority];
        assert!(
            *on_time >= before,
            "priority {priority}: {on_time} of {before}"
        );
    }
}

/// Found by reading: an answer of an instance that had left the list, or had
/// started anew, was taken out of the queue twice.
#[test]
fn answers_of_instances_that_left_are_counted_once() {
    let (mut placer, sent) = busy(16);
    let staying: Vec<InstanceSpec> = (0..2).map(member).collect();
    placer.set_members(TimeMs(2_000), &staying);

    for (placed, mut ticket) in sent {
        let has_left = staying.iter().all(|kept| kept.instance != placed.instance);
        if has_left {
            placer.on_first_event(TimeMs(2_005), &placed.instance, &mut ticket);
            placer.on_end(&placed.instance, ticket);
        }
    }

    let overload = placer.overload(TimeMs(2_010), &long_prompt(), &fresh(LOW));
    assert!(overload.is_some(), "eight prompts wait");
}
