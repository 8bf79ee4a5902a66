//! Gateways that exchange evidence about parts that crash instances, in virtual
//! time: how many requests with such a part are still sent, and how many sound
//! requests suffer.
//!
//! `--nocapture` prints the table in docs/design/crash-evidence.md.
#![allow(missing_docs)]

use std::{cmp::Reverse, collections::BinaryHeap};

use policy::crash_evidence::{CrashLog, EndEvidence, InstanceEnd, Screening, Suspect};
use rstest::rstest;
use types::{Fingerprint, TimeMs};

/// Time after the fifth crash from which a part must be known everywhere.
const CONTACT_MS: u64 = 3_000;
/// Requests with a crashing part that may be sent after [`CONTACT_MS`].
const LATE_MAX: usize = 3;
/// Crashes from which [`CONTACT_MS`] counts.
const CRASHES_FOR_BOUND: usize = 5;
/// Share of the sound requests that must begin at the first attempt. Those broken
/// by ends for other reasons are left out, as they break without crashing parts,
/// too.
const SOUND_SHARE_MIN: f64 = 0.95;
const LENGTH_MS: u64 = 24_000;
/// Time at which the parts begin to crash instances.
const ONSET_MS: u64 = 3_000;
const RESTART_MS: u64 = 2_500;
/// Range of the time until a gateway has read what another one wrote.
const EXCHANGE_MS: (u64, u64) = (100, 1_700);
const FIRST_PARTS: u64 = 20;
const SECOND_PARTS: u64 = 300;

/// Size of a fleet and which parts crash its instances.
#[derive(Clone, Copy)]
struct Scenario {
    gateways: usize,
    instances: usize,
    requests_per_s: u64,
    /// Number of crashing parts.
    crashing_parts: u64,
    /// Position of the crashing parts in prompts, 0 or 1.
    position: usize,
    seed: u64,
}

struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound
    }

    fn between(&mut self, (low, high): (u64, u64)) -> u64 {
        low + self.below(high - low)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    number: u64,
    suspects: Vec<Suspect>,
    crashes: bool,
    attempt: u32,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    /// A request begins to be answered, if its instance still runs.
    Begin {
        gateway: usize,
        instance: usize,
        incarnation: u64,
        request: Request,
    },
    /// An instance ends for a reason of its own.
    OtherEnd(usize),
    Restart(usize),
    /// A gateway reads what another one wrote.
    Exchange {
        reader: usize,
        evidence: usize,
    },
    /// A gateway starts again and reads all records.
    GatewayRestart(usize),
}

/// Why an instance ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum EndCause {
    CrashingPart,
    Other,
}

#[derive(Default)]
struct Instance {
    is_down: bool,
    incarnation: u64,
    waiting: Vec<(usize, Request)>,
}

#[derive(Default)]
struct Outcome {
    crashes_at: Vec<u64>,
    /// Times at which requests with a crashing part were sent.
    crashing_sent_at: Vec<u64>,
    /// Arrival and whether it began at the first attempt, for sound requests with
    /// the first part that those with a crashing part have.
    sound: Vec<(u64, bool)>,
    trials: usize,
}

