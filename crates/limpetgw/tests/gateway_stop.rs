//! SIGTERM of a gateway process whose callers go on using their connections until
//! they are closed, while instances lose responses.
#![allow(missing_docs)]

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    process::{Child, ChildStdout, Command, Stdio},
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use rstest::rstest;
use rustix::process::{kill_process, Pid, Signal};
use wire_standins::{
    caller::{parse_response, post, Response, KEY},
    documents::{config, route, server_entry, team, ORDERS, PLANS},
    engine::{
        begin_event_stream, end_event_stream, event_text, send_chunk, send_signed_response,
        sleep_ms, wait_until_closed, ConnectionAction, FakeEngine, ReceivedRequest,
    },
    store::FakeStore,
};

const LONG_TIMEOUT: Duration = Duration::from_secs(20);
const GRACE: Duration = Duration::from_secs(3);
const CALLERS: usize = 30;
/// Time from the start of traffic to SIGTERM.
const TRAFFIC_BEFORE_STOP: Duration = Duration::from_millis(1_500);
/// One of so many responses is lost.
const LOST_DIVISOR: u64 = 6;
/// Deadline of every request, beyond the end of the grace period.
const DEADLINE_MS: u64 = 9_000;

/// A request and its response as its caller saw them.
struct Outcome {
    id: String,
    response: Response,
    ended_at: Instant,
}

/// A gateway process, killed on drop.
struct Gateway {
    child: Child,
    addr: SocketAddr,
    log_lines: mpsc::Receiver<String>,
}

impl Gateway {
    fn start(store: &FakeStore) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_limpetgw"))
            .args(["gateway", "--instance", "edge-1", "--zone", "az-1"])
            .args(["--threads", "1", "--store", &store.addr.to_string()])
            .args(["--listen", "127.0.0.1:0"])
            .args(["--operator-listen", "127.0.0.1:0"])
            .args(["--grace-s", &GRACE.as_secs().to_string()])
            .args(["--balancer-lag-ms", "800"])
            .env("LIMPETGW_LOG_FORMAT", "json")
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the gateway starts");
        let log_lines = read_lines(child.stdout.take().expect("stdout is piped"));
        let mut gateway = Self {
            child,
            addr: SocketAddr::from(([127, 0, 0, 1], 0)),
            log_lines,
        };
        let listening = gateway.wait_event("GatewayListening");
        let addr = listening["fields"]["addr"].as_str().expect("an address");
        gateway.addr = addr.parse().expect("an address");
        gateway.wait_event("RoutingInForce");
        gateway
    }

    fn wait_event(&self, name: &str) -> serde_json::Value {
        loop {
            let line = self.log_lines.recv_timeout(LONG_TIMEOUT).expect(name);
            let line: serde_json::Value = serde_json::from_str(&line).expect("a JSON line");
            if line["event"] == name {
                return line;
            }
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // Fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn read_lines(stdout: ChildStdout) -> mpsc::Receiver<String> {
    let (sender, lines) = mpsc::channel();
    thread::spawn(move || {
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            if sender.send(line).is_err() {
                return;
            }
        }
    });
    lines
}

/// Runs each request; loses one in [`LOST_DIVISOR`] responses, chosen by request id
/// and `seed`.
fn respond(seed: u64, request: &ReceivedRequest, stream: &mut TcpStream) -> ConnectionAction {
    let hash = request
        .id()
        .bytes()
        .fold(seed, |hash, byte| hash.wrapping_mul(31) + u64::from(byte));
    if hash % LOST_DIVISOR == 0 {
        wait_until_closed(stream, LONG_TIMEOUT);
        return ConnectionAction::Close;
    }
    if request.target().starts_with("/cut") {
        sleep_ms(30);
        return send_signed_response(request, stream, 200, "cut");
    }
    begin_event_stream(request, stream);
    for id in 1..=3 + hash % 10 {
        send_chunk(stream, &event_text(id));
        sleep_ms(80);
    }
    end_event_stream(stream)
}

