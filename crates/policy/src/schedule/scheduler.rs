//! The scheduler and its event handlers.

use indexmap::IndexMap;
use types::{ClassName, Fingerprint, RequestId, TeamName, TimeMs};

use super::{
    class_queue::{ClassQueue, RUN_ALONE_KEY},
    estimate::LengthEstimator,
    history::RequestHistory,
    lane::FeedbackLane,
    limit::RunningLimit,
    table::RequestTable,
    Action, ClassRules, Discipline, End, Job, LoadReport, Recall, Settings,
};

/// Queues the requests of one upstream instance and decides which of them run.
///
/// # Invariants
///
/// - Each request held is in exactly one of the states queued, running,
///   stopping and paused.
/// - A start never raises the slots in use above the running limit. After the
///   limit decreases, the excess disappears as requests end.
/// - A request of a higher class is never refused because the queue is full
///   while one of a lower class is queued, and never paused for a lower class.
#[derive(Debug)]
pub struct Scheduler {
    pub(super) settings: Settings,
    /// Queues in descending order of priority. The last one holds requests whose
    /// class is not configured.
    pub(super) classes: Vec<ClassQueue>,
    pub(super) table: RequestTable,
    pub(super) limit: RunningLimit,
    pub(super) length_estimator: LengthEstimator,
    pub(super) history: RequestHistory,
    pub(super) draining: bool,
    /// Sum of the expected tokens of all queued requests.
    pub(super) queued_tokens: u64,
    /// Moving average of the time from the first start to a complete answer, in
    /// milliseconds.
    pub(super) service_ms: f32,
    pub(super) shares_updated_at: TimeMs,
    /// Lower bound on the deadlines of all queued requests.
    pub(super) earliest_deadline: TimeMs,
    next_sequence: u64,
    random_state: u64,
}

impl Scheduler {
    /// Time for which ended requests and tombstones are kept, in milliseconds.
    /// A recall sent later than this after the dispatch cannot prove that the
    /// request did not run, unless the scheduler still holds the request.
    pub const RECALL_WINDOW_MS: u64 = RequestHistory::AGE_MAX_MS;

    /// Creates a scheduler without requests. The running limit starts at its
    /// maximum.
    pub fn new(settings: Settings) -> Self {
        let limit = running_limit(&settings);
        Self {
            classes: class_table(&settings),
            settings,
            table: RequestTable::default(),
            limit,
            length_estimator: LengthEstimator::default(),
            history: RequestHistory::default(),
            draining: false,
            queued_tokens: 0,
            service_ms: 0.0,
            shares_updated_at: TimeMs(0),
            earliest_deadline: TimeMs(u64::MAX),
            next_sequence: 0,
            random_state: 0,
        }
    }

    /// Replaces the settings when a new configuration takes effect. Requests
    /// keep their state and order, even if they exceed a lowered limit.
    pub fn reconfigure(&mut self, now: TimeMs, settings: Settings) -> Vec<Action> {
        self.update_share_credits(now);
        let min = settings.running_min;
        self.limit.set_bounds(min, settings.running_max);
        if settings.discipline == Discipline::Fifo {
            self.limit = running_limit(&settings);
        }
        self.classes = class_table(&settings);
        self.settings = settings;
        self.rebuild_queues();
        self.schedule(now)
    }

    /// Queues, starts or refuses a request. `random` must be uniform over all
    /// `u64` and seeds the jitter of retry delays.
    ///
    /// If a request with the same id is held, the new one is refused with
    /// [`types::ErrorCode::InProgress`] and the held one is unchanged. Both
    /// have the same id, so the refusal does not show which one it means;
    /// callers must check [`Scheduler::holds`] first.
    pub fn submit(&mut self, now: TimeMs, job: Job, random: u64) -> Vec<Action> {
        self.random_state = random;
        self.update_share_credits(now);
        let mut actions = Vec::new();
        if self.admit(now, job, &mut actions) {
            self.fill_slots(now, &mut actions);
            self.pause_for_waiting(now, &mut actions);
        }
        actions
    }

    /// Returns whether the request is queued, running, stopping or paused.
    pub fn holds(&self, request_id: &RequestId) -> bool {
        self.table.holds(request_id)
    }

    /// Removes a request that has not started. Recalling an unknown request sets
    /// a tombstone, so that the request is refused if it arrives later.
    pub fn recall(&mut self, now: TimeMs, request_id: &RequestId) -> Recall {
        if self.table.has_started(request_id) {
            return Recall::AlreadyStarted;
        }
        if self.remove_queued(request_id).is_some() {
            return Recall::Recalled;
        }
        self.history.recall_unknown(now, request_id)
    }

