//! Consistency checks of the event catalogue.

use std::collections::BTreeSet;

use telemetry::{
    events::{catalogue, EntryEvent},
    Event,
};

/// Field-name suffixes that denote a unit or a quantity.
const UNITS: &[&str] = &[
    "_ms",
    "_bytes",
    "_tokens",
    "_permille",
    "_percent",
    "_s",
    "_share",
];

#[test]
fn event_numbers_are_unique_and_ascending() {
    let numbers: Vec<u32> = catalogue().iter().map(|spec| spec.number).collect();

    let sorted: Vec<u32> = BTreeSet::from_iter(numbers.clone()).into_iter().collect();

    assert_eq!(numbers, sorted);
}

#[test]
fn every_event_has_meaning_and_action() {
    for spec in catalogue() {
        assert!(spec.meaning.ends_with('.'), "{}", spec.name);
        assert!(spec.action.ends_with('.'), "{}", spec.name);
    }
}

#[test]
fn duration_fields_have_unit_suffix() {
    let durations = ["wait", "delay", "age", "timeout", "deadline", "duration"];

    for spec in catalogue() {
        for field in spec.fields {
            let is_duration = durations
                .iter()
                .any(|word| field.split('_').any(|part| part == *word));
            let has_unit = UNITS.iter().any(|unit| field.ends_with(unit));
            assert!(!is_duration || has_unit, "{}: {field}", spec.name);
        }
    }
}

#[test]
fn serialized_event_fields_match_catalogue() {
    let event = EntryEvent::Listening {
        instance: "e-1".into(),
        addr: "127.0.0.1:1".into(),
    };

    let json = serde_json::to_value(&event).expect("event serializes");

    let fields: Vec<&str> = json
        .as_object()
        .expect("event serializes to a JSON object")
        .keys()
        .map(String::as_str)
        .collect();
    let mut expected = event.spec().fields.to_vec();
    expected.sort_unstable();
    assert_eq!(fields, expected);
}
