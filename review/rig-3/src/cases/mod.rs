//! The cases.

mod entry_with_missing_fields;
mod memory;
mod requests_sent_ahead;

use std::{io, path::Path};

use crate::{Record, Verdict};
use memory::Crowd;

/// Runs the case with this name.
///
/// # Errors
///
/// Why it could not run.
pub fn run(name: &str, has_trouble: bool, record: &Record, folder: &Path) -> io::Result<Verdict> {
    match name {
        "requests-sent-ahead" => requests_sent_ahead::run(has_trouble, record, folder),
        "entry-with-missing-fields" => entry_with_missing_fields::run(has_trouble, record, folder),
        "memory-of-requests-ahead" => {
            memory::run(Crowd::RequestsAhead, has_trouble, record, folder)
        }
        "memory-of-slow-heads" => memory::run(Crowd::SlowHeads, has_trouble, record, folder),
        "memory-of-small-bodies" => memory::run(Crowd::SmallBodies, has_trouble, record, folder),
        _ => Err(io::Error::other("no such case")),
    }
}