struct Simulation {
    scenario: Scenario,
    random: Random,
    logs: Vec<CrashLog>,
    published: Vec<Vec<EndEvidence>>,
    /// Evidence under way between gateways.
    under_way: Vec<Vec<EndEvidence>>,
    claimed: Vec<u64>,
    instances: Vec<Instance>,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    outcome: Outcome,
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let mut instances = Vec::new();
        instances.resize_with(scenario.instances, Instance::default);
        let mut logs = Vec::new();
        logs.resize_with(scenario.gateways, CrashLog::new);
        Self {
            scenario,
            random: Random(0x9e37_79b9_7f4a_7c15 ^ (scenario.seed + 1)),
            logs,
            published: vec![Vec::new(); scenario.gateways],
            under_way: Vec::new(),
            claimed: Vec::new(),
            instances,
            queue: BinaryHeap::new(),
            sequence: 0,
            outcome: Outcome::default(),
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, event)));
    }

    fn run(mut self) -> Outcome {
        self.schedule(0, Event::Arrival);
        // Ends for other reasons: one at a time, and a fifth of all at once.
        for at in (1_000..LENGTH_MS).step_by(1_500) {
            let instance = self.random.below(self.scenario.instances as u64) as usize;
            self.schedule(at, Event::OtherEnd(instance));
        }
        for instance in 0..self.scenario.instances / 5 {
            self.schedule(ONSET_MS + 400, Event::OtherEnd(instance));
        }
        for (number, at) in [ONSET_MS + 900, ONSET_MS + 6_000].into_iter().enumerate() {
            let gateway = number % self.scenario.gateways;
            self.schedule(at, Event::GatewayRestart(gateway));
        }
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at >= LENGTH_MS {
                break;
            }
            self.handle(at, event);
        }
        self.outcome
    }

    fn handle(&mut self, at: u64, event: Event) {
        match event {
            Event::Arrival => {
                let interval_us = 1_000_000 / self.scenario.requests_per_s;
                let next_ms = (interval_us / 1_000).max(1);
                self.schedule(at + next_ms, Event::Arrival);
                let request = self.request(at);
                let gateway = self.gateway();
                let is_observed = !request.crashes && request.suspects[0] == first_part();
                let sent = self.send(at, gateway, request);
                if is_observed && !sent {
                    self.outcome.sound.push((at, false));
                }
            }
            Event::Begin {
                gateway,
                instance,
                incarnation,
                request,
            } => self.begin(at, gateway, (instance, incarnation), request),
            Event::OtherEnd(instance) => {
                if !self.instances[instance].is_down {
                    self.end(at, instance, EndCause::Other);
                }
            }
            Event::Restart(instance) => {
                self.instances[instance].is_down = false;
                self.instances[instance].incarnation += 1;
            }
            Event::Exchange { reader, evidence } => {
                self.logs[reader].merge(TimeMs(at), &self.under_way[evidence]);
            }
            Event::GatewayRestart(gateway) => {
                let mut log = CrashLog::new();
                for (writer, evidence) in self.published.iter().enumerate() {
                    match writer == gateway {
                        true => log.adopt(TimeMs(at), evidence),
                        false => log.merge(TimeMs(at), evidence),
                    }
                }
                self.logs[gateway] = log;
            }
        }
    }

    /// Draws a request; one in eight has a crashing part.
    fn request(&mut self, at: u64) -> Request {
        self.sequence += 1;
        let number = self.sequence;
        let parts = self.scenario.crashing_parts;
        let crashes = at >= ONSET_MS && self.random.below(8) == 0;
        let (first, second) = match (crashes, self.scenario.position) {
            (true, 0) => {
                let first = Suspect::part(0, 1_000 + self.random.below(parts));
                (first, Suspect::part(1, self.random.below(SECOND_PARTS)))
            }
            (true, _) => {
                let second = Suspect::part(1, 1_000 + self.random.below(parts));
                (first_part(), second)
            }
            (false, _) => {
                let second = self.random.below(SECOND_PARTS);
                (
                    Suspect::part(0, second % FIRST_PARTS),
                    Suspect::part(1, second),
                )
            }
        };
        let content = Suspect::content(&Fingerprint::of("", &number.to_le_bytes()));
        Request {
            number,
            suspects: vec![first, second, content],
            crashes,
            attempt: 1,
        }
    }

    /// Draws a gateway; the first ones get more requests than the last ones.
    fn gateway(&mut self) -> usize {
        let count = self.scenario.gateways as u64;
        let first = self.random.below(count);
        first.min(self.random.below(count)) as usize
    }

    /// Returns whether the request was sent.
    fn send(&mut self, at: u64, gateway: usize, request: Request) -> bool {
        match self.logs[gateway].screen(TimeMs(at), &request.suspects) {
            Screening::Pass => {}
            Screening::Refused(_) => return false,
            Screening::RefusedUnlessClaimed(_, trial) => {
                if self.claimed.contains(&trial.0) {
                    return false;
                }
                self.claimed.push(trial.0);
                self.outcome.trials += 1;
            }
        }
        let running: Vec<usize> = (0..self.instances.len())
            .filter(|instance| !self.instances[*instance].is_down)
            .collect();
        if running.is_empty() {
            return false;
        }
        if request.crashes {
            self.outcome.crashing_sent_at.push(at);
        }
        let instance = running[self.random.below(running.len() as u64) as usize];
        let incarnation = self.instances[instance].incarnation;
        let begin_at = at + self.random.between((20, 250));
        self.instances[instance]
            .waiting
            .push((gateway, request.clone()));
        self.schedule(
            begin_at,
            Event::Begin {
                gateway,
                instance,
                incarnation,
                request,
            },
        );
        true
    }

    fn begin(
        &mut self,
        at: u64,
        gateway: usize,
        (instance, incarnation): (usize, u64),
        request: Request,
    ) {
        let is_gone =
            self.instances[instance].is_down || self.instances[instance].incarnation != incarnation;
        if is_gone {
            return;
        }
        if request.crashes {
            self.outcome.crashes_at.push(at);
            self.end(at, instance, EndCause::CrashingPart);
            return;
        }
        let waiting = &mut self.instances[instance].waiting;
        waiting.retain(|(_, other)| other.number != request.number);
        if request.attempt == 1 && request.suspects[0] == first_part() {
            self.outcome.sound.push((at, true));
        }
        if self.logs[gateway].on_first_event(TimeMs(at), &request.suspects) {
            self.publish(at, gateway);
        }
    }

    /// Ends an instance: each gateway sees its own waiting requests break, and
    /// sends them once more.
    fn end(&mut self, at: u64, instance: usize, cause: EndCause) {
        self.instances[instance].is_down = true;
        self.schedule(at + RESTART_MS, Event::Restart(instance));
        let end = InstanceEnd {
            instance: format!("i-{instance}").into(),
            incarnation: self.instances[instance].incarnation,
        };
        let waiting = std::mem::take(&mut self.instances[instance].waiting);
        for (gateway, mut request) in waiting {
            let evidence = EndEvidence {
                end: end.clone(),
                at_unix_ms: at,
                suspects: request.suspects.clone(),
                cleared: Vec::new(),
            };
            if self.logs[gateway].on_end(TimeMs(at), &evidence) {
                self.publish(at, gateway);
            }
            let is_observed =
                request.attempt == 1 && !request.crashes && request.suspects[0] == first_part();
            if is_observed && cause == EndCause::CrashingPart {
                self.outcome.sound.push((at, false));
            }
            request.attempt += 1;
            if request.attempt == 2 {
                self.send(at, gateway, request);
            }
        }
    }

    /// Lets the other gateways read the evidence of one, late, twice and out of
    /// order.
    fn publish(&mut self, at: u64, writer: usize) {
        let evidence = self.logs[writer].own_evidence();
        self.published[writer].clone_from(&evidence);
        self.under_way.push(evidence);
        let evidence = self.under_way.len() - 1;
        for reader in (0..self.scenario.gateways).filter(|reader| *reader != writer) {
            let copies = 1 + usize::from(self.random.below(8) == 0);
            for _ in 0..copies {
                let read_at = at + self.random.between(EXCHANGE_MS);
                self.schedule(read_at, Event::Exchange { reader, evidence });
            }
        }
    }
}

