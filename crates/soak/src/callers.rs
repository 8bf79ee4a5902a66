//! Simulated callers that send requests until the run ends.
//!
//! A caller reuses its connection until the gateway closes it, also during the
//! gateway's shutdown. It switches to another gateway after a failed connect,
//! a missing response, a 503, or a fixed number of requests.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use rand::{rngs::StdRng, RngExt, SeedableRng};
use wire_standins::{
    caller::{get, post, Connection, Request, Response},
    instance::{stream_event_count, unix_ms},
};

use crate::{
    lock,
    record::{Kind, RequestRecord},
};

/// API key that [`Fault::ToggleKey`](crate::plan::Fault::ToggleKey) removes
/// from the configuration and adds again.
pub const OTHER_KEY: &str = "key-of-the-school";
/// Team whose API key is in every configuration.
pub const DEFAULT_TEAM: &str = "clinic";
/// Team that [`OTHER_KEY`] identifies.
pub const OTHER_TEAM: &str = "school";
/// Deadline that callers send with each request, relative to its sending.
pub const DEADLINE_MS: u64 = 4_000;
/// Time limit for a response. It exceeds the deadline by 2 s, so that a late
/// response is recorded instead of counted as missing.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(DEADLINE_MS + 2_000);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Line of a long body, which quotes a request.
const LONG_BODY_LINE: &str = "POST /cut/quoted HTTP/1.1\r\nHost: a\r\n\r\n";
const LONG_BODY_LINES: usize = 1_600;
/// Length of a body that takes long to send, in bytes.
const HUGE_BODY_BYTES: usize = 9 << 20;
/// Pause between two requests of a caller.
const REQUEST_GAP_MS: std::ops::Range<u64> = 5..60;
/// Requests after which a caller switches to another gateway.
const REQUESTS_PER_GATEWAY: u64 = 25;
/// Time after which a caller that disconnects early closes its connection.
const DISCONNECT_AFTER: Duration = Duration::from_millis(150);
/// Share of stream requests whose caller disconnects after [`DISCONNECT_AFTER`].
const DISCONNECT_PERCENT: u64 = 4;

/// Running caller threads and the requests that they have recorded.
#[derive(Debug)]
pub struct CallerPool {
    stop: Arc<AtomicBool>,
    requests: Arc<Mutex<Vec<RequestRecord>>>,
    threads: Vec<JoinHandle<()>>,
}

impl CallerPool {
    /// Starts `count` callers that send requests to the gateways at `addrs`.
    pub fn start(seed: u64, count: usize, addrs: &[SocketAddr]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let requests = Arc::new(Mutex::new(Vec::new()));
        let threads = (0..count)
            .map(|number| {
                let caller = Caller {
                    rng: StdRng::seed_from_u64(seed ^ ((number as u64 + 1) << 32)),
                    number,
                    addrs: addrs.to_vec(),
                    gateway: number % addrs.len(),
                    requests: requests.clone(),
                };
                let stop = stop.clone();
                thread::spawn(move || caller.run(&stop))
            })
            .collect();
        Self {
            stop,
            requests,
            threads,
        }
    }

    /// Returns the number of requests that have ended so far.
    pub fn count(&self) -> usize {
        lock(&self.requests).len()
    }

    /// Stops the callers after their current request and returns all requests.
    pub fn finish(self) -> Vec<RequestRecord> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            // The requests of a caller that panicked are recorded already.
            let _ = thread.join();
        }
        std::mem::take(&mut *lock(&self.requests))
    }
}

struct Caller {
    rng: StdRng,
    number: usize,
    addrs: Vec<SocketAddr>,
    gateway: usize,
    requests: Arc<Mutex<Vec<RequestRecord>>>,
}

impl Caller {
    fn run(mut self, stop: &AtomicBool) {
        let mut idle_connection: Option<Connection> = None;
        let mut sent = 0_u64;
        while !stop.load(Ordering::Relaxed) {
            let reusable = idle_connection.take().filter(Connection::is_usable);
            let opened = match reusable {
                Some(reusable) => Ok(reusable),
                None => Connection::open(self.addrs[self.gateway], CONNECT_TIMEOUT),
            };
            let Ok(mut connection) = opened else {
                self.switch_gateway();
                continue;
            };
            sent += 1;
            let response = self.send_request(&mut connection, sent);
            let is_rotation_due = sent.is_multiple_of(REQUESTS_PER_GATEWAY);
            match response.status == 0 || response.status == 503 || is_rotation_due {
                true => self.switch_gateway(),
                false => idle_connection = Some(connection),
            }
            thread::sleep(Duration::from_millis(self.rng.random_range(REQUEST_GAP_MS)));
        }
    }

    fn switch_gateway(&mut self) {
        self.gateway = self.rng.random_range(0..self.addrs.len());
        thread::sleep(Duration::from_millis(20));
    }

    fn send_request(&mut self, connection: &mut Connection, sent: u64) -> Response {
        let (kind, request) = self.generate_request(sent);
        let disconnects_early =
            kind == Kind::Stream && self.rng.random_range(0..100) < DISCONNECT_PERCENT;
        let timeout = match disconnects_early {
            true => DISCONNECT_AFTER,
            false => RESPONSE_TIMEOUT,
        };
        let sent_ms = unix_ms();
        let response = connection.send(&request, timeout);
        lock(&self.requests).push(RequestRecord {
            kind,
            target: request.path.clone(),
            gateway: self.gateway,
            sent_ms,
            ended_ms: unix_ms(),
            status: response.status,
            whole: response.complete,
            signed: response.is_signed(),
            answered_id: response.request_id().map(Into::into),
            body: response.body.clone(),
            left: disconnects_early && !response.complete,
            id: request.id,
        });
        response
    }

    fn generate_request(&mut self, sent: u64) -> (Kind, Request) {
        let id = format!("{:04x}{sent:08x}", self.number);
        let (kind, request) = match self.rng.random_range(0..10) {
            0..=2 => (Kind::Safe, get(&format!("/look/{id}"), &id)),
            3..=5 => (
                Kind::Unsafe,
                post(&format!("/cut/{id}"), &id, &self.generate_body()),
            ),
            6 => (Kind::Changing, get(&format!("/changing/{id}"), &id)),
            7 => {
                let request = post(&format!("/look/{id}"), &id, &self.generate_body());
                (Kind::OtherKey, request.with_key(OTHER_KEY))
            }
            _ => (Kind::Stream, self.stream_request(&id)),
        };
        (kind, request.with_deadline_ms(DEADLINE_MS))
    }

    /// Builds a body; one in four is longer than any request head, one in ten takes
    /// long to send.
    fn generate_body(&mut self) -> String {
        match self.rng.random_range(0..40) {
            0..=3 => "huge ".repeat(HUGE_BODY_BYTES / 5),
            4..=13 => LONG_BODY_LINE.repeat(LONG_BODY_LINES),
            _ => "one last".into(),
        }
    }

    /// Builds a stream request; a short and a long prompt are equally likely.
    fn stream_request(&mut self, id: &str) -> Request {
        let target = format!("/stream/{id}");
        let own_tokens = match self.rng.random_bool(0.5) {
            true => 900,
            false => 9_000,
        };
        let output = stream_event_count(&target) * 4;
        post(&target, id, "a question").with_prompt(400, own_tokens, output)
    }
}
