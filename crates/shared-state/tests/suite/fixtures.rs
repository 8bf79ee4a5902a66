//! Documents, sequences of configurations, and instances for the tests.

use config::{split_document, Document, Head, SessionEntry, ShardTexts};
use proptest::prelude::ProptestConfig;
use serde_json::json;
use store::{Instance, InstanceList, InstanceState, Role};
use types::Generation;

/// Returns a valid document with one class, which has this first-token target.
pub(crate) fn document(target_ms: u64) -> Document {
    let document = json!({
        "classes": {"only": {"priority": 1, "first_token_target_ms": target_ms,
                             "deadline_ms": 600_000, "queue_limit": 10}},
    });
    Document::parse(&document.to_string()).expect("the fixture is valid")
}

/// Returns configurations of generations 1 to `length`, each with its shards.
pub(crate) fn chain(length: u64) -> Vec<(Head, ShardTexts)> {
    let mut chain: Vec<(Head, ShardTexts)> = Vec::new();
    for index in 0..length {
        let objects = split_document(&document(100 + index)).expect("the fixture fits into shards");
        let parent = chain.last().map(|(head, _)| head);
        let entry = SessionEntry {
            session: format!("s-{index}-0"),
            submitter: "ana".into(),
            generation: Generation(0),
            submitted_unix_ms: 0,
        };
        let head = Head::next(parent, Generation(0), entry, objects.parts);
        chain.push((head, objects.shards));
    }
    chain
}

/// Returns a live agent of the upstream `carving`.
pub(crate) fn agent(instance: &str, addr: &str) -> Instance {
    Instance {
        instance: instance.into(),
        role: Role::Agent,
        upstream: Some("carving".into()),
        zone: "az-1".into(),
        addr: addr.into(),
        state: InstanceState::Live,
    }
}

pub(crate) fn list(version: u64, instances: Vec<Instance>) -> InstanceList {
    InstanceList { version, instances }
}

/// Uses a fixed seed, so that every run generates the same cases.
pub(crate) fn proptest_config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_204),
        ..ProptestConfig::default()
    }
}
