//! The scheduler and the events that drive it.

use indexmap::IndexMap;
use types::{ClassName, Fingerprint, RequestId, TeamName, TimeMs};

use super::{
    class_queue::{ClassQueue, ALONE_KEY},
    estimate::Lengths,
    lane::Lane,
    limit::RunningLimit,
    memory::Memory,
    table::Table,
    Action, ClassRules, Discipline, End, Job, LoadReport, Recall, Settings,
};

/// Queue and running set of one upstream instance.
///
/// # Invariants
///
/// - A held request is in exactly one of the states queued, running, stopping
///   and paused.
/// - Slots in use never exceed the running limit through a start; a limit
///   that falls is reached as requests end.
/// - A request of a higher class is never refused for lack of room while one
///   of a lower class is queued, and never paused for one of a lower class.
#[derive(Debug)]
pub struct Scheduler {
    pub(super) settings: Settings,
    /// By falling priority; the last one takes requests of unlisted classes.
    pub(super) classes: Vec<ClassQueue>,
    pub(super) table: Table,
    pub(super) limit: RunningLimit,
    pub(super) lengths: Lengths,
    pub(super) memory: Memory,
    pub(super) draining: bool,
    /// Estimated tokens of all queued requests.
    pub(super) queued_tokens: u64,
    /// Typical time from the first start to the end, in milliseconds.
    pub(super) service_ms: f32,
    pub(super) shares_at: TimeMs,
    /// No queued request has a deadline before this.
    pub(super) earliest_deadline: TimeMs,
    next_sequence: u64,
    jitter: u64,
}

impl Scheduler {
    /// Time for which an ended request is known and a tombstone is kept, in
    /// milliseconds. A recall sent later than this after its dispatch proves
    /// nothing unless the request was still held.
    pub const RECALL_WINDOW_MS: u64 = Memory::AGE_MAX_MS;

    /// Makes an empty scheduler.
    pub fn new(settings: Settings) -> Self {
        let limit = running_limit(&settings);
        Self {
            classes: class_table(&settings),
            settings,
            table: Table::default(),
            limit,
            lengths: Lengths::default(),
            memory: Memory::default(),
            draining: false,
            queued_tokens: 0,
            service_ms: 0.0,
            shares_at: TimeMs(0),
            earliest_deadline: TimeMs(u64::MAX),
            next_sequence: 0,
            jitter: 0,
        }
    }

    /// Replaces the settings when a new configuration comes into force.
    /// Requests keep their places, also where a bound became smaller.
    pub fn reconfigure(&mut self, now: TimeMs, settings: Settings) -> Vec<Action> {
        self.account_shares(now);
        let min = settings.running_min;
        self.limit.set_bounds(min, settings.running_max);
        if settings.discipline == Discipline::Fifo {
            self.limit = running_limit(&settings);
        }
        self.classes = class_table(&settings);
        self.settings = settings;
        self.requeue();
        self.schedule(now)
    }

    /// Takes in a request. `random` is uniform over all `u64` and drives jitter.
    ///
    /// An id that is already held is refused as [`types::ErrorCode::InProgress`]
    /// and the held request stays as it is; ask [`Scheduler::holds`] first.
    pub fn submit(&mut self, now: TimeMs, job: Job, random: u64) -> Vec<Action> {
        self.jitter = random;
        self.account_shares(now);
        let mut actions = Vec::new();
        if self.admit(now, job, &mut actions) {
            self.fill(now, &mut actions);
            self.pause_for_waiting(now, &mut actions);
        }
        actions
    }

    /// Whether the request is queued, running, stopping or paused.
    pub fn holds(&self, request_id: &RequestId) -> bool {
        self.table.holds(request_id)
    }

    /// Takes back a request that has not started. A recall of an unknown
    /// request leaves a tombstone, so that its late arrival is refused.
    pub fn recall(&mut self, now: TimeMs, request_id: &RequestId) -> Recall {
        if self.table.has_started(request_id) {
            return Recall::AlreadyStarted;
        }
        if self.remove_queued(request_id).is_some() {
            return Recall::Recalled;
        }
        self.memory.recall_unknown(now, request_id)
    }

    /// Makes recalls of unknown requests answer [`Recall::AlreadyStarted`]
    /// until `until`: for a new process whose predecessor may have started them.
    pub fn treat_unknown_as_started_until(&mut self, until: TimeMs) {
        self.memory.distrust_until(until);
    }

