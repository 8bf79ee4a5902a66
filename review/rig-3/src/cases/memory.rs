//! Clients that make a gateway take more memory than its machine has. The platform kills
//! such a process and starts it again.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    ask, config, free_port, head, memory_kib, respond, route, Engine, Gateway, GatewaySettings,
    Record, Store, Verdict, HOST,
};

/// What the clients of the crowd do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crowd {
    /// One after the other sends the head of a request of legal size in small pieces.
    SlowHeads,
    /// Each sends many requests ahead on one connection, reads no answer and stays open.
    RequestsAhead,
    /// Each sends a body of legal size that stops just short of its end, and stays open.
    SmallBodies,
}

impl Crowd {
    fn settings(self, name: &str) -> GatewaySettings {
        match self {
            Self::SlowHeads | Self::RequestsAhead => GatewaySettings::horma(name),
            Self::SmallBodies => GatewaySettings::kahawa(name),
        }
    }
}

/// Pieces of a head that is sent slowly, the size of each, and the time between two: a
/// head of 2.8 KB takes 0.9 s of the 3 s that the configuration allows.
const PIECES: usize = 22;
const PIECE_BYTES: usize = 128;
const PIECE_INTERVAL: Duration = Duration::from_millis(40);
/// Time between two clients that send slowly.
const SLOW_INTERVAL: Duration = Duration::from_millis(500);

/// Requests that one client sends ahead, and the size of each: 92% of the limit of the
/// configuration for a head. A client sends 15 MB.
const AHEAD: usize = 1_000;
const AHEAD_BYTES: usize = 15_000;
/// Time between two clients that send ahead: a quarter of what the link of the machine
/// carries.
const AHEAD_INTERVAL: Duration = Duration::from_millis(500);

/// Length of each body: 0.4% of the limit of the configuration.
const BODY_BYTES: usize = 16 << 10;
/// Fields that each request with a body has besides, and the length of their values. With
/// them the head has 3.9 KB of the 16 KB that the configuration allows.
const FIELDS: usize = 24;
const VALUE_BYTES: usize = 140;
/// Clients with bodies for each gateway: fewer than the descriptors of its machine.
const BODIES: usize = 2_400;
/// Ends of a process in the day, on two machines, that break the rule.
const ENDS_MAX: u64 = 3;
const GATEWAYS: usize = 2;
const DAY: Duration = Duration::from_secs(75);
const CALM_DAY: Duration = Duration::from_secs(20);
/// Time after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

