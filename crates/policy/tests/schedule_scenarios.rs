//! Simulates the scheduler under load in virtual time and checks the service
//! that classes and teams receive.
#![allow(missing_docs)]

mod support;

use std::collections::VecDeque;

use policy::schedule::{Action, End, Recall, Scheduler, Settings};
use proptest::prelude::*;
use rstest::rstest;
use support::{job, proptest_config, settings, HISTORY, NORMAL, URGENT};
use types::{RequestId, TimeMs};

const SERVICE_MS: u64 = 100;
const STEP_MS: u64 = 10;
/// Maximum time that a class waits for a slot while no higher class is shed.
const SLOT_WAIT_MAX_MS: u64 =
    Scheduler::SHARE_DUE_MAX_MS + Scheduler::SHARE_DEBT_MAX_MS + SERVICE_MS + STEP_MS;

/// Arrival rate of one class until `until_ms`, as a share of the capacity.
struct Load {
    class: &'static str,
    share: f64,
    until_ms: u64,
}

fn load(class: &'static str, share: f64, until_ms: u64) -> Load {
    Load {
        class,
        share,
        until_ms,
    }
}

/// One scheduler with an upstream that takes [`SERVICE_MS`] for each request.
struct Simulation {
    scheduler: Scheduler,
    running: VecDeque<(u64, RequestId)>,
    /// Time and id of each start.
    starts: Vec<(u64, RequestId)>,
    refused: Vec<(u64, RequestId)>,
}

impl Simulation {
    fn run(settings: Settings, loads: &[Load], length_ms: u64) -> Self {
        let slots = f64::from(settings.running_max);
        let mut simulation = Self {
            scheduler: Scheduler::new(settings),
            running: VecDeque::new(),
            starts: Vec::new(),
            refused: Vec::new(),
        };
        let mut arrivals_due = vec![0.0; loads.len()];
        let mut number = 0;
        for now_ms in (STEP_MS..length_ms).step_by(STEP_MS as usize) {
            simulation.end_finished(now_ms);
            for (i, load) in loads.iter().enumerate() {
                if now_ms >= load.until_ms {
                    continue;
                }
                arrivals_due[i] += load.share * slots * STEP_MS as f64 / SERVICE_MS as f64;
                while arrivals_due[i] >= 1.0 {
                    arrivals_due[i] -= 1.0;
                    number += 1;
                    simulation.submit(now_ms, load.class, number);
                }
            }
            let actions = simulation.scheduler.tick(TimeMs(now_ms), number);
            simulation.apply_actions(now_ms, actions);
        }
        simulation
    }

    fn submit(&mut self, now_ms: u64, class: &str, number: u64) {
        let mut job = job(&format!("{class}-{number}"), "team", class);
        // Pauses are covered by other tests.
        job.resumable = false;
        let actions = self.scheduler.submit(TimeMs(now_ms), job, number);
        self.apply_actions(now_ms, actions);
    }

    fn end_finished(&mut self, now_ms: u64) {
        while self
            .running
            .front()
            .is_some_and(|(end_ms, _)| *end_ms <= now_ms)
        {
            if let Some((_, id)) = self.running.pop_front() {
                self.scheduler.on_tokens(TimeMs(now_ms), &id, 10);
                let actions = self.scheduler.on_end(TimeMs(now_ms), &id, End::Whole);
                self.apply_actions(now_ms, actions);
            }
        }
    }

    fn apply_actions(&mut self, now_ms: u64, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start { request_id, .. } => {
                    self.starts.push((now_ms, request_id.clone()));
                    self.running.push_back((now_ms + SERVICE_MS, request_id));
                }
                Action::Refuse { request_id, .. } => self.refused.push((now_ms, request_id)),
                Action::Pause { request_id } => {
                    panic!("paused {request_id}, which is not resumable")
                }
            }
        }
    }

    fn starts_of(&self, class: &str) -> Vec<u64> {
        let of_class = self
            .starts
            .iter()
            .filter(|(_, id)| id.as_str().starts_with(class));
        of_class.map(|(at_ms, _)| *at_ms).collect()
    }
}

/// Returns the longest time without a start between `from_ms` and `to_ms`.
fn longest_gap_ms(starts: &[u64], from_ms: u64, to_ms: u64) -> u64 {
    let within = starts
        .iter()
        .copied()
        .filter(|at| (from_ms..to_ms).contains(at));
    let mut last = from_ms;
    let mut longest = 0;
    for at in within.chain([to_ms]) {
        longest = longest.max(at - last);
        last = at;
    }
    longest
}

