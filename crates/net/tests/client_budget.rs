//! Tests of the budget of all clients, with a server whose budget is one MiB.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use net::{BodyError, ClientBudget, ConnectionGuard, GuardPolicy, HeadRejection, RejectionContext};
use policy::client_limits::ClientLimits;
use trillium::{Conn, HttpConfig, Status};

const BODY_MAX_BYTES: u64 = 4 << 20;
const KIB: usize = 1 << 10;
/// Longer than the time after which a client without progress may be disconnected.
const QUIET_TIME: Duration = Duration::from_millis(600);
const READ_TIMEOUT: Duration = Duration::from_secs(10);

struct Policy;

impl GuardPolicy for Policy {
    fn head_timeout(&self) -> Duration {
        READ_TIMEOUT
    }

    fn idle_timeout(&self) -> Option<Duration> {
        None
    }

    fn stall_timeout(&self) -> Duration {
        READ_TIMEOUT
    }

    fn body_timeout(&self) -> Option<Duration> {
        Some(QUIET_TIME)
    }

    fn rejection_response(&self, rejection: HeadRejection) -> Vec<u8> {
        assert_eq!(rejection, HeadRejection::NoMemory);
        b"HTTP/1.1 503 Any\r\nconnection: close\r\ncontent-length: 0\r\n\r\n".into()
    }

    fn on_rejected(&self, _rejection: HeadRejection, _context: RejectionContext) {}
}

/// Starts a server that responds with the length of each body.
fn start_server(connections_max: usize) -> (SocketAddr, Arc<ClientBudget>) {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let (socket, addr) = net::listen(any_port).expect("bind loopback port");
    let budget = ClientBudget::new(ClientLimits {
        memory_bytes: KIB * KIB,
        connections_max,
    });
    let handler = |mut conn: Conn| async move {
        let read = net::read_body(conn.request_body().into(), BODY_MAX_BYTES).await;
        let status = match read {
            Ok(body) => return conn.ok(body.len().to_string()),
            Err(BodyError::NoMemory(_)) => Status::ServiceUnavailable,
            Err(BodyError::Stalled) => Status::RequestTimeout,
            Err(BodyError::TooLarge) => Status::PayloadTooLarge,
            Err(BodyError::Invalid(_)) => Status::BadRequest,
        };
        let conn = conn.with_response_header("connection", "close");
        conn.with_status(status).with_body("").halt()
    };
    let guard = ConnectionGuard::new(Arc::new(Policy)).with_budget(budget.clone());
    trillium_smol::config()
        .with_prebound_server(socket)
        .without_signals()
        .with_nodelay()
        .with_acceptor(guard)
        .with_http_config(HttpConfig::default().with_head_max_len(64 << 10))
        .spawn(handler);
    (addr, budget)
}

/// Sends a head with the given fields, and some bytes after it.
fn send(addr: SocketAddr, fields: &str, body: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(addr).expect("connect to the server");
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("set read timeout");
    let head = format!("POST / HTTP/1.1\r\nHost: a\r\n{fields}\r\n");
    // A refused request is seen in its response.
    let _ = stream.write_all(head.as_bytes());
    let _ = stream.write_all(body);
    stream
}

/// Returns the status of the response, 0 if the connection ends without one.
fn status(stream: &mut TcpStream) -> u16 {
    let mut head = [0; 12];
    match stream.read_exact(&mut head) {
        Ok(()) => String::from_utf8_lossy(&head[9..]).parse().unwrap_or(0),
        Err(_) => 0,
    }
}

fn length(bytes: usize) -> String {
    format!("content-length: {bytes}\r\n")
}

fn wait_until_released(budget: &ClientBudget) {
    let deadline = Instant::now() + READ_TIMEOUT;
    while budget.counts().held_bytes > 0 {
        assert!(Instant::now() < deadline, "{:?}", budget.counts());
        thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against a body that is read although there is no room for it. The caller
/// sends none of it and gets its response.
#[test]
fn body_without_room_is_refused_before_it_is_read() {
    let (addr, budget) = start_server(8);

    let mut refused = send(addr, &length(2 * KIB * KIB), b"");

    assert_eq!(status(&mut refused), 503);
    assert_eq!(budget.counts().refused, 1);
}

/// Guards against bodies whose end is not found, and against room that is not given
/// back.
#[test]
fn bodies_in_the_budget_are_served_one_after_another() {
    let (addr, budget) = start_server(8);
    let body = vec![b'x'; 700 * KIB];
    let chunked = [
        format!("{:x}\r\n", body.len()).as_bytes(),
        &body,
        b"\r\n0\r\n\r\n",
    ]
    .concat();

    for _ in 0..4 {
        let mut sized = send(addr, &length(body.len()), &body);
        assert_eq!(status(&mut sized), 200);
        drop(sized);
        wait_until_released(&budget);
        let mut streamed = send(addr, "transfer-encoding: chunked\r\n", &chunked[..]);
        assert_eq!(status(&mut streamed), 200);
        drop(streamed);
        wait_until_released(&budget);
    }
    assert_eq!(budget.counts().refused, 0);
}

/// Guards against a client that stops and keeps the room from others.
#[test]
fn stopped_body_makes_room_for_another() {
    let (addr, budget) = start_server(8);
    let body = vec![b'x'; 600 * KIB];
    let mut chunks = send(addr, "transfer-encoding: chunked\r\n", b"fffff\r\n");
    for _ in 0..300 {
        // Less than what counts as progress, so that the body may be disconnected.
        let _ = chunks.write_all(&[b'x'; KIB]);
    }
    thread::sleep(QUIET_TIME * 3 / 4);

    let mut next = send(addr, &length(body.len()), &body);

    assert_eq!(status(&mut next), 200);
    // The refusal may be lost with the connection.
    assert!([0, 503].contains(&status(&mut chunks)));
    assert_eq!(budget.counts().evicted, 1);
}

/// Guards against a body that can't be disconnected because the interim response that
/// asked for it counts as the response.
#[test]
fn stopped_body_after_interim_response_makes_room_for_another() {
    let (addr, budget) = start_server(8);
    let fields = format!("expect: 100-continue\r\n{}", length(500 * KIB));
    let mut stopped = send(addr, &fields, b"");
    assert_eq!(status(&mut stopped), 100);
    let body = vec![b'x'; 450 * KIB];
    thread::sleep(QUIET_TIME * 3 / 4);

    let mut next = send(addr, &length(body.len()), &body);

    assert_eq!(status(&mut next), 200);
    assert_eq!(budget.counts().evicted, 1);
}

/// Guards against a body that stops and is awaited without bound.
#[test]
fn body_without_progress_times_out() {
    let (addr, _budget) = start_server(8);

    let mut stopped = send(addr, &length(100), b"half");

    assert_eq!(status(&mut stopped), 408);
}

/// Guards against heads whose fields take more memory than there is.
#[test]
fn head_without_room_for_its_fields_is_rejected() {
    let (addr, _budget) = start_server(8);

    let mut many = send(addr, &"x: y\r\n".repeat(2_600), b"");

    assert_eq!(status(&mut many), 503);
}

/// Guards against idle connections that keep others out.
#[test]
fn idle_connection_makes_room_for_another() {
    let (addr, budget) = start_server(4);
    let idle: Vec<TcpStream> = (0..4)
        .map(|_| TcpStream::connect(addr).expect("connect to the server"))
        .collect();
    thread::sleep(QUIET_TIME / 4);

    let mut next = send(addr, &length(4), b"body");

    assert_eq!(status(&mut next), 200);
    assert_eq!(budget.counts().evicted, 1);
    drop(idle);
}
