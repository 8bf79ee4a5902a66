//! Surges of connections, and what a failed connect proves.

use std::{
    io::Read,
    net::{SocketAddr, TcpListener, TcpStream},
    time::Duration,
};

use net::{listen, ConnectFailed, TimeoutConnector};
use trillium_client::Client;

const TIMEOUT: Duration = Duration::from_millis(500);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn get(addr: SocketAddr) -> Result<(), trillium_http::Error> {
    let client = Client::new(TimeoutConnector::new(TIMEOUT));
    smol::block_on(async { client.get(format!("http://{addr}/")).await.map(|_| ()) })
}

#[test]
fn hundreds_connect_before_the_first_is_accepted() {
    const CALLERS: usize = 600;
    let (_listener, addr) = listen(any_port()).expect("a port");

    let connected = (0..CALLERS)
        .map(|_| TcpStream::connect_timeout(&addr, TIMEOUT))
        .take_while(Result::is_ok)
        .count();

    assert_eq!(connected, CALLERS);
}

#[test]
fn a_refused_connect_proves_that_nothing_was_sent() {
    let closed = TcpListener::bind(any_port()).expect("a port");
    let addr = closed.local_addr().expect("bound");
    drop(closed);

    let error = get(addr).expect_err("nobody listens");

    assert!(ConnectFailed::caused(&error));
}

#[test]
fn a_connection_that_breaks_after_the_request_proves_nothing() {
    let listener = TcpListener::bind(any_port()).expect("a port");
    let addr = listener.local_addr().expect("bound");
    let peer = std::thread::spawn(move || {
        let (mut socket, _) = listener.accept().expect("a caller");
        socket.read_exact(&mut [0; 4]).expect("a request");
    });

    let error = get(addr).expect_err("no answer");

    assert!(!ConnectFailed::caused(&error));
    peer.join().expect("the peer ends");
}
