//! The pages are equal to the code.

use std::{fs, path::Path};

use xtask::docs::{insert, pages, DocsError, Page};

fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/.."))
}

#[test]
fn generated_parts_are_current() {
    for page in pages() {
        let current = fs::read_to_string(root().join(page.path)).expect("the page exists");

        let renewed = insert(&page, &current).expect("the page has its markers");

        assert!(
            renewed == current,
            "{} is out of date: run `cargo xtask docs`",
            page.path
        );
    }
}

#[test]
fn text_around_the_generated_part_is_kept() {
    let page = Page {
        path: "p.md",
        part: "x",
        text: "new\n".into(),
    };

    let renewed = insert(&page, "a\n<!-- begin x -->\nold\n<!-- end x -->\nb\n");

    assert_eq!(
        renewed.expect("it has markers"),
        "a\n<!-- begin x -->\nnew\n<!-- end x -->\nb\n"
    );
}

#[test]
fn a_page_without_markers_is_refused() {
    let page = Page {
        path: "p.md",
        part: "x",
        text: String::new(),
    };

    let result = insert(&page, "a\n");

    assert!(matches!(result, Err(DocsError::Markers { .. })));
}
