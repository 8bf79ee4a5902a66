//! Tests of the limits on all clients of a process together.

use policy::client_limits::{costliest, Activity, ClientLimits, ClientState, Machine, Need};
use rstest::rstest;

const MIB: usize = 1 << 20;

fn machine(memory_mb: usize, descriptors_max: usize) -> Machine {
    Machine {
        memory_bytes: memory_mb * MIB,
        descriptors_max,
    }
}

fn state(activity: Activity, held_bytes: usize, quiet_ms: u64) -> ClientState {
    ClientState {
        activity,
        held_bytes,
        quiet_ms,
    }
}

/// Guards against a machine on which one legal request is refused without load, or
/// on which clients may hold all of the memory or of the descriptors.
#[rstest]
#[case(16, 64)]
#[case(120, 3_075)]
#[case(512, 10_250)]
fn one_legal_body_fits_and_a_part_is_left(#[case] memory_mb: usize, #[case] descriptors: usize) {
    let limits = ClientLimits::of(machine(memory_mb, descriptors));

    assert!(limits.admits(0, 0, 0, 4 * MIB));
    assert!(limits.connections_max >= 8);
    if memory_mb >= 120 {
        assert!(limits.memory_bytes < memory_mb * MIB * 3 / 4);
        assert!(limits.connections_max + 200 < descriptors * 3 / 4);
    }
}

/// Guards against large bodies that leave no room for ordinary requests.
#[test]
fn small_requests_have_room_beside_large_ones() {
    let limits = ClientLimits::of(machine(120, 3_075));
    let mut used_bytes = 0;
    while limits.admits(used_bytes, 0, 0, 4 * MIB) {
        used_bytes += 4 * MIB;
    }

    assert!(limits.admits(used_bytes, 0, 0, 16 << 10));
    assert!(!limits.admits(limits.memory_bytes, 0, 0, 1));
}

/// Guards against memory that is lent again and again before it is free.
#[test]
fn lending_against_disconnected_clients_is_bounded() {
    let limits = ClientLimits::of(machine(120, 3_075));

    assert!(limits.admits(0, limits.memory_bytes, 0, 16 << 10));
    assert!(!limits.admits(0, 2 * limits.memory_bytes, 0, 16 << 10));
}

/// Guards against clients that are disconnected for a request that is refused anyway.
#[test]
fn disconnecting_does_not_help_once_too_much_is_lent() {
    let limits = ClientLimits::of(machine(120, 3_075));
    let lent_bytes = limits.memory_bytes / 8;

    assert!(limits.eviction_helps(limits.memory_bytes, 0, 0, 16 << 10));
    assert!(!limits.eviction_helps(limits.memory_bytes, lent_bytes, 0, 16 << 10));
}

#[rstest]
#[case::most_bytes_times_time(Need::Memory,
    &[state(Activity::Sending, 4 * MIB, 900), state(Activity::Sending, MIB, 3_000)], Some(0))]
#[case::reader_that_stopped(Need::Memory,
    &[state(Activity::Idle, 32 << 10, 9_000), state(Activity::Reading, 3 * MIB, 500)], Some(1))]
#[case::request_at_an_instance(Need::Connection, &[state(Activity::Waiting, 4 * MIB, 60_000)], None)]
#[case::sender_with_progress(Need::Memory, &[state(Activity::Sending, 4 * MIB, 100)], None)]
#[case::idle_for_a_connection(Need::Connection,
    &[state(Activity::Idle, 32 << 10, 10), state(Activity::Waiting, MIB, 9_000)], Some(0))]
#[case::not_idle_for_memory(Need::Memory, &[state(Activity::Idle, 32 << 10, 9_000)], None)]
fn costliest_client_is_chosen(
    #[case] need: Need,
    #[case] clients: &[ClientState],
    #[case] expected: Option<usize>,
) {
    assert_eq!(
        costliest(need, clients.iter().copied().enumerate()),
        expected
    );
}