    /// Answers recalls of unknown requests with [`Recall::AlreadyStarted`] until
    /// `until`. Used after a process restart, since the previous process may
    /// have started them.
    pub fn treat_unknown_as_started_until(&mut self, until: TimeMs) {
        self.history.treat_unknown_as_started_until(until);
    }

    /// Records the total number of tokens that a request has generated so far.
    /// Adjusts the running limit on the first token, and the length estimate
    /// once the request exceeds it.
    pub fn on_tokens(&mut self, now: TimeMs, request_id: &RequestId, tokens: u32) -> Vec<Action> {
        let Some(run) = self.table.running_get(request_id) else {
            self.table.record_tokens(request_id, tokens);
            return Vec::new();
        };
        let (before, lane) = (run.tokens, run.lane());
        let first_token = before == 0 && tokens > 0;
        let wait_ms = now.since(run.state.started);
        let target_ms = self.classes[run.class].rules.first_token_target_ms;
        if first_token && self.settings.discipline == Discipline::Classes {
            self.limit.on_first_token(now, wait_ms, target_ms);
        }
        self.table.record_tokens(request_id, tokens);
        self.charge_overrun(request_id);
        if !first_token && FeedbackLane::of(tokens) == lane {
            return Vec::new();
        }
        self.update_share_credits(now);
        self.schedule(now)
    }

    /// Records that the engine has stopped a request after [`Action::Pause`],
    /// which frees its slot.
    pub fn on_paused(&mut self, now: TimeMs, request_id: &RequestId) -> Vec<Action> {
        self.update_share_credits(now);
        self.table.finish_stop(request_id, now);
        self.schedule(now)
    }

    /// Records the end of a request that has started. A queued request is
    /// removed from the queue; unknown ids are ignored.
    pub fn on_end(&mut self, now: TimeMs, request_id: &RequestId, end: End) -> Vec<Action> {
        self.update_share_credits(now);
        self.remove_queued(request_id);
        if let Some(ended) = self.table.end(request_id) {
            let weight = self.settings.weight(&ended.job.team);
            let team = self.team_key(&ended.job);
            let class = &mut self.classes[ended.class];
            class.correct_charge(&team, ended.charged_tokens, ended.tokens, weight);
            if end == End::Whole {
                self.length_estimator
                    .observe(&ended.job.team, &ended.job.class, ended.tokens);
                self.observe_service_time(now.since(ended.first_started));
            }
            self.history.on_ended(now, ended.job.request_id);
        }
        self.schedule(now)
    }

    /// Refuses queued requests past their deadline, fills free slots and
    /// re-evaluates preemption. Must be called at least every 50 ms while any
    /// request is queued or paused.
    pub fn tick(&mut self, now: TimeMs, random: u64) -> Vec<Action> {
        self.random_state = random;
        self.update_share_credits(now);
        let mut actions = Vec::new();
        self.expire_queued(now, &mut actions);
        self.fill_slots(now, &mut actions);
        self.pause_for_waiting(now, &mut actions);
        actions
    }

    /// Refuses new requests from now on. Requests already held run to their end.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns whether no request is queued, running, stopping or paused.
    pub fn is_idle(&self) -> bool {
        self.table.queued_len() == 0 && self.table.slots_used() == 0 && self.table.paused_len() == 0
    }

    /// Fingerprints of all requests that hold a slot at the upstream, recorded
    /// as evidence when it crashes.
    pub fn running_fingerprints(&self) -> Vec<Fingerprint> {
        let running = self.table.running().map(|request| request.job.fingerprint);
        let stopping = self.table.stopping().map(|request| request.job.fingerprint);
        running.chain(stopping).collect()
    }

    /// Current load, as reported to entries.
    pub fn load(&self, _now: TimeMs) -> LoadReport {
        let remaining = |expected: u32, tokens: u32| u64::from(expected.saturating_sub(tokens));
        let running: u64 = self
            .table
            .running()
            .map(|request| remaining(request.expected_tokens, request.tokens))
            .sum();
        let paused: u64 = self
            .table
            .paused()
            .map(|request| remaining(request.expected_tokens, request.tokens))
            .sum();
        LoadReport {
            running: self.table.slots_used() as u32,
            running_limit: self.limit.limit() as u32,
            queued: (self.table.queued_len() + self.table.paused_len()) as u32,
            outstanding_tokens: self.queued_tokens + running + paused,
            first_token_ms: self.limit.first_token_ms(),
        }
    }