    /// Notes that a running request has generated `tokens` in all so far.
    pub fn on_tokens(&mut self, now: TimeMs, request_id: &RequestId, tokens: u32) -> Vec<Action> {
        let Some(run) = self.table.running_get(request_id) else {
            self.table.note_tokens(request_id, tokens);
            return Vec::new();
        };
        let (before, lane) = (run.tokens, run.lane());
        let first_token = before == 0 && tokens > 0;
        let wait_ms = now.since(run.state.started);
        let target_ms = self.classes[run.class].rules.first_token_target_ms;
        if first_token && self.settings.discipline == Discipline::Classes {
            self.limit.on_first_token(now, wait_ms, target_ms);
        }
        self.table.note_tokens(request_id, tokens);
        self.charge_attained(request_id);
        if !first_token && Lane::of(tokens) == lane {
            return Vec::new();
        }
        self.account_shares(now);
        self.schedule(now)
    }

    /// Notes that a request has been stopped at the engine after a `Pause`.
    pub fn on_paused(&mut self, now: TimeMs, request_id: &RequestId) -> Vec<Action> {
        self.account_shares(now);
        self.table.stopped(request_id, now);
        self.schedule(now)
    }

    /// Notes the end of a request that has started. A queued request leaves
    /// the queue; unknown ids are ignored.
    pub fn on_end(&mut self, now: TimeMs, request_id: &RequestId, end: End) -> Vec<Action> {
        self.account_shares(now);
        self.remove_queued(request_id);
        if let Some(ended) = self.table.end(request_id) {
            let weight = self.settings.weight(&ended.job.team);
            let team = self.team_key(&ended.job);
            let class = &mut self.classes[ended.class];
            class.correct(&team, ended.charged_tokens, ended.tokens, weight);
            if end == End::Whole {
                self.lengths
                    .observe(&ended.job.team, &ended.job.class, ended.tokens);
                self.note_service(now.since(ended.first_started));
            }
            self.memory.on_ended(now, ended.job.request_id);
        }
        self.schedule(now)
    }

    /// Gives up queued requests past their deadline and reconsiders pauses.
    /// Call at least every 50 ms while anything is queued or paused.
    pub fn tick(&mut self, now: TimeMs, random: u64) -> Vec<Action> {
        self.jitter = random;
        self.account_shares(now);
        let mut actions = Vec::new();
        self.expire_queued(now, &mut actions);
        self.fill(now, &mut actions);
        self.pause_for_waiting(now, &mut actions);
        actions
    }

    /// Stops taking new requests; what is queued, running or paused finishes.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Whether nothing is queued, running or paused.
    pub fn is_idle(&self) -> bool {
        self.table.queued_len() == 0 && self.table.slots_used() == 0 && self.table.paused_len() == 0
    }

    /// Fingerprints at the engine now, as evidence when the upstream crashes.
    pub fn running_fingerprints(&self) -> Vec<Fingerprint> {
        let running = self.table.running().map(|held| held.job.fingerprint);
        let stopping = self.table.stopping().map(|held| held.job.fingerprint);
        running.chain(stopping).collect()
    }

    /// The load now.
    pub fn load(&self, _now: TimeMs) -> LoadReport {
        let remaining = |expected: u32, tokens: u32| u64::from(expected.saturating_sub(tokens));
        let running: u64 = self
            .table
            .running()
            .map(|held| remaining(held.expected_tokens, held.tokens))
            .sum();
        let paused: u64 = self
            .table
            .paused()
            .map(|held| remaining(held.expected_tokens, held.tokens))
            .sum();
        LoadReport {
            running: self.table.slots_used() as u32,
            running_limit: self.limit.limit() as u32,
            queued: (self.table.queued_len() + self.table.paused_len()) as u32,
            outstanding_tokens: self.queued_tokens + running + paused,
            first_token_ms: self.limit.first_token_ms(),
        }
    }

    /// Starts and pauses what the state allows.
    fn schedule(&mut self, now: TimeMs) -> Vec<Action> {
        let mut actions = Vec::new();
        self.fill(now, &mut actions);
        self.pause_for_waiting(now, &mut actions);
        actions
    }

