//! Power of d choices on an aged load, corrected by own observation.

use std::sync::{atomic::Ordering, Arc};

use types::TimeMs;

use super::{subset::rank, Candidate, Choice, ChoiceCriteria, ChoiceInputs, Pool};

/// Candidates compared for each choice.
const CHOICES: usize = 3;
/// A candidate is a straggler from this multiple of the median on.
const SLOW_RATIO: f64 = 2.5;
/// Slowness up to which a difference is taken for noise.
const SLOW_NOISE_RATIO: f64 = 1.25;
/// First-token time assumed before any was observed, in milliseconds.
const FIRST_TOKEN_ASSUMED_MS: f64 = 20.0;
/// Token gap assumed before any was observed, in milliseconds.
const TOKEN_GAP_ASSUMED_MS: f64 = 10.0;
/// Difference of first-token times that says little, in milliseconds.
const FIRST_TOKEN_NOISE_MS: f64 = 5.0;
/// Difference of token gaps that says little, in milliseconds.
const TOKEN_GAP_NOISE_MS: f64 = 1.0;
/// Pause of all streams that says little, in milliseconds.
const STALL_NOISE_MS: f64 = 5.0;
/// Time after which an observation counts half in a score, in milliseconds.
const OBSERVATION_HALF_LIFE_MS: f64 = 250.0;
/// Extra cost of an instance in another zone, as a factor.
const OTHER_ZONE_FACTOR: f64 = 1.1;
/// Load up to which affinity decides, as a multiple of the mean load.
const AFFINITY_LOAD_RATIO: f64 = 1.25;
/// Time after which a straggler may be tried again, in milliseconds.
const PROBE_AFTER_MS: u64 = 1_000;
/// Time after which a straggler is tried again at any rate, in milliseconds.
const PROBE_AFTER_MAX_MS: u64 = 5_000;
/// Choices between two trials of stragglers, so that trials stay out of the
/// 99th percentile.
const PROBE_EVERY: u64 = 250;

/// What is usual among the candidates.
struct Usual {
    first_token_ms: f64,
    token_gap_ms: f64,
}

impl Pool {
    pub(super) fn choose_aged(
        &self,
        now: TimeMs,
        open: &[&Arc<Candidate>],
        criteria: &ChoiceCriteria<'_>,
        random: u64,
    ) -> Choice {
        let usual = self.usual();
        let choices = self.shared.since_probe.fetch_add(1, Ordering::Relaxed);
        let due = |candidate: &&&Arc<Candidate>| may_probe(now, candidate, &usual, choices);
        if let Some(straggler) = open.iter().find(due) {
            self.shared.since_probe.store(0, Ordering::Relaxed);
            return self.chosen(now, &[straggler], 0, &usual, criteria, false);
        }
        let usable = usable(now, open, &usual);
        let mut sample = sample(&usable, random);
        if sample
            .iter()
            .all(|candidate| candidate.load(now) >= candidate.running_limit())
        {
            sample = usable.clone();
        }
        if let Some(home) = self.home(now, &usable, criteria) {
            return self.chosen(now, &[home], 0, &usual, criteria, true);
        }
        let score = |candidate: &Arc<Candidate>| self.score(now, candidate, &usual, criteria);
        let scores: Vec<f64> = sample.iter().map(|candidate| score(candidate)).collect();
        let lowest = (0..scores.len()).min_by(|a, b| scores[*a].total_cmp(&scores[*b]));
        self.chosen(now, &sample, lowest.unwrap_or(0), &usual, criteria, false)
    }

    fn chosen(
        &self,
        now: TimeMs,
        compared: &[&Arc<Candidate>],
        index: usize,
        usual: &Usual,
        criteria: &ChoiceCriteria<'_>,
        by_affinity: bool,
    ) -> Choice {
        let scored = |candidate: &&Arc<Candidate>| {
            let score = self.score(now, candidate, usual, criteria);
            (candidate.member.instance.clone(), score)
        };
        Choice {
            candidate: Arc::clone(compared[index]),
            inputs: ChoiceInputs {
                scores: compared.iter().map(scored).collect(),
                by_affinity,
            },
        }
    }

    fn usual(&self) -> Usual {
        let first_tokens = self.candidates.iter();
        let first_tokens = first_tokens.filter_map(|candidate| candidate.first_token_ms());
        let gaps = self.candidates.iter();
        let gaps = gaps.filter_map(|candidate| candidate.token_gap_ms());
        Usual {
            first_token_ms: median(first_tokens.collect()).unwrap_or(FIRST_TOKEN_ASSUMED_MS),
            token_gap_ms: median(gaps.collect()).unwrap_or(TOKEN_GAP_ASSUMED_MS),
        }
    }

    /// Expected time until the request is under way, in milliseconds.
    fn score(
        &self,
        now: TimeMs,
        candidate: &Candidate,
        usual: &Usual,
        criteria: &ChoiceCriteria<'_>,
    ) -> f64 {
        let load = candidate.load(now);
        let limit = candidate.running_limit();
        let service_ms = f64::from(criteria.expected_tokens.max(1)) * usual.token_gap_ms;
        let excess = (load + 1.0 - limit).max(0.0) / limit;
        let waiting_ms = usual.first_token_ms * (1.0 + load / limit) + excess * service_ms;
        let zone = match &self.own_zone {
            Some(zone) if *zone != candidate.member.zone => OTHER_ZONE_FACTOR,
            _ => 1.0,
        };
        waiting_ms * faded_slowness(now, candidate, usual) * zone
    }

