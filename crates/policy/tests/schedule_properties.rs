//! Property tests of the scheduler with random sequences of events.
//!
//! A model tracks the state of each request from the events and the returned
//! actions, and checks each action against it.
#![allow(missing_docs)]

mod support;

use std::collections::BTreeMap;

use policy::schedule::{Action, End, Job, Recall, Scheduler, Settings};
use proptest::prelude::*;
use support::{job, priority_of, proptest_config, settings, CLASSES, URGENT};
use types::{ErrorCode, RequestId, TimeMs};

/// Upper bound on the estimated remaining tokens of one request.
const ESTIMATE_MAX_TOKENS: u64 = 1 << 20;

#[derive(Clone, Debug)]
enum Event {
    Submit {
        team: u8,
        class: u8,
        alone: bool,
        resumable: bool,
        max_tokens: u32,
        wait_max_ms: u64,
    },
    SubmitAgain(usize),
    Tokens(usize, u32),
    End(usize, u8),
    Paused(usize),
    Recall(usize),
    RecallUnknown(u8),
    Crash,
    Elapse(u64),
    Reconfigure(u32, u32),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Queued,
    Running,
    Stopping,
    Paused,
    Removed,
}

struct ModelRequest {
    job: Job,
    state: State,
    tokens: u32,
    started: bool,
}

/// Tracks the state of each request and checks every action against it.
struct Model {
    scheduler: Scheduler,
    now: TimeMs,
    requests: BTreeMap<RequestId, ModelRequest>,
    tombstones: Vec<RequestId>,
    urgent_shed_at: Option<TimeMs>,
    running_max: usize,
    submitted: u32,
    log: Vec<Action>,
}

impl Model {
    fn new(settings: Settings) -> Self {
        Self {
            running_max: settings.running_max as usize,
            scheduler: Scheduler::new(settings),
            now: TimeMs(1),
            requests: BTreeMap::new(),
            tombstones: Vec::new(),
            urgent_shed_at: None,
            submitted: 0,
            log: Vec::new(),
        }
    }

    fn count(&self, state: State) -> usize {
        self.requests
            .values()
            .filter(|request| request.state == state)
            .count()
    }

    fn slots(&self) -> usize {
        self.count(State::Running) + self.count(State::Stopping)
    }