    /// Raises the estimate of a stream that outgrew it and charges its team.
    fn charge_attained(&mut self, request_id: &RequestId) {
        let Some(run) = self.table.running_get(request_id) else {
            return;
        };
        if run.tokens <= run.state.charged_tokens {
            return;
        }
        let job = run.job.clone();
        let (index, tokens) = (run.class, run.tokens);
        let expected = self
            .lengths
            .expected(&job.team, &job.class, tokens, job.max_tokens)
            .max(tokens);
        let Some(run) = self.table.note_tokens(request_id, tokens) else {
            return;
        };
        let charged = run.state.charged_tokens;
        run.state.charged_tokens = expected;
        run.expected_tokens = expected;
        let weight = self.settings.weight(&job.team);
        let team = self.team_key(&job);
        self.classes[index].correct(&team, charged, expected, weight);
    }

    fn note_service(&mut self, service_ms: u64) {
        const SMOOTHING: f32 = 0.2;
        const SERVICE_MAX_MS: u64 = 3_600_000;
        let sample = service_ms.min(SERVICE_MAX_MS) as f32;
        self.service_ms += SMOOTHING * (sample - self.service_ms);
    }

    /// Puts every queued request into the queue of its class again.
    fn requeue(&mut self) {
        let classes = &self.classes;
        let discipline = self.settings.discipline;
        self.table
            .reindex(|job| class_index(classes, discipline, &job.class));
        let mut queued: Vec<_> = self
            .table
            .queued()
            .map(|held| {
                let team = team_key(discipline, &held.job);
                (held.sequence, held.class, team, held.job.request_id.clone())
            })
            .collect();
        queued.sort_by_key(|(sequence, ..)| *sequence);
        for (sequence, class, team, id) in queued {
            self.classes[class].push(sequence, team, id);
        }
    }

    pub(super) fn class_index(&self, class: &ClassName) -> usize {
        class_index(&self.classes, self.settings.discipline, class)
    }

    /// The account that the request is charged to.
    pub(super) fn team_key(&self, job: &Job) -> TeamName {
        team_key(self.settings.discipline, job)
    }

    pub(super) fn take_sequence(&mut self) -> u64 {
        self.next_sequence += 1;
        self.next_sequence
    }

    /// The next random number of this call (SplitMix64).
    pub(super) fn next_random(&mut self) -> u64 {
        self.jitter = self.jitter.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.jitter;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}

fn running_limit(settings: &Settings) -> RunningLimit {
    match settings.discipline {
        Discipline::Classes => RunningLimit::new(settings.running_min, settings.running_max),
        Discipline::Fifo => RunningLimit::new(settings.running_max, settings.running_max),
    }
}

/// The queues by falling priority, then the one for unlisted classes. The
/// first-in-first-out discipline has one queue for all.
fn class_table(settings: &Settings) -> Vec<ClassQueue> {
    let mut rules: Vec<(ClassName, ClassRules)> = match settings.discipline {
        Discipline::Classes => settings.classes.clone().into_iter().collect(),
        Discipline::Fifo => Vec::new(),
    };
    rules.sort_by_key(|(_, rules)| std::cmp::Reverse(rules.priority));
    let mut unlisted = ClassRules::unlisted();
    if settings.discipline == Discipline::Fifo {
        unlisted.queue_limit = u32::try_from(settings.queue_limit_total()).unwrap_or(u32::MAX);
    }
    rules.push((ClassName::new(""), unlisted));
    let count = rules.len();
    rules
        .into_iter()
        .enumerate()
        .map(|(i, (name, rules))| ClassQueue::new(name, rules, count - 1 - i))
        .collect()
}

fn class_index(classes: &[ClassQueue], discipline: Discipline, class: &ClassName) -> usize {
    let unlisted = classes.len() - 1;
    if discipline == Discipline::Fifo {
        return unlisted;
    }
    classes
        .iter()
        .position(|queue| queue.name == *class)
        .unwrap_or(unlisted)
}

fn team_key(discipline: Discipline, job: &Job) -> TeamName {
    match discipline {
        Discipline::Classes if job.run_alone => TeamName::new(ALONE_KEY),
        Discipline::Classes => job.team.clone(),
        Discipline::Fifo => TeamName::new(""),
    }
}

/// Requests by class, for status pages.
impl Scheduler {
    /// Queued requests by class, in order of priority.
    pub fn queued_by_class(&self) -> IndexMap<ClassName, u32> {
        self.classes
            .iter()
            .map(|class| (class.name.clone(), class.len() as u32))
            .collect()
    }
}
