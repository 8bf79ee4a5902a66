//! Tests of the fault schedule and of the proxy.
#![allow(missing_docs)]

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

use rstest::rstest;
use soak::{
    plan::{generate, ClusterSize, LinkFault},
    proxy::Proxy,
};

const READ_TIMEOUT: Duration = Duration::from_millis(150);

#[test]
fn same_seed_generates_same_schedule() {
    let size = ClusterSize::from_process_count(12);

    assert_eq!(generate(7, size, 30_000), generate(7, size, 30_000));
    assert_ne!(generate(7, size, 30_000), generate(8, size, 30_000));
}

#[test]
fn last_quarter_contains_only_planned_faults() {
    for seed in 0..50 {
        let schedule = generate(seed, ClusterSize::from_process_count(12), 20_000);
        let last = schedule
            .iter()
            .filter(|scheduled| scheduled.at_ms >= 15_000);

        assert!(
            last.clone().all(|scheduled| scheduled.fault.is_planned()),
            "seed {seed}"
        );
    }
}

/// Starts an echo server behind a proxy and returns the proxy.
fn start_echo_server() -> Proxy {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no loopback port could be bound");
    let addr: SocketAddr = listener
        .local_addr()
        .expect("the listener has no local address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut reading = stream.try_clone().expect("the stream could not be cloned");
                let _ = std::io::copy(&mut reading, &mut stream);
            });
        }
    });
    Proxy::start(addr).expect("the proxy did not start")
}

fn connect(proxy: &Proxy) -> TcpStream {
    let mut stream = TcpStream::connect(proxy.addr).expect("the proxy refused the connection");
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("the read timeout could not be set");
    assert_eq!(echo_byte(&mut stream, b"a"), Some(b'a'));
    stream
}

/// Sends a byte and returns the echoed one, or `None` if none arrives in time.
fn echo_byte(stream: &mut TcpStream, byte: &[u8; 1]) -> Option<u8> {
    let mut response = [0];
    stream.write_all(byte).ok()?;
    stream.read_exact(&mut response).ok()?;
    Some(response[0])
}

#[rstest]
#[case::silence(LinkFault::Silence)]
#[case::to_server(LinkFault::CutForth)]
#[case::to_client(LinkFault::CutBack)]
fn blocked_link_delivers_held_bytes_after_fault_is_cleared(#[case] fault: LinkFault) {
    let proxy = start_echo_server();
    let mut stream = connect(&proxy);

    proxy.inject(fault);
    let during = echo_byte(&mut stream, b"b");
    proxy.clear();
    let mut after = [0];
    stream
        .set_read_timeout(Some(READ_TIMEOUT * 20))
        .expect("the read timeout could not be set");
    stream
        .read_exact(&mut after)
        .expect("the held bytes were not delivered");

    assert_eq!(during, None);
    assert_eq!(after, *b"b");
}

#[test]
fn reset_closes_only_open_connections() {
    let proxy = start_echo_server();
    let mut before = connect(&proxy);

    proxy.inject(LinkFault::Reset);
    thread::sleep(READ_TIMEOUT);

    assert_eq!(echo_byte(&mut before, b"b"), None);
    assert_eq!(echo_byte(&mut connect(&proxy), b"c"), Some(b'c'));
}

#[test]
fn delay_applies_in_both_directions() {
    let proxy = start_echo_server();
    let mut stream = connect(&proxy);
    stream
        .set_read_timeout(Some(READ_TIMEOUT * 20))
        .expect("the read timeout could not be set");
    proxy.inject(LinkFault::Delay { ms: 100 });

    let started = Instant::now();
    let response = echo_byte(&mut stream, b"b");

    assert_eq!(response, Some(b'b'));
    assert!(started.elapsed() >= Duration::from_millis(200));
}
