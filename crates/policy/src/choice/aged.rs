//! The rule [`Rule::Aged`](super::Rule::Aged): power of d choices by a score
//! that combines aging load reports with the entry's own observations.

use std::sync::{atomic::Ordering, Arc};

use types::TimeMs;

use super::{subset::rendezvous_score, Candidate, Choice, ChoiceCriteria, ChoiceInputs, Pool};

/// Number of candidates compared per choice.
const SAMPLE_SIZE: usize = 3;
/// Minimum slowness of a straggler, as a multiple of the median.
const STRAGGLER_RATIO: f64 = 2.5;
/// Slowness, as a multiple of the median, up to which a difference counts as
/// noise.
const NOISE_RATIO: f64 = 1.25;
/// Median first-token time assumed until one is observed or reported.
const ASSUMED_FIRST_TOKEN_MS: f64 = 20.0;
/// Median time between tokens assumed until one is observed.
const ASSUMED_TOKEN_GAP_MS: f64 = 10.0;
/// Difference of first-token times below which the effect on the slowness is
/// small.
const FIRST_TOKEN_NOISE_MS: f64 = 5.0;
/// Difference of token gaps below which the effect on the slowness is small.
const TOKEN_GAP_NOISE_MS: f64 = 1.0;
/// Time without a token on any running stream below which the effect on the
/// slowness is small.
const STALL_NOISE_MS: f64 = 5.0;
/// Half-life of an observed slowness in a score.
const OBSERVATION_HALF_LIFE_MS: f64 = 250.0;
/// Cost factor of an instance in another zone.
const OTHER_ZONE_FACTOR: f64 = 1.1;
/// Load up to which prefix affinity decides, as a multiple of the mean load.
const AFFINITY_LOAD_RATIO: f64 = 1.25;
/// Minimum time without observations before a straggler may be probed.
const PROBE_IDLE_MIN_MS: u64 = 1_000;
/// Time without observations after which a straggler is probed regardless of
/// [`PROBE_INTERVAL_CHOICES`].
const PROBE_IDLE_MAX_MS: u64 = 5_000;
/// Minimum number of choices between two probes of stragglers, so that probes
/// do not affect the 99th percentile of the time to the first token.
const PROBE_INTERVAL_CHOICES: u64 = 250;

/// Medians of the candidates' averages, to which a slow candidate is compared.
struct Medians {
    first_token_ms: f64,
    token_gap_ms: f64,
}

impl Pool {
    pub(super) fn choose_aged(
        &self,
        now: TimeMs,
        eligible: &[&Arc<Candidate>],
        criteria: &ChoiceCriteria<'_>,
        random: u64,
    ) -> Choice {
        let medians = self.medians();
        let choices = self
            .shared
            .choices_since_probe
            .fetch_add(1, Ordering::Relaxed);
        let due = |candidate: &&&Arc<Candidate>| may_probe(now, candidate, &medians, choices);
        if let Some(straggler) = eligible.iter().find(due) {
            self.shared.choices_since_probe.store(0, Ordering::Relaxed);
            return self.choice_of(now, &[straggler], 0, &medians, criteria, false);
        }
        let usable = usable(now, eligible, &medians);
        let mut sample = sample(&usable, random);
        if sample
            .iter()
            .all(|candidate| candidate.load(now) >= candidate.running_limit())
        {
            sample = usable.clone();
        }
        if let Some(affinity_candidate) = self.affinity_candidate(now, &usable, criteria) {
            return self.choice_of(now, &[affinity_candidate], 0, &medians, criteria, true);
        }
        let score = |candidate: &Arc<Candidate>| self.score(now, candidate, &medians, criteria);
        let scores: Vec<f64> = sample.iter().map(|candidate| score(candidate)).collect();
        let lowest = (0..scores.len()).min_by(|a, b| scores[*a].total_cmp(&scores[*b]));
        self.choice_of(now, &sample, lowest.unwrap_or(0), &medians, criteria, false)
    }

