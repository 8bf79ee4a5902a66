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

/// Clients that send bodies of the largest legal size, and how many each sends.
const UPLOADING_CLIENTS: usize = 48;
const UPLOADS: usize = 6;

/// Clients that stay idle after their response.
const IDLE_CLIENTS: usize = 800;

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

/// Checks that the process lives, has never held more than its memory, and serves.
fn assert_within_memory(process: &mut UnderTest, limits: Limits) {
    assert!(process.is_running(), "the process has ended");
    let peak_bytes = process.peak_bytes();
    println!("peak {} MiB", peak_bytes >> 20);
    assert!(
        peak_bytes <= limits.memory_bytes(),
        "{} MiB of {}",
        peak_bytes >> 20,
        limits.memory_mb
    );
    process.assert_serves();
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
        Pattern::EndlessTrailers,
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

/// Guards against a failure: each connection to an instance that ever carried a large body
/// kept a copy of it, so that legal requests, answered in order, took the process beyond
/// the memory of its machine.
#[test]
fn served_uploads_stay_within_the_memory() {
    let _turn = SEQUENCE.lock().unwrap_or_else(PoisonError::into_inner);
    let limits = Limits::smallest_machine();
    let mut process = UnderTest::start(Role::Gateway, limits);

    let clients: Vec<_> = (0..UPLOADING_CLIENTS)
        .map(|_| clients::upload_in_turn(&process, UPLOADS))
        .collect();
    let served: usize = clients
        .into_iter()
        .map(|client| client.join().expect("the client ran"))
        .sum();

    assert!(served > UPLOADING_CLIENTS, "{served} uploads served");
    assert_within_memory(&mut process, limits);
}

/// Guards against a failure: an idle connection kept what the HTTP library had allocated
/// for a head of 1,700 fields, and counted as an empty one.
#[rstest]
fn idle_connections_do_not_keep_the_memory_of_long_heads(
    #[values(Role::Gateway, Role::Entry)] role: Role,
) {
    let _turn = SEQUENCE.lock().unwrap_or_else(PoisonError::into_inner);
    let limits = Limits {
        descriptors_max: 4_100,
        descriptors_bound: 4_100,
        ..Limits::smallest_machine()
    };
    let mut process = UnderTest::start(role, limits);

    let idle: Vec<_> = (0..IDLE_CLIENTS)
        .filter_map(|_| clients::idle_after_many_fields(&process))
        .collect();

    assert_eq!(idle.len(), IDLE_CLIENTS, "each request is answered");
    assert_within_memory(&mut process, limits);
}
