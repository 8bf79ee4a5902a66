//! Generations spread among processes without the store, in virtual time.

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

/// The users' size in two years: 330 entries and 1,400 agents.
const PROCESSES: usize = 1_730;
/// Time in which a change has to be in force everywhere, in milliseconds.
const IN_FORCE_LIMIT_MS: u64 = 19_000;
/// Mean time between two comparisons, as the settings have it.
const COMPARE_INTERVAL: Duration = Duration::from_secs(3);
/// Longest wait for a peer that does not answer, in milliseconds.
const PEER_TIMEOUT_MS: u64 = 1_000;
/// A comparison and the fetch that follows, with a slow network, in milliseconds.
const FETCH_MS: u64 = 200;
/// Wait for a store that hangs before a peer is asked: the longest head
/// starts of watch and read, in milliseconds.
const HANGING_STORE_MS: u64 = 750 + 700;

/// The neighbours of each process.
static PEERS: LazyLock<Vec<Vec<usize>>> = LazyLock::new(|| {
    let ids = process_ids();
    ids.iter().map(|id| neighbours(id, ids.iter())).collect()
});

fn process_ids() -> Vec<InstanceId> {
    (0..PROCESSES)
        .map(|index| InstanceId::from(format!("i-{index}")))
        .collect()
}

/// A process at its next comparison, or one that has just fetched.
type Step = Reverse<(u64, usize, bool)>;

/// Time until the last process that runs has what process 0 has at first.
fn spread_ms(is_down: impl Fn(usize) -> bool, fetch_ms: u64, seed: u64) -> u64 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let peers = &*PEERS;
    let mut has_at: Vec<Option<u64>> = vec![None; PROCESSES];
    let mut steps: BinaryHeap<Step> = BinaryHeap::new();
    let running = (0..PROCESSES).filter(|index| !is_down(*index)).count();
    for index in 0..PROCESSES {
        steps.push(Reverse((rng.random_range(0..3_000), index, false)));
    }
    steps.push(Reverse((0, 0, true)));
    let mut informed = 0;
    while let Some(Reverse((now_ms, index, has_fetched))) = steps.pop() {
        if is_down(index) || (has_fetched && has_at[index].is_some()) {
            continue;
        }
        if has_fetched {
            has_at[index] = Some(now_ms);
            informed += 1;
            if informed == running {
                return now_ms;
            }
        }
        let mut asked = peers[index].clone();
        asked.shuffle(&mut rng);
        asked.truncate(if has_fetched { GOSSIP_FANOUT } else { 1 });
        for peer in &asked {
            match (has_at[index].is_some(), has_at[*peer].is_some()) {
                (true, false) => steps.push(Reverse((now_ms + fetch_ms, *peer, true))),
                (false, true) => steps.push(Reverse((now_ms + fetch_ms, index, true))),
                _ => {}
            }
        }
        if !has_fetched {
            let unanswered = asked.iter().any(|peer| is_down(*peer));
            let pause = jittered(COMPARE_INTERVAL, rng.random()).as_millis();
            let pause_ms = u64::try_from(pause).expect("a few seconds");
            let timeout_ms = if unanswered { PEER_TIMEOUT_MS } else { 0 };
            steps.push(Reverse((now_ms + timeout_ms + pause_ms, index, false)));
        }
    }
    panic!("the change did not reach every process");
}

/// From one process to all others without the store: with all running, with a
/// tenth or a third frozen, and with a store that hangs.
#[rstest]
#[case::all_running(0, FETCH_MS)]
#[case::a_tenth_frozen(10, FETCH_MS)]
#[case::a_third_frozen(3, FETCH_MS)]
#[case::store_hangs(0, FETCH_MS + HANGING_STORE_MS)]
#[case::store_hangs_and_a_tenth_frozen(10, FETCH_MS + HANGING_STORE_MS)]
fn a_change_that_one_process_has_is_everywhere_in_time(
    #[case] every: usize,
    #[case] fetch_ms: u64,
) {
    let is_down = |index: usize| every > 0 && index % every == 1;

    let times_ms: Vec<u64> = (0..5)
        .map(|seed| spread_ms(is_down, fetch_ms, seed))
        .collect();

    assert!(
        times_ms.iter().all(|time_ms| *time_ms <= IN_FORCE_LIMIT_MS),
        "{times_ms:?}"
    );
}

#[test]
fn neighbours_are_few_and_change_little_with_the_list() {
    let ids = process_ids();
    let without_last = &ids[..PROCESSES - 1];

    let set = |ids: &[InstanceId]| -> BTreeSet<usize> {
        neighbours(&ids[0], ids.iter()).into_iter().collect()
    };
    let (before, after) = (set(&ids), set(without_last));

    assert_eq!(before.len(), NEIGHBOURS_MAX);
    assert!(!before.contains(&0), "a process is not its own neighbour");
    assert!(before.difference(&after).count() <= 1);
}
