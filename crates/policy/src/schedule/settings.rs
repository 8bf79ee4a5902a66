//! Scheduler settings, taken from the configuration.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use types::{ClassName, Priority, TeamName};

/// Order in which requests are served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Discipline {
    /// Strict priority of classes with minimum shares, fair queueing between
    /// teams, feedback lanes and preemption.
    #[default]
    Classes,
    /// First in, first out without priorities; a baseline for measurements.
    Fifo,
}

/// Scheduling parameters of a class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassRules {
    /// Priority relative to other classes; higher values are served first.
    pub priority: Priority,
    /// Target time to the first token, in milliseconds. Late first tokens lower
    /// the running limit.
    pub first_token_target_ms: u64,
    /// Minimum share of running slots while higher classes are loaded, in
    /// thousandths. Raised to [`ClassRules::MIN_SHARE_FLOOR_PERMILLE`] if lower.
    pub min_share_permille: u32,
    /// Maximum number of queued requests of the class. A higher class may also
    /// use the limits of lower classes.
    pub queue_limit: u32,
}

impl ClassRules {
    /// Lower bound on the minimum share, in thousandths, so that no class
    /// starves.
    pub const MIN_SHARE_FLOOR_PERMILLE: u32 = 10;

    /// Rules for requests whose class is not in the current configuration.
    pub(super) fn unconfigured() -> Self {
        const FIRST_TOKEN_TARGET_MS: u64 = 10_000;
        Self {
            priority: Priority(0),
            first_token_target_ms: FIRST_TOKEN_TARGET_MS,
            min_share_permille: 0,
            queue_limit: 0,
        }
    }

    /// Effective minimum share, in thousandths.
    pub(super) fn share_permille(&self) -> u64 {
        u64::from(
            self.min_share_permille
                .clamp(Self::MIN_SHARE_FLOOR_PERMILLE, 1_000),
        )
    }
}

/// Configuration of one scheduler.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, bon::Builder)]
pub struct Settings {
    /// Order in which requests are served; by class unless set.
    #[builder(default)]
    pub discipline: Discipline,
    /// Lower bound of the adaptive running limit, in requests.
    pub running_min: u32,
    /// Upper bound and initial value of the running limit, in requests.
    pub running_max: u32,
    /// Slots reserved for urgent requests and those expected to be short.
    #[builder(default)]
    pub reserved_slots: u32,
    /// Rules of the configured classes, by class name.
    pub classes: IndexMap<ClassName, ClassRules>,
    /// Fair-queueing weight by team; teams not listed have weight 1.
    #[builder(default)]
    pub team_weights: IndexMap<TeamName, u32>,
}

impl Settings {
    /// Fair-queueing weight of a team, at least 1.
    pub(super) fn weight(&self, team: &TeamName) -> u64 {
        u64::from(self.team_weights.get(team).copied().unwrap_or(1).max(1))
    }

    /// Sum of the queue limits of all configured classes.
    pub(super) fn queue_limit_total(&self) -> u64 {
        self.classes
            .values()
            .map(|rules| u64::from(rules.queue_limit))
            .sum()
    }
}
