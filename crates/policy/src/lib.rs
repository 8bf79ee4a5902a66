//! Scheduling policy: queues, admission control, selection of upstream
//! instances, retries and quarantine.
//!
//! An entry is a process that accepts the requests of callers and sends them to
//! upstream instances. An agent is the proxy in front of one upstream instance.
//!
//! The crate is pure: it does no I/O, runs no async code and has no clock and
//! no source of randomness. Callers pass the time as [`types::TimeMs`] and
//! random numbers as arguments, so the same inputs always give the same
//! decisions and a recorded log can be replayed.

pub mod admission;
pub mod announcement;
pub mod choice;
pub mod client_limits;
pub mod crash_evidence;
pub mod metering;
pub mod named_limit;
pub mod placement;
pub mod quarantine;
pub mod retry;
pub mod roster;
pub mod schedule;
pub mod true_time;
