//! Reads a document's text, item by item, so that one error does not hide
//! the others.

use std::{hash::Hash, sync::Arc};

use indexmap::{IndexMap, IndexSet};
use serde::de::DeserializeOwned;
use serde_json::{json, Map, Value};

use super::{unique_keys::UniqueKeys, Issue};
use crate::{CallerLimits, Class, Document, Service, Team, Upstream};

const SECTIONS: [&str; 5] = ["classes", "teams", "upstreams", "services", "limits"];

/// What was read of a text.
#[derive(Default)]
pub(super) struct Parsed {
    /// The readable items.
    pub(super) document: Document,
    /// Why the others are not.
    pub(super) issues: Vec<Issue>,
    /// Paths of the items that could not be read, as `classes.urgent`.
    pub(super) unreadable: IndexSet<String>,
}

/// Reads what can be read of a document and lists what can't.
pub(super) fn parse(text: &str) -> Parsed {
    let mut parsed = Parsed::default();
    match serde_json::from_str(text).map(|UniqueKeys(value)| value) {
        Ok(Value::Object(sections)) => read_sections(sections, &mut parsed),
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

fn read_sections(mut sections: Map<String, Value>, parsed: &mut Parsed) {
    let mut take = |name: &str| sections.remove(name);
    let class =
        json!({"priority": 1, "first_token_target_ms": 1, "deadline_ms": 1, "queue_limit": 1});
    let team = json!({"key_digests": [], "classes": []});
    let upstream = json!({"kind": "engine"});
    let service = json!({"upstream": "x"});
    parsed.document = Document {
        classes: read_map::<_, Class>("classes", take("classes"), &class, parsed),
        teams: read_map::<_, Arc<Team>>("teams", take("teams"), &team, parsed),
        upstreams: read_map::<_, Upstream>("upstreams", take("upstreams"), &upstream, parsed),
        services: read_map::<_, Service>("services", take("services"), &service, parsed),
        limits: take("limits")
            .and_then(|value| read_item::<CallerLimits>("limits", value, &json!({}), parsed))
            .unwrap_or_default(),
    };
    for (name, value) in sections {
        let rule = format!("no such section; there are {}", SECTIONS.join(", "));
        parsed.issues.push(Issue::new(name, value, rule));
    }
}

fn read_map<K, T>(
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
            let rule = "an object of items by name";
            parsed.issues.push(Issue::new(section, other, rule));
            return IndexMap::new();
        }
    };
    let mut read = IndexMap::new();
    for (name, value) in items {
        let path = format!("{section}.{name}");
        if let Some(item) = read_item(&path, value, template, parsed) {
            read.insert(name.into(), item);
        }
    }
    read
}

/// Reads one item; `template` is a readable item with the required fields only.
fn read_item<T: DeserializeOwned>(
    path: &str,
    value: Value,
    template: &Value,
    parsed: &mut Parsed,
) -> Option<T> {
    let Ok(item) = serde_json::from_value(value.clone()) else {
        find_field_issues::<T>(path, &value, template, &mut parsed.issues);
        parsed.unreadable.insert(path.to_string());
        return None;
    };
    Some(item)
}

/// Finds the fields of an unreadable item that make it so: each is put into
/// the template on its own.
fn find_field_issues<T: DeserializeOwned>(
    path: &str,
    value: &Value,
    template: &Value,
    issues: &mut Vec<Issue>,
) {
    let (Value::Object(fields), Value::Object(required)) = (value, template) else {
        issues.push(Issue::new(path, value, "an object"));
        return;
    };
    for (name, field) in fields {
        let mut probe = required.clone();
        probe.insert(name.clone(), field.clone());
        if let Err(error) = serde_json::from_value::<T>(Value::Object(probe)) {
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
            "required, but missing",
        ));
    }
}
