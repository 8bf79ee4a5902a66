//! Tests of the boundaries between the requests of one connection.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    time::Duration,
};

use net::{ConnectionGuard, GuardPolicy, HeadRejection, RejectionContext};
use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, RngSeed},
};
use rstest::rstest;
use trillium::{Conn, HttpConfig, Status};
use trillium_smol::async_net::TcpListener;

const HEAD_TIMEOUT: Duration = Duration::from_millis(400);
/// Longer than [`HEAD_TIMEOUT`], so that a late response of the guard arrives.
const QUIET_TIME: Duration = Duration::from_millis(700);
const READ_TIMEOUT: Duration = Duration::from_secs(10);

struct Policy;

impl GuardPolicy for Policy {
    fn head_timeout(&self) -> Duration {
        HEAD_TIMEOUT
    }

    fn idle_timeout(&self) -> Option<Duration> {
        None
    }

    fn stall_timeout(&self) -> Duration {
        READ_TIMEOUT
    }

    fn rejection_response(&self, rejection: HeadRejection) -> Vec<u8> {
        let status = match rejection {
            HeadRejection::TimedOut { .. } => 408,
            HeadRejection::TooLarge { .. } => 431,
            HeadRejection::Malformed { .. } => 400,
            HeadRejection::NoMemory => 503,
        };
        format!("HTTP/1.1 {status} Any\r\nconnection: close\r\ncontent-length: 0\r\n\r\n").into()
    }

    fn on_rejected(&self, _rejection: HeadRejection, _context: RejectionContext) {}
}

/// Starts a server that responds to `/echo` with the body, to `/slow` with the
/// body after twice the head timeout, and to other paths with 401 before it has
/// read the body.
fn start_server() -> SocketAddr {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let (socket, addr) = net::listen(any_port).expect("bind loopback port");
    let socket: TcpListener = socket;
    let handler = |mut conn: Conn| async move {
        let path = conn.path().to_owned();
        if path == "/reject" || path == "/close" {
            let conn = conn.with_status(Status::Unauthorized).with_body("rejected");
            return match path.as_str() {
                "/close" => conn.with_response_header("connection", "close").halt(),
                _ => conn.halt(),
            };
        }
        let Ok(body) = conn.request_body().read_bytes().await else {
            return conn.with_status(Status::BadRequest).with_body("").halt();
        };
        if path == "/slow" {
            let wait = smol::Timer::after(2 * HEAD_TIMEOUT);
            if conn.cancel_on_disconnect(wait).await.is_none() {
                return conn.halt();
            }
        }
        conn.ok(body)
    };
    trillium_smol::config()
        .with_prebound_server(socket)
        .without_signals()
        .with_nodelay()
        .with_acceptor(ConnectionGuard::new(Arc::new(Policy)))
        .with_http_config(HttpConfig::default().with_head_max_len(64 << 10))
        .spawn(handler);
    addr
}

fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).expect("connect to the server");
    stream.set_nodelay(true).expect("set TCP_NODELAY");
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("set read timeout");
    stream
}

fn send(stream: &mut TcpStream, bytes: &[u8]) {
    stream.write_all(bytes).expect("write to the server");
}

fn head(path: &str, framing: &str) -> Vec<u8> {
    format!("POST {path} HTTP/1.1\r\nHost: a\r\n{framing}\r\n\r\n").into_bytes()
}

fn with_length(path: &str, body: &[u8]) -> Vec<u8> {
    let framing = format!("Content-Length: {}", body.len());
    [head(path, &framing), body.to_vec()].concat()
}

