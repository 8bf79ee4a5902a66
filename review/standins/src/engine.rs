//! An engine: registers itself in the store and runs requests.

use std::{
    io::Write,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    fleet::Result,
    http::{Message, Reader},
    record::Record,
    store::Store,
};

/// Interval between two reports of an engine to the store.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Body of an answer that is not a stream.
const ANSWER: &str = "the answer of the engine";

/// Status of a run that failed, as engines for language models use it when they
/// are overloaded. It is not in the registry of statuses.
pub const OVERLOADED: u16 = 529;

/// Events in the answer to a stream.
const EVENTS: u32 = 5;

/// Interval between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(10);

/// Longest time for which a connection whose answer was lost stays open.
const LOST_WAIT: Duration = Duration::from_secs(12);

/// A request that an engine began to work on.
#[derive(Clone)]
pub struct Run {
    pub request_id: String,
    pub engine: String,
    pub at: Instant,
    /// Whether its answer was sent before the engine exited.
    pub answered: bool,
}

/// Runs of all engines, in the order of their starts.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// What is needed to start an engine.
pub struct EngineSpec {
    pub name: &'static str,
    pub service: &'static str,
    pub slots: u32,
    /// Time that the engine works on a request before it answers.
    pub work: Duration,
    /// Whether the engine answers with event streams.
    pub streams: bool,
}

