//! Simulates in virtual time how a configuration spreads between processes
//! without the store.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap},
    sync::LazyLock,
    time::Duration,
};

use rand::{rngs::SmallRng, seq::SliceRandom, RngExt, SeedableRng};
use rstest::rstest;
use shared_state::{jittered, neighbours, GOSSIP_FANOUT, NEIGHBOURS_MAX};
use types::InstanceId;

/// Deployment size expected in two years: 330 entries and 1,400 agents.
const PROCESSES: usize = 1_730;
/// Time within which a change has to be in force in all processes.
const IN_FORCE_LIMIT_MS: u64 = 19_000;
/// Mean interval between comparisons; the default of the settings.
const COMPARE_INTERVAL: Duration = Duration::from_secs(3);
/// Timeout of a call to a peer that does not respond.
const PEER_TIMEOUT_MS: u64 = 1_000;
/// Duration of a comparison and the following fetch in a slow network.
const FETCH_MS: u64 = 200;
/// Longest delay before a peer is called if the store hangs: the maximum wait
/// for the watch (1.5 times its mean of 500 ms), then the timeout of the read.
const MAX_STORE_DELAY_MS: u64 = 750 + 700;

/// Indices of the neighbours of each process.
static NEIGHBOURS: LazyLock<Vec<Vec<usize>>> = LazyLock::new(|| {
    let ids = process_ids();
    ids.iter().map(|id| neighbours(id, ids.iter())).collect()
});

fn process_ids() -> Vec<InstanceId> {
    (0..PROCESSES)
        .map(|index| InstanceId::from(format!("i-{index}")))
        .collect()
}

/// Time in milliseconds, process, and whether it has just fetched the change (or
/// else makes its periodic comparison).
type Event = Reverse<(u64, usize, bool)>;

/// Returns the time until the change, which only process 0 has at first, has
/// reached all running processes.
fn propagation_ms(is_down: impl Fn(usize) -> bool, fetch_ms: u64, seed: u64) -> u64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let neighbours = &*NEIGHBOURS;
    let mut received_at: Vec<Option<u64>> = vec![None; PROCESSES];
    let mut events: BinaryHeap<Event> = BinaryHeap::new();
    let running = (0..PROCESSES).filter(|index| !is_down(*index)).count();
    for index in 0..PROCESSES {
        events.push(Reverse((rng.random_range(0..3_000), index, false)));
    }
    events.push(Reverse((0, 0, true)));
    let mut updated_processes = 0;
    while let Some(Reverse((now_ms, index, has_fetched))) = events.pop() {
        if is_down(index) || (has_fetched && received_at[index].is_some()) {
            continue;
        }
        if has_fetched {
            received_at[index] = Some(now_ms);
            updated_processes += 1;
            if updated_processes == running {
                return now_ms;
            }
        }
        let mut selected_peers = neighbours[index].clone();
        selected_peers.shuffle(&mut rng);
        selected_peers.truncate(if has_fetched { GOSSIP_FANOUT } else { 1 });
        for peer in &selected_peers {
            match (received_at[index].is_some(), received_at[*peer].is_some()) {
                (true, false) => events.push(Reverse((now_ms + fetch_ms, *peer, true))),
                (false, true) => events.push(Reverse((now_ms + fetch_ms, index, true))),
                _ => {}
            }
        }
        if !has_fetched {
            let has_timed_out = selected_peers.iter().any(|peer| is_down(*peer));
            let pause = jittered(COMPARE_INTERVAL, rng.random()).as_millis();
            let pause_ms = u64::try_from(pause).expect("the interval fits into u64");
            let timeout_ms = if has_timed_out { PEER_TIMEOUT_MS } else { 0 };
            events.push(Reverse((now_ms + timeout_ms + pause_ms, index, false)));
        }
    }
    panic!("the change did not reach every process");
}

/// A change spreads from one process to all others without the store: with all
/// processes running, with every 10th or every 3rd frozen (it does not respond),
/// and with a store that hangs before the peers are called.
#[rstest]
#[case::all_running(0, FETCH_MS)]
#[case::one_in_10_frozen(10, FETCH_MS)]
#[case::one_in_3_frozen(3, FETCH_MS)]
#[case::store_hangs(0, FETCH_MS + MAX_STORE_DELAY_MS)]
#[case::store_hangs_and_one_in_10_frozen(10, FETCH_MS + MAX_STORE_DELAY_MS)]
fn change_reaches_all_processes_within_limit(#[case] frozen_stride: usize, #[case] fetch_ms: u64) {
    let is_down = |index: usize| frozen_stride > 0 && index % frozen_stride == 1;

    let times_ms: Vec<u64> = (0..5)
        .map(|seed| propagation_ms(is_down, fetch_ms, seed))
        .collect();

    assert!(
        times_ms.iter().all(|time_ms| *time_ms <= IN_FORCE_LIMIT_MS),
        "{times_ms:?} for seeds 0 to 4, limit {IN_FORCE_LIMIT_MS}"
    );
}

#[test]
fn removing_an_instance_changes_at_most_one_neighbour() {
    let ids = process_ids();
    let without_last = &ids[..PROCESSES - 1];

    let set = |ids: &[InstanceId]| -> BTreeSet<usize> {
        neighbours(&ids[0], ids.iter()).into_iter().collect()
    };
    let (before, after) = (set(&ids), set(without_last));

    assert_eq!(before.len(), NEIGHBOURS_MAX);
    assert!(!before.contains(&0), "process 0 is its own neighbour");
    assert!(before.difference(&after).count() <= 1);
}
