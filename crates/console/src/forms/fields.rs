//! The fields of each form.

use serde_json::{json, Value};

use super::Section;

/// Type of a field, which determines how its answer is parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FieldKind {
    /// A non-negative integer.
    Number,
    /// A boolean, answered by `yes` or `no`; `true` and `false` are accepted too.
    YesNo,
    /// One of the given strings.
    OneOf(&'static [&'static str]),
    /// A list of names separated by commas.
    Names,
    /// An arbitrary string.
    Text,
}

/// A field of a form.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Field {
    /// Name of the field in the document.
    pub(super) name: &'static str,
    /// Text of the question.
    pub(super) prompt: &'static str,
    /// Type of the field.
    pub(super) kind: FieldKind,
}

const fn field(name: &'static str, prompt: &'static str, kind: FieldKind) -> Field {
    Field { name, prompt, kind }
}

const CLASS_FIELDS: &[Field] = &[
    field(
        "priority",
        "Priority, 0 to 255; higher is served first",
        FieldKind::Number,
    ),
    field(
        "first_token_target_ms",
        "Target for the time to first token, in ms",
        FieldKind::Number,
    ),
    field(
        "token_gap_target_ms",
        "Target for the time between two tokens, in ms; 0 for none",
        FieldKind::Number,
    ),
    field(
        "deadline_ms",
        "Deadline of a request, in ms",
        FieldKind::Number,
    ),
    field(
        "min_share_permille",
        "Share of slots reserved under load of higher priority, in thousandths",
        FieldKind::Number,
    ),
    field(
        "queue_limit",
        "Maximum number of requests in the queue of one agent",
        FieldKind::Number,
    ),
];

const TEAM_FIELDS: &[Field] = &[
    field(
        "classes",
        "Classes, the default one first",
        FieldKind::Names,
    ),
    field(
        "weight",
        "Weight in the sharing between teams of a class",
        FieldKind::Number,
    ),
];

const KIND_FIELD: Field = field(
    "kind",
    "Kind of the instances",
    FieldKind::OneOf(&["engine", "service"]),
);

const ENGINE_FIELDS: &[Field] = &[
    KIND_FIELD,
    field(
        "models",
        "Models that every instance serves",
        FieldKind::Names,
    ),
    field(
        "adapters",
        "Adapters that every instance should load",
        FieldKind::Names,
    ),
    field(
        "checks_fencing",
        "Do the instances reject requests with an outdated fencing number?",
        FieldKind::YesNo,
    ),
    field(
        "running_min",
        "Lower bound of concurrent requests per instance",
        FieldKind::Number,
    ),
    field(
        "running_max",
        "Upper bound of concurrent requests per instance",
        FieldKind::Number,
    ),
    field(
        "reserved_slots",
        "Slots reserved for short and urgent requests",
        FieldKind::Number,
    ),
    field(
        "idempotent",
        "May a request be retried after an attempt that may have run?",
        FieldKind::YesNo,
    ),
];

const SERVICE_UPSTREAM_FIELDS: &[Field] = &[
    KIND_FIELD,
    field(
        "running_min",
        "Lower bound of concurrent requests per instance",
        FieldKind::Number,
    ),
    field(
        "running_max",
        "Upper bound of concurrent requests per instance",
        FieldKind::Number,
    ),
    field(
        "idempotent",
        "May a request be retried after an attempt that may have run?",
        FieldKind::YesNo,
    ),
];

const SERVICE_FIELDS: &[Field] = &[
    field(
        "upstream",
        "Upstream that serves the route",
        FieldKind::Text,
    ),
    field(
        "at_most_once_prefixes",
        "Path prefixes whose requests run at most once",
        FieldKind::Names,
    ),
];

const LIMIT_FIELDS: &[Field] = &[
    field(
        "body_max_bytes",
        "Maximum size of a request body, in bytes",
        FieldKind::Number,
    ),
    field(
        "entry_in_flight_max",
        "Maximum number of requests in flight in one entry",
        FieldKind::Number,
    ),
];

/// Returns the fields of an item; those of an upstream depend on its kind.
pub(super) fn fields_of(section: Section, item: &Value) -> &'static [Field] {
    match section {
        Section::Classes => CLASS_FIELDS,
        Section::Teams => TEAM_FIELDS,
        Section::Upstreams if item["kind"] == "service" => SERVICE_UPSTREAM_FIELDS,
        Section::Upstreams => ENGINE_FIELDS,
        Section::Services => SERVICE_FIELDS,
        Section::Limits => LIMIT_FIELDS,
    }
}

/// Returns a new item, whose values are the defaults of its questions.
pub(super) fn new_item(section: Section, draft: &Value) -> Value {
    let first_name = |section: &str| {
        let items = draft[section].as_object();
        items.and_then(|items| items.keys().next().cloned())
    };
    match section {
        Section::Classes => json!({
            "priority": unused_priority(draft), "first_token_target_ms": 2_000,
            "token_gap_target_ms": 0, "deadline_ms": 60_000, "min_share_permille": 0,
            "queue_limit": 64,
        }),
        Section::Teams => json!({
            "key_digests": [], "weight": 1,
            "classes": first_name("classes").into_iter().collect::<Vec<_>>(),
        }),
        Section::Upstreams => json!({
            "kind": "engine", "models": [], "adapters": [], "checks_fencing": false,
            "running_min": 1, "running_max": 16, "reserved_slots": 0, "idempotent": true,
        }),
        Section::Services => json!({"upstream": "", "at_most_once_prefixes": []}),
        Section::Limits => json!({}),
    }
}

fn unused_priority(draft: &Value) -> u64 {
    let classes = draft["classes"].as_object();
    let used: Vec<u64> = classes
        .into_iter()
        .flatten()
        .filter_map(|(_, class)| class["priority"].as_u64())
        .collect();
    let unused = (0..=255)
        .step_by(10)
        .find(|priority| !used.contains(priority));
    unused.unwrap_or(0)
}

impl Field {
    /// Parses an answer.
    ///
    /// # Errors
    ///
    /// A description of the allowed answers.
    pub(super) fn parse(&self, answer: &str) -> Result<Value, String> {
        match self.kind {
            FieldKind::Number => match answer.parse::<u64>() {
                Ok(number) => Ok(number.into()),
                Err(_) => Err("a whole number".into()),
            },
            FieldKind::YesNo => match answer {
                "yes" | "true" => Ok(true.into()),
                "no" | "false" => Ok(false.into()),
                _ => Err("yes or no".into()),
            },
            FieldKind::OneOf(texts) if !texts.contains(&answer) => {
                Err(format!("one of {}", texts.join(", ")))
            }
            FieldKind::Names => {
                let names = answer.split(',').map(str::trim);
                Ok(names.filter(|name| !name.is_empty()).collect())
            }
            FieldKind::OneOf(_) | FieldKind::Text => Ok(answer.into()),
        }
    }

    /// Formats a value as the text of an answer.
    pub(super) fn format(&self, value: &Value) -> String {
        match value {
            Value::Bool(true) => "yes".into(),
            Value::Bool(false) => "no".into(),
            Value::String(text) => text.clone(),
            Value::Array(names) => {
                let names: Vec<&str> = names.iter().filter_map(Value::as_str).collect();
                names.join(",")
            }
            Value::Null => String::new(),
            other => other.to_string(),
        }
    }
}
