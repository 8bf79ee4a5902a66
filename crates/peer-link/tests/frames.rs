//! Frames, peers and the send limit, without a network.
#![allow(missing_docs)]

use std::net::SocketAddr;

use peer_link::{
    frame::{DropCause, Frame, Key, FRAME_MAX_BYTES},
    peer_table::PeerTable,
    send_limit::{broadcast_interval_ms, SendLimit},
    PeerEndpoint, PAYLOAD_MAX_BYTES, PEERS_MAX,
};
use rstest::rstest;
use types::TimeMs;

const KEY: Key = [7; 32];

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn frame(sender: &str, run: u64, started_unix_ms: u64, sequence: u64) -> Frame<'_> {
    let mut frame = Frame::new(sender, 1, b"load");
    frame.run = run;
    frame.started_unix_ms = started_unix_ms;
    frame.sequence = sequence;
    frame
}

fn endpoint(run: u64, started_unix_ms: u64) -> PeerEndpoint {
    PeerEndpoint {
        addr: addr(9),
        run,
        started_unix_ms,
    }
}

#[test]
fn largest_payload_fits_and_a_larger_one_is_refused() {
    let payload = vec![255; PAYLOAD_MAX_BYTES];
    let name = "a-gateway-with-a-name-of-sixty-three-characters-as-in-a-dns-host";
    let mut largest = Frame::new(name, u8::MAX, &payload);
    (largest.run, largest.sequence) = (u64::MAX, u64::MAX);
    (largest.started_unix_ms, largest.strength) = (u64::MAX, u32::MAX);

    let encoded = largest.encode(&KEY).expect("fits");

    assert!(encoded.len() <= FRAME_MAX_BYTES);
    assert_eq!(Frame::decode(&encoded, &KEY), Ok(largest));
    let payload = vec![0; FRAME_MAX_BYTES];
    assert!(Frame::new("edge-1", 1, &payload).encode(&KEY).is_none());
}

/// Guards against frames of a stranger, or changed on their way, that are taken
/// for those of a gateway.
#[rstest]
#[case::every_byte_matters(KEY)]
#[case::other_key([8; 32])]
fn changed_frame_is_dropped(#[case] key: Key) {
    let encoded = frame("edge-1", 1, 1, 1).encode(&key).expect("fits");

    for position in 0..encoded.len() {
        let mut changed = encoded.clone();
        changed[position] ^= u8::from(key == KEY);
        assert_eq!(Frame::decode(&changed, &KEY), Err(DropCause::WrongKey));
    }
    assert_eq!(
        Frame::decode(&encoded[..9], &KEY),
        Err(DropCause::Malformed)
    );
    let long = vec![0; FRAME_MAX_BYTES + 1];
    assert_eq!(Frame::decode(&long, &KEY), Err(DropCause::TooLong));
}

#[rstest]
#[case::own(frame("edge-1", 5, 50, 1), Err(DropCause::OwnInstance))]
#[case::repeated(frame("edge-2", 5, 50, 7), Err(DropCause::Duplicate))]
#[case::long_before(frame("edge-2", 5, 50, 1), Err(DropCause::Duplicate))]
#[case::reordered(frame("edge-2", 5, 50, 99), Ok(false))]
#[case::next(frame("edge-2", 5, 50, 101), Ok(false))]
#[case::older_run(frame("edge-2", 4, 49, 200), Err(DropCause::OlderRun))]
#[case::newer_run(frame("edge-2", 3, 51, 1), Ok(true))]
fn frame_is_accepted_once_and_of_the_newest_run(
    #[case] next: Frame<'_>,
    #[case] expected: Result<bool, DropCause>,
) {
    let mut table = PeerTable::new("edge-1".into());
    for sequence in [7, 100] {
        let accepted = table.on_frame(TimeMs(0), &frame("edge-2", 5, 50, sequence), addr(2));
        assert!(accepted.is_ok());
    }

    let accepted = table.on_frame(TimeMs(10), &next, addr(2));

    assert_eq!(accepted.map(|accepted| accepted.is_first), expected);
}

/// Guards against a gateway that is ignored for good because its clock was set
/// back before its restart.
#[test]
fn run_with_an_earlier_start_is_accepted_after_silence() {
    let mut table = PeerTable::new("edge-1".into());
    let old = frame("edge-2", 5, 50, 9);
    let restarted = frame("edge-2", 6, 20, 1);
    assert!(table.on_frame(TimeMs(0), &old, addr(2)).is_ok());

    let early = table.on_frame(TimeMs(9_000), &restarted, addr(3));
    let late = table.on_frame(TimeMs(10_001), &restarted, addr(3));

    assert_eq!(early, Err(DropCause::OlderRun));
    assert!(late.is_ok_and(|accepted| accepted.is_first));
    assert_eq!(table.addr(&"edge-2".into()), Some(addr(3)));
}

#[test]
fn silent_peer_stays_only_with_a_record() {
    let mut table = PeerTable::new("edge-1".into());
    table.on_record(TimeMs(0), &"edge-2".into(), &endpoint(5, 50));
    for sender in ["edge-2", "edge-3"] {
        let accepted = table.on_frame(TimeMs(0), &frame(sender, 5, 50, 1), addr(2));
        assert!(accepted.is_ok());
    }

    assert_eq!(table.peers(TimeMs(10_000)).len(), 2);
    assert_eq!(table.peers(TimeMs(10_001)).len(), 1);
    assert!(table.remove_silent(TimeMs(30_000)).is_empty());
    assert_eq!(table.remove_silent(TimeMs(30_001)), ["edge-3".into()]);

    table.retain_records(|_| false);
    assert_eq!(table.remove_silent(TimeMs(30_001)), ["edge-2".into()]);
}

#[test]
fn number_of_peers_is_bounded() {
    let mut table = PeerTable::new("edge-0".into());
    for number in 1..=PEERS_MAX + 50 {
        table.on_record(TimeMs(0), &format!("edge-{number}").into(), &endpoint(1, 1));
    }

    let next = table.on_frame(TimeMs(0), &frame("one-more", 1, 1, 1), addr(2));

    assert_eq!(table.len(), PEERS_MAX);
    assert_eq!(next, Err(DropCause::TooManyPeers));
}

/// Guards against traffic that grows with the square of the fleet, and against
/// large fleets whose gateways can send nothing.
#[rstest]
fn broadcasts_stay_within_the_limit(
    #[values(1, 21, 102, 511)] peers: usize,
    #[values(false, true)] is_urgent: bool,
) {
    let mut limit = SendLimit::default();
    let seconds = 60;

    let sent: usize = (0..seconds * 1_000)
        .filter(|at_ms| limit.take(TimeMs(*at_ms), peers, is_urgent))
        .count();

    let frames = sent * peers;
    let burst = 100.max(2 * peers);
    assert!(frames <= 100 * seconds as usize + burst, "{frames}");
    assert!(frames + burst >= 100 * seconds as usize, "{frames}");
    assert_eq!(broadcast_interval_ms(peers), 10 * peers as u64);
}
