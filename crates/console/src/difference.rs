//! Comparison of two documents field by field.

use std::fmt;

use config::Document;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A field that differs between two documents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Path of the field, such as `classes.urgent.priority`.
    pub path: String,
    /// Value in the first document; `None` if the field was added.
    pub before: Option<Value>,
    /// Value in the second document; `None` if the field was removed.
    pub after: Option<Value>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = &self.path;
        match (&self.before, &self.after) {
            (None, Some(after)) => write!(f, "+ {path}: {after}"),
            (Some(before), None) => write!(f, "- {path}: {before}"),
            (before, after) => {
                let text = |value: &Option<Value>| value.as_ref().map(Value::to_string);
                let (before, after) = (text(before), text(after));
                write!(
                    f,
                    "~ {path}: {} -> {}",
                    before.unwrap_or_default(),
                    after.unwrap_or_default()
                )
            }
        }
    }
}

/// Returns the changes from one document to another, sorted by path.
pub fn difference(before: &Document, after: &Document) -> Vec<Change> {
    // Serializing strings and numbers cannot fail.
    let before = serde_json::to_value(before).unwrap_or_default();
    let after = serde_json::to_value(after).unwrap_or_default();
    let mut changes = Vec::new();
    compare("", Some(&before), Some(&after), &mut changes);
    changes.sort_by(|one, other| one.path.cmp(&other.path));
    changes
}

fn compare(path: &str, before: Option<&Value>, after: Option<&Value>, changes: &mut Vec<Change>) {
    if before == after {
        return;
    }
    if let (Some(Value::Object(old)), Some(Value::Object(new))) = (before, after) {
        for (name, value) in old {
            compare(&join_path(path, name), Some(value), new.get(name), changes);
        }
        for (name, value) in new.iter().filter(|(name, _)| !old.contains_key(*name)) {
            compare(&join_path(path, name), None, Some(value), changes);
        }
        return;
    }
    changes.push(Change {
        path: path.to_string(),
        before: before.cloned(),
        after: after.cloned(),
    });
}

fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() {
        return name.to_string();
    }
    format!("{path}.{name}")
}
