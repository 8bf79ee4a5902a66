//! The canonical form of JSON values and its digest.

use serde_json::{Map, Value};

/// Returns the canonical JSON text of a value, with sorted keys and no
/// whitespace, so that equal values have equal texts.
pub fn canonical_text(value: &Value) -> String {
    sorted(value).to_string()
}

/// Returns the BLAKE3 digest of a canonical text in hexadecimal.
pub fn digest_of(text: &str) -> String {
    blake3::hash(text.as_bytes()).to_hex().to_string()
}

/// Sorts the keys of all objects recursively. The result does not depend on
/// whether the `serde_json` map is sorted or keeps insertion order.
fn sorted(value: &Value) -> Value {
    match value {
        Value::Object(fields) => {
            let mut names: Vec<&String> = fields.keys().collect();
            names.sort_unstable();
            let fields = names
                .into_iter()
                .map(|name| (name.clone(), sorted(&fields[name])));
            Value::Object(fields.collect::<Map<_, _>>())
        }
        Value::Array(items) => Value::Array(items.iter().map(sorted).collect()),
        other => other.clone(),
    }
}
