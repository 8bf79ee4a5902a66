//! Tests that the difference between documents lists each changed field.

use config::Document;
use console::difference;
use serde_json::json;

fn document(value: serde_json::Value) -> Document {
    Document::parse(&value.to_string()).expect("the fixture is valid")
}

#[test]
fn added_changed_and_removed_fields_are_listed() {
    let class = |priority: u8, limit: u32| json!({"priority": priority, "first_token_target_ms": 1, "deadline_ms": 1, "queue_limit": limit});
    let before = document(json!({"classes": {"a": class(1, 5), "b": class(2, 5)}}));
    let after = document(json!({"classes": {"a": class(1, 6), "c": class(3, 5)}}));

    let changes = difference(&before, &after);

    let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
    assert_eq!(lines.len(), 3, "{lines:?}");
    assert_eq!(lines[0], "~ classes.a.queue_limit: 5 -> 6");
    assert!(lines[1].starts_with("- classes.b: {"));
    assert!(lines[2].starts_with("+ classes.c: {"));
    assert!(difference(&after, &after).is_empty());
}
