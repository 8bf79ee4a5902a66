//! A small fleet in virtual time: one entry, agents and engines. It drives the
//! product's own decisions over a recorded trace.
#![allow(dead_code, missing_docs, unreachable_pub)]

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    sync::Arc,
};

use policy::{
    choice::{Candidate, ChoiceCriteria, Member, Pool, Rule},
    retry::RetryBudget,
    schedule::{Action, End, LoadReport, Scheduler, Settings},
};
use serde::Deserialize;
use types::{InstanceId, RequestId, TimeMs, ZoneName};

/// Time on the network between two processes, in milliseconds.
const NETWORK_MS: u64 = 1;
const TICK_MS: u64 = 50;

/// One line of a trace.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged, deny_unknown_fields)]
pub enum Line {
    /// A caller's request.
    Arrival(Arrival),
    /// An engine becomes slower, or usual again with a factor of 1.
    Slow {
        at_ms: u64,
        engine: usize,
        slow: u64,
    },
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Arrival {
    pub at_ms: u64,
    pub team: String,
    pub class: String,
    /// Length of the answer, which nobody knows beforehand.
    pub tokens: u32,
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
}

fn default_deadline_ms() -> u64 {
    30_000
}

/// The fleet.
#[derive(Clone, Debug)]
pub struct Setup {
    pub engines: usize,
    pub token_ms: u64,
    pub settings: Settings,
    pub rule: Rule,
    /// Age of a load report when the entry gets it, in milliseconds.
    pub report_lag_ms: u64,
}

/// What became of one request.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub class: String,
    pub team: String,
    pub arrived_ms: u64,
    pub tokens: u32,
    pub first_token_ms: Option<u64>,
    pub ended_ms: Option<u64>,
    pub refused_ms: Option<u64>,
    pub pauses: u32,
    pub attempts: u32,
    /// Engine of the last attempt.
    pub engine: usize,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Dispatch(usize, usize),
    Slow(usize, u64),
    EngineTick(usize),
    Stopped(usize, usize),
    AgentTick(usize),
    Report(usize),
}

struct Engine {
    running: Vec<(usize, u32)>,
    slow: u64,
    ticking: bool,
    generated: u64,
}

struct Request {
    arrival: Arrival,
    tried: Vec<InstanceId>,
    on: Option<Arc<Candidate>>,
    sent_ms: u64,
    last_token_ms: u64,
}

pub struct Fleet {
    setup: Setup,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_event: u64,
    pool: Pool,
    budget: RetryBudget,
    agents: Vec<Scheduler>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    reports: Vec<Vec<(u64, LoadReport)>>,
    pub outcomes: Vec<Outcome>,
    /// Tokens generated in each second.
    pub generated_by_second: BTreeMap<u64, u64>,
    generated_by_class: BTreeMap<(String, u64), u64>,
    random: u64,
}

pub fn load_trace(name: &str) -> Vec<Line> {
    let path = format!("{}/tests/traces/{name}.jsonl", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).unwrap();
    text.lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect()
}

pub fn replay(trace: &[Line], setup: Setup) -> Fleet {
    let mut fleet = Fleet::new(setup);
    for line in trace {
        match line {
            Line::Arrival(arrival) => fleet.add(arrival.clone()),
            Line::Slow {
                at_ms,
                engine,
                slow,
            } => fleet.push(*at_ms, Event::Slow(*engine, *slow)),
        }
    }
    fleet.run();
    fleet
}

impl Fleet {
    fn new(setup: Setup) -> Self {
        let member = |i: usize| Member {
            instance: InstanceId::from(i.to_string()),
            zone: ZoneName::from(format!("az-{}", i % 3)),
        };
        let members: Vec<_> = (0..setup.engines).map(member).collect();
        let pool = Pool::default().with_members(&members, &ZoneName::from("az-0"), 16, 1);
        let engine = || Engine {
            running: Vec::new(),
            slow: 1,
            ticking: false,
            generated: 0,
        };
        let mut fleet = Self {
            now: 0,
            events: BinaryHeap::new(),
            next_event: 0,
            pool,
            budget: RetryBudget::new(),
            agents: (0..setup.engines)
                .map(|_| Scheduler::new(setup.settings.clone()))
                .collect(),
            engines: (0..setup.engines).map(|_| engine()).collect(),
            requests: Vec::new(),
            reports: vec![Vec::new(); setup.engines],
            outcomes: Vec::new(),
            generated_by_second: BTreeMap::new(),
            generated_by_class: BTreeMap::new(),
            random: 1,
            setup,
        };
        for agent in 0..fleet.agents.len() {
            fleet.push(0, Event::AgentTick(agent));
        }
        fleet
    }