    /// The candidate whose cache most likely holds the prompt's prefix, while
    /// its load is near the mean.
    fn home<'a>(
        &self,
        now: TimeMs,
        usable: &[&'a Arc<Candidate>],
        criteria: &ChoiceCriteria<'_>,
    ) -> Option<&'a Arc<Candidate>> {
        if criteria.prefix_hash == 0 {
            return None;
        }
        let by_rank =
            |candidate: &&&Arc<Candidate>| rank(criteria.prefix_hash, &candidate.member.instance);
        let home = usable.iter().max_by_key(by_rank)?;
        let loads = usable.iter().map(|candidate| candidate.load(now));
        let mean = loads.sum::<f64>() / usable.len() as f64;
        let bound = mean * AFFINITY_LOAD_RATIO + 1.0;
        let load = home.load(now);
        (load <= bound && load < home.running_limit()).then_some(home)
    }
}

/// How much slower than usual a candidate is by own observation.
fn slowness(now: TimeMs, candidate: &Candidate, usual: &Usual) -> f64 {
    let first_token = candidate.first_token_ms().unwrap_or(usual.first_token_ms);
    let token_gap = candidate.token_gap_ms().unwrap_or(usual.token_gap_ms);
    let silence = candidate.silent_ms(now) as f64;
    let first_token = ratio(first_token, usual.first_token_ms, FIRST_TOKEN_NOISE_MS);
    let token_gap = ratio(token_gap, usual.token_gap_ms, TOKEN_GAP_NOISE_MS);
    let silence = ratio(silence, usual.first_token_ms, FIRST_TOKEN_NOISE_MS);
    let stalled = candidate.stalled_ms(now) as f64;
    let stalled = ratio(stalled, usual.token_gap_ms, STALL_NOISE_MS);
    first_token.max(token_gap).max(silence).max(stalled)
}

/// Slowness as it counts in a score: an old observation counts less, so that a
/// candidate that was slow once is used again.
fn faded_slowness(now: TimeMs, candidate: &Candidate, usual: &Usual) -> f64 {
    let slowness = slowness(now, candidate, usual).max(1.0);
    let half_lives = candidate.unobserved_ms(now) as f64 / OBSERVATION_HALF_LIFE_MS;
    let faded = 1.0 + (slowness - 1.0) * (-half_lives).exp2();
    match faded > SLOW_NOISE_RATIO {
        true => faded,
        false => 1.0,
    }
}

/// A ratio of times in which differences below `noise_ms` say little.
fn ratio(time_ms: f64, usual_ms: f64, noise_ms: f64) -> f64 {
    (time_ms + noise_ms) / (usual_ms + noise_ms)
}

/// Whether a straggler may be tried again: alone, after a pause, and rarely.
fn may_probe(now: TimeMs, candidate: &Candidate, usual: &Usual, choices: u64) -> bool {
    if candidate.is_awaited() || candidate.is_failed(now) || candidate.is_full(now) {
        return false;
    }
    let idle_ms = candidate.unobserved_ms(now);
    let rarely = choices >= PROBE_EVERY && idle_ms >= PROBE_AFTER_MS;
    let due = rarely || idle_ms >= PROBE_AFTER_MAX_MS;
    due && slowness(now, candidate, usual) >= SLOW_RATIO
}

/// The candidates without failures, refusals and stragglers. If there are
/// none, or if they all queue, the weakest reasons are dropped first.
fn usable<'a>(now: TimeMs, open: &[&'a Arc<Candidate>], usual: &Usual) -> Vec<&'a Arc<Candidate>> {
    let keep = |fits: &dyn Fn(&Candidate) -> bool| -> Vec<&'a Arc<Candidate>> {
        let fitting = open.iter().filter(|candidate| fits(candidate));
        fitting.copied().collect()
    };
    let sound = |candidate: &Candidate| !candidate.is_failed(now);
    let with_room = |candidate: &Candidate| sound(candidate) && !candidate.is_full(now);
    let fast = |candidate: &Candidate| {
        with_room(candidate) && slowness(now, candidate, usual) < SLOW_RATIO
    };
    let mut kept = keep(&fast);
    // Stragglers that are free may still be better than a queue.
    if kept.iter().all(|candidate| candidate.is_queueing(now)) {
        kept = keep(&with_room);
    }
    if kept.is_empty() {
        kept = keep(&sound);
    }
    if kept.is_empty() {
        kept = open.to_vec();
    }
    kept
}

/// At most [`CHOICES`] different candidates, at random.
fn sample<'a>(usable: &[&'a Arc<Candidate>], random: u64) -> Vec<&'a Arc<Candidate>> {
    let mut left = usable.to_vec();
    let mut sample = Vec::with_capacity(CHOICES);
    let mut random = random;
    while sample.len() < CHOICES && !left.is_empty() {
        let index = random % left.len() as u64;
        random /= left.len() as u64;
        sample.push(left.swap_remove(index as usize));
    }
    sample
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    values.sort_by(f64::total_cmp);
    Some(values[(values.len() - 1) / 2])
}
