//! Decisions under load: queues, admission, choice of upstream instance,
//! retries and quarantine.
//!
//! Pure: no I/O, no async, no clock and no source of randomness of its own.
//! Time comes in as [`types::TimeMs`], randomness as numbers, so that the same
//! inputs always give the same decisions and a recorded log can be replayed.

pub mod admission;
pub mod choice;
pub mod placement;
pub mod quarantine;
pub mod retry;
pub mod roster;
pub mod schedule;