/// Clones share the state.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    spec: Arc<EngineSpec>,
    addr: SocketAddr,
    born_ms: u64,
    store: Store,
    record: Record,
    runs: Runs,
    seq: Arc<AtomicU64>,
    /// Set once the engine no longer reports to the store.
    silent: Arc<AtomicBool>,
    /// Set once the engine has exited.
    gone: Arc<AtomicBool>,
    /// Number of runs of which one loses its answer; 0 if none does.
    loses_one_in: Arc<AtomicU64>,
    /// Number of runs of which one fails; 0 if none does.
    fails_one_in: Arc<AtomicU64>,
    /// Number of runs since the disruption began.
    counted_runs: Arc<AtomicU64>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Engine {
    pub fn start(spec: EngineSpec, store: &Store, record: &Record, runs: &Runs) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH)?;
        let engine = Self {
            id: format!("i-{}", spec.name),
            spec: Arc::new(spec),
            addr: listener.local_addr()?,
            born_ms: born.as_millis() as u64,
            store: store.clone(),
            record: record.clone(),
            runs: runs.clone(),
            seq: Arc::default(),
            silent: Arc::default(),
            gone: Arc::default(),
            loses_one_in: Arc::default(),
            fails_one_in: Arc::default(),
            counted_runs: Arc::default(),
            connections: Arc::default(),
        };
        engine.report();
        let reporter = engine.clone();
        thread::spawn(move || loop {
            thread::sleep(HEARTBEAT);
            if reporter.silent.load(Ordering::SeqCst) {
                return;
            }
            reporter.report();
        });
        let server = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.gone.load(Ordering::SeqCst) {
                    return;
                }
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(engine)
    }

    /// Leaves without reporting `draining`: its entry is removed, it goes on
    /// serving for `serve_for` and exits. Returns when the store has
    /// acknowledged the removal.
    pub fn leave(&self, serve_for: Duration) -> Instant {
        self.silent.store(true, Ordering::SeqCst);
        self.store.remove("servers", &self.id);
        let acknowledged_at = Instant::now();
        self.record
            .line(&format!("store: entry of {} is removed", self.id));
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(serve_for);
            engine.exit();
        });
        acknowledged_at
    }

    /// From now on loses the answer of one in `runs` of its runs.
    pub fn lose_answers(&self, runs: u64) {
        self.loses_one_in.store(runs, Ordering::SeqCst);
        self.record.line(&format!(
            "engine {} loses the answer of one in {runs} runs",
            self.id
        ));
    }

    /// From now on fails one in `runs` of its runs, with [`OVERLOADED`].
    pub fn fail_runs(&self, runs: u64) {
        self.fails_one_in.store(runs, Ordering::SeqCst);
        self.record
            .line(&format!("engine {} fails one in {runs} runs", self.id));
    }

    fn exit(&self) {
        self.gone.store(true, Ordering::SeqCst);
        self.record.line(&format!("engine {} exits", self.id));
        // Wakes the listener, which then closes.
        drop(TcpStream::connect(self.addr));
        for stream in self.connections.lock().expect("unpoisoned").iter() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn report(&self) {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let (spec, addr, born) = (&self.spec, self.addr, self.born_ms);
        let (service, slots) = (spec.service, spec.slots);
        let entry = format!(
            "{{\"service\":\"{service}\",\"addr\":\"{addr}\",\"zone\":\"sierra-a\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"ready\",\"cold-left-ms\":0,\"stage\":\"unified\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"loras\":[]}}],\"seq\":{seq},\"born\":{born}}}"
        );
        self.store.put("servers", &self.id, &entry);
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (Ok(reading), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else {
            return;
        };
        self.connections.lock().expect("unpoisoned").push(kept);
        let mut reader = Reader::new(reading);
        while let Ok(Some(request)) = reader.read() {
            if !self.respond(&request, &stream) {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    /// Runs one request; returns whether the connection stays open.
    fn respond(&self, request: &Message, mut stream: &TcpStream) -> bool {
        let request_id = request.header("x-limpetgw-request-id").unwrap_or_default();
        let expected = request.header("x-limpetgw-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Limpetgw-Instance-Id: {}\r\n\
                 X-Limpetgw-Request-Id: {request_id}\r\nX-Limpetgw-Not-Run: 1\r\n\
                 Content-Length: 0\r\n\r\n",
                self.id
            );
            return stream.write_all(text.as_bytes()).is_ok();
        }
        let index = {
            let mut runs = self.runs.lock().expect("unpoisoned");
            runs.push(Run {
                request_id: request_id.into(),
                engine: self.id.clone(),
                at: Instant::now(),
                answered: false,
            });
            runs.len() - 1
        };
        self.record
            .line(&format!("engine {} runs {request_id}", self.id));
        thread::sleep(self.spec.work);
        let count = self.counted_runs.fetch_add(1, Ordering::SeqCst);
        if is_hit(count, &self.loses_one_in) {
            self.record.line(&format!(
                "engine {} has run {request_id} to the end; the answer is lost",
                self.id
            ));
            wait_for_close(stream);
            return false;
        }
        if is_hit(count, &self.fails_one_in) {
            self.record.line(&format!(
                "engine {} answers {OVERLOADED} for {request_id}",
                self.id
            ));
            return self.send_failure(request_id, stream);
        }
        let sent = match self.spec.streams {
            true => self.send_stream(request_id, stream),
            false => self.send_answer(request_id, stream),
        };
        let is_answered = sent && !self.gone.load(Ordering::SeqCst);
        self.runs.lock().expect("unpoisoned")[index].answered = is_answered;
        sent
    }

    fn head(&self, status: u16, request_id: &str, framing: &str) -> String {
        let id = &self.id;
        format!(
            "HTTP/1.1 {status} Any\r\nX-Limpetgw-Request-Id: {request_id}\r\n\
             X-Limpetgw-Server-Seal: {id}.{request_id}\r\nKeep-Alive: timeout=5\r\n\
             {framing}\r\n\r\n"
        )
    }

    fn send_answer(&self, request_id: &str, mut stream: &TcpStream) -> bool {
        let framing = format!("Content-Length: {}", ANSWER.len());
        let text = self.head(200, request_id, &framing) + ANSWER;
        stream.write_all(text.as_bytes()).is_ok()
    }

    fn send_failure(&self, request_id: &str, mut stream: &TcpStream) -> bool {
        let text = self.head(OVERLOADED, request_id, "Content-Length: 0");
        stream.write_all(text.as_bytes()).is_ok()
    }

    fn send_stream(&self, request_id: &str, mut stream: &TcpStream) -> bool {
        let framing = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked";
        let mut text = self.head(200, request_id, framing);
        for event in 1..=EVENTS {
            let event = format!("id: {event}\ndata: part {event}\n\n");
            text += &format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(text.as_bytes()).is_err() {
                return false;
            }
            text.clear();
            thread::sleep(EVENT_INTERVAL);
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// Returns whether the event with this number is one in as many as `one_in` says.
fn is_hit(number: u64, one_in: &AtomicU64) -> bool {
    let one_in = one_in.load(Ordering::SeqCst);
    one_in > 0 && number % one_in == 0
}

/// Waits until the peer closes the connection, at most [`LOST_WAIT`].
fn wait_for_close(stream: &TcpStream) {
    let lost_at = Instant::now();
    while lost_at.elapsed() < LOST_WAIT && !peer_has_closed(stream) {
        thread::sleep(Duration::from_millis(20));
    }
}

/// Returns whether the peer has closed the connection. It sends nothing while it
/// waits for an answer.
fn peer_has_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}
