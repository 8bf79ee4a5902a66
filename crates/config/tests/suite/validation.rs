//! Documents with errors are refused, with every error named at once.

use crate::common::valid;
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

/// The valid document with the value at a JSON pointer replaced.
fn altered(pointer: &str, value: Value) -> Value {
    let mut document = valid();
    let (parent, name) = pointer.rsplit_once('/').expect("a pointer has a slash");
    document.pointer_mut(parent).expect("the parent exists")[name] = value;
    document
}

#[test]
fn a_valid_document_is_accepted() {
    assert_eq!(errors_of(&valid()), Vec::<String>::new());
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
#[case("/tiers", json!({}), "tiers: {}: no such section")]
fn a_broken_rule_names_path_value_and_rule(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] expected: &str,
) {
    let errors = errors_of(&altered(pointer, value));

    assert_eq!(errors.len(), 1, "{errors:?}");
    assert!(errors[0].contains(expected), "{errors:?}");
}

#[test]
fn every_error_is_named_at_once() {
    let mut document = valid();
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
fn a_name_that_stands_twice_is_an_error() {
    let limits = r#"{"limits": {"body_max_bytes": 2048, "body_max_bytes": 4096}}"#;

    let refused = Document::parse(limits).expect_err("it stands twice");

    let rule = &refused.errors[0].rule;
    assert!(
        rule.contains("`body_max_bytes` stands twice at line 1"),
        "{rule}"
    );
}

#[test]
fn a_pasted_key_is_not_shown_in_an_error() {
    let document = altered("/teams/clinic/key_digests", json!(["lgw-secret"]));

    let errors = errors_of(&document);

    assert!(!errors.concat().contains("secret"), "{errors:?}");
}

#[test]
fn a_class_without_team_and_a_team_without_key_are_warned_of() {
    let mut document = valid();
    document["teams"]["clinic"] = json!({"key_digests": [], "classes": ["plans"]});
    let document = Document::parse(&document.to_string()).expect("only warnings");

    let warnings: Vec<String> = document
        .warnings()
        .iter()
        .map(|one| one.path.clone())
        .collect();

    assert_eq!(warnings, ["classes.urgent", "teams.clinic.key_digests"]);
}

proptest! {
    #![proptest_config(crate::common::proptest_config(256))]

    /// Whatever text comes in, the parser answers and does not panic.
    #[test]
    fn any_text_is_answered(text in ".{0,200}") {
        let _ = Document::parse(&text);
    }

    /// Whatever single value is put anywhere, the result is a document or
    /// errors that all name a path and a rule.
    #[test]
    fn any_value_anywhere_is_answered(
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
        if let Err(ValidationError { errors }) = Document::parse(&altered(pointer, value).to_string()) {
            prop_assert!(!errors.is_empty());
            for error in errors {
                prop_assert!(!error.path.is_empty() && !error.rule.is_empty());
            }
        }
    }
}