/// First part of the prompts with a crashing second part.
fn first_part() -> Suspect {
    Suspect::part(0, 0)
}

/// Share of the sound requests after `from` that began at the first attempt.
fn begun_share(outcome: &Outcome, from: u64) -> f64 {
    let settled = outcome.sound.iter().filter(|(at, _)| *at >= from);
    let begun = settled.clone().filter(|(_, begun)| *begun).count();
    begun as f64 / settled.count().max(1) as f64
}

#[rstest]
fn crashing_parts_are_known_to_all_gateways_after_five_crashes(
    #[values((1, 18, 70), (4, 18, 70), (24, 44, 170), (103, 180, 500))] size: (usize, usize, u64),
    #[values((1, 1), (3, 1), (1, 0))] parts: (u64, usize),
    #[values(0, 1)] seed: u64,
) {
    let (gateways, instances, requests_per_s) = size;
    let (crashing_parts, position) = parts;
    let outcome = Simulation::new(Scenario {
        gateways,
        instances,
        requests_per_s,
        crashing_parts,
        position,
        seed,
    })
    .run();

    // All parts share one count here, so the bound starts when each of them may
    // have crashed five instances.
    let bound_crash = CRASHES_FOR_BOUND * crashing_parts as usize;
    let crashes = &outcome.crashes_at;
    let bound_from = crashes[(bound_crash - 1).min(crashes.len() - 1)];
    let late = outcome
        .crashing_sent_at
        .iter()
        .filter(|at| **at > bound_from + CONTACT_MS)
        .count();
    let share = begun_share(&outcome, bound_from + 2 * CONTACT_MS);
    println!(
        "{gateways} gateways, {crashing_parts} parts at {position}, seed {seed}: \
         {} crashes, {late} sent late, {} trials, sound {share:.3}",
        crashes.len(),
        outcome.trials,
    );
    assert!(
        late <= LATE_MAX * crashing_parts as usize,
        "{late} sent late"
    );
    assert!(
        share >= SOUND_SHARE_MIN,
        "{share:.3} of the sound requests begun"
    );
}