/// Sends requests on kept connections until none can be opened.
fn call_until_refused(addr: SocketAddr, caller: usize, until: Instant) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    let mut idle = None;
    while Instant::now() < until {
        let Ok(mut stream) = idle.take().map_or_else(|| TcpStream::connect(addr), Ok) else {
            break;
        };
        let id = format!("{caller}-{}", outcomes.len());
        let path = match outcomes.len() % 3 {
            0 => "/cut/1",
            _ => "/plan/1",
        };
        let request = post(path, &id, "x").with_deadline_ms(DEADLINE_MS);
        let response = exchange(&mut stream, &request.to_http("keep-alive"));
        let is_kept = response.complete && response.header("connection") != Some("close");
        outcomes.push(Outcome {
            id,
            response,
            ended_at: Instant::now(),
        });
        idle = is_kept.then_some(stream);
        sleep_ms(5);
    }
    outcomes
}

fn exchange(stream: &mut TcpStream, request: &str) -> Response {
    let mut bytes = Vec::new();
    let mut response = parse_response(&bytes, Duration::ZERO);
    stream
        .set_read_timeout(Some(LONG_TIMEOUT))
        .expect("set read timeout");
    // A failed write shows in the missing response.
    let _ = stream.write_all(request.as_bytes());
    let mut buffer = [0; 4096];
    while !response.complete {
        let count = stream.read(&mut buffer).unwrap_or(0);
        if count == 0 {
            break;
        }
        bytes.extend_from_slice(&buffer[..count]);
        response = parse_response(&bytes, Duration::ZERO);
    }
    response
}

/// Guards against LOST on the users' machines: requests that were passed on were
/// closed without a byte when the process stopped.
#[rstest]
fn requests_passed_on_get_a_response_when_the_process_stops(#[values(1, 2, 3)] seed: u64) {
    let store = FakeStore::start();
    let engines: Vec<FakeEngine> = [("i-1", ORDERS), ("i-2", PLANS), ("i-3", PLANS)]
        .map(|(name, service)| {
            let engine =
                FakeEngine::start(name, move |request, stream| respond(seed, request, stream));
            let entry = server_entry(service, engine.addr, "ready", 1, 1_775_000_000_000);
            store.put("servers", name, entry);
            engine
        })
        .into();
    let mut routes = [
        route("/cut/", "unsafe", ORDERS, 1),
        route("/plan/", "stream", PLANS, 1),
    ];
    for route in &mut routes {
        route["timeout-ms"] = DEADLINE_MS.into();
    }
    store.put("config", "main", config(3, &routes, &[team("clinic", KEY)]));
    let mut gateway = Gateway::start(&store);
    let until = Instant::now() + TRAFFIC_BEFORE_STOP + GRACE;
    let addr = gateway.addr;
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| thread::spawn(move || call_until_refused(addr, caller, until)))
        .collect();

    thread::sleep(TRAFFIC_BEFORE_STOP);
    kill_process(Pid::from_child(&gateway.child), Signal::TERM).expect("the signal was sent");
    let stopped_at = Instant::now();
    let status = gateway.child.wait().expect("the exit status is available");
    let exit_after = stopped_at.elapsed();
    let outcomes: Vec<Outcome> = callers
        .into_iter()
        .flat_map(|caller| caller.join().expect("a caller has ended"))
        .collect();

    assert!(
        status.success() && exit_after < GRACE,
        "{status}, {exit_after:?}"
    );
    let received: Vec<ReceivedRequest> = engines
        .iter()
        .flat_map(FakeEngine::received_requests)
        .collect();
    for outcome in outcomes {
        let Outcome {
            id,
            response,
            ended_at,
        } = outcome;
        let was_passed_on = received.iter().any(|request| request.id() == id);
        let is_begun_stream = response.status == 200 && ended_at > stopped_at + GRACE * 5 / 6;
        assert!(
            !was_passed_on || response.complete || is_begun_stream,
            "{id} ended {:?} after SIGTERM: {response:?}",
            ended_at.saturating_duration_since(stopped_at)
        );
        let is_promise = matches!(response.status, 408 | 421 | 429 | 503);
        assert!(!(was_passed_on && is_promise), "{id}: {response:?}");
    }
}
