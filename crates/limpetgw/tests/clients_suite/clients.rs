//! Clients that misbehave, one pattern at a time.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use harness::{CLINIC_KEY, ENGINE_MODEL};
use wire_standins::caller::{HOST, KEY};

use crate::processes::{Role, UnderTest, BODY_MAX_BYTES, LARGE_PATH};

/// Time after which a client gives up a write that blocks. It stays connected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between the bytes that a slow client sends or reads.
const SLOW_INTERVAL: Duration = Duration::from_millis(50);
/// Size of the small pieces and chunks of a body.
const PIECE_BYTES: usize = 4 << 10;
/// Bytes of pipelined requests that a client sends if nothing stops it.
const PIPELINED_BYTES: usize = 8 << 20;
/// Bytes of trailers that a client sends if nothing stops it.
const TRAILER_BYTES: usize = 1 << 20;
/// Largest head inside the limits.
const HEAD_MAX_BYTES: usize = 16 << 10;

/// What each client of a crowd does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pattern {
    /// Sends a legal body but for its last byte, in one write.
    BodyInOnePiece,
    /// The same in small writes.
    BodyInSmallPieces,
    /// The same with chunked coding.
    BodyInChunks,
    /// Sends a body of four times the legal size, half of the clients in chunks.
    BodyTooLong,
    /// Sends a short body in chunks and a trailer section that does not end.
    EndlessTrailers,
    /// Sends a head of legal size with as many fields as fit, and no body.
    ManyShortFields,
    /// Sends requests and reads no response.
    PipelinedUnread,
    /// Sends half of a legal body, then a byte at a time.
    SendsSlowly,
    /// Asks for a large or long response and reads a byte at a time.
    ReadsSlowly,
    /// Stops within the head or within the body; some close their sending side.
    StopsHalfWay,
    /// Connects and sends nothing, or half of a head.
    Silent,
}

/// Where the clients send their requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    Route,
    NoRoute,
    Ready,
}

impl Pattern {
    fn clients(self) -> usize {
        match self {
            Self::BodyInOnePiece
            | Self::BodyInSmallPieces
            | Self::BodyInChunks
            | Self::BodyTooLong
            | Self::SendsSlowly
            | Self::ReadsSlowly
            | Self::StopsHalfWay => 80,
            Self::EndlessTrailers | Self::ManyShortFields | Self::PipelinedUnread => 140,
            Self::Silent => 150,
        }
    }
}

/// A crowd that stays connected until it is dropped.
pub struct Clients {
    ended: Arc<AtomicBool>,
    slow: Vec<JoinHandle<()>>,
    _idle: Vec<TcpStream>,
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        for client in self.slow.drain(..) {
            // A client that panicked has disconnected, too.
            let _ = client.join();
        }
    }
}

/// Target of a crowd.
#[derive(Clone, Debug)]
struct Target {
    addr: SocketAddr,
    role: Role,
    place: Place,
}

/// Starts the crowd of a pattern and waits until each client has sent all it can.
pub fn start(process: &UnderTest, pattern: Pattern, place: Place) -> Clients {
    let target = Target {
        addr: match place {
            Place::Ready => process.operator_addr(),
            _ => process.addr(),
        },
        role: process.role(),
        place,
    };
    let send = |number| {
        let target = target.clone();
        thread::spawn(move || target.send(pattern, number))
    };
    // A client that the process refused or disconnected has no connection left.
    let end =
        |sender: JoinHandle<io::Result<TcpStream>>| sender.join().expect("the client ran").ok();
    let streams: Vec<TcpStream> = if pattern == Pattern::ReadsSlowly {
        // One after another: the instances would refuse most of them at once.
        let numbers = 0..pattern.clients();
        numbers.filter_map(|number| end(send(number))).collect()
    } else {
        let senders: Vec<_> = (0..pattern.clients()).map(send).collect();
        senders.into_iter().filter_map(end).collect()
    };
    let ended = Arc::new(AtomicBool::new(false));
    let mut clients = Clients {
        ended: ended.clone(),
        slow: Vec::new(),
        _idle: Vec::new(),
    };
    match pattern {
        Pattern::SendsSlowly | Pattern::ReadsSlowly => {
            clients.slow = streams
                .into_iter()
                .map(|stream| {
                    let ended = ended.clone();
                    thread::spawn(move || go_on_slowly(stream, pattern, &ended))
                })
                .collect();
        }
        _ => clients._idle = streams,
    }
    clients
}

