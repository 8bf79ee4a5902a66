//! When which request is sent.

use rand::{rngs::StdRng, RngExt, SeedableRng};

use super::{plan::RequestKind, LoadPlan, Phase};

/// A planned request.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Time after the load's start, in microseconds.
    pub at_us: u64,
    /// Index of its flow.
    pub flow: usize,
    /// Number within the load.
    pub number: usize,
    /// Length of the answer, in tokens; 0 for a plain service.
    pub tokens: u32,
}

/// The arrivals of a load in order of time: a Poisson process for each phase.
pub fn arrivals(load: &LoadPlan) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (flow, planned) in load.flows.iter().enumerate() {
        // A generator for each flow: adding one does not move the others.
        let seed = load.seed.wrapping_mul(1_000_003).wrapping_add(flow as u64);
        let mut random = StdRng::seed_from_u64(seed);
        for phase in &planned.phases {
            for at_us in times(phase, load.requests_max, &mut random) {
                arrivals.push(Arrival {
                    at_us,
                    flow,
                    number: 0,
                    tokens: tokens(&planned.what, &mut random),
                });
            }
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at_us);
    arrivals.truncate(load.requests_max);
    for (number, arrival) in arrivals.iter_mut().enumerate() {
        arrival.number = number;
    }
    arrivals
}

/// Random times within a phase, at most `count_max`.
fn times(phase: &Phase, count_max: usize, random: &mut StdRng) -> Vec<u64> {
    let mut times = Vec::new();
    if phase.rate_per_s <= 0.0 {
        return times;
    }
    let end_s = phase.length_ms as f64 / 1000.0;
    let mut at_s = 0.0;
    while times.len() < count_max {
        let uniform: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
        at_s += -uniform.ln() / phase.rate_per_s;
        if at_s >= end_s {
            break;
        }
        times.push(phase.from_ms * 1000 + (at_s * 1e6) as u64);
    }
    times
}

fn tokens(what: &RequestKind, random: &mut StdRng) -> u32 {
    match what {
        RequestKind::Chat {
            tokens_min,
            tokens_max,
            ..
        } => random.random_range(*tokens_min..=(*tokens_max).max(*tokens_min)),
        RequestKind::Read { .. } | RequestKind::Order { .. } => 0,
    }
}
