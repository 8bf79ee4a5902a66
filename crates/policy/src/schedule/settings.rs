//! What the scheduler is told by the configuration.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use types::{ClassName, Priority, TeamName};

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
    /// Every class has at least [`ClassRules::MIN_SHARE_FLOOR_PERMILLE`].
    pub min_share_permille: u32,
    /// Queued requests of the class at most. A higher class may also use the
    /// room that lower classes leave free.
    pub queue_limit: u32,
}

impl ClassRules {
    /// Smallest share of any class, so that every class is served.
    pub const MIN_SHARE_FLOOR_PERMILLE: u32 = 10;

    /// Rules of requests whose class is not in the configuration in force.
    pub(super) fn unlisted() -> Self {
        const FIRST_TOKEN_TARGET_MS: u64 = 10_000;
        Self {
            priority: Priority(0),
            first_token_target_ms: FIRST_TOKEN_TARGET_MS,
            min_share_permille: 0,
            queue_limit: 0,
        }
    }

    /// The share that scheduling applies, in thousandths.
    pub(super) fn share_permille(&self) -> u64 {
        u64::from(
            self.min_share_permille
                .clamp(Self::MIN_SHARE_FLOOR_PERMILLE, 1_000),
        )
    }
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

impl Settings {
    /// Weight of a team inside its class, at least 1.
    pub(super) fn weight(&self, team: &TeamName) -> u64 {
        u64::from(self.team_weights.get(team).copied().unwrap_or(1).max(1))
    }

    /// Requests that all queues hold at most, over the listed classes.
    pub(super) fn queue_limit_total(&self) -> u64 {
        self.classes
            .values()
            .map(|rules| u64::from(rules.queue_limit))
            .sum()
    }
}
