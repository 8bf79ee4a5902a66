//! Tests that invalid documents are rejected with all of their errors.

use crate::common::valid_document;
use config::{Document, ValidationError};
use proptest::prelude::*;
use rstest::rstest;
use serde_json::{json, Value};

fn errors_of(document: &Value) -> Vec<String> {
    match Document::parse(&document.to_string()) {
        Ok(_) => Vec::new(),
        Err(ValidationError { errors }) => errors.iter().map(ToString::to_string).collect(),
    }
}

/// Returns the valid document with the value at a JSON pointer replaced.
fn with_value_at(pointer: &str, value: Value) -> Value {
    let mut document = valid_document();
    let (parent, name) = pointer
        .rsplit_once('/')
        .expect("the pointer contains a slash");
    document
        .pointer_mut(parent)
        .expect("the parent of the pointer exists")[name] = value;
    document
}

#[test]
fn valid_document_is_accepted() {
    assert_eq!(errors_of(&valid_document()), Vec::<String>::new());
}

#[rstest]
#[case("/classes/urgent/priority", json!(100), "classes.urgent.priority: 100: unique")]
#[case("/classes/urgent/priority", json!("high"), "classes.urgent.priority: \"high\"")]
#[case("/classes/urgent/priority", json!(256), "classes.urgent.priority: 256")]
#[case("/classes/urgent/first_token_target_ms", json!(0), "classes.urgent.first_token_target_ms: 0: 1 to 600000")]
#[case("/classes/urgent/deadline_ms", json!(499), "classes.urgent.deadline_ms: 499: at least first_token_target_ms")]
#[case("/classes/urgent/min_share_permille", json!(401), "classes.*.min_share_permille: 501")]
#[case("/classes/urgent/queue_limit", json!(0), "classes.urgent.queue_limit: 0")]
#[case("/classes/urgent/queue_length", json!(5), "classes.urgent.queue_length: 5: unknown field")]
#[case("/classes/a b", json!({"priority": 1, "first_token_target_ms": 1, "deadline_ms": 1, "queue_limit": 1}), "classes.a b: \"a b\": a name")]
#[case("/teams/clinic/classes", json!(["urgent", "nobody"]), "teams.clinic.classes: \"nobody\": one of the classes")]
#[case("/teams/clinic/classes", json!([]), "teams.clinic.classes: []: at least one")]
#[case("/teams/clinic/classes", json!(["plans", "plans"]), "teams.clinic.classes: \"plans\": listed once")]
#[case("/teams/clinic/weight", json!(0), "teams.clinic.weight: 0")]
#[case("/teams/clinic/key_digests", json!(["abc"]), "teams.clinic.key_digests: \"a text of 3 bytes\"")]
#[case("/teams/clinic/key_digests", json!([config::key_digest("k-cafe")]), "unique over all teams")]
#[case("/upstreams/carving/models", json!([]), "upstreams.carving.models: []: at least one")]
#[case("/upstreams/carving/running_max", json!(0), "upstreams.carving.running_max: 0: 1 to 4096")]
#[case("/upstreams/carving/reserved_slots", json!(16), "upstreams.carving.reserved_slots: 16: below running_max")]
#[case("/upstreams/orders/models", json!(["m"]), "upstreams.orders.models: [\"m\"]: none")]
#[case("/upstreams/other", json!({"kind": "engine", "models": ["carve-1"]}), "upstreams.other.models: \"carve-1\": unique")]
#[case("/upstreams/other", json!({"kind": "toaster"}), "upstreams.other.kind: \"toaster\"")]
#[case("/services/orders/upstream", json!("carving"), "services.orders.upstream: \"carving\": an existing upstream of the kind service")]
#[case("/services/orders/at_most_once_prefixes", json!(["orders"]), "services.orders.at_most_once_prefixes: \"orders\": a path")]
#[case("/services/orders/at_most_once_prefixes", json!(["/a/../b"]), "a path that starts with /")]
#[case("/limits", json!({"body_max_bytes": 1}), "limits.body_max_bytes: 1")]
#[case("/tiers", json!({}), "tiers: {}: unknown section")]
fn error_contains_path_value_and_rule(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] expected: &str,
) {
    let errors = errors_of(&with_value_at(pointer, value));

    assert_eq!(errors.len(), 1, "{errors:?}");
    assert!(errors[0].contains(expected), "{errors:?}");
}

#[test]
fn all_errors_are_reported_at_once() {
    let mut document = valid_document();
    document["classes"]["urgent"]["priority"] = json!("high");
    document["classes"]["plans"]["queue_limit"] = json!(0);
    document["teams"]["clinic"]["weight"] = json!(-1);
    document["upstreams"]["carving"]["models"] = json!([]);
    document["services"]["orders"]["upstream"] = json!("gone");

    let errors = errors_of(&document);

    let paths: Vec<&str> = errors
        .iter()
        .filter_map(|error| error.split(": ").next())
        .collect();
    let mut sorted = paths.clone();
    sorted.sort_unstable();
    let expected = [
        "classes.plans.queue_limit",
        "classes.urgent.priority",
        "services.orders.upstream",
        "teams.clinic.weight",
        "upstreams.carving.models",
    ];
    assert_eq!(sorted, expected);
}

#[test]
fn duplicate_key_is_rejected() {
    let limits = r#"{"limits": {"body_max_bytes": 2048, "body_max_bytes": 4096}}"#;

    let error = Document::parse(limits).expect_err("the key is a duplicate");

    let rule = &error.errors[0].rule;
    assert!(
        rule.contains("duplicate key `body_max_bytes` at line 1"),
        "{rule}"
    );
}

#[test]
fn pasted_api_key_is_not_shown_in_error() {
    let document = with_value_at("/teams/clinic/key_digests", json!(["lgw-secret"]));

    let errors = errors_of(&document);

    assert!(!errors.concat().contains("secret"), "{errors:?}");
}

#[test]
fn unused_class_and_team_without_key_give_warnings() {
    let mut document = valid_document();
    document["teams"]["clinic"] = json!({"key_digests": [], "classes": ["plans"]});
    let document = Document::parse(&document.to_string()).expect("the document has only warnings");

    let warnings: Vec<String> = document
        .warnings()
        .iter()
        .map(|warning| warning.path.clone())
        .collect();

    assert_eq!(warnings, ["classes.urgent", "teams.clinic.key_digests"]);
}

proptest! {
    #![proptest_config(crate::common::proptest_config(256))]

    /// Parsing arbitrary text does not panic.
    #[test]
    fn parsing_arbitrary_text_does_not_panic(text in ".{0,200}") {
        let _ = Document::parse(&text);
    }

    /// An arbitrary value at one of these paths gives either a valid document or
    /// errors with a path and a rule.
    #[test]
    fn errors_of_arbitrary_values_have_path_and_rule(
        pointer in prop::sample::select(vec![
            "/classes", "/teams", "/classes/urgent", "/classes/urgent/priority", "/teams/clinic",
            "/teams/clinic/classes", "/upstreams/carving/kind", "/services/orders", "/limits",
        ]),
        value in prop_oneof![
            Just(json!(null)), Just(json!([])), Just(json!({})), Just(json!([{}])),
            any::<i64>().prop_map(|number| json!(number)),
            any::<f64>().prop_map(|number| json!(number)),
            ".{0,20}".prop_map(|text| json!(text)),
        ],
    ) {
        if let Err(ValidationError { errors }) = Document::parse(&with_value_at(pointer, value).to_string()) {
            prop_assert!(!errors.is_empty());
            for error in errors {
                prop_assert!(!error.path.is_empty() && !error.rule.is_empty());
            }
        }
    }
}
