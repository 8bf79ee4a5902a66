//! Gateways that share the limit an instance names, in virtual time: how much they
//! send together, at any number of gateways.
//!
//! `--nocapture` prints the table in docs/design/named-limits.md.
#![allow(missing_docs)]

use std::{cmp::Reverse, collections::BinaryHeap};

use policy::named_limit::{LimitClaim, NamedLimits};
use rstest::rstest;
use types::{InstanceId, TimeMs};

/// Time after the first response with a limit from which it must be kept.
const CONTACT_MS: u64 = 3_000;
const WINDOW_MS: u64 = 4_000;
const LENGTH_MS: u64 = 40_000;
const RESPONSE_MS: u64 = 60;
/// Range of the time until a gateway has read what another one wrote.
const EXCHANGE_MS: (u64, u64) = (20, 700);
const PUBLISH_MS: u64 = 150;
const INCARNATION: u64 = 7;

struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound
    }
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Response {
        gateway: usize,
        sent_at: u64,
    },
    Published {
        gateway: usize,
        claims: usize,
    },
    Read {
        reader: usize,
        writer: usize,
        claims: usize,
    },
    /// The gateway starts again under its name and reads all records.
    Restart(usize),
    /// The gateway drains: it withdraws its record and gets no requests any more.
    Leave(usize),
}

struct Scenario {
    gateways: usize,
    limit_milli_per_s: u64,
    demand_per_s: u64,
    seed: u64,
    /// Whether some gateways get many times the requests of others.
    uneven: bool,
}

struct Simulation {
    scenario: Scenario,
    random: Random,
    limits: Vec<NamedLimits>,
    records: Vec<Vec<LimitClaim>>,
    written: Vec<Vec<LimitClaim>>,
    left: Vec<bool>,
    sent_at: Vec<u64>,
    arrivals: u64,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
}

fn instance() -> InstanceId {
    "i-1".into()
}

fn gateway_id(number: usize) -> InstanceId {
    format!("edge-{number}").into()
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let mut limits = Vec::new();
        limits.resize_with(scenario.gateways, NamedLimits::default);
        Self {
            random: Random(0x9e37_79b9_7f4a_7c15 ^ (scenario.seed + 1)),
            limits,
            records: vec![Vec::new(); scenario.gateways],
            written: Vec::new(),
            left: vec![false; scenario.gateways],
            sent_at: Vec::new(),
            arrivals: 0,
            queue: BinaryHeap::new(),
            sequence: 0,
            scenario,
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, event)));
    }

    /// Returns the times at which requests were sent to the instance.
    fn run(mut self) -> Vec<u64> {
        self.schedule(0, Event::Arrival);
        let gateways = self.scenario.gateways;
        if gateways > 1 {
            self.schedule(12_000, Event::Restart(0));
            self.schedule(20_000, Event::Leave(gateways - 1));
        }
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at >= LENGTH_MS {
                break;
            }
            self.handle(at, event);
        }
        self.sent_at
    }

    fn handle(&mut self, at: u64, event: Event) {
        match event {
            Event::Arrival => {
                self.arrivals += 1;
                let next = self.arrivals * 1_000 / self.scenario.demand_per_s;
                self.schedule(next, Event::Arrival);
                let gateway = self.gateway();
                if !self.left[gateway] {
                    self.arrive(at, gateway);
                }
            }
            Event::Response { gateway, sent_at } => {
                let limit = Some(self.scenario.limit_milli_per_s);
                let start = (&instance(), INCARNATION);
                let limits = &mut self.limits[gateway];
                if limits.on_response(TimeMs(at), TimeMs(sent_at), start, limit) {
                    self.publish(at, gateway);
                }
            }
            Event::Published { gateway, claims } => {
                self.limits[gateway].on_published(TimeMs(at), &self.written[claims]);
            }
            Event::Read {
                reader,
                writer,
                claims,
            } => {
                let claims = self.written[claims].clone();
                self.limits[reader].set_claims(&gateway_id(writer), claims);
            }
            Event::Restart(gateway) => {
                let mut limits = NamedLimits::default();
                for (writer, claims) in self.records.iter().enumerate() {
                    match writer == gateway {
                        true => {
                            limits.adopt(TimeMs(at), claims);
                            limits.on_published(TimeMs(at), claims);
                        }
                        false => limits.set_claims(&gateway_id(writer), claims.clone()),
                    }
                }
                self.limits[gateway] = limits;
            }
            Event::Leave(gateway) => {
                self.left[gateway] = true;
                self.write(at, gateway, Vec::new());
            }
        }
    }

    fn gateway(&mut self) -> usize {
        let count = self.scenario.gateways as u64;
        let draws = if self.scenario.uneven { 3 } else { 1 };
        let lowest = (0..draws).map(|_| self.random.below(count)).min();
        lowest.unwrap_or(0) as usize
    }

    fn arrive(&mut self, at: u64, gateway: usize) {
        let id = gateway_id(gateway);
        let start = (&instance(), INCARNATION);
        let (may_send, changed) = self.limits[gateway].may_send(TimeMs(at), &id, start);
        if changed {
            self.publish(at, gateway);
        }
        if may_send {
            self.limits[gateway].on_sent(&instance());
            self.sent_at.push(at);
            let response = Event::Response {
                gateway,
                sent_at: at,
            };
            self.schedule(at + RESPONSE_MS, response);
        }
    }

    fn publish(&mut self, at: u64, gateway: usize) {
        let claims = self.limits[gateway].own_claims();
        self.write(at, gateway, claims);
    }

    fn write(&mut self, at: u64, gateway: usize, claims: Vec<LimitClaim>) {
        self.records[gateway].clone_from(&claims);
        self.written.push(claims);
        let claims = self.written.len() - 1;
        self.schedule(at + PUBLISH_MS, Event::Published { gateway, claims });
        for reader in (0..self.scenario.gateways).filter(|reader| *reader != gateway) {
            let delay = EXCHANGE_MS.0 + self.random.below(EXCHANGE_MS.1 - EXCHANGE_MS.0);
            let read = Event::Read {
                reader,
                writer: gateway,
                claims,
            };
            self.schedule(at + PUBLISH_MS + delay, read);
        }
    }
}