pub fn run(crowd: Crowd, has_trouble: bool, record: &Record, folder: &Path) -> io::Result<Verdict> {
    let store = Store::start()?;
    let routes = [
        route("/orders/", "unsafe", "orders", 1, ""),
        route("/looks/", "safe", "orders", 2, ""),
    ];
    store.create("config", "main", &config(1, &routes, 4 << 20))?;
    let mut engines = Vec::new();
    for number in 0..3 {
        let engine = Engine::start(&format!("i-{number}"), |request, stream| {
            thread::sleep(Duration::from_millis(30));
            respond(stream, request, 200, "done")
        })?;
        store.create("servers", &engine.id, &engine.entry("orders", 6))?;
        engines.push(engine);
    }
    let day = match has_trouble {
        true => DAY,
        false => CALM_DAY,
    };
    let until = Instant::now() + day;
    let is_over = Arc::new(AtomicBool::new(false));
    let mut machines = Vec::new();
    for number in 0..GATEWAYS {
        let (record, folder) = (record.clone(), folder.to_owned());
        let (store_addr, is_over) = (store.addr, is_over.clone());
        let ends = Arc::new(AtomicU64::new(0));
        let counted = ends.clone();
        let run = move || {
            let mut machine = Machine {
                settings: crowd.settings(&format!("edge-{number}")),
                store_addr,
                ports: (free_port(), free_port()),
                crowd: has_trouble.then_some(crowd),
                record,
            };
            machine.run(&folder, until, &is_over, &counted)
        };
        machines.push((thread::spawn(run), ends));
    }
    while Instant::now() < until && machines.iter().any(|(run, _)| !run.is_finished()) {
        thread::sleep(Duration::from_millis(100));
        if machines
            .iter()
            .all(|(_, ends)| ends.load(Ordering::Relaxed) >= ENDS_MAX)
        {
            break;
        }
    }
    is_over.store(true, Ordering::Relaxed);
    let mut broken = 0;
    for (number, (run, ends)) in machines.into_iter().enumerate() {
        run.join()
            .map_err(|_| io::Error::other("a machine's thread panicked"))??;
        let ends = ends.load(Ordering::Relaxed);
        record.add(format!("edge-{number}: its process ended {ends} times"));
        broken += usize::from(ends >= ENDS_MAX);
    }
    Ok(match broken >= GATEWAYS {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// A machine on which the platform runs a gateway.
struct Machine {
    settings: GatewaySettings,
    store_addr: SocketAddr,
    ports: (u16, u16),
    crowd: Option<Crowd>,
    record: Record,
}

impl Machine {
    fn run(
        &mut self,
        folder: &Path,
        until: Instant,
        is_over: &AtomicBool,
        ends: &AtomicU64,
    ) -> io::Result<()> {
        let is_running = || Instant::now() < until && !is_over.load(Ordering::Relaxed);
        while is_running() {
            let (front, ready) = self.ports;
            let mut gateway =
                Gateway::start(&self.settings, self.store_addr, folder, front, ready)?;
            if !gateway.wait_ready(Duration::from_secs(10)) {
                return Err(io::Error::other("a gateway does not become ready"));
            }
            let is_on = Arc::new(AtomicBool::new(true));
            let (addr, crowd) = (gateway.front, self.crowd);
            let (name, record) = (self.settings.name.clone(), self.record.clone());
            let is_on_of_crowd = is_on.clone();
            thread::spawn(move || match crowd {
                Some(Crowd::SlowHeads) => send_slowly(addr, &is_on_of_crowd, PIECES),
                // The same requests, each in one piece.
                None => send_slowly(addr, &is_on_of_crowd, 1),
                Some(Crowd::RequestsAhead) => send_ahead(addr, &is_on_of_crowd),
                Some(Crowd::SmallBodies) => hold_bodies(addr, &is_on_of_crowd),
            });
            let is_on_of_ordinary = is_on.clone();
            thread::spawn(move || ask_ordinary(&name, addr, &is_on_of_ordinary, &record));
            let ended = self.watch(&mut gateway, is_running);
            is_on.store(false, Ordering::Relaxed);
            if ended {
                ends.fetch_add(1, Ordering::Relaxed);
                thread::sleep(RESTART_DELAY);
            }
        }
        Ok(())
    }

    /// Kills the process above the memory of the machine. Returns whether it has ended.
    fn watch(&self, gateway: &mut Gateway, is_running: impl Fn() -> bool) -> bool {
        let name = &self.settings.name;
        let limit_kib = u64::from(self.settings.memory_mb) << 10;
        let started = Instant::now();
        let mut peak_kib = 0;
        while is_running() {
            // Only memory of the process itself, without pages of its program file.
            let anon_kib = memory_kib(gateway.process.pid(), "RssAnon").unwrap_or(0);
            peak_kib = peak_kib.max(anon_kib);
            let after_ms = started.elapsed().as_millis();
            if anon_kib > limit_kib {
                self.record.add(format!(
                    "{name}: {anon_kib} KiB of {limit_kib} KiB in use {after_ms} ms after it was \
                     ready; killed by the platform"
                ));
                return true;
            }
            if gateway.process.has_ended() {
                self.record.add(format!("{name}: the process has ended"));
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        self.record.add(format!(
            "{name}: at most {peak_kib} KiB of {limit_kib} KiB in use"
        ));
        false
    }
}

/// Sends an ordinary request at each interval while `is_on`.
fn ask_ordinary(name: &str, front: SocketAddr, is_on: &AtomicBool, record: &Record) {
    for number in 0.. {
        if !is_on.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("{name}n{number}");
        let answer = ask(
            front,
            &head("GET", "/looks/1", &id, ""),
            Duration::from_secs(1),
        );
        let status = answer.ok().flatten().map(|message| message.status());
        if status != Some(200) && is_on.load(Ordering::Relaxed) {
            record.add(format!("{name}: ordinary request {id}: {status:?}"));
        }
        thread::sleep(Duration::from_millis(200));
    }
}

/// Sends a request in this number of pieces on one connection after the other while
/// `is_on`, and reads each answer.
fn send_slowly(front: SocketAddr, is_on: &AtomicBool, pieces: usize) {
    for number in 0.. {
        if !is_on.load(Ordering::Relaxed) {
            return;
        }
        let short = head("GET", "/looks/1", &format!("slow{number}"), "");
        let value = "v".repeat(PIECES * PIECE_BYTES - short.len() - "X-Form: \r\n".len());
        let request = head(
            "GET",
            "/looks/1",
            &format!("slow{number}"),
            &format!("X-Form: {value}\r\n"),
        );
        if let Ok(mut stream) = TcpStream::connect(front) {
            let _ = stream.set_nodelay(true);
            for piece in request.as_bytes().chunks(request.len().div_ceil(pieces)) {
                if stream.write_all(piece).is_err() {
                    break;
                }
                thread::sleep(PIECE_INTERVAL);
            }
            let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
            // Whether it is answered is judged from the ordinary requests.
            let _ = stream.read(&mut [0; 64]);
        }
        thread::sleep(SLOW_INTERVAL);
    }
}

/// Sends requests ahead on one connection after the other while `is_on`, and keeps the
/// connections open.
fn send_ahead(front: SocketAddr, is_on: &Arc<AtomicBool>) {
    let value = "v".repeat(AHEAD_BYTES - 80);
    let request = format!("GET /none/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Form: {value}\r\n\r\n");
    let requests = Arc::new(request.repeat(AHEAD));
    while is_on.load(Ordering::Relaxed) {
        let (requests, is_on) = (requests.clone(), is_on.clone());
        thread::spawn(move || {
            let Ok(mut stream) = TcpStream::connect(front) else {
                return;
            };
            let _ = stream.set_write_timeout(Some(Duration::from_secs(5)));
            // Ends early if the gateway closes the connection.
            let _ = stream.write_all(requests.as_bytes());
            wait_while(&is_on);
        });
        thread::sleep(AHEAD_INTERVAL);
    }
}

/// Opens connections with a body each, and keeps them open while `is_on`.
fn hold_bodies(front: SocketAddr, is_on: &AtomicBool) {
    let mut held = Vec::with_capacity(BODIES);
    for number in 0..BODIES {
        if !is_on.load(Ordering::Relaxed) {
            return;
        }
        let mut fields = format!("Content-Length: {BODY_BYTES}\r\n");
        for field in 0..FIELDS {
            fields.push_str(&format!(
                "X-Form-{field:02}: {}\r\n",
                "v".repeat(VALUE_BYTES)
            ));
        }
        let mut request = head("POST", "/orders/1", &format!("crowd{number}"), &fields);
        request.push_str(&"b".repeat(BODY_BYTES - 1));
        if let Ok(mut stream) = TcpStream::connect(front) {
            let _ = stream.write_all(request.as_bytes());
            held.push(stream);
        }
        if number % 50 == 0 {
            thread::sleep(Duration::from_millis(40));
        }
    }
    wait_while(is_on);
}

fn wait_while(is_on: &AtomicBool) {
    while is_on.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(50));
    }
}