fn with_chunks(path: &str, body: &[u8], chunk_bytes: usize) -> Vec<u8> {
    let mut bytes = head(path, "Transfer-Encoding: chunked");
    for chunk in body.chunks(chunk_bytes) {
        bytes.extend_from_slice(format!("{:x};note=1\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\nTrailer: 1\r\n\r\n");
    bytes
}

/// Reads one response with a `content-length`; `None` if the connection ends
/// before it is complete.
fn read_response(stream: &mut TcpStream) -> Option<(u16, Vec<u8>)> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        match stream.read(&mut byte) {
            Ok(1) => bytes.push(byte[0]),
            _ => return None,
        }
    }
    let text = String::from_utf8(bytes).expect("the head is ASCII");
    let status = text.split(' ').nth(1)?.parse().ok()?;
    let length = text
        .to_ascii_lowercase()
        .split("content-length: ")
        .nth(1)
        .and_then(|rest| rest.split("\r\n").next()?.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some((status, body))
}

/// Returns the bytes that arrive without a request within [`QUIET_TIME`].
fn unsolicited_bytes(stream: &mut TcpStream) -> Vec<u8> {
    stream
        .set_read_timeout(Some(QUIET_TIME))
        .expect("set read timeout");
    let mut bytes = Vec::new();
    // Fails at the timeout or when the connection is reset.
    let _ = stream.read_to_end(&mut bytes);
    bytes
}

/// Guards against a body being taken for the head of the next request after a
/// response that was sent before the body was read. The caller took the guard's
/// 431 for the response to its next request.
#[rstest]
fn request_after_rejected_body_gets_its_own_response(
    #[values(true, false)] is_chunked: bool,
    #[values(1_000, 60_000, 400_000)] body_bytes: usize,
) {
    let mut stream = connect(start_server());
    let body = vec![b'x'; body_bytes];
    let rejected = match is_chunked {
        true => with_chunks("/reject", &body, 7_001),
        false => with_length("/reject", &body),
    };

    send(&mut stream, &rejected);
    let first = read_response(&mut stream);
    send(&mut stream, &with_length("/echo", b"own"));
    let second = read_response(&mut stream);

    assert_eq!(first, Some((401, b"rejected".to_vec())));
    assert_eq!(second, Some((200, b"own".to_vec())));
    assert_eq!(unsolicited_bytes(&mut stream), b"");
}

/// Guards against a 408 on a connection whose rejected request stops in the middle
/// of its body: the request already has its response.
#[test]
fn stalled_body_of_rejected_request_gets_no_second_response() {
    let mut stream = connect(start_server());

    send(&mut stream, &head("/reject", "Content-Length: 5000"));
    let first = read_response(&mut stream);
    send(&mut stream, b"part of the body");

    assert_eq!(first.map(|(status, _)| status), Some(401));
    assert_eq!(unsolicited_bytes(&mut stream), b"");
}

/// Guards against a 408 in place of the response to a request whose body followed
/// an interim response.
#[test]
fn request_after_interim_response_is_not_timed_out_while_in_progress() {
    let mut stream = connect(start_server());

    send(
        &mut stream,
        &head("/slow", "Content-Length: 3\r\nExpect: 100-continue"),
    );
    let interim = read_response(&mut stream);
    send(&mut stream, b"own");
    let response = read_response(&mut stream);

    assert_eq!(interim.map(|(status, _)| status), Some(100));
    assert_eq!(response, Some((200, b"own".to_vec())));
}

/// Guards against request smuggling: a body that its caller sent without waiting
/// for the interim response, and that was not read, was parsed as a request.
#[rstest]
fn body_of_rejected_request_that_expects_continue_is_not_parsed(
    #[values(true, false)] sent_with_head: bool,
    #[values("Content-Length: 60", "Transfer-Encoding: chunked")] framing: &str,
) {
    let mut stream = connect(start_server());
    let quoted = with_length("/echo", b"smuggled");
    let head = head("/reject", &format!("{framing}\r\nExpect: 100-continue"));

    if sent_with_head {
        send(&mut stream, &[head, quoted].concat());
    } else {
        send(&mut stream, &head);
        std::thread::sleep(Duration::from_millis(100));
        // Fails if the server has closed the connection.
        let _ = stream.write_all(&quoted);
    }
    let response = read_response(&mut stream);

    assert_eq!(response, Some((401, b"rejected".to_vec())));
    assert_eq!(unsolicited_bytes(&mut stream), b"");
}

/// The unread bytes of a caller that is still sending must not reset the
/// connection before the response has arrived.
#[test]
fn response_before_the_end_of_a_long_body_is_delivered() {
    let mut stream = connect(start_server());
    let body = vec![b'x'; 4 << 20];

    send(&mut stream, &with_length("/close", &body));
    let response = read_response(&mut stream);

    assert_eq!(response, Some((401, b"rejected".to_vec())));
}

/// A request whose end is ambiguous must not be passed on.
#[rstest]
#[case::both("Content-Length: 3\r\nTransfer-Encoding: chunked")]
#[case::two_lengths("Content-Length: 3\r\nContent-Length: 4")]
#[case::list("Content-Length: 3, 3")]
#[case::sign("Content-Length: +3")]
#[case::space_before_colon("Content-Length : 3")]
#[case::other_coding("Transfer-Encoding: gzip, chunked")]
#[case::coding_with_space("Transfer-Encoding : chunked")]
fn ambiguous_framing_is_rejected(#[case] framing: &str) {
    let mut stream = connect(start_server());

    send(&mut stream, &head("/echo", framing));
    send(&mut stream, b"3\r\nabc\r\n0\r\n\r\n");
    let response = read_response(&mut stream);

    assert_eq!(response.map(|(status, _)| status), Some(400));
    assert_eq!(unsolicited_bytes(&mut stream), b"");
}

/// Guards against a failure: the HTTP library keeps a trailer section until it ends, so
/// that 300 clients took 262 MiB.
#[rstest]
#[case::longest(4_000, 200)]
#[case::too_long(5_000, 400)]
fn trailer_section_is_bounded(#[case] trailer_bytes: usize, #[case] status: u16) {
    let mut stream = connect(start_server());
    let mut bytes = head("/echo", "Transfer-Encoding: chunked");
    bytes.extend_from_slice(b"1\r\nx\r\n0\r\nTrailer: ");
    bytes.extend(vec![b'y'; trailer_bytes]);
    bytes.extend_from_slice(b"\r\n\r\n");

    send(&mut stream, &bytes);

    // A body that is cut may end the connection without a response.
    let answered = read_response(&mut stream).map_or(400, |(status, _)| status);
    assert_eq!(answered, status);
}

#[rstest]
#[case::head(b"POST /echo HTTP/1.1\r\nHost: a\r\n".to_vec(), 408)]
#[case::large_head([b"POST /echo HTTP/1.1\r\nHost: a\r\nX: ".to_vec(), vec![b'x'; 50_000]].concat(), 431)]
fn incomplete_head_is_rejected_once(#[case] bytes: Vec<u8>, #[case] status: u16) {
    let mut stream = connect(start_server());

    send(&mut stream, &bytes);
    let response = read_response(&mut stream);

    assert_eq!(response.map(|(status, _)| status), Some(status));
    assert_eq!(unsolicited_bytes(&mut stream), b"");
}

/// A caller of HTTP/2 gets no frames that the guard can't follow.
#[test]
fn preface_of_http2_is_refused() {
    let mut stream = connect(start_server());

    send(&mut stream, b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
    let response = read_response(&mut stream);

    assert_ne!(response.map(|(status, _)| status), Some(200));
}

#[derive(Clone, Debug)]
struct Planned {
    rejected: bool,
    chunk_bytes: Option<usize>,
    body: Vec<u8>,
}

impl Planned {
    fn to_bytes(&self) -> Vec<u8> {
        let path = if self.rejected { "/reject" } else { "/echo" };
        match self.chunk_bytes {
            Some(chunk_bytes) => with_chunks(path, &self.body, chunk_bytes),
            None => with_length(path, &self.body),
        }
    }

    fn expected(&self) -> (u16, Vec<u8>) {
        match self.rejected {
            true => (401, b"rejected".to_vec()),
            false => (200, self.body.clone()),
        }
    }
}

/// Bodies of any bytes, some of which quote a request or a terminator.
fn planned() -> impl Strategy<Value = Planned> {
    let quoted = with_length("/echo", b"smuggled");
    let piece = prop_oneof![
        Just(quoted),
        Just(b"\r\n\r\n".to_vec()),
        Just(b"0\r\n\r\n".to_vec()),
        prop::collection::vec(any::<u8>(), 0..300),
        (0_usize..70_000).prop_map(|length| vec![b'y'; length]),
    ];
    let body = prop::collection::vec(piece, 0..4).prop_map(|pieces| pieces.concat());
    (any::<bool>(), prop::option::of(1_usize..9_000), body).prop_map(
        |(rejected, chunk_bytes, body)| Planned {
            rejected,
            chunk_bytes,
            body,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0x6672_616d),
        ..ProptestConfig::default()
    })]

    /// Each request of a connection gets its own response, in order, for any
    /// framing, any bodies, and any sizes of the writes; also if requests are
    /// pipelined.
    #[test]
    fn responses_follow_the_order_of_requests(
        requests in prop::collection::vec(planned(), 1..5),
        write_sizes in prop::collection::vec(1_usize..20_000, 1..6),
        pipelined in any::<bool>(),
    ) {
        let mut stream = connect(start_server());
        let mut reader = stream.try_clone().expect("clone the socket");
        let expected: Vec<_> = requests.iter().map(Planned::expected).collect();
        let writes: Vec<Vec<u8>> = requests.iter().map(Planned::to_bytes).collect();

        let responses: Vec<_> = match pipelined {
            true => {
                let bytes = writes.concat();
                let sizes = write_sizes.clone();
                let writer = std::thread::spawn(move || write_in_pieces(&mut stream, &bytes, &sizes));
                let responses = expected.iter().map(|_| read_response(&mut reader)).collect();
                writer.join().expect("the writer ends");
                responses
            }
            false => writes
                .iter()
                .map(|bytes| {
                    write_in_pieces(&mut stream, bytes, &write_sizes);
                    read_response(&mut reader)
                })
                .collect(),
        };

        let expected: Vec<_> = expected.into_iter().map(Some).collect();
        prop_assert_eq!(responses, expected);
    }
}

/// Writes bytes in pieces whose sizes cycle through `sizes`.
fn write_in_pieces(stream: &mut TcpStream, bytes: &[u8], sizes: &[usize]) {
    let mut rest = bytes;
    for size in sizes.iter().cycle() {
        if rest.is_empty() {
            return;
        }
        let (piece, after) = rest.split_at((*size).min(rest.len()));
        match stream.write_all(piece) {
            Ok(()) => rest = after,
            // The responses that were read show what is missing.
            Err(error) if error.kind() == ErrorKind::ConnectionReset => return,
            Err(error) => panic!("write to the server: {error}"),
        }
    }
}
