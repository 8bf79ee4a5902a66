//! Parses a document item by item, so that one error does not hide the others.

use std::{hash::Hash, sync::Arc};

use indexmap::{IndexMap, IndexSet};
use serde::de::DeserializeOwned;
use serde_json::{json, Map, Value};

use super::{unique_keys::UniqueKeys, Issue};
use crate::{CallerLimits, Class, Document, Service, Team, Upstream};

const SECTIONS: [&str; 5] = ["classes", "teams", "upstreams", "services", "limits"];

/// Result of parsing a document: its valid items, and the errors in the others.
#[derive(Default)]
pub(super) struct Parsed {
    /// The items without errors.
    pub(super) document: Document,
    /// The errors of the other items.
    pub(super) issues: Vec<Issue>,
    /// Paths of the items with errors, such as `classes.urgent`.
    pub(super) invalid_paths: IndexSet<String>,
}

/// Parses the valid items of a document and collects the errors of the others.
pub(super) fn parse(text: &str) -> Parsed {
    let mut parsed = Parsed::default();
    match serde_json::from_str(text).map(|UniqueKeys(value)| value) {
        Ok(Value::Object(sections)) => parse_sections(sections, &mut parsed),
        Ok(other) => {
            let rule = format!("a JSON object with the sections {}", SECTIONS.join(", "));
            parsed.issues.push(Issue::new("document", other, rule));
        }
        Err(error) => {
            let rule = format!("JSON text ({error})");
            parsed.issues.push(Issue::new("document", "", rule));
        }
    }
    parsed
}

fn parse_sections(mut sections: Map<String, Value>, parsed: &mut Parsed) {
    let mut take = |name: &str| sections.remove(name);
    let class =
        json!({"priority": 1, "first_token_target_ms": 1, "deadline_ms": 1, "queue_limit": 1});
    let team = json!({"key_digests": [], "classes": []});
    let upstream = json!({"kind": "engine"});
    let service = json!({"upstream": "x"});
    parsed.document = Document {
        classes: parse_map::<_, Class>("classes", take("classes"), &class, parsed),
        teams: parse_map::<_, Arc<Team>>("teams", take("teams"), &team, parsed),
        upstreams: parse_map::<_, Upstream>("upstreams", take("upstreams"), &upstream, parsed),
        services: parse_map::<_, Service>("services", take("services"), &service, parsed),
        limits: take("limits")
            .and_then(|value| parse_item::<CallerLimits>("limits", value, &json!({}), parsed))
            .unwrap_or_default(),
    };
    for (name, value) in sections {
        let rule = format!("unknown section; the sections are {}", SECTIONS.join(", "));
        parsed.issues.push(Issue::new(name, value, rule));
    }
}

fn parse_map<K, T>(
    section: &str,
    value: Option<Value>,
    template: &Value,
    parsed: &mut Parsed,
) -> IndexMap<K, T>
where
    K: From<String> + Hash + Eq,
    T: DeserializeOwned,
{
    let items = match value {
        None => return IndexMap::new(),
        Some(Value::Object(items)) => items,
        Some(other) => {
            let rule = "a JSON object with items by name";
            parsed.issues.push(Issue::new(section, other, rule));
            return IndexMap::new();
        }
    };
    let mut items_by_name = IndexMap::new();
    for (name, value) in items {
        let path = format!("{section}.{name}");
        if let Some(item) = parse_item(&path, value, template, parsed) {
            items_by_name.insert(name.into(), item);
        }
    }
    items_by_name
}

/// Parses one item; `template` is a valid item with only the required fields.
fn parse_item<T: DeserializeOwned>(
    path: &str,
    value: Value,
    template: &Value,
    parsed: &mut Parsed,
) -> Option<T> {
    let Ok(item) = serde_json::from_value(value.clone()) else {
        find_field_issues::<T>(path, &value, template, &mut parsed.issues);
        parsed.invalid_paths.insert(path.to_string());
        return None;
    };
    Some(item)
}

/// Adds an issue for each invalid or missing field of an item. To find the
/// invalid ones, each field is parsed on its own, inserted into a copy of
/// `template`, which is a valid item with only the required fields.
fn find_field_issues<T: DeserializeOwned>(
    path: &str,
    value: &Value,
    template: &Value,
    issues: &mut Vec<Issue>,
) {
    let (Value::Object(fields), Value::Object(required)) = (value, template) else {
        issues.push(Issue::new(path, value, "a JSON object"));
        return;
    };
    for (name, field) in fields {
        let mut candidate = required.clone();
        candidate.insert(name.clone(), field.clone());
        if let Err(error) = serde_json::from_value::<T>(Value::Object(candidate)) {
            issues.push(Issue::new(
                format!("{path}.{name}"),
                field,
                error.to_string(),
            ));
        }
    }
    for name in required.keys().filter(|name| !fields.contains_key(*name)) {
        issues.push(Issue::new(
            format!("{path}.{name}"),
            Value::Null,
            "required field is missing",
        ));
    }
}