proptest! {
    #![proptest_config(proptest_config(16))]

    /// Under steady overload in which no higher class is shed, each waiting class
    /// gets a slot at least every 25 s plus one service time.
    #[test]
    fn every_class_gets_slots_within_bound_under_steady_overload(
        urgent in 0.0..0.6_f64,
        slots in 1..9_u32,
        share_permille in 0..100_u32,
    ) {
        // The queue limit is high enough that no normal request is shed.
        let mut settings = settings(slots, 100_000);
        settings.classes.get_mut(HISTORY).unwrap().min_share_permille = share_permille;
        let normal = 1.02 - urgent;
        let length_ms = 90_000;
        let loads = [
            load(URGENT, urgent, length_ms),
            load(NORMAL, normal, length_ms),
            load(HISTORY, 0.1, length_ms),
        ];

        let simulation = Simulation::run(settings, &loads, length_ms);

        for class in [NORMAL, HISTORY] {
            let gap_ms = longest_gap_ms(&simulation.starts_of(class), 1_000, length_ms);
            prop_assert!(gap_ms <= SLOT_WAIT_MAX_MS, "{class} waited {gap_ms} ms");
        }
    }
}

/// Lower classes get no slots while a higher class alone exceeds the capacity
/// and is shed. Once it is no longer shed, they are served within the bound.
#[test]
fn lower_classes_wait_only_while_higher_class_is_shed() {
    let overload_end_ms = 20_000;
    let length_ms = 60_000;
    let loads = [
        load(URGENT, 2.0, overload_end_ms),
        load(URGENT, 0.9, length_ms),
        load(HISTORY, 0.3, length_ms),
    ];

    let simulation = Simulation::run(settings(4, 16), &loads, length_ms);

    let history = simulation.starts_of(HISTORY);
    let during = history
        .iter()
        .filter(|at| (2_000..overload_end_ms).contains(*at));
    assert_eq!(
        during.count(),
        0,
        "history requests started while urgent ones were shed"
    );
    let last_shed_ms = simulation
        .refused
        .iter()
        .filter(|(_, id)| id.as_str().starts_with(URGENT))
        .map(|(at_ms, _)| *at_ms)
        .max()
        .unwrap();
    let from_ms = last_shed_ms + Scheduler::SHED_COOLDOWN_MS;
    assert!(
        from_ms < 40_000,
        "urgent requests are still shed long after the overload"
    );
    assert!(longest_gap_ms(&history, from_ms, length_ms) <= SLOT_WAIT_MAX_MS);
}

/// Two teams with queued requests at all times are served in proportion to
/// their weights.
#[rstest]
#[case(1, 1)]
#[case(1, 3)]
#[case(5, 2)]
fn teams_are_served_in_proportion_to_weights(#[case] first: u32, #[case] second: u32) {
    const ROUNDS: usize = 700;
    let mut settings = settings(1, 10_000);
    settings.team_weights.insert("first".into(), first);
    settings.team_weights.insert("second".into(), second);
    let mut scheduler = Scheduler::new(settings);
    let mut running = Vec::new();
    for i in 0..2 * ROUNDS {
        let team = ["first", "second"][i % 2];
        let actions = scheduler.submit(TimeMs(1), job(&format!("{team}-{i}"), team, NORMAL), 1);
        running.extend(started(&actions));
    }

    let mut served = [0.0, 0.0];
    for _ in 0..ROUNDS {
        let id = running.pop().unwrap();
        served[usize::from(id.as_str().starts_with("second"))] += 1.0;
        scheduler.on_tokens(TimeMs(2), &id, 50);
        running.extend(started(&scheduler.on_end(TimeMs(2), &id, End::Whole)));
    }

    let expected = f64::from(second) / f64::from(first);
    let ratio = served[1] / served[0];
    assert!((ratio / expected - 1.0).abs() < 0.1, "{served:?}");
}

fn started(actions: &[Action]) -> Vec<RequestId> {
    let start = |action: &Action| match action {
        Action::Start { request_id, .. } => Some(request_id.clone()),
        _ => None,
    };
    actions.iter().filter_map(start).collect()
}

