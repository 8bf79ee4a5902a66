//! Concurrency at which the service time of a plain instance starts to rise.

use types::TimeMs;

/// Number of concurrency levels that are told apart.
const LEVELS_MAX: usize = 64;
/// Service time, as a multiple of the undisturbed one, from which an instance
/// counts as overloaded.
const RISE_FACTOR: f64 = 1.4;
/// Time for which an observation at one concurrency counts.
const RETENTION_MS: u64 = 4_000;
/// Least number of observations, and least time between the first and the
/// last, that show a rise: a neighbour on the machine slows an instance down
/// for 0.6 s at a time.
const RISE_SAMPLES_MIN: u32 = 3;
/// See [`RISE_SAMPLES_MIN`].
const RISE_TIME_MS: u64 = 700;
/// Least time between two increases of the limit, each by one request.
const PROBE_INTERVAL_MS: u64 = 1_000;

/// Observations at one concurrency.
#[derive(Clone, Copy, Debug)]
struct Level {
    best_ms: f64,
    samples: u32,
    first_at: TimeMs,
    last_at: TimeMs,
}

/// Soft limit of the concurrent requests of this gateway at a plain instance.
///
/// # Invariants
///
/// The limit is between 1 and the number of slots. It rises by one request at a
/// time, and only while all requests that it allows are in flight.
#[derive(Clone, Debug, Default)]
pub(super) struct ConcurrencyLimit {
    /// Observations by concurrency, from 1.
    levels: Vec<Option<Level>>,
    /// `None` while nothing shows that the instance takes fewer requests than
    /// it has slots.
    limit: Option<u32>,
    changed_at: TimeMs,
}

impl ConcurrencyLimit {
    /// Returns the limit; `None` if the number of slots is the only one.
    pub(super) fn get(&self) -> Option<u32> {
        self.limit
    }

    /// Records the service time of a request that was sent as the
    /// `concurrency`th one in flight. `undisturbed_ms` is the service time of
    /// the instance with few requests.
    pub(super) fn on_response(
        &mut self,
        now: TimeMs,
        slots: u32,
        concurrency: u32,
        service_ms: f64,
        undisturbed_ms: f64,
    ) {
        let levels = (slots as usize).clamp(1, LEVELS_MAX);
        self.levels.resize(levels, None);
        let index = (concurrency.max(1) as usize).min(levels) - 1;
        let level = self.levels[index].get_or_insert(Level::new(now));
        if now.since(level.first_at) > RETENTION_MS {
            *level = Level::new(now);
        }
        level.best_ms = level.best_ms.min(service_ms);
        level.samples += 1;
        level.last_at = now;
        match self.risen_level(now, undisturbed_ms) {
            Some(level) => self.lower(now, level as u32),
            None => self.probe(now, slots, concurrency),
        }
    }

    /// Records that the instance refused a request with `concurrency` requests
    /// of this gateway in flight. Counts only if these are at least half of the
    /// slots: otherwise the refusal is mostly due to other gateways.
    pub(super) fn on_refused(&mut self, now: TimeMs, slots: u32, concurrency: u32) {
        if concurrency > 1 && 2 * concurrency >= slots {
            self.lower(now, concurrency - 1);
        }
    }

    /// Returns the index of the lowest level at which the service time has
    /// risen, compared with the levels below it. A rise at the first level is
    /// due to the requests of other gateways.
    fn risen_level(&self, now: TimeMs, undisturbed_ms: f64) -> Option<usize> {
        let mut best_below_ms = f64::INFINITY;
        for (index, level) in self.levels.iter().enumerate() {
            let Some(level) = level.filter(|level| level.is_current(now)) else {
                continue;
            };
            let reference_ms = match best_below_ms.is_finite() {
                true => best_below_ms.max(undisturbed_ms),
                false => undisturbed_ms,
            };
            if index > 0 && level.has_risen(reference_ms) {
                return Some(index);
            }
            if level.samples >= RISE_SAMPLES_MIN {
                best_below_ms = best_below_ms.min(level.best_ms);
            }
        }
        None
    }

    fn lower(&mut self, now: TimeMs, limit: u32) {
        if self.limit.is_none_or(|before| limit < before) {
            self.limit = Some(limit);
        }
        self.changed_at = now;
    }

    /// Allows one more request if the limit is in use and was not changed
    /// lately.
    fn probe(&mut self, now: TimeMs, slots: u32, concurrency: u32) {
        let Some(limit) = self.limit else {
            return;
        };
        if concurrency >= limit && now.since(self.changed_at) >= PROBE_INTERVAL_MS {
            self.limit = (limit + 1 < slots).then_some(limit + 1);
            self.changed_at = now;
        }
    }
}

impl Level {
    fn new(now: TimeMs) -> Self {
        Self {
            best_ms: f64::INFINITY,
            samples: 0,
            first_at: now,
            last_at: now,
        }
    }

    fn is_current(&self, now: TimeMs) -> bool {
        now.since(self.last_at) <= RETENTION_MS
    }

    fn has_risen(&self, undisturbed_ms: f64) -> bool {
        self.samples >= RISE_SAMPLES_MIN
            && self.last_at.since(self.first_at) >= RISE_TIME_MS
            && self.best_ms > RISE_FACTOR * undisturbed_ms
    }
}
