//! Stand-ins and helpers for the scripts of this review: the platform that starts
//! gateways, engines, clients and the record of a run.

pub mod cases;

use std::{
    collections::HashMap,
    fs,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

/// Host that all requests name.
pub const HOST: &str = "ficu95.example";
/// API key of the only tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// Signature of the stand-in engines.
pub const SEAL: &str = "3e1b.07.5a2.600.0.c9f2a4d1";

/// Result of a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

/// Lines of `record.txt`, with the time since the start.
#[derive(Clone)]
pub struct Record {
    lines: Arc<Mutex<Vec<String>>>,
    start: Instant,
}

impl Record {
    pub fn new() -> Self {
        Self {
            lines: Arc::default(),
            start: Instant::now(),
        }
    }

    pub fn add(&self, text: impl AsRef<str>) {
        let at_ms = self.start.elapsed().as_millis();
        let line = format!("{at_ms:>7} ms  {}", text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut text = self.lines.lock().unwrap().join("\n");
        text.push('\n');
        fs::write(path, text)
    }
}

impl Default for Record {
    fn default() -> Self {
        Self::new()
    }
}

/// Ids of the processes that were started and not ended yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that this one has started.
pub fn kill_started() {
    for pid in STARTED.lock().unwrap().drain(..) {
        let _ = Command::new("kill")
            .args(["-KILL", &pid.to_string()])
            .status();
    }
}

/// A process that ends with its owner.
pub struct Process(Child);

impl Process {
    fn new(child: Child) -> Self {
        STARTED.lock().unwrap().push(child.id());
        Self(child)
    }
}

impl Process {
    pub fn pid(&self) -> u32 {
        self.0.id()
    }

    pub fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        let _ = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status();
    }

    /// Returns whether the process has ended by itself or by a signal.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(Some(_)) | Err(_))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        let pid = self.pid();
        STARTED.lock().unwrap().retain(|started| *started != pid);
    }
}

/// Returns a port of the loopback address that is free now.
pub fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    listener.local_addr().expect("bound").port()
}

/// Returns the root of the repository, from which the programs are started.
pub fn root() -> PathBuf {
    std::env::current_dir().expect("working directory")
}

/// The platform's store, run by the project's own stand-in.
pub struct Store {
    pub addr: SocketAddr,
    process: Process,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let mut child = Command::new(root().join("target/release/wire-standins"))
            .args(["store", "--listen", "127.0.0.1:0", "--entry-ttl-ms", "3600"])
            .stdout(Stdio::piped())
            .spawn()?;
        let mut line = String::new();
        let out = child.stdout.take().expect("piped");
        BufReader::new(out).read_line(&mut line)?;
        let process = Process::new(child);
        let addr = line
            .split('"')
            .find_map(|part| part.parse().ok())
            .ok_or(io::ErrorKind::InvalidData)?;
        Ok(Self { addr, process })
    }

    /// Sends a signal to the process of the store.
    pub fn signal(&self, name: &str) {
        self.process.signal(name);
    }

    pub fn create(&self, kind: &str, name: &str, spec: &str) -> io::Result<()> {
        let body =
            format!("{{\"metadata\":{{\"name\":\"{name}\",\"stays\":true}},\"spec\":{spec}}}");
        self.call("POST", &format!("/objects/{kind}"), &body)
    }

    pub fn replace(&self, kind: &str, name: &str, spec: &str) -> io::Result<()> {
        let body =
            format!("{{\"metadata\":{{\"name\":\"{name}\",\"stays\":true}},\"spec\":{spec}}}");
        self.call("PUT", &format!("/objects/{kind}/{name}"), &body)
    }

    pub fn call(&self, method: &str, path: &str, body: &str) -> io::Result<()> {
        let mut stream = TcpStream::connect(self.addr)?;
        write!(
            stream,
            "{method} {path} HTTP/1.1\r\nHost: store\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )?;
        let mut bytes = [0; 256];
        let count = stream.read(&mut bytes)?;
        let head = String::from_utf8_lossy(&bytes[..count]).into_owned();
        match head.starts_with("HTTP/1.1 200") {
            true => Ok(()),
            false => Err(io::Error::other(head)),
        }
    }
}

