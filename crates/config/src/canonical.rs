//! The canonical form of JSON values and its digest.

use serde_json::{Map, Value};

/// The canonical JSON text of a value: sorted keys and no spaces, so that
/// equal values have equal texts whatever order they were written in.
pub fn canonical_text(value: &Value) -> String {
    sorted(value).to_string()
}

/// BLAKE3 digest of a canonical text, hexadecimal.
pub fn digest_of(text: &str) -> String {
    blake3::hash(text.as_bytes()).to_hex().to_string()
}

/// Sorts the keys of all objects. A map type that sorts anyway keeps the
/// order; one that keeps insertion order gets them sorted.
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
