//! Learned capacity of instances.
//!
//! Load pattern: the instances of one upstream differ in speed by a factor of
//! two and more, some slow down long before all of their slots are taken, and
//! several gateways send to them without knowing each other's requests. Each
//! gateway sends to an instance only every few seconds.
//!
//! Load, prompts of other gateways and neighbours on the machine only lengthen
//! the observed times, so the best times seen recently show the speed. The
//! estimate is relative to the median of the upstream's instances, and shrinks
//! towards it with less evidence (empirical Bayes; Efron and Morris, JASA
//! 68(341), 1973).

mod best;
mod concurrency;
mod prefill;

use types::{InstanceId, TimeMs};

use best::WindowedBest;
use concurrency::ConcurrencyLimit;
use prefill::PrefillFit;

/// Shortest service time that is learned, in milliseconds.
const SERVICE_MIN_MS: f64 = 0.5;

/// Prefill rate that is assumed before it is learned, in tokens per
/// millisecond; as the users specify it for their engines.
const PREFILL_TOKENS_PER_MS: f64 = 56.0;
/// Time from the last prefilled token to the first event that is assumed before
/// it is learned: set-up and a few steps of an idle engine.
const FIRST_EVENT_MS: f64 = 30.0;
/// Assumed duration of a request to a plain service, before it is learned.
const SERVICE_REQUEST_MS: f64 = 30.0;
/// Evidence, in observed bins, at which an instance's own observations weigh as
/// much as the median of the upstream.
const PRIOR_EVIDENCE: f64 = 3.0;
/// Evidence from pauses, in bins, at which first events count half.
const GAP_EVIDENCE: f64 = 3.0;
/// Number of first events of which the fastest one counts.
const PREFILL_SAMPLES: usize = 8;
/// Learned ratios within this factor of the median count as equal, since
/// unequal load alone makes the estimates of equal instances differ.
const TOLERANCE: f64 = 1.2;
/// Bounds of an instance's speed relative to the median. Beyond them it is
/// more likely that load was taken for slowness.
const SPEED_RANGE: (f64, f64) = (0.35, 2.0);
/// Prompts that appear to be prefilled faster than this multiple of the median
/// rate were cached in part.
const CACHED_FACTOR: f64 = 2.5;
/// Longest wait for a first event, as a multiple of the time to prefill the
/// prompt and with [`UNDISTURBED_MS`] added, after which the stream's pauses
/// count. Behind a longer wait, the engine prefills other prompts without a
/// break, and all of its steps are long. Engines have been seen 3.1 times
/// slower.
const UNDISTURBED_FACTOR: f64 = 3.2;
/// About a step with prefill, for which each prompt may have to wait.
const UNDISTURBED_MS: f64 = 40.0;
/// A pause beyond this multiple of the median one contains prefill of other
/// prompts, which makes a step five to ten times as long.
const PREFILL_GAP_FACTOR: f64 = 4.0;
/// Least prompt length in tokens from which the time to the first event tells
/// the prefill rate from rounding.
const PREFILL_TOKENS_MIN: f64 = 500.0;
/// Interval at which the values used in predictions are updated.
const UPDATE_INTERVAL_MS: u64 = 200;
/// Least relative change that is reported.
const REPORTED_CHANGE: f64 = 0.2;
/// Least time between two reports of one instance. A limit that is probed
/// changes back and forth by one request every few seconds.
const REPORT_INTERVAL_MS: u64 = 5_000;

/// Change of an instance's learned capacity by more than a fifth since the last
/// report.
#[derive(Clone, Debug, PartialEq)]
pub struct CapacityChange {
    /// Instance whose capacity changed.
    pub instance: InstanceId,
    /// Capacity at the last report.
    pub before: LearnedCapacity,
    /// Current capacity.
    pub after: LearnedCapacity,
}

/// Learned capacity of an instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedCapacity {
    /// Speed relative to the median of the upstream's instances.
    pub speed: f64,
    /// Soft limit of concurrent requests of this gateway; `None` if only the
    /// slots limit them.
    pub concurrency_limit: Option<u32>,
}

/// Values with which waits at one instance are predicted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Rates {
    pub(super) prefill_tokens_per_ms: f64,
    /// Time from the last prefilled token to the first event.
    pub(super) first_event_ms: f64,
    /// Duration of a request to a plain service without load.
    pub(super) service_ms: f64,
}

impl Rates {
    /// Returns the rate at which redundant prefill is priced, in tokens per
    /// millisecond. A fast instance does not make it cheaper: in overload,
    /// prompts left their homes and were prefilled again elsewhere (0.334
    /// instead of 0.199 of the tokens).
    pub(super) fn redundant_prefill_tokens_per_ms(&self) -> f64 {
        self.prefill_tokens_per_ms.min(PREFILL_TOKENS_PER_MS)
    }
}