    fn add(&mut self, arrival: Arrival) {
        let index = self.requests.len();
        self.push(arrival.at_ms, Event::Arrive(index));
        self.outcomes.push(Outcome {
            class: arrival.class.clone(),
            team: arrival.team.clone(),
            arrived_ms: arrival.at_ms,
            tokens: arrival.tokens,
            ..Outcome::default()
        });
        self.requests.push(Request {
            arrival,
            tried: Vec::new(),
            on: None,
            sent_ms: 0,
            last_token_ms: 0,
        });
    }

    fn push(&mut self, at_ms: u64, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at_ms, self.next_event, event)));
    }

    fn random(&mut self) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        self.random ^ (self.random >> 29)
    }

    fn run(&mut self) {
        const LONGEST_MS: u64 = 600_000;
        while let Some(Reverse((at_ms, _, event))) = self.events.pop() {
            assert!(at_ms < LONGEST_MS, "the fleet does not come to rest");
            self.now = at_ms;
            match event {
                Event::Arrive(request) => {
                    self.budget.on_request();
                    self.dispatch(request);
                }
                Event::Dispatch(request, agent) => self.submit(request, agent),
                Event::Slow(engine, slow) => self.engines[engine].slow = slow,
                Event::EngineTick(engine) => self.engine_tick(engine),
                Event::Stopped(request, agent) => {
                    let id = id_of(request);
                    let actions = self.agents[agent].on_paused(TimeMs(self.now), &id);
                    self.carry_out(agent, actions);
                }
                Event::AgentTick(agent) => self.agent_tick(agent),
                Event::Report(agent) => self.report(agent),
            }
        }
    }

    fn dispatch(&mut self, request: usize) {
        let random = self.random();
        let tried = &self.requests[request].tried;
        let criteria = ChoiceCriteria {
            exclude: tried,
            expected_tokens: 128,
            ..ChoiceCriteria::default()
        };
        let now = TimeMs(self.now);
        let Some(choice) = self.pool.choose(self.setup.rule, now, &criteria, random) else {
            self.outcomes[request].refused_ms = Some(self.now);
            return;
        };
        let candidate = choice.candidate;
        candidate.on_sent(now, 128);
        let agent = candidate.member.instance.as_str().parse().unwrap();
        let state = &mut self.requests[request];
        state.tried.push(candidate.member.instance.clone());
        state.on = Some(candidate);
        state.sent_ms = self.now;
        self.outcomes[request].attempts += 1;
        self.outcomes[request].engine = agent;
        self.push(self.now + NETWORK_MS, Event::Dispatch(request, agent));
    }

    fn submit(&mut self, request: usize, agent: usize) {
        let arrival = &self.requests[request].arrival;
        let id = id_of(request);
        let mut job = super::job(id.as_str(), &arrival.team, &arrival.class);
        job.deadline = TimeMs(arrival.at_ms + arrival.deadline_ms);
        let random = self.random();
        let actions = self.agents[agent].submit(TimeMs(self.now), job, random);
        self.carry_out(agent, actions);
    }

    fn carry_out(&mut self, agent: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start {
                    request_id,
                    resume_from,
                    ..
                } => {
                    self.engines[agent]
                        .running
                        .push((index_of(&request_id), resume_from));
                    if !self.engines[agent].ticking {
                        self.engines[agent].ticking = true;
                        let pace_ms = self.setup.token_ms * self.engines[agent].slow;
                        self.push(self.now + pace_ms, Event::EngineTick(agent));
                    }
                }
                Action::Pause { request_id } => {
                    let request = index_of(&request_id);
                    self.outcomes[request].pauses += 1;
                    self.engines[agent]
                        .running
                        .retain(|(running, _)| *running != request);
                    self.push(self.now + NETWORK_MS, Event::Stopped(request, agent));
                }
                Action::Refuse { request_id, .. } => self.on_refused(index_of(&request_id)),
            }
        }
    }

    fn on_refused(&mut self, request: usize) {
        let now = TimeMs(self.now);
        let candidate = self.requests[request].on.take().unwrap();
        candidate.on_refusal(now);
        candidate.on_end(now, 128);
        let in_time = self.now
            < self.outcomes[request].arrived_ms + self.requests[request].arrival.deadline_ms;
        if in_time && self.budget.try_take(now) {
            self.dispatch(request);
        } else {
            self.outcomes[request].refused_ms = Some(self.now);
        }
    }

    fn engine_tick(&mut self, engine: usize) {
        let now = TimeMs(self.now);
        let batch: Vec<_> = self.engines[engine]
            .running
            .iter()
            .map(|(request, _)| *request)
            .collect();
        for request in batch {
            // It may have been stopped for another one of the batch.
            let mut running = self.engines[engine].running.iter_mut();
            let Some((_, tokens)) = running.find(|(running, _)| *running == request) else {
                continue;
            };
            *tokens += 1;
            let tokens = *tokens;
            self.engines[engine].generated += 1;
            *self
                .generated_by_second
                .entry(self.now / 1_000)
                .or_insert(0) += 1;
            let class = self.outcomes[request].class.clone();
            *self
                .generated_by_class
                .entry((class, self.now / 1_000))
                .or_insert(0) += 1;
            self.seen_token(request);
            let actions = match tokens < self.requests[request].arrival.tokens {
                true => self.agents[engine].on_tokens(now, &id_of(request), tokens),
                false => self.ended(engine, request),
            };
            self.carry_out(engine, actions);
        }
        if self.engines[engine].running.is_empty() {
            self.engines[engine].ticking = false;
            return;
        }
        let pace_ms = self.setup.token_ms * self.engines[engine].slow;
        self.push(self.now + pace_ms, Event::EngineTick(engine));
    }

    fn seen_token(&mut self, request: usize) {
        let now = TimeMs(self.now);
        let state = &mut self.requests[request];
        let candidate = state.on.as_ref().unwrap();
        if self.outcomes[request].first_token_ms.is_none() {
            let arrived = self.outcomes[request].arrived_ms;
            self.outcomes[request].first_token_ms = Some(self.now + NETWORK_MS - arrived);
            candidate.on_first_token(now, self.now - state.sent_ms);
        } else {
            candidate.on_token_gap(now, self.now - state.last_token_ms);
        }
        state.last_token_ms = self.now;
    }

    fn ended(&mut self, engine: usize, request: usize) -> Vec<Action> {
        let now = TimeMs(self.now);
        self.outcomes[request].ended_ms = Some(self.now);
        self.engines[engine]
            .running
            .retain(|(running, _)| *running != request);
        let tokens = self.requests[request].arrival.tokens;
        let id = id_of(request);
        self.agents[engine].on_tokens(now, &id, tokens);
        let actions = self.agents[engine].on_end(now, &id, End::Whole);
        let candidate = self.requests[request].on.take().unwrap();
        candidate.on_end(now, 128);
        let load = self.agents[engine].load(now);
        self.reports[engine].push((self.now, load));
        self.push(self.now + self.setup.report_lag_ms, Event::Report(engine));
        actions
    }

    fn report(&mut self, engine: usize) {
        let (measured_ms, report) = self.reports[engine].remove(0);
        let age_ms = self.now - measured_ms;
        let candidate = self.pool.candidates().iter();
        let mut candidate =
            candidate.filter(|it| it.member.instance.as_str() == engine.to_string());
        if let Some(candidate) = candidate.next() {
            candidate.on_report(TimeMs(self.now), &report, age_ms);
        }
    }

    fn agent_tick(&mut self, agent: usize) {
        let random = self.random();
        let actions = self.agents[agent].tick(TimeMs(self.now), random);
        self.carry_out(agent, actions);
        if !self.events.is_empty() {
            let only_ticks = self
                .events
                .iter()
                .all(|Reverse((_, _, event))| matches!(event, Event::AgentTick(_)));
            let idle = self.agents.iter().all(Scheduler::is_idle);
            if !(only_ticks && idle) {
                self.push(self.now + TICK_MS, Event::AgentTick(agent));
            }
        } else if !self.agents[agent].is_idle() {
            self.push(self.now + TICK_MS, Event::AgentTick(agent));
        }
    }

    /// Requests of a class that got their first token within `target_ms`, as a
    /// share of all that were sent.
    pub fn attainment(&self, class: &str, target_ms: u64) -> f64 {
        let sent = self.of(class).count();
        let in_time = self.of(class).filter(|outcome| {
            outcome.ended_ms.is_some() && outcome.first_token_ms.is_some_and(|ms| ms <= target_ms)
        });
        in_time.count() as f64 / sent.max(1) as f64
    }

    pub fn of<'a>(&'a self, class: &'a str) -> impl Iterator<Item = &'a Outcome> {
        self.outcomes
            .iter()
            .filter(move |outcome| outcome.class == class)
    }

    /// A percentile of the first-token time of answered requests, in milliseconds.
    pub fn first_token_ms(&self, class: &str, percentile: usize) -> u64 {
        let mut waits: Vec<_> = self
            .of(class)
            .filter_map(|outcome| outcome.first_token_ms)
            .collect();
        waits.sort_unstable();
        waits[(waits.len() * percentile / 100).min(waits.len() - 1)]
    }

    pub fn generated(&self) -> u64 {
        self.engines.iter().map(|engine| engine.generated).sum()
    }

    pub fn delivered_whole(&self) -> u64 {
        let whole = self
            .outcomes
            .iter()
            .filter(|outcome| outcome.ended_ms.is_some());
        whole.map(|outcome| u64::from(outcome.tokens)).sum()
    }

    /// Tokens generated for a class in the seconds `from..to`.
    pub fn generated_for(&self, class: &str, from: u64, to: u64) -> u64 {
        let of_class = self.generated_by_class.iter();
        let within =
            of_class.filter(|((name, second), _)| name == class && (from..to).contains(second));
        within.map(|(_, tokens)| tokens).sum()
    }

    /// Tokens generated in the seconds `from..to`.
    pub fn generated_between(&self, from: u64, to: u64) -> u64 {
        self.generated_by_second
            .range(from..to)
            .map(|(_, tokens)| tokens)
            .sum()
    }

    pub fn attempts(&self) -> u32 {
        self.outcomes.iter().map(|outcome| outcome.attempts).sum()
    }

    /// Refused requests of a class.
    pub fn refused(&self, class: &str) -> usize {
        self.of(class)
            .filter(|outcome| outcome.refused_ms.is_some())
            .count()
    }

    pub fn summary(&self) -> String {
        let mut classes = BTreeMap::new();
        for outcome in &self.outcomes {
            let entry: &mut (u32, u32, u32, u32) =
                classes.entry(outcome.class.clone()).or_default();
            entry.0 += 1;
            entry.1 += u32::from(outcome.ended_ms.is_some());
            entry.2 += u32::from(outcome.refused_ms.is_some());
            entry.3 += outcome.pauses;
        }
        let mut text = String::new();
        for (class, (sent, whole, refused, pauses)) in classes {
            let (p50, p99) = match whole {
                0 => (0, 0),
                _ => (
                    self.first_token_ms(&class, 50),
                    self.first_token_ms(&class, 99),
                ),
            };
            text += &format!("{class}: sent {sent} whole {whole} refused {refused} pauses {pauses} p50 {p50} p99 {p99}\n");
        }
        text
    }
}

fn id_of(request: usize) -> RequestId {
    RequestId::from(request.to_string())
}

fn index_of(id: &RequestId) -> usize {
    id.as_str().parse().unwrap()
}