/// Settings of a gateway that a small deployment gives it.
#[derive(Clone)]
pub struct GatewaySettings {
    pub name: String,
    pub memory_mb: u32,
    pub cpu_share: f64,
    pub descriptors: u32,
    pub retry_slack: u32,
    pub drain_ms: u32,
    pub grace_s: u32,
}

impl GatewaySettings {
    /// Settings of an `edge` machine of site horma-quito.
    pub fn horma(name: &str) -> Self {
        Self {
            name: name.into(),
            memory_mb: 260,
            cpu_share: 0.19,
            descriptors: 4_100,
            retry_slack: 54,
            drain_ms: 2_000,
            grace_s: 8,
        }
    }

    /// Settings of an `edge` machine of site kahawa-gw.
    pub fn kahawa(name: &str) -> Self {
        Self {
            memory_mb: 110,
            retry_slack: 58,
            ..Self::horma(name)
        }
    }
}

/// A gateway that the platform has started as the deploy file says.
pub struct Gateway {
    pub process: Process,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub log: PathBuf,
}

impl Gateway {
    pub fn start(
        settings: &GatewaySettings,
        store: SocketAddr,
        folder: &Path,
        front: u16,
        ready: u16,
    ) -> io::Result<Self> {
        let name = &settings.name;
        let file = folder.join(format!("{name}.json"));
        fs::write(
            &file,
            format!(
                "{{\"retry_ratio\": 0.2, \"retry_allowance\": {}, \"retry_window_s\": 10, \
                 \"grace_s\": {}, \"drain_ms\": {}}}\n",
                settings.retry_slack, settings.grace_s, settings.drain_ms
            ),
        )?;
        let log = folder.join(format!("{name}.log"));
        let out = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&log)?;
        let err = out.try_clone()?;
        let peer = free_port();
        let child = Command::new(root().join("target/release/limpetgw"))
            .args(["gateway", "--instance", name, "--zone", "zone-a"])
            .args(["--listen", &format!("127.0.0.1:{front}")])
            .args(["--operator-listen", &format!("127.0.0.1:{ready}")])
            .args(["--store", &store.to_string(), "--threads", "1"])
            .args(["--peer-listen", &format!("127.0.0.1:{peer}")])
            .args(["--cpu-share", &settings.cpu_share.to_string()])
            .args(["--memory-limit-mb", &settings.memory_mb.to_string()])
            .args(["--descriptors-max", &settings.descriptors.to_string()])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("LIMPETGW_CONFIG", &file)
            .env("LIMPETGW_LOG_FORMAT", "json")
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn()?;
        let gateway = Self {
            process: Process::new(child),
            front: SocketAddr::from(([127, 0, 0, 1], front)),
            ready: SocketAddr::from(([127, 0, 0, 1], ready)),
            log,
        };
        Ok(gateway)
    }

    /// Waits until the gateway reports that it is ready.
    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if is_ready(self.ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

/// Asks a gateway once whether it is ready, as the platform does each second.
pub fn is_ready(addr: SocketAddr) -> bool {
    let request = "GET /readyz HTTP/1.1\r\nHost: gw\r\nConnection: close\r\n\r\n";
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, Duration::from_secs(1)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let mut bytes = [0; 64];
    stream.write_all(request.as_bytes()).is_ok()
        && matches!(stream.read(&mut bytes), Ok(count) if bytes[..count].starts_with(b"HTTP/1.1 200"))
}

/// Returns memory of a process in KiB, by its name in `/proc/PID/status`.
pub fn memory_kib(pid: u32, field: &str) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with(field))?;
    let text = line.split(':').nth(1)?.trim().trim_end_matches("kB").trim();
    text.parse().ok()
}