impl Default for Rates {
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: PREFILL_TOKENS_PER_MS,
            first_event_ms: FIRST_EVENT_MS,
            service_ms: SERVICE_REQUEST_MS,
        }
    }
}

/// What is learned about one instance.
#[derive(Debug, Default)]
pub(super) struct InstanceCapacity {
    /// Pause between two events of a stream.
    event_gap: WindowedBest,
    /// Pause beyond which other prompts were prefilled meanwhile.
    longest_gap_ms: Option<f64>,
    /// Prefill rates of the last first events, the oldest replaced first.
    prefill_rates: [f64; PREFILL_SAMPLES],
    prefill_samples: usize,
    prefill_at: TimeMs,
    service_time: WindowedBest,
    concurrency_limit: ConcurrencyLimit,
    speed: Option<f64>,
    reported: Option<(TimeMs, LearnedCapacity)>,
    rates: Rates,
}

impl InstanceCapacity {
    pub(super) fn rates(&self) -> Rates {
        self.rates
    }

    /// Returns the learned capacity; the median without evidence.
    pub(super) fn learned(&self) -> LearnedCapacity {
        LearnedCapacity {
            speed: self.speed.unwrap_or(1.0),
            concurrency_limit: self.concurrency_limit.get(),
        }
    }

    /// Records the pause between two events of a stream, after `previous_ms`,
    /// the pause before it, which is 0 for the first pause. Of the two the
    /// longer one counts: a late read lengthens one and shortens the next.
    pub(super) fn on_event_gap(&mut self, now: TimeMs, gap_ms: f64, previous_ms: f64) {
        let sample_ms = gap_ms.max(previous_ms);
        if previous_ms > 0.0 && sample_ms <= self.longest_gap_ms.unwrap_or(f64::INFINITY) {
            self.event_gap.add(now, sample_ms, gap_ms);
        }
    }

    /// Records the response of a plain instance to a request that was the
    /// `concurrency`th one in flight.
    pub(super) fn on_service_response(
        &mut self,
        now: TimeMs,
        slots: u32,
        concurrency: u32,
        service_ms: f64,
    ) {
        // Times are whole milliseconds. A time of 0 would make the ratio of two
        // instances undefined.
        let service_ms = service_ms.max(SERVICE_MIN_MS);
        // Three responses make a bin even where a gateway sends only a few.
        let covers_ms = service_ms.max(best::BIN_MS / 3.0);
        self.service_time.add(now, service_ms, covers_ms);
        let undisturbed_ms = self.service_time.get().unwrap_or(f64::INFINITY);
        self.concurrency_limit
            .on_response(now, slots, concurrency, service_ms, undisturbed_ms);
    }

    /// Records that a plain instance refused a request.
    pub(super) fn on_refused(&mut self, now: TimeMs, slots: u32, concurrency: u32) {
        self.concurrency_limit.on_refused(now, slots, concurrency);
    }

    fn on_prefilled(&mut self, now: TimeMs, rate: f64) {
        self.prefill_rates[self.prefill_samples % PREFILL_SAMPLES] = rate;
        self.prefill_samples += 1;
        self.prefill_at = now;
    }

    fn best_prefill_rate(&self) -> Option<f64> {
        let best = self.prefill_rates.iter().copied().fold(0.0, f64::max);
        (best > 0.0).then_some(best)
    }

    fn prefill_evidence(&self, now: TimeMs) -> f64 {
        let samples = self.prefill_samples.min(PREFILL_SAMPLES) as f64;
        samples * best::evidence_decay(now, self.prefill_at)
    }
}

/// Learned capacity of an upstream's instances together.
#[derive(Debug)]
pub(super) struct UpstreamCapacity {
    prefill: PrefillFit,
    updated_at: TimeMs,
    /// Whether there was an update since changes were last reported.
    has_update: bool,
    is_enabled: bool,
}

impl Default for UpstreamCapacity {
    fn default() -> Self {
        Self {
            prefill: PrefillFit::new(PREFILL_TOKENS_PER_MS, FIRST_EVENT_MS),
            updated_at: TimeMs(0),
            has_update: false,
            is_enabled: true,
        }
    }
}

impl UpstreamCapacity {
    pub(super) fn set_enabled(&mut self, is_enabled: bool) {
        self.is_enabled = is_enabled;
    }

    pub(super) fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Returns whether there was an update since the last call.
    pub(super) fn take_update(&mut self) -> bool {
        std::mem::take(&mut self.has_update)
    }