/// The running limit decreases to its lower bound while first tokens are late,
/// and returns to the upper bound once they meet their target.
#[test]
fn running_limit_adapts_within_bounds() {
    let mut settings = settings(16, 1_000);
    settings.running_min = 4;
    let mut scheduler = Scheduler::new(settings);
    let mut now = TimeMs(0);
    let mut number = 0;
    let mut serve = |scheduler: &mut Scheduler, first_token_ms: u64, rounds: u32| {
        for _ in 0..rounds {
            let mut batch = Vec::new();
            for _ in 0..20 {
                number += 1;
                let job = job(&format!("r-{number}"), "team", NORMAL);
                batch.extend(started(&scheduler.submit(now, job, 1)));
            }
            while !batch.is_empty() {
                now = now + first_token_ms;
                for id in std::mem::take(&mut batch) {
                    scheduler.on_tokens(now, &id, 1);
                    batch.extend(started(&scheduler.on_end(now, &id, End::Whole)));
                }
            }
        }
        scheduler.load(now).running_limit
    };

    assert_eq!(serve(&mut scheduler, 300, 4), 16);
    assert_eq!(serve(&mut scheduler, 5_000, 40), 4);
    assert_eq!(serve(&mut scheduler, 300, 60), 16);
}

/// A request that must run alone neither blocks other requests of its class
/// indefinitely nor is starved by them.
#[test]
fn run_alone_request_neither_starves_nor_blocks_others() {
    let mut scheduler = Scheduler::new(settings(4, 100));
    let mut suspect = job("suspect", "team", URGENT);
    suspect.run_alone = true;
    let others = ["a", "b", "c"].map(|id| job(id, "team", URGENT));
    let mut running = Vec::new();
    for other in others {
        running.extend(started(&scheduler.submit(TimeMs(0), other, 1)));
    }
    assert_eq!(started(&scheduler.submit(TimeMs(0), suspect, 1)), []);
    let before_max_wait = started(&scheduler.submit(TimeMs(10), job("early", "team", URGENT), 1));
    assert_eq!(
        before_max_wait,
        [RequestId::from("early")],
        "a free slot is used while the suspect waits"
    );

    let now = TimeMs(2_000);
    let after_max_wait = started(&scheduler.submit(now, job("later", "team", URGENT), 1));
    assert_eq!(
        after_max_wait,
        [],
        "no request starts once the suspect has waited 1 s"
    );
    let mut next = Vec::new();
    for id in ["a", "b", "c", "early"] {
        next = started(&scheduler.on_end(now, &RequestId::from(id), End::Whole));
    }
    assert_eq!(next, [RequestId::from("suspect")]);
    let after = scheduler.on_end(now, &RequestId::from("suspect"), End::Failed);
    assert_eq!(started(&after), [RequestId::from("later")]);
}

/// If the bounded history cannot prove that a request has not run, its recall
/// returns `AlreadyStarted`.
#[test]
fn recall_is_confirmed_only_if_request_cannot_have_run() {
    const REQUESTS: usize = 40_000;
    let now = TimeMs(1);
    let mut scheduler = Scheduler::new(settings(1, 10));
    let first = RequestId::from("ended-0");
    for i in 0..REQUESTS {
        let id = format!("ended-{i}");
        scheduler.submit(now, job(&id, "team", URGENT), 1);
        scheduler.on_end(now, &RequestId::from(id), End::Whole);
    }
    assert_eq!(scheduler.recall(now, &first), Recall::AlreadyStarted);

    let mut scheduler = Scheduler::new(settings(1, 10));
    let recalls = (0..REQUESTS).map(|i| {
        let id = RequestId::from(format!("unknown-{i}"));
        scheduler.recall(now, &id)
    });
    let recalls: Vec<_> = recalls.collect();
    assert_eq!(recalls[0], Recall::Recalled);
    let confirmed = recalls
        .iter()
        .filter(|recall| **recall == Recall::Recalled)
        .count();
    let refused_late = (0..REQUESTS).filter(|i| {
        let late = job(&format!("unknown-{i}"), "team", URGENT);
        let actions = scheduler.submit(now, late, 1);
        matches!(
            &actions[..],
            [Action::Refuse {
                code: types::ErrorCode::Recalled,
                ..
            }]
        )
    });
    assert_eq!(
        refused_late.count(),
        confirmed,
        "a recalled request was not refused on its late arrival"
    );

    let mut scheduler = Scheduler::new(settings(1, 10));
    scheduler.treat_unknown_as_started_until(TimeMs(1_000));
    assert_eq!(
        scheduler.recall(TimeMs(999), &first),
        Recall::AlreadyStarted
    );
    let other = RequestId::from("other");
    assert_eq!(scheduler.recall(TimeMs(1_000), &other), Recall::Recalled);
}
