//! Engines that read prompts, keep their parts and answer, in virtual time;
//! entries place requests on them by one of several rules.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use policy::placement::{Capacity, Demand, Part, Placeable, Placement, Placer, Ticket};
use rapidhash::v3::rapidhash_v3;
use serde::Deserialize;
use types::{InstanceId, TimeMs};

/// Prompt tokens that an engine reads in a millisecond.
pub const READ_TOKENS_PER_MS: u64 = 56;
/// Time from the last prompt token to the first event, in milliseconds.
const FIRST_EVENT_MS: u64 = 25;
/// Time for one output token of a running request, in milliseconds.
const TOKEN_MS: u64 = 6;
/// Tokens that an engine has memory for.
const MEMORY_TOKENS: u64 = 660_000;

/// A line of a trace.
#[derive(Clone, Debug, Deserialize)]
pub struct Arrival {
    pub at_ms: u64,
    pub entry: usize,
    pub subject: u64,
    pub shared_tokens: u32,
    pub own_tokens: u32,
    pub output_tokens: u32,
    pub target_ms: u64,
    pub priority: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    RoundRobin,
    LeastLoaded,
    /// The home, unless it has more than one and a quarter of the mean load.
    HomeWithBoundedLoad,
    Placer,
}

/// What came of a replay.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub requests: u32,
    pub on_time: u32,
    /// Of all prompt tokens read, those of shared parts that were read before.
    pub read_again: u64,
    pub read: u64,
    pub by_priority: BTreeMap<u8, (u32, u32)>,
}

impl Outcome {
    pub fn on_time_share(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.requests.max(1))
    }

    pub fn read_again_share(&self) -> f64 {
        self.read_again as f64 / self.read.max(1) as f64
    }
}

#[derive(Debug)]
struct Job {
    arrival: Arrival,
    placement: Placement,
    ticket: Ticket,
    to_read: u64,
    waited_from: u64,
    number: usize,
}

#[derive(Debug, Default)]
struct Engine {
    waiting: Vec<Job>,
    reading: Option<Job>,
    /// Requests that generate, with the time of their end.
    running: Vec<(u64, Job)>,
    /// Kept shared parts, oldest use first.
    kept: IndexMap<u64, u32>,
    crashed_until: u64,
}

pub struct Fleet {
    rule: Rule,
    engines: Vec<Engine>,
    placers: Vec<Placer>,
    next: usize,
    seen: IndexMap<u64, ()>,
    pub outcome: Outcome,
}