    /// Fills free slots, then pauses requests where preemption is justified.
    fn schedule(&mut self, now: TimeMs) -> Vec<Action> {
        let mut actions = Vec::new();
        self.fill_slots(now, &mut actions);
        self.pause_for_waiting(now, &mut actions);
        actions
    }

    /// Raises the length estimate of a request that has exceeded it, and charges
    /// the difference to its team.
    fn charge_overrun(&mut self, request_id: &RequestId) {
        let Some(run) = self.table.running_get(request_id) else {
            return;
        };
        if run.tokens <= run.state.charged_tokens {
            return;
        }
        let job = run.job.clone();
        let (index, tokens) = (run.class, run.tokens);
        let expected = self
            .length_estimator
            .expected(&job.team, &job.class, tokens, job.max_tokens)
            .max(tokens);
        let Some(run) = self.table.record_tokens(request_id, tokens) else {
            return;
        };
        let charged = run.state.charged_tokens;
        run.state.charged_tokens = expected;
        run.expected_tokens = expected;
        let weight = self.settings.weight(&job.team);
        let team = self.team_key(&job);
        self.classes[index].correct_charge(&team, charged, expected, weight);
    }

    fn observe_service_time(&mut self, service_ms: u64) {
        const SMOOTHING: f32 = 0.2;
        const SERVICE_MAX_MS: u64 = 3_600_000;
        let sample = service_ms.min(SERVICE_MAX_MS) as f32;
        self.service_ms += SMOOTHING * (sample - self.service_ms);
    }

    /// Fills the class queues with all queued requests, in order of arrival,
    /// after the queues were recreated for a new configuration.
    fn rebuild_queues(&mut self) {
        let classes = &self.classes;
        let discipline = self.settings.discipline;
        self.table
            .reindex(|job| class_index(classes, discipline, &job.class));
        let mut queued: Vec<_> = self
            .table
            .queued()
            .map(|request| {
                let team = team_key(discipline, &request.job);
                (
                    request.sequence,
                    request.class,
                    team,
                    request.job.request_id.clone(),
                )
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

    /// Key of the team queue that the request waits in and is charged to.
    pub(super) fn team_key(&self, job: &Job) -> TeamName {
        team_key(self.settings.discipline, job)
    }

    pub(super) fn take_sequence(&mut self) -> u64 {
        self.next_sequence += 1;
        self.next_sequence
    }

    /// Returns the next pseudo-random number (SplitMix64), from the seed passed
    /// to the current call.
    pub(super) fn next_random(&mut self) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random_state;
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

/// Creates the queues in descending order of priority, followed by the queue
/// for classes that are not configured. The FIFO discipline uses only the last.
fn class_table(settings: &Settings) -> Vec<ClassQueue> {
    let mut rules: Vec<(ClassName, ClassRules)> = match settings.discipline {
        Discipline::Classes => settings.classes.clone().into_iter().collect(),
        Discipline::Fifo => Vec::new(),
    };
    rules.sort_by_key(|(_, rules)| std::cmp::Reverse(rules.priority));
    let mut unconfigured = ClassRules::unconfigured();
    if settings.discipline == Discipline::Fifo {
        unconfigured.queue_limit = u32::try_from(settings.queue_limit_total()).unwrap_or(u32::MAX);
    }
    rules.push((ClassName::new(""), unconfigured));
    let count = rules.len();
    rules
        .into_iter()
        .enumerate()
        .map(|(i, (name, rules))| ClassQueue::new(name, rules, count - 1 - i))
        .collect()
}

fn class_index(classes: &[ClassQueue], discipline: Discipline, class: &ClassName) -> usize {
    let unconfigured = classes.len() - 1;
    if discipline == Discipline::Fifo {
        return unconfigured;
    }
    classes
        .iter()
        .position(|queue| queue.name == *class)
        .unwrap_or(unconfigured)
}

fn team_key(discipline: Discipline, job: &Job) -> TeamName {
    match discipline {
        Discipline::Classes if job.run_alone => TeamName::new(RUN_ALONE_KEY),
        Discipline::Classes => job.team.clone(),
        Discipline::Fifo => TeamName::new(""),
    }
}

/// Queue lengths for status pages.
impl Scheduler {
    /// Number of queued requests by class, in descending order of priority.
    pub fn queued_by_class(&self) -> IndexMap<ClassName, u32> {
        self.classes
            .iter()
            .map(|class| (class.name.clone(), class.len() as u32))
            .collect()
    }
}