/// Message that was read from a connection.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request or status line.
    pub first_line: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let text = self.first_line.split(' ').nth(1).unwrap_or_default();
        text.parse().unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads a head. `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first_line = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            let pair = (name.to_ascii_lowercase(), value.trim().to_owned());
            message.headers.push(pair);
        }
    }
}

/// Reads the body of a message with a length or in chunks. What came before an error or
/// the end of the connection is kept, and the message is not complete then.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) {
    let is_chunked = message.header("transfer-encoding") == Some("chunked");
    let length = message
        .header("content-length")
        .and_then(|text| text.parse().ok());
    let read = match (is_chunked, length) {
        (true, _) => read_chunks(reader, &mut message.body),
        (false, length) => {
            let length: usize = length.unwrap_or(0);
            let mut body = Vec::new();
            let read = reader.take(length as u64).read_to_end(&mut body);
            let is_whole = body.len() == length;
            message.body = body;
            match (read, is_whole) {
                (Ok(_), true) => Ok(()),
                (Ok(_), false) => Err(io::ErrorKind::UnexpectedEof.into()),
                (Err(error), _) => Err(error),
            }
        }
    };
    message.is_complete = read.is_ok();
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim().split(';').next().unwrap_or_default();
        let size = usize::from_str_radix(text, 16).map_err(io::Error::other)?;
        if size == 0 {
            line.clear();
            reader.read_line(&mut line)?;
            return match line.trim().is_empty() && !line.is_empty() {
                true => Ok(()),
                false => Err(io::ErrorKind::InvalidData.into()),
            };
        }
        let before = body.len();
        body.resize(before + size, 0);
        let mut filled = before;
        while filled < body.len() {
            match reader.read(&mut body[filled..]) {
                Ok(0) => {
                    body.truncate(filled);
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                Ok(count) => filled += count,
                Err(error) => {
                    body.truncate(filled);
                    return Err(error);
                }
            }
        }
        line.clear();
        reader.read_line(&mut line)?;
    }
}

/// What an engine does after a request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Next {
    Keep,
    Close,
}

/// Requests that engines have run, by request id.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<HashMap<String, Vec<Message>>>>);

impl Runs {
    pub fn add(&self, request: &Message) {
        let id = request.header("x-limpetgw-request-id").unwrap_or_default();
        let mut runs = self.0.lock().unwrap();
        runs.entry(id.to_owned()).or_default().push(request.clone());
    }

    pub fn of(&self, id: &str) -> Vec<Message> {
        self.0.lock().unwrap().get(id).cloned().unwrap_or_default()
    }

    pub fn ids(&self) -> Vec<String> {
        self.0.lock().unwrap().keys().cloned().collect()
    }
}

/// A stand-in engine: a listener whose connections are served by `handle`, on a thread
/// each.
pub struct Engine {
    pub id: String,
    pub addr: SocketAddr,
    pub connections: Arc<AtomicU64>,
}

impl Engine {
    pub fn start<F>(id: &str, handle: F) -> io::Result<Self>
    where
        F: Fn(&Message, &mut TcpStream) -> Next + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let connections = Arc::new(AtomicU64::new(0));
        let (handle, count, own_id) = (Arc::new(handle), connections.clone(), id.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { return };
                count.fetch_add(1, Ordering::Relaxed);
                let (handle, id) = (handle.clone(), own_id.clone());
                let serve = move || serve_engine(&id, stream, handle.as_ref());
                let _ = thread::Builder::new().stack_size(256 << 10).spawn(serve);
            }
        });
        Ok(Self {
            id: id.to_owned(),
            addr,
            connections,
        })
    }

    /// Returns the entry of the engine in the store.
    pub fn entry(&self, service: &str, slots: u32) -> String {
        let addr = self.addr;
        format!(
            "{{\"service\":\"{service}\",\"addr\":\"{addr}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"ready\",\"cold-left-ms\":0,\"seq\":1,\
             \"born\":1760000000000}}"
        )
    }
}

fn serve_engine<F>(id: &str, stream: TcpStream, handle: &F)
where
    F: Fn(&Message, &mut TcpStream) -> Next,
{
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(mut request)) = read_head(&mut reader) {
        read_body(&mut reader, &mut request);
        if !request.is_complete {
            return;
        }
        let expected = request.header("x-limpetgw-expect-instance");
        if expected.is_some_and(|expected| expected != id) {
            let request_id = request.header("x-limpetgw-request-id").unwrap_or_default();
            let text = format!(
                "HTTP/1.1 421 Misdirected\r\nX-Limpetgw-Request-Id: {request_id}\r\n\
                 X-Limpetgw-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if handle(&request, &mut writer) == Next::Close {
            return;
        }
    }
}

/// Writes a complete, signed response with a length.
pub fn respond(stream: &mut TcpStream, request: &Message, status: u16, body: &str) -> Next {
    let id = request.header("x-limpetgw-request-id").unwrap_or_default();
    let text = format!(
        "HTTP/1.1 {status} Any\r\nX-Limpetgw-Request-Id: {id}\r\n\
         X-Limpetgw-Server-Seal: {SEAL}\r\nKeep-Alive: timeout=5\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    match stream.write_all(text.as_bytes()) {
        Ok(()) => Next::Keep,
        Err(_) => Next::Close,
    }
}

/// Writes the head of a signed stream in chunks.
pub fn begin_stream(stream: &mut TcpStream, request: &Message) -> io::Result<()> {
    let id = request.header("x-limpetgw-request-id").unwrap_or_default();
    write!(
        stream,
        "HTTP/1.1 200 OK\r\nX-Limpetgw-Request-Id: {id}\r\nX-Limpetgw-Server-Seal: {SEAL}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

/// Writes a chunk; an empty one ends the body.
pub fn write_chunk(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

/// Builds a route of the configuration.
pub fn route(prefix: &str, kind: &str, service: &str, attempts: u32, more: &str) -> String {
    format!(
        "{{\"name\":\"r-{}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
         \"timeout-ms\":8000,\"slo-ms\":300,\"priority\":1,\"service\":\"{service}\",\
         \"attempts\":{attempts},\"public\":false,\"sticky\":false{more}}}",
        prefix.trim_matches('/')
    )
}

/// Builds a configuration with a service of engines and a plain one.
pub fn config(version: u64, routes: &[String], max_body_bytes: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"orders\",\"health-path\":\"/healthz\",\"max-conns\":110,\"protocol\":\"h1\",\"tls\":false}},\
         {{\"name\":\"plans\",\"health-path\":\"/healthz\",\"max-conns\":370,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":64,\"kv-capacity\":457128,\"stride\":5}}}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":{max_body_bytes},\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api-keys\":[\"{KEY}\"]}}]}}",
        routes.join(",")
    )
}

/// Builds the head of a request of the tenant.
pub fn head(method: &str, target: &str, id: &str, more: &str) -> String {
    format!(
        "{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nX-Limpetgw-Request-Id: {id}\r\n\
         X-Limpetgw-Key: {KEY}\r\nX-Limpetgw-Deadline-Ms: 8000\r\n{more}\r\n"
    )
}

/// Sends a request and reads its response.
pub fn ask(addr: SocketAddr, request: &str, timeout: Duration) -> io::Result<Option<Message>> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let Some(mut message) = read_head(&mut reader)? else {
        return Ok(None);
    };
    read_body(&mut reader, &mut message);
    Ok(Some(message))
}

/// Returns a folder for temporary files of this process.
pub fn scratch() -> io::Result<PathBuf> {
    let folder = std::env::temp_dir().join(format!("rig-3-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    Ok(folder)
}