pub fn load(name: &str) -> Vec<Arrival> {
    let path = format!("{}/tests/traces/{name}.jsonl", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("a trace");
    text.lines()
        .map(|line| serde_json::from_str(line).expect("an arrival"))
        .collect()
}

pub fn instance(number: usize) -> InstanceId {
    InstanceId::from(format!("i-{number}"))
}

impl Fleet {
    pub fn new(rule: Rule, engines: usize, entries: usize) -> Self {
        let members: Vec<Placeable> = (0..engines)
            .map(|number| Placeable {
                instance: instance(number),
                incarnation: 1,
                capacity: Capacity::Engine {
                    slots: 64,
                    memory_tokens: MEMORY_TOKENS,
                },
            })
            .collect();
        let placers = (0..entries)
            .map(|_| {
                let mut placer = Placer::default();
                placer.set_members(&members);
                placer
            })
            .collect();
        Self {
            rule,
            engines: (0..engines).map(|_| Engine::default()).collect(),
            placers,
            next: 0,
            seen: IndexMap::new(),
            outcome: Outcome::default(),
        }
    }

    /// Plays a trace to its end, millisecond by millisecond.
    pub fn replay(mut self, trace: &[Arrival]) -> Outcome {
        let end = trace.last().map_or(0, |last| last.at_ms) + 20_000;
        let mut arrivals = trace.iter().enumerate().peekable();
        for now in 0..end {
            while let Some((number, arrival)) =
                arrivals.next_if(|(_, arrival)| arrival.at_ms <= now)
            {
                self.place(now, number, arrival);
            }
            for engine in 0..self.engines.len() {
                self.step(now, engine);
            }
        }
        self.outcome
    }

    fn place(&mut self, now: u64, number: usize, arrival: &Arrival) {
        self.outcome.requests += 1;
        let demand = demand(arrival, number);
        let placer = &mut self.placers[arrival.entry];
        let at = TimeMs(now);
        let chosen = match self.rule {
            Rule::Placer => placer.choose(at, &demand, &[]).expect("an instance"),
            rule => {
                self.next += 1;
                fixed_choice(rule, &self.engines, self.next, arrival.subject)
            }
        };
        let ticket = placer.on_sent(at, &demand, &chosen);
        let engine = engine_number(&chosen.instance);
        self.engines[engine].waiting.push(Job {
            arrival: arrival.clone(),
            placement: chosen,
            ticket,
            to_read: 0,
            waited_from: now,
            number,
        });
    }

    fn step(&mut self, now: u64, number: usize) {
        let engine = &mut self.engines[number];
        if now < engine.crashed_until {
            return;
        }
        let ended = engine
            .running
            .extract_if(.., |(end, _)| *end <= now)
            .map(|(_, job)| job)
            .collect::<Vec<_>>();
        for job in ended {
            self.placers[job.arrival.entry].on_end(&job.placement.instance, job.ticket);
        }
        let engine = &mut self.engines[number];
        if engine.reading.is_none() {
            let most_urgent = (0..engine.waiting.len()).min_by_key(|index| {
                let job = &engine.waiting[*index];
                (std::cmp::Reverse(job.arrival.priority), job.number)
            });
            if let Some(index) = most_urgent {
                let mut job = engine.waiting.remove(index);
                job.to_read = u64::from(job.arrival.own_tokens);
                let part = job.arrival.subject;
                let shared = u64::from(job.arrival.shared_tokens);
                if engine.kept.shift_remove(&part).is_none() {
                    job.to_read += shared;
                    if self.seen.insert(part, ()).is_some() {
                        self.outcome.read_again += shared;
                    }
                }
                engine.kept.insert(part, job.arrival.shared_tokens);
                while engine
                    .kept
                    .values()
                    .map(|tokens| u64::from(*tokens))
                    .sum::<u64>()
                    > MEMORY_TOKENS / 2
                {
                    engine.kept.shift_remove_index(0);
                }
                self.outcome.read += job.to_read;
                engine.reading = Some(job);
            }
        }
        let Some(job) = &mut engine.reading else {
            return;
        };
        job.to_read = job.to_read.saturating_sub(READ_TOKENS_PER_MS);
        if job.to_read > 0 {
            return;
        }
        let Some(mut job) = engine.reading.take() else {
            return;
        };
        let first_at = now + FIRST_EVENT_MS;
        let waited_ms = first_at - job.waited_from;
        let placer = &mut self.placers[job.arrival.entry];
        placer.on_first_event(TimeMs(first_at), &job.placement.instance, &mut job.ticket);
        let counts = self
            .outcome
            .by_priority
            .entry(job.arrival.priority)
            .or_default();
        counts.0 += 1;
        if waited_ms <= job.arrival.target_ms {
            self.outcome.on_time += 1;
            counts.1 += 1;
        }
        let end = first_at + u64::from(job.arrival.output_tokens) * TOKEN_MS;
        engine.running.push((end, job));
    }
}

fn demand(arrival: &Arrival, number: usize) -> Demand {
    Demand {
        parts: vec![
            Part {
                id: arrival.subject,
                tokens: arrival.shared_tokens,
            },
            Part {
                id: 1 << 40 | number as u64,
                tokens: arrival.own_tokens,
            },
        ]
        .into(),
        prompt_tokens: arrival.shared_tokens + arrival.own_tokens,
        output_tokens: arrival.output_tokens,
    }
}

fn engine_number(instance: &InstanceId) -> usize {
    instance.as_str()[2..].parse().expect("a number")
}

/// The baselines know the true load of all engines.
fn fixed_choice(rule: Rule, engines: &[Engine], turn: usize, subject: u64) -> Placement {
    let load = |number: usize| {
        let engine = &engines[number];
        engine.waiting.len() + engine.running.len() + usize::from(engine.reading.is_some())
    };
    let all = engines.len();
    let chosen = match rule {
        Rule::RoundRobin | Rule::Placer => turn % all,
        Rule::LeastLoaded => (0..all)
            .map(|offset| (turn + offset) % all)
            .min_by_key(|number| load(*number))
            .unwrap_or(0),
        Rule::HomeWithBoundedLoad => {
            let total: usize = (0..all).map(load).sum();
            let bound = (total + 1) as f64 / all as f64 * 1.25;
            let mut order: Vec<usize> = (0..all).collect();
            order.sort_by_key(|number| {
                rapidhash_v3(&[subject.to_le_bytes(), number.to_le_bytes()].concat())
            });
            order
                .iter()
                .copied()
                .find(|number| (load(*number) as f64) < bound)
                .unwrap_or(order[0])
        }
    };
    Placement {
        instance: instance(chosen),
        predicted_ms: 0.0,
        cached_tokens: 0,
        home_rank: 0,
        in_flight: 0,
    }
}
