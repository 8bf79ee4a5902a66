//! Clients send many requests ahead on one connection and read no answer.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    ask, config, free_port, head, is_ready, respond, route, Engine, Gateway, GatewaySettings,
    Record, Store, Verdict, HOST,
};

/// `timeout-ms` of the route of ordinary requests.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time after the timeout of the route by which a request has to be answered.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// Time that ordinary clients wait.
const CLIENT_DEADLINE: Duration = Duration::from_millis(2_500);
/// Late requests below which nothing is concluded.
const LATE_MIN: usize = 8;

/// Requests that each client of the crowd sends ahead, 0.23 MB.
const AHEAD: usize = 5_000;
/// Clients of the crowd that come at each interval: 21 MB a second, a sixth of what the link
/// of the machine carries. All of them need fewer connections than the machine has.
const CROWD_STEP: usize = 9;
const CROWD_INTERVAL: Duration = Duration::from_millis(100);
const CALM: Duration = Duration::from_secs(4);
const TROUBLE: Duration = Duration::from_secs(12);
const CLIENTS: usize = 8;
const CLIENT_INTERVAL: Duration = Duration::from_millis(250);

struct Asked {
    after: Duration,
    status: Option<u16>,
}

pub fn run(has_trouble: bool, record: &Record, folder: &Path) -> io::Result<Verdict> {
    let store = Store::start()?;
    let routes = [route("/looks/", "safe", "orders", 2, "")
        .replace("\"timeout-ms\":8000", "\"timeout-ms\":1200")];
    store.create("config", "main", &config(1, &routes, 4 << 20))?;
    let mut engines = Vec::new();
    for number in 0..3 {
        let engine = Engine::start(&format!("i-{number}"), |request, stream| {
            thread::sleep(Duration::from_millis(30));
            respond(stream, request, 200, "order status")
        })?;
        store.create("servers", &engine.id, &engine.entry("orders", 6))?;
        engines.push(engine);
    }
    let settings = GatewaySettings::horma("edge-1");
    let gateway = Gateway::start(&settings, store.addr, folder, free_port(), free_port())?;
    if !gateway.wait_ready(Duration::from_secs(10)) {
        return Err(io::Error::other("the gateway does not become ready"));
    }
    let start = Instant::now();
    let until = start + CALM + TROUBLE;
    let asked = Arc::new(Mutex::new(Vec::new()));
    let mut threads = Vec::new();
    for client in 0..CLIENTS {
        let (asked, front, record) = (asked.clone(), gateway.front, record.clone());
        threads.push(thread::spawn(move || {
            ordinary(client, front, until, &asked, &record)
        }));
    }
    let (ready, ready_record) = (gateway.ready, record.clone());
    threads.push(thread::spawn(move || {
        check_ready(ready, until, &ready_record)
    }));
    thread::sleep(CALM);
    if has_trouble {
        record.add(format!(
            "{CROWD_STEP} clients come every {} ms, and send {AHEAD} requests ahead each",
            CROWD_INTERVAL.as_millis()
        ));
        while Instant::now() < until {
            for _ in 0..CROWD_STEP {
                let front = gateway.front;
                let client = thread::Builder::new().stack_size(128 << 10);
                client.spawn(move || send_ahead(front, until))?;
            }
            thread::sleep(CROWD_INTERVAL);
        }
    }
    for thread in threads {
        let _ = thread.join();
    }
    let asked = asked.lock().unwrap();
    let answered = asked.iter().filter(|asked| asked.status.is_some()).count();
    let late = asked.iter().filter(|asked| asked.after > ROUTE_TIMEOUT);
    let late: Vec<&Asked> = late.collect();
    let limit = ROUTE_TIMEOUT + ANSWER_MARGIN;
    let unanswered = late
        .iter()
        .filter(|asked| asked.status.is_none() || asked.after > limit);
    let unanswered = unanswered.count();
    record.add(format!(
        "ordinary requests: {}, answered: {answered}, unanswered at the timeout of their route: {}, \
         of these without an answer 500 ms later: {unanswered}",
        asked.len(),
        late.len()
    ));
    if asked.len() < 50 {
        return Err(io::Error::other("too few ordinary requests"));
    }
    Ok(
        match late.len() >= LATE_MIN && unanswered * 2 > late.len() {
            true => Verdict::Broken,
            false => Verdict::Held,
        },
    )
}

/// Sends an ordinary request at each interval, on a connection of its own.
fn ordinary(
    client: usize,
    front: SocketAddr,
    until: Instant,
    asked: &Mutex<Vec<Asked>>,
    record: &Record,
) {
    for number in 0.. {
        let sent_at = Instant::now();
        if sent_at >= until {
            return;
        }
        let id = format!("ord{client}x{number}");
        let request = head("GET", "/looks/1", &id, "").replace("Ms: 8000", "Ms: 2500");
        let answer = ask(front, &request, CLIENT_DEADLINE);
        let status = match &answer {
            Ok(Some(message)) if message.is_complete => Some(message.status()),
            _ => None,
        };
        let after = sent_at.elapsed();
        if status.is_none() || after > ROUTE_TIMEOUT {
            let after_ms = after.as_millis();
            record.add(format!(
                "request {id}: status {status:?} after {after_ms} ms"
            ));
        }
        asked.lock().unwrap().push(Asked { after, status });
        thread::sleep(CLIENT_INTERVAL);
    }
}

fn check_ready(addr: SocketAddr, until: Instant, record: &Record) {
    while Instant::now() < until {
        let asked_at = Instant::now();
        if !is_ready(addr) {
            record.add("GET /readyz: no 200 within a second");
        }
        thread::sleep(Duration::from_secs(1).saturating_sub(asked_at.elapsed()));
    }
}

/// Sends requests at a path without a route, and stays open. Reads nothing.
fn send_ahead(front: SocketAddr, until: Instant) {
    let Ok(mut stream) = TcpStream::connect(front) else {
        return;
    };
    let requests = format!("GET /none/1 HTTP/1.1\r\nHost: {HOST}\r\n\r\n").repeat(AHEAD);
    let _ = stream.set_write_timeout(Some(Duration::from_secs(5)));
    // Ends early if the gateway closes the connection.
    let _ = stream.write_all(requests.as_bytes());
    thread::sleep(until.saturating_duration_since(Instant::now()));
}
