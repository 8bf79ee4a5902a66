//! Learned capacity of instances: engines of unequal speed and plain services
//! that slow down before their slots are taken.
//!
//! `--nocapture` prints the tables in docs/design/capacity.md.
#![allow(missing_docs)]

mod support;

use policy::placement::{
    Capacity, CopyDecision, Demand, InstanceSpec, Part, Placement, Placer, Ticket,
};
use rapidhash::v3::rapidhash_v3;
use rstest::rstest;
use support::engine::{Timing, BLOCKING_PREFILL};
use support::prompts::{instance, instance_spec, Arrival, Outcome, Rule, Simulation};
use types::{Priority, TimeMs};

/// Share of the requests to engines, length of the shared and the own part of
/// the prompt, length of the answer, targets and priority.
type Class = (u64, u32, u32, u32, u64, u64, u8);

/// Classes of the deployment with unequal engines.
const CLASSES: [Class; 3] = [
    (35, 13_300, 3_720, 60, 2_000, 800, 10),
    (28, 6_300, 2_890, 40, 650, 325, 20),
    (37, 350, 1_110, 88, 400, 200, 30),
];

fn draw(seed: u64, purpose: u64, bound: u64) -> u64 {
    rapidhash_v3(&[seed.to_le_bytes(), purpose.to_le_bytes()].concat()) % bound
}

/// Draws a length around `mean`: half to one and a half of it.
fn length(seed: u64, purpose: u64, mean: u32) -> u32 {
    mean / 2 + draw(seed, purpose, u64::from(mean)) as u32
}

/// Returns the arrivals of `seconds`, spread over `entries`.
fn trace(per_s: u64, seconds: u64, entries: usize) -> Vec<Arrival> {
    let mut trace: Vec<Arrival> = (0..per_s * seconds)
        .map(|request| {
            let seed = request << 8;
            let mut ticket = draw(seed, 1, 100);
            let mut class = 0;
            while ticket >= CLASSES[class].0 {
                ticket -= CLASSES[class].0;
                class += 1;
            }
            let (_, shared, own, output_tokens, target_ms, pause_target_ms, priority) =
                CLASSES[class];
            let subject = (class as u64) << 32 | draw(seed, 2, 200);
            Arrival {
                at_ms: draw(seed, 3, seconds * 1_000),
                entry: draw(seed, 4, entries as u64) as usize,
                subject,
                shared_tokens: length(subject, 5, shared),
                own_tokens: length(seed, 6, own),
                output_tokens,
                target_ms,
                pause_target_ms,
                priority,
            }
        })
        .collect();
    trace.sort_by_key(|arrival| arrival.at_ms);
    trace
}

fn timing(speed: f64, first_event_ms: f64) -> Timing {
    BLOCKING_PREFILL
        .with_speed(speed)
        .with_first_event_ms(first_event_ms)
}

/// Returns `engines` timings with these speeds in rotation.
fn timings(speeds: &[f64], engines: usize, first_event_ms: f64) -> Vec<Timing> {
    (0..engines)
        .map(|number| timing(speeds[number % speeds.len()], first_event_ms))
        .collect()
}

fn simulate(timings: &[Timing], entries: usize, trace: &[Arrival], learning: bool) -> Simulation {
    let mut simulation = Simulation::with_timings(Rule::Placer, timings, entries);
    for placer in &mut simulation.placers {
        placer.set_capacity_learning(learning);
    }
    simulation.run(trace);
    simulation
}

fn print(name: &str, learning: bool, outcome: &Outcome) {
    println!(
        "\n{name}, learning {learning}: {} requests, on time {:.3}, refused {}, prefilled again {:.3}, by priority {}",
        outcome.requests,
        outcome.on_time_share(),
        outcome.refused,
        outcome.repeated_prefill_share(),
        outcome
            .by_priority
            .values()
            .map(|(all, on_time)| format!("{:.3} ", f64::from(*on_time) / f64::from(*all)))
            .collect::<String>(),
    );
}

fn learned_speeds(placer: &Placer, engines: usize) -> Vec<f64> {
    (0..engines)
        .map(|number| {
            placer
                .learned_capacity(&instance(number))
                .map_or(0.0, |one| one.speed)
        })
        .collect()
}

