//! The catalogue of events is consistent.

use std::collections::BTreeSet;

use telemetry::{
    events::{catalogue, EntryEvent},
    Event,
};

/// Suffixes that name a unit or say that the field is a count or a name.
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
fn numbers_are_unique_and_rise() {
    let numbers: Vec<u32> = catalogue().iter().map(|spec| spec.number).collect();

    let sorted: Vec<u32> = BTreeSet::from_iter(numbers.clone()).into_iter().collect();

    assert_eq!(numbers, sorted);
}

#[test]
fn every_event_says_what_happened_and_what_to_do() {
    for spec in catalogue() {
        assert!(spec.meaning.ends_with('.'), "{}", spec.name);
        assert!(spec.action.ends_with('.'), "{}", spec.name);
    }
}

#[test]
fn durations_carry_their_unit() {
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
fn the_fields_of_a_logged_event_are_those_of_the_catalogue() {
    let event = EntryEvent::Listening {
        instance: "e-1".into(),
        addr: "127.0.0.1:1".into(),
    };

    let json = serde_json::to_value(&event).expect("an event is plain data");

    let fields: Vec<&str> = json
        .as_object()
        .expect("an object")
        .keys()
        .map(String::as_str)
        .collect();
    let mut expected = event.spec().fields.to_vec();
    expected.sort_unstable();
    assert_eq!(fields, expected);
}