fn most_in_window(sent_at: &[u64]) -> usize {
    let windows = sent_at.iter().enumerate().map(|(first, start)| {
        let window = sent_at[first..].iter();
        window.take_while(|at| **at - start < WINDOW_MS).count()
    });
    windows.max().unwrap_or(0)
}

#[rstest]
fn gateways_together_keep_the_limit_and_use_it(
    #[values((1, 65), (4, 65), (24, 175), (103, 586))] size: (usize, u64),
    #[values(200, 1_000, 5_000, 20_000)] limit_milli_per_s: u64,
    #[values(false, true)] uneven: bool,
    #[values(0, 1, 2)] seed: u64,
) {
    // Each request for the upstream could be placed on the instance.
    let (gateways, demand_per_s) = size;
    let sent_at = Simulation::new(Scenario {
        gateways,
        limit_milli_per_s,
        demand_per_s,
        seed,
        uneven,
    })
    .run();

    let settled: Vec<u64> = sent_at.into_iter().filter(|at| *at >= CONTACT_MS).collect();
    let limit_per_s = limit_milli_per_s as f64 / 1_000.0;
    let allowed = 1.5 * 4.0 * limit_per_s + 5.0;
    let most = most_in_window(&settled);
    let possible = limit_per_s * (LENGTH_MS - CONTACT_MS) as f64 / 1_000.0;
    let used = settled.len() as f64 / possible;
    println!(
        "{gateways} gateways, {limit_per_s}/s, uneven {uneven}, seed {seed}: \
         {most} of {allowed} in 4 s, used {used:.3}"
    );
    assert!(most as f64 <= allowed, "{most} requests in 4 s");
    assert!(used <= 1.0 + 5.0 / possible, "used {used:.3}");
    assert!(used >= 0.9, "used {used:.3}");
}

fn claim(epoch: u64, limit_milli_per_s: u64) -> LimitClaim {
    LimitClaim {
        instance: instance(),
        incarnation: INCARNATION,
        epoch,
        limit_milli_per_s,
    }
}

/// Knows a limit of one request per second from a response, published and settled.
fn settled_limits() -> NamedLimits {
    let mut limits = NamedLimits::default();
    limits.on_response(
        TimeMs(100),
        TimeMs(0),
        (&instance(), INCARNATION),
        Some(1_000),
    );
    let claims = limits.own_claims();
    limits.on_published(TimeMs(110), &claims);
    limits
}

fn may_send_at(limits: &mut NamedLimits, at: u64) -> bool {
    let start = (&instance(), INCARNATION);
    limits.may_send(TimeMs(at), &"edge-0".into(), start).0
}

#[test]
fn nothing_is_sent_while_the_claim_is_not_published() {
    let mut limits = NamedLimits::default();
    limits.on_response(
        TimeMs(100),
        TimeMs(0),
        (&instance(), INCARNATION),
        Some(1_000),
    );

    assert!((0..60).all(|second| !may_send_at(&mut limits, 100 + second * 1_000)));
}

#[test]
fn limit_known_from_another_gateway_is_kept() {
    let mut limits = NamedLimits::default();
    limits.set_claims(&"edge-9".into(), vec![claim(1, 1_000)]);

    assert!(!may_send_at(&mut limits, 100));
}

#[test]
fn limit_is_lifted_by_a_response_to_a_later_request_only() {
    let mut limits = settled_limits();
    let start = (&instance(), INCARNATION);

    assert!(!limits.on_response(TimeMs(200), TimeMs(90), start, None));
    assert!(limits.on_response(TimeMs(2_000), TimeMs(1_900), start, None));

    assert!(may_send_at(&mut limits, 2_000) && may_send_at(&mut limits, 2_000));
}

#[test]
fn limit_lifted_for_one_gateway_is_lifted_for_all() {
    let mut limits = settled_limits();

    limits.set_claims(&"edge-9".into(), vec![claim(2, 0)]);

    assert!(may_send_at(&mut limits, 300));
}

#[test]
fn limit_of_an_earlier_incarnation_does_not_hold() {
    let mut limits = settled_limits();

    let later = (&instance(), INCARNATION + 1);
    let (may_send, _) = limits.may_send(TimeMs(200), &"edge-0".into(), later);

    assert!(may_send);
    assert!(limits.retain(|_, incarnation| incarnation != INCARNATION));
    assert!(limits.is_empty());
}

/// Without any request nobody would learn that the limit is over.
#[test]
fn instance_that_takes_nothing_still_gets_a_request_now_and_then() {
    let mut limits = NamedLimits::default();
    limits.on_response(TimeMs(0), TimeMs(0), (&instance(), INCARNATION), Some(0));
    let claims = limits.own_claims();
    limits.on_published(TimeMs(0), &claims);

    let mut sent = 0;
    for at in (1_000..61_000).step_by(100) {
        if may_send_at(&mut limits, at) {
            limits.on_sent(&instance());
            sent += 1;
        }
    }

    // A tenth of a request per second, and one saved up.
    assert!((1..=7).contains(&sent), "{sent} requests in a minute");
}
