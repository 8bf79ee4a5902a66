//! Tests with clients that send or read more, or more slowly, than they should.
//!
//! Each test starts a process with the limits of the smallest machine, runs one
//! client pattern at a route, at a path without a route and at `/readyz`, and checks
//! that the process lives, that its memory and descriptors stay under a bound, and
//! that it answers an ordinary request afterwards.
#![allow(missing_docs, unreachable_pub)]

mod clients;
mod processes;

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use clients::{Pattern, Place};
use processes::{Limits, Role, UnderTest};
use rstest::rstest;

/// Time for which the clients stay after the last one has sent all it can.
const STAY: Duration = Duration::from_millis(700);

/// One pattern at a time, as each one loads the machine and measures a process.
static SEQUENCE: Mutex<()> = Mutex::new(());

fn run(role: Role, pattern: Pattern, limits: Limits) {
    let _turn = SEQUENCE.lock().unwrap_or_else(PoisonError::into_inner);
    let mut process = UnderTest::start(role, limits);
    for place in [Place::Route, Place::NoRoute, Place::Ready] {
        let clients = clients::start(&process, pattern, place);
        std::thread::sleep(STAY);
        let descriptors = process.open_descriptors();
        drop(clients);
        assert!(process.is_running(), "{place:?}: the process has ended");
        let peak_bytes = process.peak_bytes();
        println!(
            "{place:?}: peak {} MiB, {descriptors} descriptors",
            peak_bytes >> 20
        );
        assert!(
            peak_bytes <= limits.memory_bytes(),
            "{place:?}: {} MiB of {}",
            peak_bytes >> 20,
            limits.memory_mb
        );
        assert!(
            descriptors <= limits.descriptors_bound,
            "{place:?}: {descriptors} descriptors of {}",
            limits.descriptors_bound
        );
        process.assert_serves();
    }
}

/// Guards against memory, descriptors or the process itself running out while
/// clients misbehave.
#[rstest]
fn process_survives(
    #[values(Role::Gateway, Role::Entry)] role: Role,
    #[values(
        Pattern::BodyInOnePiece,
        Pattern::BodyInSmallPieces,
        Pattern::BodyInChunks,
        Pattern::BodyTooLong,
        Pattern::ManyShortFields,
        Pattern::PipelinedUnread,
        Pattern::SendsSlowly,
        Pattern::ReadsSlowly,
        Pattern::StopsHalfWay
    )]
    pattern: Pattern,
) {
    run(role, pattern, Limits::smallest_machine());
}

/// Guards against connections of callers taking the descriptors that files and
/// connections to instances need.
#[rstest]
fn connections_leave_descriptors(#[values(Role::Gateway, Role::Entry)] role: Role) {
    run(role, Pattern::Silent, Limits::few_descriptors());
}