    /// Returns the `pick`-th request, modulo their number, among those in one of
    /// the states.
    fn pick(&self, states: &[State], pick: usize) -> Option<RequestId> {
        let ids: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, request)| states.contains(&request.state))
            .map(|(id, _)| id.clone())
            .collect();
        (!ids.is_empty()).then(|| ids[pick % ids.len()].clone())
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Submit { .. } => self.submit(event),
            Event::SubmitAgain(pick) => self.submit_again(*pick),
            Event::Tokens(pick, tokens) => {
                if let Some(id) = self.pick(&[State::Running, State::Stopping], *pick) {
                    let request = self.requests.get_mut(&id).unwrap();
                    request.tokens = request.tokens.saturating_add(*tokens);
                    let total = request.tokens;
                    let actions = self.scheduler.on_tokens(self.now, &id, total);
                    self.check(actions, None);
                }
            }
            Event::End(pick, outcome) => {
                let started = [State::Running, State::Stopping, State::Paused];
                if let Some(id) = self.pick(&started, *pick) {
                    self.end(
                        &id,
                        [End::Whole, End::Cancelled, End::Failed][*outcome as usize % 3],
                    );
                }
            }
            Event::Paused(pick) => {
                // Includes late and invalid confirmations, which must be ignored.
                let any = [
                    State::Stopping,
                    State::Running,
                    State::Removed,
                    State::Queued,
                ];
                let stopping = self.pick(&any[..1], *pick);
                let id = if pick % 4 == 0 {
                    self.pick(&any, *pick)
                } else {
                    stopping
                };
                if let Some(id) = id {
                    let request = self.requests.get_mut(&id).unwrap();
                    if request.state == State::Stopping {
                        request.state = State::Paused;
                    }
                    let actions = self.scheduler.on_paused(self.now, &id);
                    self.check(actions, None);
                }
            }
            Event::Recall(pick) => {
                let all = [
                    State::Queued,
                    State::Running,
                    State::Stopping,
                    State::Paused,
                    State::Removed,
                ];
                if let Some(id) = self.pick(&all, *pick) {
                    self.recall(&id);
                }
            }
            Event::RecallUnknown(number) => {
                let id = RequestId::from(format!("late-{number}"));
                if self.requests.contains_key(&id) {
                    return;
                }
                assert_eq!(self.scheduler.recall(self.now, &id), Recall::Recalled);
                self.tombstones.push(id.clone());
                let mut late = job(id.as_str(), "team-0", URGENT);
                late.resumable = false;
                let actions = self.scheduler.submit(self.now, late, 7);
                let refused = matches!(
                    &actions[..],
                    [Action::Refuse {
                        code: ErrorCode::Recalled,
                        ..
                    }]
                );
                assert!(
                    refused,
                    "a recalled request was not refused on arrival: {actions:?}"
                );
            }
            Event::Crash => {
                let at_engine: Vec<_> = [State::Running, State::Stopping]
                    .iter()
                    .flat_map(|state| {
                        let in_state = self
                            .requests
                            .iter()
                            .filter(|(_, request)| request.state == *state);
                        in_state.map(|(id, _)| id.clone()).collect::<Vec<_>>()
                    })
                    .collect();
                assert_eq!(self.scheduler.running_fingerprints().len(), at_engine.len());
                for id in at_engine {
                    self.end(&id, End::Failed);
                }
            }
            Event::Elapse(span_ms) => {
                self.now = self.now + *span_ms;
                let actions = self.scheduler.tick(self.now, *span_ms);
                self.check(actions, None);
                let late = self.requests.values().any(|request| {
                    request.state == State::Queued && request.job.deadline <= self.now
                });
                assert!(!late, "a request is still queued after its deadline");
            }
            Event::Reconfigure(running_max, queue_limit) => {
                self.running_max = self.running_max.max(*running_max as usize);
                let actions = self
                    .scheduler
                    .reconfigure(self.now, settings(*running_max, *queue_limit));
                self.check(actions, None);
            }
        }
        self.check_counts();
    }

    fn submit(&mut self, event: &Event) {
        let Event::Submit {
            team,
            class,
            alone,
            resumable,
            max_tokens,
            wait_max_ms,
        } = event
        else {
            return;
        };
        self.submitted += 1;
        let id = format!("r-{:05}", self.submitted);
        let mut job = job(
            &id,
            &format!("team-{}", team % 4),
            CLASSES[*class as usize % 3],
        );
        job.run_alone = *alone;
        job.resumable = *resumable;
        job.max_tokens = *max_tokens;
        job.deadline = self.now + *wait_max_ms;
        let request = ModelRequest {
            job: job.clone(),
            state: State::Queued,
            tokens: 0,
            started: false,
        };
        self.requests.insert(job.request_id.clone(), request);
        let actions = self
            .scheduler
            .submit(self.now, job.clone(), u64::from(self.submitted));
        self.check(actions, Some(&job));
    }

    fn submit_again(&mut self, pick: usize) {
        let active = [
            State::Queued,
            State::Running,
            State::Stopping,
            State::Paused,
        ];
        let Some(id) = self.pick(&active, pick) else {
            return;
        };
        let job = self.requests[&id].job.clone();
        let actions = self.scheduler.submit(self.now, job, 1);
        let refused = matches!(
            &actions[..],
            [Action::Refuse {
                code: ErrorCode::InProgress,
                ..
            }]
        );
        assert!(
            refused,
            "a duplicate of a held request was not refused: {actions:?}"
        );
    }

    fn end(&mut self, id: &RequestId, end: End) {
        self.requests.get_mut(id).unwrap().state = State::Removed;
        let actions = self.scheduler.on_end(self.now, id, end);
        self.check(actions, None);
    }

    fn recall(&mut self, id: &RequestId) {
        let request = self.requests.get_mut(id).unwrap();
        let before = (request.state, request.started);
        let recall = self.scheduler.recall(self.now, id);
        match before {
            (State::Queued, _) => {
                request.state = State::Removed;
                assert_eq!(recall, Recall::Recalled);
            }
            (_, true) => assert_eq!(
                recall,
                Recall::AlreadyStarted,
                "recalled a request that has started"
            ),
            (_, false) => assert_eq!(recall, Recall::Recalled),
        }
    }

    fn check(&mut self, actions: Vec<Action>, arriving: Option<&Job>) {
        for action in &actions {
            match action {
                Action::Start {
                    request_id,
                    resume_from,
                    ..
                } => self.check_start(request_id, *resume_from),
                Action::Pause { request_id } => self.check_pause(request_id),
                Action::Refuse {
                    request_id, code, ..
                } => self.check_refuse(request_id, *code, arriving),
            }
        }
        self.log.extend(actions);
    }

    fn check_start(&mut self, id: &RequestId, resume_from: u32) {
        let now = self.now;
        let request = &self.requests[id];
        let expected = match request.state {
            State::Queued => 0,
            State::Paused => request.tokens,
            other => panic!("started {id} in state {other:?}"),
        };
        assert_eq!(resume_from, expected);
        let alone_at_engine = self.requests.values().any(|other| {
            other.job.run_alone && matches!(other.state, State::Running | State::Stopping)
        });
        assert!(
            !alone_at_engine,
            "started while a request that must run alone is at the engine"
        );
        assert!(
            !request.job.run_alone || self.slots() == 0,
            "started a request that must run alone while others are at the engine"
        );
        let in_shed_cooldown = self
            .urgent_shed_at
            .is_some_and(|shed| now.since(shed) < Scheduler::SHED_COOLDOWN_MS);
        let urgent_waits = self.requests.values().any(|other| {
            other.state == State::Queued
                && other.job.class.as_str() == URGENT
                && !other.job.run_alone
        });
        let lower = request.job.class.as_str() != URGENT;
        assert!(
            !(in_shed_cooldown && urgent_waits && lower),
            "started a lower class while urgent requests are shed"
        );
        let request = self.requests.get_mut(id).unwrap();
        request.state = State::Running;
        request.started = true;
        assert!(
            self.slots() <= self.running_max,
            "more requests at the engine than slots"
        );
    }

    fn check_pause(&mut self, id: &RequestId) {
        let victim = &self.requests[id];
        assert_eq!(victim.state, State::Running);
        assert!(
            victim.job.resumable,
            "paused a request that is not resumable"
        );
        let own = priority_of(&victim.job.class);
        let higher_waits = self
            .requests
            .values()
            .any(|other| other.state == State::Queued && priority_of(&other.job.class) > own);
        let same_waits = self
            .requests
            .values()
            .any(|other| other.state == State::Queued && other.job.class == victim.job.class);
        let long = victim.tokens >= 512;
        assert!(
            higher_waits || (same_waits && long),
            "paused {id} although no request justifies it"
        );
        self.requests.get_mut(id).unwrap().state = State::Stopping;
    }

    fn check_refuse(&mut self, id: &RequestId, code: ErrorCode, arriving: Option<&Job>) {
        let refused = &self.requests[id];
        assert_eq!(
            refused.state,
            State::Queued,
            "refused {id}, which is not queued"
        );
        let priority = priority_of(&refused.job.class);
        match code {
            ErrorCode::QueueFull => {
                let lower_queued = self.requests.values().any(|other| {
                    other.state == State::Queued && priority_of(&other.job.class) < priority
                });
                assert!(
                    !lower_queued,
                    "refused {id} while a lower class has queued requests"
                );
            }
            ErrorCode::Displaced => {
                let by = arriving.expect("displaced without an arriving request");
                let higher = priority_of(&by.class) > priority;
                let fairer = by.class == refused.job.class && by.team != refused.job.team;
                assert!(higher || fairer || by.run_alone != refused.job.run_alone);
            }
            ErrorCode::DeadlineExceeded => assert!(refused.job.deadline <= self.now),
            other => panic!("unexpected refusal {other:?}"),
        }
        if refused.job.class.as_str() == URGENT {
            self.urgent_shed_at = Some(self.now);
        }
        self.requests.get_mut(id).unwrap().state = State::Removed;
    }

    fn check_counts(&self) {
        let load = self.scheduler.load(self.now);
        assert_eq!(load.running as usize, self.slots());
        assert_eq!(
            load.queued as usize,
            self.count(State::Queued) + self.count(State::Paused)
        );
        let requests = self.slots() + self.count(State::Queued) + self.count(State::Paused);
        let bound = requests as u64 * ESTIMATE_MAX_TOKENS;
        assert!(load.outstanding_tokens <= bound);
    }

    /// Ends all requests, and checks that the scheduler becomes idle and no
    /// request is left.
    fn run_to_idle(&mut self) {
        for _ in 0..10_000 {
            if self.scheduler.is_idle() {
                break;
            }
            if let Some(id) = self.pick(&[State::Stopping], 0) {
                self.requests.get_mut(&id).unwrap().state = State::Paused;
                let actions = self.scheduler.on_paused(self.now, &id);
                self.check(actions, None);
            } else if let Some(id) = self.pick(&[State::Running], 0) {
                self.end(&id, End::Whole);
            }
            self.apply(&Event::Elapse(50));
        }
        assert!(
            self.scheduler.is_idle(),
            "requests are left after 10,000 steps"
        );
        let active = [
            State::Queued,
            State::Running,
            State::Stopping,
            State::Paused,
        ];
        assert_eq!(self.pick(&active, 0), None);
    }
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let submit = (
        0..4_u8,
        0..3_u8,
        prop::bool::weighted(0.05),
        prop::bool::weighted(0.8),
    )
        .prop_flat_map(|(team, class, alone, resumable)| {
            let max_tokens = prop_oneof![Just(0), Just(16), Just(u32::MAX), 1..5_000_u32];
            let wait = prop_oneof![4 => Just(100_000_u64), 1 => 1..3_000_u64];
            (max_tokens, wait).prop_map(move |(max_tokens, wait_max_ms)| Event::Submit {
                team,
                class,
                alone,
                resumable,
                max_tokens,
                wait_max_ms,
            })
        });
    let any = 0..1_000_usize;
    let event = prop_oneof![
        10 => submit,
        1 => any.clone().prop_map(Event::SubmitAgain),
        6 => (any.clone(), prop_oneof![1..700_u32, Just(u32::MAX)])
            .prop_map(|(pick, tokens)| Event::Tokens(pick, tokens)),
        3 => (any.clone(), 0..3_u8).prop_map(|(pick, outcome)| Event::End(pick, outcome)),
        4 => any.clone().prop_map(Event::Paused),
        1 => any.prop_map(Event::Recall),
        1 => (0..40_u8).prop_map(Event::RecallUnknown),
        1 => Just(Event::Crash),
        5 => prop_oneof![0..60_u64, 0..5_000_u64].prop_map(Event::Elapse),
        1 => (1..6_u32, 0..8_u32).prop_map(|(running, queue)| Event::Reconfigure(running, queue)),
    ];
    prop::collection::vec(event, 1..150)
}

fn run(events: &[Event], settings: Settings) -> Model {
    let mut model = Model::new(settings);
    for event in events {
        model.apply(event);
    }
    model
}

proptest! {
    #![proptest_config(proptest_config(400))]

    /// For any order of arrivals, tokens, ends, crashes, late confirmations,
    /// pauses, recalls and reconfigurations: each request is in exactly one
    /// state, is never shed or paused for a lower class, and is reported as
    /// `not_run` only if it never started. No slot or request leaks, and
    /// estimates stay bounded.
    #[test]
    fn random_events_preserve_invariants(
        events in events(),
        running_max in 1..5_u32,
        queue_limit in 1..6_u32,
        reserved in 0..3_u32,
    ) {
        let mut settings = settings(running_max, queue_limit);
        settings.reserved_slots = reserved;
        let mut model = run(&events, settings);
        model.run_to_idle();
    }

    /// The same events lead to the same actions.
    #[test]
    fn decisions_are_deterministic(events in events()) {
        let first = run(&events, settings(3, 4)).log;
        let second = run(&events, settings(3, 4)).log;
        prop_assert_eq!(first, second);
    }
}
