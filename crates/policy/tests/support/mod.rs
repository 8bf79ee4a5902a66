//! Fixtures shared by the tests.
#![allow(dead_code, missing_docs, unreachable_pub)]

pub mod engine;
pub mod fleet;
pub mod prompts;

use indexmap::IndexMap;
use policy::schedule::{ClassRules, Discipline, Job, Settings};
use proptest::test_runner::{Config, RngSeed};
use types::{ClassName, Fingerprint, Priority, RequestId, TeamName, TimeMs};

pub const URGENT: &str = "urgent";
pub const NORMAL: &str = "normal";
pub const HISTORY: &str = "history";
pub const CLASSES: [&str; 3] = [URGENT, NORMAL, HISTORY];

/// Fixes the seed so that every run tests the same cases.
pub fn proptest_config(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_204),
        ..Config::default()
    }
}

pub fn rules(
    priority: u8,
    first_token_target_ms: u64,
    min_share_permille: u32,
    queue_limit: u32,
) -> ClassRules {
    ClassRules {
        priority: Priority(priority),
        first_token_target_ms,
        min_share_permille,
        queue_limit,
    }
}

pub fn three_classes(queue_limit: u32) -> IndexMap<ClassName, ClassRules> {
    IndexMap::from([
        (ClassName::from(URGENT), rules(30, 500, 0, queue_limit)),
        (ClassName::from(NORMAL), rules(20, 2_000, 100, queue_limit)),
        (ClassName::from(HISTORY), rules(10, 10_000, 50, queue_limit)),
    ])
}

pub fn settings(running_max: u32, queue_limit: u32) -> Settings {
    Settings::builder()
        .running_min(1)
        .running_max(running_max)
        .classes(three_classes(queue_limit))
        .build()
}

pub fn fifo(mut settings: Settings) -> Settings {
    settings.discipline = Discipline::Fifo;
    settings
}

pub fn priority_of(class: &ClassName) -> u8 {
    match class.as_str() {
        URGENT => 30,
        NORMAL => 20,
        HISTORY => 10,
        _ => 0,
    }
}

pub fn job(id: &str, team: &str, class: &str) -> Job {
    Job {
        request_id: RequestId::from(id),
        team: TeamName::from(team),
        class: ClassName::from(class),
        fingerprint: Fingerprint::of("model", id.as_bytes()),
        run_alone: false,
        resumable: true,
        prompt_tokens: 16,
        max_tokens: 0,
        deadline: TimeMs(u64::MAX),
    }
}
