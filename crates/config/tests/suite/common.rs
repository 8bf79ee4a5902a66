//! Fixtures and strategies for documents.

use config::Document;
use proptest::prelude::*;
use serde_json::{json, Value};

/// Returns a valid document as JSON.
pub(crate) fn valid_document() -> Value {
    json!({
        "classes": {
            "urgent": {"priority": 200, "first_token_target_ms": 500, "deadline_ms": 20_000,
                       "min_share_permille": 200, "queue_limit": 50},
            "plans": {"priority": 100, "first_token_target_ms": 5_000, "deadline_ms": 600_000,
                      "min_share_permille": 100, "queue_limit": 200},
        },
        "teams": {
            "clinic": {"key_digests": [config::key_digest("k-clinic")], "classes": ["urgent", "plans"]},
            "cafe": {"key_digests": [config::key_digest("k-cafe")], "classes": ["plans"], "weight": 2},
        },
        "upstreams": {
            "carving": {"kind": "engine", "models": ["carve-1"]},
            "orders": {"kind": "service"},
        },
        "services": {
            "orders": {"upstream": "orders", "at_most_once_prefixes": ["/orders"]},
        },
    })
}

/// Returns a valid document with one class per target and these teams, all
/// in the first class. The key of a team equals its name.
pub(crate) fn document_with_teams(teams: &[String], class_targets_ms: &[u64]) -> Document {
    let mut document = json!({"classes": {}, "teams": {}});
    for (index, target_ms) in class_targets_ms.iter().enumerate() {
        document["classes"][format!("class-{index}")] = json!({
            "priority": index, "first_token_target_ms": target_ms,
            "deadline_ms": 3_600_000, "queue_limit": 10,
        });
    }
    for team in teams {
        document["teams"][team] = json!({
            "key_digests": [config::key_digest(team)], "classes": ["class-0"],
        });
    }
    Document::parse(&document.to_string()).expect("the fixture is valid")
}

/// Generates documents with up to 39 teams and 1 to 5 classes.
pub(crate) fn documents() -> impl Strategy<Value = Document> {
    let teams = prop::collection::hash_set("[a-z][a-z0-9._-]{0,12}", 0..40);
    let targets_ms = prop::collection::vec(1_u64..=600_000, 1..6);
    (teams, targets_ms).prop_map(|(teams, targets_ms)| {
        let teams: Vec<String> = teams.into_iter().collect();
        document_with_teams(&teams, &targets_ms)
    })
}

/// Returns a proptest configuration with a fixed seed, so that every run
/// tests the same cases.
pub(crate) fn proptest_config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_204),
        ..ProptestConfig::default()
    }
}
