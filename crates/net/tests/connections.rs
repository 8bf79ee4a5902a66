//! Tests of the listener backlog and of the detection of connect failures.

use std::{
    io::Read,
    net::{SocketAddr, TcpListener, TcpStream},
    time::Duration,
};

use net::{listen, ConnectFailed, TimeoutConnector};
use trillium_client::Client;

const TIMEOUT: Duration = Duration::from_millis(500);

fn loopback_any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn get(addr: SocketAddr) -> Result<(), trillium_http::Error> {
    let client = Client::new(TimeoutConnector::new(TIMEOUT));
    smol::block_on(async { client.get(format!("http://{addr}/")).await.map(|_| ()) })
}

/// After an outage many callers connect at once; connections beyond a short
/// backlog would be dropped and delayed by a second.
#[test]
fn backlog_holds_600_unaccepted_connections() {
    const CALLERS: usize = 600;
    let (_listener, addr) = listen(loopback_any_port()).expect("bind loopback port");

    let connected = (0..CALLERS)
        .map(|_| TcpStream::connect_timeout(&addr, TIMEOUT))
        .take_while(Result::is_ok)
        .count();

    assert_eq!(connected, CALLERS);
}

/// A retry is safe only if the error proves that nothing was sent.
#[test]
fn refused_connect_is_reported_as_connect_failed() {
    let closed = TcpListener::bind(loopback_any_port()).expect("bind loopback port");
    let addr = closed.local_addr().expect("local address");
    drop(closed);

    let error = get(addr).expect_err("connect to a closed port must fail");

    assert!(ConnectFailed::caused(&error));
}

/// The peer may have processed a request it received before disconnecting.
#[test]
fn disconnect_after_request_is_not_connect_failed() {
    let listener = TcpListener::bind(loopback_any_port()).expect("bind loopback port");
    let addr = listener.local_addr().expect("local address");
    let peer = std::thread::spawn(move || {
        let (mut socket, _) = listener.accept().expect("accept");
        socket.read_exact(&mut [0; 4]).expect("read request bytes");
    });

    let error = get(addr).expect_err("request without response must fail");

    assert!(!ConnectFailed::caused(&error));
    peer.join().expect("peer thread panicked");
}
