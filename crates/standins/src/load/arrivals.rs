//! Schedules the arrivals of a load as Poisson processes.

use rand::{rngs::StdRng, RngExt, SeedableRng};

use super::{plan::RequestKind, LoadPlan, Phase};

/// Time and size of one planned request of a load.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Time after the start of the load, in microseconds.
    pub at_us: u64,
    /// Index of the flow in [`LoadPlan::flows`].
    pub flow: usize,
    /// Position within the load in order of time, from 0.
    pub number: usize,
    /// Requested completion length, in tokens; 0 for a plain service.
    pub tokens: u32,
}

/// Returns the arrivals of a load in order of time, at most `requests_max`;
/// each phase is a Poisson process.
pub fn arrivals(load: &LoadPlan) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (flow, planned) in load.flows.iter().enumerate() {
        // Each flow has its own generator, so that adding a flow does not
        // change the arrivals of the others.
        let seed = load.seed.wrapping_mul(1_000_003).wrapping_add(flow as u64);
        let mut random = StdRng::seed_from_u64(seed);
        for phase in &planned.phases {
            for at_us in arrival_times(phase, load.requests_max, &mut random) {
                arrivals.push(Arrival {
                    at_us,
                    flow,
                    number: 0,
                    tokens: random_tokens(&planned.what, &mut random),
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

/// Returns random arrival times within a phase, in microseconds, at most
/// `count_max`.
fn arrival_times(phase: &Phase, count_max: usize, random: &mut StdRng) -> Vec<u64> {
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

fn random_tokens(what: &RequestKind, random: &mut StdRng) -> u32 {
    match what {
        RequestKind::Chat {
            tokens_min,
            tokens_max,
            ..
        } => random.random_range(*tokens_min..=(*tokens_max).max(*tokens_min)),
        RequestKind::Read { .. } | RequestKind::Order { .. } => 0,
    }
}