/// Prints how far the learned speeds are from the true ones, both relative to
/// the median.
fn print_errors(placer: &Placer, timings: &[Timing]) {
    let learned = learned_speeds(placer, timings.len());
    let mut sorted: Vec<f64> = timings.iter().map(Timing::speed).collect();
    sorted.sort_by(f64::total_cmp);
    let median = sorted[sorted.len() / 2];
    let mut errors: Vec<f64> = timings
        .iter()
        .zip(&learned)
        .map(|(timing, learned)| learned / (timing.speed() / median))
        .collect();
    println!("{learned:.2?}");
    errors.sort_by(f64::total_cmp);
    let quantile = |share: f64| errors[(share * (errors.len() - 1) as f64) as usize];
    println!(
        "  learned to true speed: least {:.2}, tenth {:.2}, median {:.2}, nine tenths {:.2}, most {:.2}",
        quantile(0.0), quantile(0.1), quantile(0.5), quantile(0.9), quantile(1.0)
    );
}

/// Engines of one deployment: speeds in rotation, duration of a step, its part
/// per request, chunk of a prefill and time to the first event after it.
type Site = (&'static [f64], f64, f64, u64, f64);

const UNEQUAL: &[f64] = &[0.55, 1.2, 1.2, 1.2];
const A_THIRD_FASTER: &[f64] = &[1.0, 1.0, 1.3];
const EQUAL: &[f64] = &[1.0];

/// Guards against predictions that assume one prefill rate: requests waited at
/// slow engines while faster ones had room. Equal engines serve as many on time
/// as without learning; 0.01 is the noise of a replay.
#[rstest]
#[case::unequal((UNEQUAL, 3.79, 0.0893, 2_048, 16.0))]
#[case::unequal_slow_steps((UNEQUAL, 6.6, 0.17, 2_048, 120.0))]
#[case::unequal_fast_steps((UNEQUAL, 3.7, 0.02, 1_024, 1.0))]
#[case::a_third_faster((A_THIRD_FASTER, 3.79, 0.0893, 2_048, 16.0))]
#[case::equal_first_event_early((EQUAL, 3.79, 0.0893, 2_048, 1.0))]
#[case::equal((EQUAL, 3.79, 0.0893, 2_048, 16.0))]
#[case::equal_first_event_late((EQUAL, 3.79, 0.0893, 2_048, 120.0))]
#[case::equal_slow_steps((EQUAL, 6.6, 0.17, 1_024, 120.0))]
fn engines_serve_as_many_on_time_with_learned_speeds(
    #[case] site: Site,
    #[values(1, 22)] entries: usize,
    #[values(150, 250, 400)] per_s: u64,
) {
    let (speeds, step_ms, step_per_request_ms, chunk_tokens, first_event_ms) = site;
    let timings: Vec<Timing> = timings(speeds, 41, first_event_ms)
        .into_iter()
        .map(|timing| {
            timing
                .with_step(step_ms, step_per_request_ms)
                .with_chunk_tokens(chunk_tokens)
        })
        .collect();
    let trace = trace(per_s, 40, entries);

    let with = simulate(&timings, entries, &trace, true);
    let without = simulate(&timings, entries, &trace, false);

    let name = format!("{site:?}, {entries} entries, {per_s}/s");
    print(&name, true, &with.outcome);
    print(&name, false, &without.outcome);
    print_errors(&with.placers[0], &timings);
    match speeds == UNEQUAL && entries > 1 {
        true => assert!(with.outcome.on_time > without.outcome.on_time),
        false => assert!(with.outcome.on_time_share() >= without.outcome.on_time_share() - 0.01),
    }
}

/// Streams whose events the test sends to a placer.
struct Streams {
    placer: Placer,
    now: u64,
}

impl Streams {
    /// Lets each of `engines` instances serve streams of 20 events for
    /// `seconds`, one after another, with `gap_ms` between the events at
    /// the instance with this number and at this time.
    fn run(&mut self, engines: usize, seconds: u64, gap_ms: impl Fn(usize, u64) -> u64) {
        let end = self.now + seconds * 1_000;
        let mut next = vec![self.now; engines];
        loop {
            let engine = (0..engines).min_by_key(|engine| next[*engine]).unwrap_or(0);
            if next[engine] >= end {
                break;
            }
            next[engine] = self.stream(engine, next[engine], &gap_ms);
        }
        self.now = end;
    }

    fn stream(&mut self, engine: usize, start: u64, gap_ms: &impl Fn(usize, u64) -> u64) -> u64 {
        let demand = demand(1_110);
        let placement = placement(engine);
        let mut ticket = self.placer.on_sent(TimeMs(start), &demand, &placement);
        let mut at = start + 4 * gap_ms(engine, start);
        self.placer
            .on_first_event(TimeMs(at), &placement.instance, &mut ticket);
        for _ in 0..20 {
            at += gap_ms(engine, at);
            self.placer
                .on_next_event(TimeMs(at), &placement.instance, &mut ticket);
        }
        self.placer.on_end(&placement.instance, ticket);
        at
    }

    fn speed(&mut self, engine: usize) -> f64 {
        // Learned values are updated when a request is sent, five times per
        // second.
        self.now += 200;
        let ticket = self
            .placer
            .on_sent(TimeMs(self.now), &demand(1_110), &placement(engine));
        self.placer.on_end(&instance(engine), ticket);
        learned_speeds(&self.placer, engine + 1)[engine]
    }
}

fn demand(tokens: u32) -> Demand {
    Demand {
        parts: [Part { id: 1, tokens }].into(),
        prompt_tokens: tokens,
        output_tokens: 80,
        target_ms: 400,
        pause_target_ms: 200,
        priority: Priority(u8::MAX),
    }
}

fn placement(engine: usize) -> Placement {
    Placement {
        instance: instance(engine),
        predicted_ms: 50.0,
        cached_tokens: 0,
        home_rank: 0,
        in_flight: 0,
        prefix_copy: CopyDecision::NotNeeded,
    }
}

fn streams(engines: usize) -> Streams {
    let members: Vec<InstanceSpec> = (0..engines).map(instance_spec).collect();
    let mut placer = Placer::default();
    placer.set_members(&members);
    Streams { placer, now: 0 }
}

/// A slow-down shows within two seconds of observations, a recovery within
/// five.
#[test]
fn the_estimate_follows_a_slow_down_and_a_recovery() {
    let mut streams = streams(4);
    streams.run(4, 10, |_, _| 16);

    streams.run(4, 2, |engine, _| if engine == 0 { 32 } else { 16 });
    let slow = streams.speed(0);
    streams.run(4, 5, |_, _| 16);
    let recovered = streams.speed(0);

    println!("half as fast: {slow:.2} after 2 s; again as fast: {recovered:.2} after 5 s");
    assert!((0.4..=0.6).contains(&slow), "{slow}");
    assert!((0.9..=1.1).contains(&recovered), "{recovered}");
}

/// A neighbour on the machine that slows an engine down for 0.6 s at a time,
/// for 15 % of the time, and prefill of other prompts do not change the
/// estimate.
#[test]
fn noise_does_not_change_the_estimate() {
    let mut streams = streams(8);
    streams.run(8, 10, |_, _| 16);
    let gap_ms = |engine: usize, at: u64| {
        let number = engine as u64;
        let is_noisy = draw(at / 600, number, 100) < 15;
        let has_prefill = draw(at, 100 + number, 4) == 0;
        let gap_ms = if has_prefill { 56 } else { 16 };
        if is_noisy {
            gap_ms * 5 / 2
        } else {
            gap_ms
        }
    };

    for second in 0..120 {
        streams.run(8, 1, gap_ms);

        for engine in 0..8 {
            let speed = streams.speed(engine);
            assert!(
                (0.8..=1.25).contains(&speed),
                "engine {engine} after {second} s: {speed}"
            );
        }
    }
}

/// Speeds are kept for minutes without observations and return to the median
/// in the end.
#[test]
fn a_learned_speed_is_kept_for_minutes_and_drifts_to_the_median() {
    let mut streams = streams(4);
    streams.run(4, 10, |engine, _| if engine == 0 { 32 } else { 16 });
    let learned = streams.speed(0);

    streams.now += 120_000;
    let after_minutes = streams.speed(0);
    streams.now += 3_600_000;
    let after_an_hour = streams.speed(0);

    println!("{learned:.2}, after 2 minutes {after_minutes:.2}, after an hour {after_an_hour:.2}");
    assert!((0.4..=0.6).contains(&learned), "{learned}");
    assert!(after_minutes < 0.7, "{after_minutes}");
    assert!(after_an_hour > 0.95, "{after_an_hour}");
}

/// Speeds of engines in one upstream, as one gateway and as one of 22 learn
/// them under ordinary load.
#[rstest]
#[case::one_gateway(1, 30)]
#[case::one_of_22_gateways(22, 180)]
fn speeds_are_learned_within_a_fifth(#[case] entries: usize, #[case] seconds: u64) {
    let speeds = [0.55, 1.0, 1.2, 1.3];
    let timings = timings(&speeds, 40, 16.0);
    let trace = trace(150, seconds, entries);

    let simulation = simulate(&timings, entries, &trace, true);

    print_errors(&simulation.placers[0], &timings);
    let learned = learned_speeds(&simulation.placers[0], 40);
    let wrong = timings
        .iter()
        .zip(&learned)
        .filter(|(timing, learned)| !(0.8..=1.25).contains(&(*learned / timing.speed() * 1.1)))
        .count();
    assert!(wrong <= 4, "{wrong} of 40: {learned:?}");
}

/// Plain instances, of which some slow down before their slots are taken.
struct Services {
    /// Number of concurrent requests up to which each instance is fast.
    fast_slots: Vec<u32>,
    placers: Vec<Placer>,
    /// End of each request in flight, its entry, instance and ticket.
    in_flight: Vec<(u64, usize, usize, u64, Ticket)>,
    in_time: u32,
    total_ms: u64,
    requests: u32,
    refused: u32,
}

impl Services {
    const SLOTS: u32 = 6;
    const SERVICE_MS: f64 = 40.0;
    const TARGET_MS: u64 = 120;

    fn new(fast_slots: &[u32], entries: usize, learning: bool) -> Self {
        let members: Vec<InstanceSpec> = (0..fast_slots.len())
            .map(|number| InstanceSpec {
                capacity: Capacity::Service { slots: Self::SLOTS },
                ..instance_spec(number)
            })
            .collect();
        let placer = || {
            let mut placer = Placer::default();
            placer.set_capacity_learning(learning);
            placer.set_members(&members);
            placer
        };
        Self {
            fast_slots: fast_slots.to_vec(),
            placers: (0..entries).map(|_| placer()).collect(),
            in_flight: Vec::new(),
            in_time: 0,
            total_ms: 0,
            requests: 0,
            refused: 0,
        }
    }

    fn concurrent(&self, instance: usize) -> u32 {
        self.in_flight
            .iter()
            .filter(|(_, _, at, ..)| *at == instance)
            .count() as u32
    }

    /// Sends a request to an instance with a free slot; `None` if none has one.
    fn send(&mut self, now: u64, entry: usize, demand: &Demand) -> Option<(usize, Ticket)> {
        let mut excluded = Vec::new();
        loop {
            let placement = self.placers[entry].choose(TimeMs(now), demand, &excluded)?;
            let ticket = self.placers[entry].on_sent(TimeMs(now), demand, &placement);
            let number: usize = placement.instance.as_str()[2..].parse().ok()?;
            if self.concurrent(number) < Self::SLOTS {
                return Some((number, ticket));
            }
            self.placers[entry].on_full(TimeMs(now), &placement.instance);
            self.placers[entry].on_end(&placement.instance, ticket);
            excluded.push(placement.instance);
        }
    }

    /// Sends `per_s` requests per second for `seconds`. A request beyond the
    /// fast slots takes 1.7 times as long per further request. Instances refuse
    /// requests beyond their slots, which are sent elsewhere.
    fn run(mut self, per_s: u64, seconds: u64) -> Self {
        let demand = Demand {
            target_ms: Self::TARGET_MS as u32,
            ..Demand::default()
        };
        let mut arrivals: Vec<u64> = (0..per_s * seconds)
            .map(|request| draw(request, 7, seconds * 1_000))
            .collect();
        arrivals.sort_unstable();
        let mut arrivals = arrivals.into_iter().enumerate().peekable();
        for now in 0..seconds * 1_000 + 5_000 {
            let ended: Vec<_> = self
                .in_flight
                .extract_if(.., |(end, ..)| *end <= now)
                .collect();
            for (_, entry, number, sent_at, mut ticket) in ended {
                let placer = &mut self.placers[entry];
                placer.on_first_event(TimeMs(now), &instance(number), &mut ticket);
                placer.on_end(&instance(number), ticket);
                self.total_ms += now - sent_at;
                self.in_time += u32::from(now - sent_at <= Self::TARGET_MS);
            }
            while let Some((request, _)) = arrivals.next_if(|(_, at)| *at <= now) {
                self.requests += 1;
                let entry = draw(request as u64, 8, self.placers.len() as u64) as usize;
                let Some((number, ticket)) = self.send(now, entry, &demand) else {
                    self.refused += 1;
                    continue;
                };
                let concurrent = self.concurrent(number) + 1;
                let excess = concurrent.saturating_sub(self.fast_slots[number]);
                let noise = 0.8 + draw(request as u64, 9, 400) as f64 / 1_000.0;
                let service_ms = Self::SERVICE_MS * noise * 1.7_f64.powi(excess as i32);
                let end = now + service_ms as u64;
                self.in_flight.push((end, entry, number, now, ticket));
            }
        }
        self
    }
}

/// Guards against calls that are sent to an instance which is slow although it
/// has slots, while others have room.
#[rstest]
fn plain_instances_that_slow_down_at_half_of_their_slots_get_less(
    #[values(1, 4, 22)] entries: usize,
    #[values(180, 300)] per_s: u64,
) {
    let run = |fast: &[u32], learning| Services::new(fast, entries, learning).run(per_s, 30);

    let with = run(&[3, 6, 6, 3], true);
    let without = run(&[3, 6, 6, 3], false);
    let equal_with = run(&[6, 6, 6, 6], true);
    let equal_without = run(&[6, 6, 6, 6], false);

    for (name, services) in [
        ("learned", &with),
        ("not learned", &without),
        ("equal, learned", &equal_with),
        ("equal, not learned", &equal_without),
    ] {
        println!(
            "plain, {entries} entries, {per_s}/s, {name}: in time {:.4}, mean {:.1} ms, refused {}",
            f64::from(services.in_time) / f64::from(services.requests),
            services.total_ms as f64 / f64::from(services.requests),
            services.refused,
        );
    }
    let share = |services: &Services| f64::from(services.in_time) / f64::from(services.requests);
    match entries {
        // One of 22 gateways rarely has two requests at an instance, so it
        // cannot tell its own load from that of the others.
        22 => assert!(share(&with) >= share(&without) - 0.01),
        _ => assert!(share(&with) > share(&without)),
    }
    assert!(share(&equal_with) >= share(&equal_without) - 0.01);
}

/// A slow-down and a recovery are reported while the estimate follows them, and
/// nothing is reported while it is stable. Guards against a log line for each
/// update.
#[test]
fn only_changes_of_capacity_are_reported() {
    let mut streams = streams(4);
    let mut reports = Vec::new();
    for second in 0..60 {
        let is_slow = (20..40).contains(&second);
        streams.run(
            4,
            1,
            |engine, _| if engine == 0 && is_slow { 32 } else { 16 },
        );
        let changes = streams.placer.take_capacity_changes(TimeMs(streams.now));
        reports.extend(changes.into_iter().map(|change| (second, change)));
    }

    assert!(reports
        .iter()
        .all(|(_, change)| change.instance == instance(0)));
    let seconds: Vec<u64> = reports.iter().map(|(second, _)| *second).collect();
    let is_following = |second: &u64| (20..30).contains(second) || (40..50).contains(second);
    assert!(seconds.iter().all(is_following), "{seconds:?}");
    let after = |range: std::ops::Range<u64>| {
        let mut in_range = reports.iter().filter(|(second, _)| range.contains(second));
        in_range
            .next_back()
            .map_or(0.0, |(_, change)| change.after.speed)
    };
    assert!((0.4..=0.6).contains(&after(20..30)), "{reports:?}");
    assert!((0.9..=1.1).contains(&after(40..50)), "{reports:?}");
}
