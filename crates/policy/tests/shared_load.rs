//! Placement by entries that tell each other their load, on engines of unequal
//! speed.
//!
//! `--nocapture` prints the tables in docs/design/shared-load.md.
#![allow(missing_docs)]

mod support;

use rapidhash::v3::rapidhash_v3;
use support::engine::BLOCKING_PREFILL;
use support::prompts::{Arrival, Exchange, Outcome, Rule, Simulation};

const ENGINES: usize = 41;
const SPEEDS: [f64; 4] = [0.55, 1.2, 1.2, 1.2];

/// Time until the entries have heard each other and the hottest parts are cached.
const WARM_UP_MS: u64 = 2_000;

/// Reports as often as a gateway with this number of peers may send them.
fn exchange(entries: usize, loss_percent: u64) -> Exchange {
    Exchange {
        interval_ms: 200.max(10 * (entries as u64 - 1)),
        loss_percent,
    }
}

struct Class {
    per_s: u64,
    subjects: u64,
    shared_tokens: u32,
    own_tokens: u32,
    output_tokens: u32,
    target_ms: u64,
    pause_target_ms: u64,
    rank: u8,
}

const LONG: Class = Class {
    per_s: 165,
    subjects: 420,
    shared_tokens: 13_300,
    own_tokens: 3_720,
    output_tokens: 60,
    target_ms: 2_000,
    pause_target_ms: 800,
    rank: 2,
};
const MEDIUM: Class = Class {
    per_s: 125,
    subjects: 420,
    shared_tokens: 6_300,
    own_tokens: 2_890,
    output_tokens: 28,
    target_ms: 650,
    pause_target_ms: 325,
    rank: 1,
};
const SHORT: Class = Class {
    per_s: 160,
    subjects: 100,
    shared_tokens: 350,
    own_tokens: 1_110,
    output_tokens: 88,
    target_ms: 400,
    pause_target_ms: 200,
    rank: 0,
};

fn draw(seed: u64, purpose: u64, bound: u64) -> u64 {
    rapidhash_v3(&[seed.to_le_bytes(), purpose.to_le_bytes()].concat()) % bound
}

/// Draws a length around `mean`: half to one and a half of it.
fn length(seed: u64, purpose: u64, mean: u32) -> u32 {
    mean / 2 + draw(seed, purpose, u64::from(mean)) as u32
}

/// Returns the arrivals of `seconds` of one class. One in `hot_one_in` requests has
/// the same shared part.
fn arrivals(class: &Class, seconds: u64, entries: usize, hot_one_in: u64) -> Vec<Arrival> {
    let rank = u64::from(class.rank);
    let pc: u64 = std::env::var("RATE").map_or(100, |v| v.parse().unwrap());
    let requests = 0..class.per_s * seconds * pc / 100;
    requests
        .map(|request| {
            let seed = rank << 32 | request;
            let subject = match draw(seed, 6, hot_one_in) {
                0 => rank << 32 | 1 << 31,
                _ => rank << 32 | draw(seed, 1, class.subjects),
            };
            Arrival {
                at_ms: draw(seed, 2, seconds * 1_000),
                entry: draw(seed, 3, entries as u64) as usize,
                subject,
                shared_tokens: length(subject, 4, class.shared_tokens),
                own_tokens: length(seed, 5, class.own_tokens),
                output_tokens: class.output_tokens,
                target_ms: class.target_ms,
                pause_target_ms: class.pause_target_ms,
                priority: u8::MAX - class.rank,
            }
        })
        .collect()
}

fn trace(classes: &[(&Class, u64)], seconds: u64, entries: usize) -> Vec<Arrival> {
    let mut trace: Vec<Arrival> = classes
        .iter()
        .flat_map(|(class, hot_one_in)| arrivals(class, seconds, entries, *hot_one_in))
        .collect();
    trace.sort_by_key(|arrival| arrival.at_ms);
    trace
}

fn simulation(entries: usize) -> Simulation {
    Simulation::new(Rule::Placer, ENGINES, BLOCKING_PREFILL, entries)
        .with_speeds(BLOCKING_PREFILL, &SPEEDS)
        .counting_from(WARM_UP_MS)
}

fn print(name: &str, entries: usize, outcome: &Outcome) {
    println!(
        "{name}, {entries} entries: {} requests, on time {:.3}, refused {}, prefilled again {:.3}, starved {:?}, by priority {:?}",
        outcome.requests,
        outcome.on_time_share(),
        outcome.refused,
        outcome.repeated_prefill_share(),
        outcome.starved,
        outcome.by_priority,
    );
}

/// Guards against the failure seen on sites with unequal engines: each entry
/// counted only its own requests, and prompts piled up at their home.
#[test]
fn entries_that_exchange_their_load_serve_nearly_as_many_as_one() {
    let all = |entries| trace(&[(&LONG, 40), (&MEDIUM, 40), (&SHORT, 40)], 8, entries);
    let reference = simulation(1).counting_peers(None).replay(&all(1));
    print("reference", 1, &reference);

    for entries in [1, 4, 24, 103] {
        let trace = all(entries);
        let before = simulation(entries).replay(&trace);
        print("before", entries, &before);
        let alone = simulation(entries).counting_peers(None).replay(&trace);
        print("alone", entries, &alone);
        let replay = |loss_percent| {
            let exchange = exchange(entries, loss_percent);
            simulation(entries)
                .counting_peers(Some(exchange))
                .replay(&trace)
        };
        let exchanged = replay(0);
        print("exchange", entries, &exchanged);
        let lossy = replay(50);
        print("half lost", entries, &lossy);
    }
}

#[test]
fn hot() {
    let trace = trace(&[(&LONG, 40), (&MEDIUM, 2), (&SHORT, 40)], 8, 22);
    let before = simulation(22).replay(&trace);
    print("before", 22, &before);
    let alone = simulation(22).counting_peers(None).replay(&trace);
    print("alone", 22, &alone);
    let exchanged = simulation(22)
        .counting_peers(Some(exchange(22, 0)))
        .replay(&trace);
    print("exchange", 22, &exchanged);
}
