//! The agent's queue and running set in front of one upstream instance.
//!
//! The scheduler owns the state of every request that the agent holds. Its
//! owner calls it under one lock and carries out the returned [`Action`]s.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use types::{ClassName, ErrorCode, Fingerprint, Priority, RequestId, TeamName, TimeMs};

/// How requests are ordered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Discipline {
    /// Strict priority with minimum shares, fairness, lanes and pauses.
    #[default]
    Classes,
    /// First in, first out without priorities: the baseline of measurements.
    Fifo,
}

/// The part of a class that scheduling needs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassRules {
    /// Higher is served first.
    pub priority: Priority,
    /// Target for the first token, in milliseconds.
    pub first_token_target_ms: u64,
    /// Share of running slots that is kept under higher load, in thousandths.
    pub min_share_permille: u32,
    /// Queued requests of the class at most.
    pub queue_limit: u32,
}

/// Settings of a scheduler.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, bon::Builder)]
pub struct Settings {
    /// Order of service.
    #[builder(default)]
    pub discipline: Discipline,
    /// Smallest running limit, in requests.
    pub running_min: u32,
    /// Largest running limit, in requests.
    pub running_max: u32,
    /// Slots kept for short and urgent requests.
    #[builder(default)]
    pub reserved_slots: u32,
    /// Rules by class.
    pub classes: IndexMap<ClassName, ClassRules>,
    /// Weight by team; an unlisted team weighs 1.
    #[builder(default)]
    pub team_weights: IndexMap<TeamName, u32>,
}

/// A request that arrives at the scheduler.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Identity within this scheduler.
    pub request_id: RequestId,
    /// Team for fairness.
    pub team: TeamName,
    /// Class for priority.
    pub class: ClassName,
    /// Content identity for crash evidence.
    pub fingerprint: Fingerprint,
    /// Whether the request must run alone because it may crash the upstream.
    pub run_alone: bool,
    /// Whether the running request can be paused and resumed.
    pub resumable: bool,
    /// Prompt size, in tokens; 0 for plain services.
    pub prompt_tokens: u32,
    /// Bound on the answer given by the caller, in tokens; 0 if none.
    pub max_tokens: u32,
    /// Time after which a queued request is given up.
    pub deadline: TimeMs,
}

/// What the scheduler's owner has to do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Send the request to the upstream, or resume it after a pause.
    Start {
        /// The request.
        request_id: RequestId,
        /// Priority passed to the engine.
        engine_priority: u8,
        /// Tokens the request generated before a pause; 0 on the first start.
        resume_from: u32,
    },
    /// Tell the sender that the request did not run.
    Refuse {
        /// The request, which has left the scheduler.
        request_id: RequestId,
        /// Why.
        code: ErrorCode,
        /// Jittered time after which another try makes sense, in milliseconds.
        retry_after_ms: u64,
    },
    /// Cancel the request at the engine and keep it for a later `Start`. The
    /// owner answers with [`Scheduler::on_paused`].
    Pause {
        /// The request.
        request_id: RequestId,
    },
}

/// Answer to a recall.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Recall {
    /// The request left the queue, or will be refused if it arrives later.
    Recalled,
    /// The request has started; it may have run.
    AlreadyStarted,
}

/// How a running request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// With a whole answer.
    Whole,
    /// The caller or a recalling entry cancelled it.
    Cancelled,
    /// The upstream failed.
    Failed,
}

/// Load as an agent reports it on every answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests running now.
    pub running: u32,
    /// Current running limit, in requests.
    pub running_limit: u32,
    /// Requests queued now.
    pub queued: u32,
    /// Estimated tokens still to generate over all queued and running requests.
    pub outstanding_tokens: u64,
    /// Typical time to the first token after a start, in milliseconds.
    pub first_token_ms: u32,
}

/// Queue and running set of one upstream instance.
///
/// # Invariants
///
/// A request is in at most one of queue, running set and paused set.
#[derive(Debug)]
pub struct Scheduler {
    settings: Settings,
    queue: VecDeque<Job>,
    running: IndexMap<RequestId, Job>,
}

impl Scheduler {
    /// Makes an empty scheduler.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            queue: VecDeque::new(),
            running: IndexMap::new(),
        }
    }

    /// Replaces the settings when a new configuration comes into force.
    pub fn reconfigure(&mut self, _now: TimeMs, settings: Settings) -> Vec<Action> {
        self.settings = settings;
        self.fill()
    }

    /// Takes in a request. `random` is uniform over all `u64` and drives jitter.
    pub fn submit(&mut self, _now: TimeMs, job: Job, _random: u64) -> Vec<Action> {
        self.queue.push_back(job);
        self.fill()
    }

    /// Takes back a request that has not started. A recall of an unknown
    /// request leaves a tombstone, so that its late arrival is refused.
    pub fn recall(&mut self, _now: TimeMs, request_id: &RequestId) -> Recall {
        if self.running.contains_key(request_id) {
            return Recall::AlreadyStarted;
        }
        self.queue.retain(|job| job.request_id != *request_id);
        Recall::Recalled
    }

    /// Notes that a running request has generated `tokens` in all so far.
    pub fn on_tokens(
        &mut self,
        _now: TimeMs,
        _request_id: &RequestId,
        _tokens: u32,
    ) -> Vec<Action> {
        Vec::new()
    }

    /// Notes that a request has been stopped at the engine after a `Pause`.
    pub fn on_paused(&mut self, _now: TimeMs, _request_id: &RequestId) -> Vec<Action> {
        self.fill()
    }

    /// Notes the end of a running or paused request. Unknown ids are ignored.
    pub fn on_end(&mut self, _now: TimeMs, request_id: &RequestId, _end: End) -> Vec<Action> {
        self.running.shift_remove(request_id);
        self.fill()
    }

    /// Gives up queued requests past their deadline and reconsiders pauses.
    /// Call at least every 50 ms while anything is queued or paused.
    pub fn tick(&mut self, _now: TimeMs, _random: u64) -> Vec<Action> {
        self.fill()
    }

    /// Stops taking new requests; what is queued, running or paused finishes.
    pub fn drain(&mut self) {}

    /// Whether nothing is queued, running or paused.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.running.is_empty()
    }

    /// Fingerprints running now, as evidence when the upstream crashes.
    pub fn running_fingerprints(&self) -> Vec<Fingerprint> {
        self.running.values().map(|job| job.fingerprint).collect()
    }

    /// The load now.
    pub fn load(&self, _now: TimeMs) -> LoadReport {
        LoadReport {
            running: self.running.len() as u32,
            running_limit: self.settings.running_max,
            queued: self.queue.len() as u32,
            outstanding_tokens: 0,
            first_token_ms: 0,
        }
    }

    fn fill(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        while self.running.len() < self.settings.running_max as usize {
            let Some(job) = self.queue.pop_front() else {
                break;
            };
            actions.push(Action::Start {
                request_id: job.request_id.clone(),
                engine_priority: 0,
                resume_from: 0,
            });
            self.running.insert(job.request_id.clone(), job);
        }
        actions
    }
}