    fn choice_of(
        &self,
        now: TimeMs,
        compared: &[&Arc<Candidate>],
        index: usize,
        medians: &Medians,
        criteria: &ChoiceCriteria<'_>,
        by_affinity: bool,
    ) -> Choice {
        let scored = |candidate: &&Arc<Candidate>| {
            let score = self.score(now, candidate, medians, criteria);
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

    fn medians(&self) -> Medians {
        let first_tokens = self.candidates.iter();
        let first_tokens = first_tokens.filter_map(|candidate| candidate.first_token_ms());
        let gaps = self.candidates.iter();
        let gaps = gaps.filter_map(|candidate| candidate.token_gap_ms());
        Medians {
            first_token_ms: median(first_tokens.collect()).unwrap_or(ASSUMED_FIRST_TOKEN_MS),
            token_gap_ms: median(gaps.collect()).unwrap_or(ASSUMED_TOKEN_GAP_MS),
        }
    }

    /// Returns the expected time until the first token, in milliseconds,
    /// multiplied by the slowness of the instance and the factor of its zone.
    fn score(
        &self,
        now: TimeMs,
        candidate: &Candidate,
        medians: &Medians,
        criteria: &ChoiceCriteria<'_>,
    ) -> f64 {
        let load = candidate.load(now);
        let limit = candidate.running_limit();
        let service_ms = f64::from(criteria.expected_tokens.max(1)) * medians.token_gap_ms;
        let excess = (load + 1.0 - limit).max(0.0) / limit;
        let waiting_ms = medians.first_token_ms * (1.0 + load / limit) + excess * service_ms;
        let zone = match &self.own_zone {
            Some(zone) if *zone != candidate.member.zone => OTHER_ZONE_FACTOR,
            _ => 1.0,
        };
        waiting_ms * decayed_slowness(now, candidate, medians) * zone
    }

    /// Returns the candidate whose cache most likely holds the prompt's prefix,
    /// if its load is near the mean.
    fn affinity_candidate<'a>(
        &self,
        now: TimeMs,
        usable: &[&'a Arc<Candidate>],
        criteria: &ChoiceCriteria<'_>,
    ) -> Option<&'a Arc<Candidate>> {
        if criteria.prefix_hash == 0 {
            return None;
        }
        let by_score = |candidate: &&&Arc<Candidate>| {
            rendezvous_score(criteria.prefix_hash, &candidate.member.instance)
        };
        let affinity_candidate = usable.iter().max_by_key(by_score)?;
        let loads = usable.iter().map(|candidate| candidate.load(now));
        let mean = loads.sum::<f64>() / usable.len() as f64;
        let bound = mean * AFFINITY_LOAD_RATIO + 1.0;
        let load = affinity_candidate.load(now);
        (load <= bound && load < affinity_candidate.running_limit()).then_some(affinity_candidate)
    }
}

/// Returns the slowness of a candidate relative to the medians, by the entry's
/// own observations.
fn slowness(now: TimeMs, candidate: &Candidate, medians: &Medians) -> f64 {
    let first_token = candidate.first_token_ms().unwrap_or(medians.first_token_ms);
    let token_gap = candidate.token_gap_ms().unwrap_or(medians.token_gap_ms);
    let silence = candidate.silent_ms(now) as f64;
    let first_token = ratio(first_token, medians.first_token_ms, FIRST_TOKEN_NOISE_MS);
    let token_gap = ratio(token_gap, medians.token_gap_ms, TOKEN_GAP_NOISE_MS);
    let silence = ratio(silence, medians.first_token_ms, FIRST_TOKEN_NOISE_MS);
    let stalled = candidate.stalled_ms(now) as f64;
    let stalled = ratio(stalled, medians.token_gap_ms, STALL_NOISE_MS);
    first_token.max(token_gap).max(silence).max(stalled)
}

/// Returns the slowness for a score: old observations count less, so that a
/// candidate that was slow once is used again.
fn decayed_slowness(now: TimeMs, candidate: &Candidate, medians: &Medians) -> f64 {
    let slowness = slowness(now, candidate, medians).max(1.0);
    let half_lives = candidate.observation_age_ms(now) as f64 / OBSERVATION_HALF_LIFE_MS;
    let decayed = 1.0 + (slowness - 1.0) * (-half_lives).exp2();
    match decayed > NOISE_RATIO {
        true => decayed,
        false => 1.0,
    }
}

/// Returns `time_ms` relative to `median_ms`. `noise_ms` is added to both, so
/// that smaller differences have little effect.
fn ratio(time_ms: f64, median_ms: f64, noise_ms: f64) -> f64 {
    (time_ms + noise_ms) / (median_ms + noise_ms)
}

/// Returns whether the candidate is a straggler that may be probed now: no
/// first token is awaited from it, and it was not observed for
/// [`PROBE_IDLE_MAX_MS`], or for [`PROBE_IDLE_MIN_MS`] if
/// [`PROBE_INTERVAL_CHOICES`] were made since the last probe.
fn may_probe(now: TimeMs, candidate: &Candidate, medians: &Medians, choices: u64) -> bool {
    if candidate.is_awaiting_first_token() || candidate.is_failed(now) || candidate.is_full(now) {
        return false;
    }
    let age_ms = candidate.observation_age_ms(now);
    let due_by_interval = choices >= PROBE_INTERVAL_CHOICES && age_ms >= PROBE_IDLE_MIN_MS;
    let due = due_by_interval || age_ms >= PROBE_IDLE_MAX_MS;
    due && slowness(now, candidate, medians) >= STRAGGLER_RATIO
}

/// Returns the candidates except stragglers and those with recent failures or
/// refusals. If each candidate left has a queue, or none is left, stragglers
/// are included; if there are still none, refusals and then failures are
/// ignored too.
fn usable<'a>(
    now: TimeMs,
    eligible: &[&'a Arc<Candidate>],
    medians: &Medians,
) -> Vec<&'a Arc<Candidate>> {
    let keep = |predicate: &dyn Fn(&Candidate) -> bool| -> Vec<&'a Arc<Candidate>> {
        let matching = eligible.iter().filter(|candidate| predicate(candidate));
        matching.copied().collect()
    };
    let healthy = |candidate: &Candidate| !candidate.is_failed(now);
    let has_capacity = |candidate: &Candidate| healthy(candidate) && !candidate.is_full(now);
    let fast = |candidate: &Candidate| {
        has_capacity(candidate) && slowness(now, candidate, medians) < STRAGGLER_RATIO
    };
    let mut kept = keep(&fast);
    // An idle straggler may still answer before an instance with a queue.
    if kept.iter().all(|candidate| candidate.is_queueing(now)) {
        kept = keep(&has_capacity);
    }
    if kept.is_empty() {
        kept = keep(&healthy);
    }
    if kept.is_empty() {
        kept = eligible.to_vec();
    }
    kept
}

/// Draws at most [`SAMPLE_SIZE`] distinct candidates at random.
fn sample<'a>(usable: &[&'a Arc<Candidate>], random: u64) -> Vec<&'a Arc<Candidate>> {
    let mut remaining = usable.to_vec();
    let mut sample = Vec::with_capacity(SAMPLE_SIZE);
    let mut random = random;
    while sample.len() < SAMPLE_SIZE && !remaining.is_empty() {
        let index = random % remaining.len() as u64;
        random /= remaining.len() as u64;
        sample.push(remaining.swap_remove(index as usize));
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
