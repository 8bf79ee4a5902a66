//! Tests that generated documentation is current and replaced correctly.

use std::{fs, path::Path};

use xtask::docs::{generated_sections, replace_section, DocsError, GeneratedSection};

fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/.."))
}

#[test]
fn generated_sections_are_current() {
    for section in generated_sections() {
        let current = fs::read_to_string(root().join(section.path))
            .expect("the documentation file could not be read");

        let updated = replace_section(&section, &current).expect("the file has no marker lines");

        assert!(
            updated == current,
            "{} is out of date: run `cargo xtask docs`",
            section.path
        );
    }
}

#[test]
fn text_outside_generated_section_is_unchanged() {
    let section = GeneratedSection {
        path: "p.md",
        name: "x",
        text: "new\n".into(),
    };

    let updated = replace_section(&section, "a\n<!-- begin x -->\nold\n<!-- end x -->\nb\n");

    assert_eq!(
        updated.expect("the marker lines were not found"),
        "a\n<!-- begin x -->\nnew\n<!-- end x -->\nb\n"
    );
}

#[test]
fn missing_markers_are_reported() {
    let section = GeneratedSection {
        path: "p.md",
        name: "x",
        text: String::new(),
    };

    let result = replace_section(&section, "a\n");

    assert!(matches!(result, Err(DocsError::MissingMarkers { .. })));
}