    /// Records a first event, `waited_ms` after a prompt was sent of which at
    /// least `tokens` were not cached. Returns whether the pauses of the stream
    /// show the engine's speed.
    pub(super) fn on_first_event(
        &mut self,
        now: TimeMs,
        instance: &mut InstanceCapacity,
        tokens: f64,
        waited_ms: f64,
    ) -> bool {
        let undisturbed_ms = UNDISTURBED_FACTOR * tokens / self.prefill.rate() + UNDISTURBED_MS;
        let is_undisturbed = waited_ms - self.prefill.fixed_ms() <= undisturbed_ms;
        if tokens < PREFILL_TOKENS_MIN {
            return is_undisturbed;
        }
        let prefill_ms = (waited_ms - self.prefill.fixed_ms()).max(1.0);
        let rate = tokens / prefill_ms;
        let speed = instance.speed.unwrap_or(1.0);
        if rate <= CACHED_FACTOR * self.prefill.rate() * speed {
            instance.on_prefilled(now, rate);
            self.prefill.add(tokens / speed, waited_ms);
        }
        is_undisturbed
    }

    /// Updates the values used in predictions if the last update is older than
    /// [`UPDATE_INTERVAL_MS`].
    pub(super) fn update<'a>(
        &mut self,
        now: TimeMs,
        instances: impl Iterator<Item = &'a mut InstanceCapacity>,
    ) {
        if !self.is_enabled || now.since(self.updated_at) < UPDATE_INTERVAL_MS {
            return;
        }
        self.updated_at = now;
        self.has_update = true;
        let mut instances: Vec<&mut InstanceCapacity> = instances.collect();
        let gap_ms = median(instances.iter().filter_map(|one| one.event_gap.get()));
        let rate = median(instances.iter().filter_map(|one| one.best_prefill_rate()));
        let service_ms = median(instances.iter().filter_map(|one| one.service_time.get()));
        for one in &mut instances {
            let gap_evidence = one.event_gap.evidence(now);
            // Pauses show the speed better than first events, which include
            // waits behind the prompts of other gateways.
            let prefill_weight = GAP_EVIDENCE / (GAP_EVIDENCE + gap_evidence);
            let observations = [
                (ratio(gap_ms, one.event_gap.get()), gap_evidence),
                (
                    ratio(one.best_prefill_rate(), rate),
                    prefill_weight * one.prefill_evidence(now),
                ),
                (
                    ratio(service_ms, one.service_time.get()),
                    one.service_time.evidence(now),
                ),
            ];
            one.speed = pooled_speed(observations);
            one.longest_gap_ms = gap_ms.map(|gap_ms| PREFILL_GAP_FACTOR * gap_ms);
            let speed = one.speed.unwrap_or(1.0);
            let speed = match (1.0 / TOLERANCE..=TOLERANCE).contains(&speed) {
                true => 1.0,
                false => speed,
            };
            one.rates = Rates {
                prefill_tokens_per_ms: self.prefill.rate() * speed,
                first_event_ms: self.prefill.fixed_ms(),
                service_ms: service_ms.unwrap_or(SERVICE_REQUEST_MS) / speed,
            };
        }
    }
}

/// Returns the change of an instance's capacity since it was last reported, if
/// it exceeds [`REPORTED_CHANGE`], and counts it as reported.
pub(super) fn take_change(
    now: TimeMs,
    instance: &InstanceId,
    capacity: &mut InstanceCapacity,
) -> Option<CapacityChange> {
    let after = capacity.learned();
    let before = match capacity.reported {
        Some((at, _)) if now.since(at) < REPORT_INTERVAL_MS => return None,
        Some((_, before)) => before,
        None => LearnedCapacity {
            speed: 1.0,
            concurrency_limit: None,
        },
    };
    let limits = (before.concurrency_limit, after.concurrency_limit);
    let limit_has_changed = match limits {
        (Some(before), Some(after)) => {
            (f64::from(after) / f64::from(before) - 1.0).abs() > REPORTED_CHANGE
        }
        (before, after) => before != after,
    };
    if !limit_has_changed && (after.speed / before.speed - 1.0).abs() <= REPORTED_CHANGE {
        return None;
    }
    capacity.reported = Some((now, after));
    Some(CapacityChange {
        instance: instance.clone(),
        before,
        after,
    })
}

/// Returns the weighted geometric mean of the observed ratios and of the prior,
/// which is 1; `None` without observations.
fn pooled_speed(observations: [(Option<f64>, f64); 3]) -> Option<f64> {
    let mut weight = 0.0;
    let mut sum = 0.0;
    for (ratio, evidence) in observations {
        if let Some(ratio) = ratio {
            weight += evidence;
            sum += evidence * ratio.clamp(SPEED_RANGE.0, SPEED_RANGE.1).ln();
        }
    }
    (weight > 0.0).then(|| (sum / (weight + PRIOR_EVIDENCE)).exp())
}

fn ratio(numerator: Option<f64>, denominator: Option<f64>) -> Option<f64> {
    Some(numerator? / denominator?)
}

/// Returns the median; `None` without values.
fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut sorted: Vec<f64> = values.collect();
    sorted.sort_by(f64::total_cmp);
    let upper = sorted.get(sorted.len() / 2)?;
    let lower = sorted[(sorted.len() - 1) / 2];
    Some((lower + upper) / 2.0)
}