fn go_on_slowly(mut stream: TcpStream, pattern: Pattern, ended: &AtomicBool) {
    while !ended.load(Ordering::Relaxed) {
        let moved = match pattern {
            Pattern::SendsSlowly => stream.write(b"x"),
            _ => stream.read(&mut [0]),
        };
        if matches!(moved, Ok(0) | Err(_)) {
            return;
        }
        thread::sleep(SLOW_INTERVAL);
    }
}

impl Target {
    /// Runs one client up to the point at which it stops or slows down.
    fn send(&self, pattern: Pattern, number: usize) -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect(self.addr)?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        stream.set_read_timeout(Some(WRITE_TIMEOUT))?;
        stream.set_nodelay(true)?;
        // A write that fails or blocks ends the sending, not the connection.
        let _ = self.write(&mut stream, pattern, number);
        Ok(stream)
    }

    fn write(&self, stream: &mut TcpStream, pattern: Pattern, number: usize) -> io::Result<()> {
        let body = vec![b'x'; BODY_MAX_BYTES - 1];
        let length = format!("content-length: {BODY_MAX_BYTES}\r\n");
        let chunked = "transfer-encoding: chunked\r\n";
        match pattern {
            Pattern::BodyInOnePiece => {
                let mut bytes = self.head(number, &length).into_bytes();
                bytes.extend_from_slice(&body);
                stream.write_all(&bytes)
            }
            Pattern::BodyInSmallPieces => {
                stream.write_all(self.head(number, &length).as_bytes())?;
                body.chunks(PIECE_BYTES)
                    .try_for_each(|piece| stream.write_all(piece))
            }
            Pattern::BodyInChunks => {
                stream.write_all(self.head(number, chunked).as_bytes())?;
                write_chunks(stream, &body)
            }
            Pattern::BodyTooLong if number.is_multiple_of(2) => {
                stream.write_all(self.head(number, chunked).as_bytes())?;
                (0..4).try_for_each(|_| write_chunks(stream, &body))
            }
            Pattern::BodyTooLong => {
                let length = format!("content-length: {}\r\n", 4 * BODY_MAX_BYTES);
                stream.write_all(self.head(number, &length).as_bytes())?;
                (0..4).try_for_each(|_| stream.write_all(&body))
            }
            Pattern::EndlessTrailers => {
                stream.write_all(self.head(number, chunked).as_bytes())?;
                stream.write_all(b"1\r\nx\r\n0\r\n")?;
                let line = format!("trailer: {}\r\n", "y".repeat(PIECE_BYTES));
                (0..TRAILER_BYTES / line.len()).try_for_each(|_| stream.write_all(line.as_bytes()))
            }
            Pattern::ManyShortFields => {
                let head = self.head(number, &length);
                let room = HEAD_MAX_BYTES - head.len();
                let fields = match number % 2 {
                    0 => "x: y\r\n".repeat(room / 6),
                    _ => (0..room / 9)
                        .map(|name| format!("{name:x}: y\r\n"))
                        .collect(),
                };
                stream.write_all(self.head(number, &format!("{length}{fields}")).as_bytes())
            }
            Pattern::PipelinedUnread => {
                let request = self.get(number).repeat(16);
                let count = PIPELINED_BYTES / request.len();
                (0..count).try_for_each(|_| stream.write_all(request.as_bytes()))
            }
            Pattern::SendsSlowly => {
                stream.write_all(self.head(number, &length).as_bytes())?;
                stream.write_all(&body[..BODY_MAX_BYTES / 2])
            }
            Pattern::ReadsSlowly => {
                stream.write_all(self.long_response(number).as_bytes())?;
                stream.read(&mut [0]).map(|_| ())
            }
            Pattern::StopsHalfWay => {
                let head = self.head(number, &length);
                match number % 4 {
                    0 => stream.write_all(&head.as_bytes()[..head.len() / 2])?,
                    _ => {
                        stream.write_all(head.as_bytes())?;
                        stream.write_all(&body[..BODY_MAX_BYTES * 3 / 4])?;
                    }
                }
                match number % 4 {
                    1 => stream.shutdown(Shutdown::Write),
                    _ => Ok(()),
                }
            }
            Pattern::Silent if number.is_multiple_of(2) => Ok(()),
            Pattern::Silent => {
                let head = self.head(number, &length);
                stream.write_all(&head.as_bytes()[..head.len() / 2])
            }
        }
    }

    fn path(&self) -> &'static str {
        match (self.place, self.role) {
            (Place::Ready, _) => "/readyz",
            (Place::NoRoute, _) => "/nowhere/at/all",
            (Place::Route, Role::Gateway) => "/look/1",
            (Place::Route, Role::Entry) => "/v1/chat/completions",
        }
    }

    /// Returns the head of a POST request with additional fields.
    fn head(&self, number: usize, fields: &str) -> String {
        let path = self.path();
        let common = self.common_fields(number);
        format!("POST {path} HTTP/1.1\r\n{common}{fields}\r\n")
    }

    fn get(&self, number: usize) -> String {
        let path = match (self.place, self.role) {
            (Place::Route, Role::Entry) => "/v1/models",
            _ => self.path(),
        };
        let common = self.common_fields(number);
        format!("GET {path} HTTP/1.1\r\n{common}\r\n")
    }

    /// Returns a request with a large response where the place has one.
    fn long_response(&self, number: usize) -> String {
        let common = self.common_fields(number);
        match (self.place, self.role) {
            (Place::Route, Role::Gateway) => {
                format!("GET {LARGE_PATH} HTTP/1.1\r\n{common}\r\n")
            }
            (Place::Route, Role::Entry) => {
                let body = format!(
                    r#"{{"model":"{ENGINE_MODEL}","stream":true,"messages":[{{"role":"user","content":"{number} [len=5000]"}}]}}"#
                );
                let length = format!("content-length: {}\r\n", body.len());
                format!("{}{body}", self.head(number, &length))
            }
            _ => self.get(number),
        }
    }

    fn common_fields(&self, number: usize) -> String {
        match self.role {
            Role::Gateway => format!(
                "host: {HOST}\r\nx-limpetgw-request-id: c{number}\r\nx-limpetgw-key: {KEY}\r\n\
                 x-limpetgw-deadline-ms: 8000\r\n"
            ),
            Role::Entry => format!("host: x\r\nauthorization: Bearer {CLINIC_KEY}\r\n"),
        }
    }
}

fn write_chunks(stream: &mut TcpStream, body: &[u8]) -> io::Result<()> {
    for piece in body.chunks(PIECE_BYTES) {
        let mut chunk = format!("{:x}\r\n", piece.len()).into_bytes();
        chunk.extend_from_slice(piece);
        chunk.extend_from_slice(b"\r\n");
        stream.write_all(&chunk)?;
    }
    Ok(())
}

/// Starts a client that sends `count` bodies of the largest legal size to the gateway, one
/// after the other. Returns the number of those that were answered with success.
pub fn upload_in_turn(process: &UnderTest, count: usize) -> JoinHandle<usize> {
    let addr = process.addr();
    let request = wire_standins::caller::post("/look/1", "upload", &"x".repeat(BODY_MAX_BYTES))
        .with_deadline_ms(10_000);
    thread::spawn(move || {
        let answered = (0..count).map(|_| {
            let mut stream = TcpStream::connect(addr)?;
            stream.set_read_timeout(Some(Duration::from_secs(10)))?;
            stream.write_all(request.to_http("close").as_bytes())?;
            Ok(wire_standins::caller::read_response(&mut stream).status)
        });
        // One that is refused before its end may have its connection reset.
        answered
            .filter(|status: &io::Result<u16>| matches!(status, Ok(200)))
            .count()
    })
}

/// Sends a request with as many short fields as a head may have, reads the response, and
/// returns the connection, which stays idle. `None` if there was no response.
pub fn idle_after_many_fields(process: &UnderTest) -> Option<TcpStream> {
    let fields: String = (0..1_600).map(|name| format!("{name:x}: y\r\n")).collect();
    let head = match process.role() {
        Role::Gateway => format!(
            "GET /look/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Limpetgw-Request-Id: r\r\n\
             X-Limpetgw-Key: {KEY}\r\n{fields}\r\n"
        ),
        Role::Entry => format!("GET /v1/models HTTP/1.1\r\nHost: a\r\n{fields}\r\n"),
    };
    let mut stream = TcpStream::connect(process.addr()).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .ok()?;
    stream.write_all(head.as_bytes()).ok()?;
    let mut response = [0; 1 << 10];
    (stream.read(&mut response).ok()? > 0).then_some(stream)
}
