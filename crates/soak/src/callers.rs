//! Callers that send requests for as long as the run lasts.
//!
//! Each keeps its connection for as long as its gateway does, also while the
//! gateway stops, and goes to the next gateway when that one is gone.

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
    record::{Asked, Kind},
};

/// The key that configurations take away and give back.
pub const OTHER_KEY: &str = "key-of-the-school";
/// Team of the key that stays.
pub const FIRST_TEAM: &str = "clinic";
/// Team of [`OTHER_KEY`].
pub const OTHER_TEAM: &str = "school";
/// Time that callers state.
pub const DEADLINE_MS: u64 = 4_000;
/// How much longer than stated a caller listens, so that a late answer shows.
const PATIENCE: Duration = Duration::from_millis(DEADLINE_MS + 2_000);
/// How long a connect may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two requests of a caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..60;
/// Requests after which a caller goes to another gateway.
const REQUESTS_EACH: u64 = 25;
/// How long a caller waits that leaves early.
const LEAVES_AFTER: Duration = Duration::from_millis(150);
/// How many of a hundred stream callers leave early.
const LEAVING_PERCENT: u64 = 4;

/// Callers at work.
#[derive(Debug)]
pub struct Callers {
    stop: Arc<AtomicBool>,
    asked: Arc<Mutex<Vec<Asked>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts callers that go to the gateways at `addrs`.
    pub fn start(seed: u64, count: usize, addrs: &[SocketAddr]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let asked = Arc::new(Mutex::new(Vec::new()));
        let threads = (0..count)
            .map(|number| {
                let caller = Caller {
                    rng: StdRng::seed_from_u64(seed ^ ((number as u64 + 1) << 32)),
                    number,
                    addrs: addrs.to_vec(),
                    gateway: number % addrs.len(),
                    asked: asked.clone(),
                };
                let stop = stop.clone();
                thread::spawn(move || caller.work(&stop))
            })
            .collect();
        Self {
            stop,
            asked,
            threads,
        }
    }

    /// Requests ended so far.
    pub fn count(&self) -> usize {
        lock(&self.asked).len()
    }

    /// Lets all end what they have begun.
    pub fn finish(self) -> Vec<Asked> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            // A caller that panicked has left its requests behind.
            let _ = thread.join();
        }
        std::mem::take(&mut *lock(&self.asked))
    }
}

struct Caller {
    rng: StdRng,
    number: usize,
    addrs: Vec<SocketAddr>,
    gateway: usize,
    asked: Arc<Mutex<Vec<Asked>>>,
}

impl Caller {
    fn work(mut self, stop: &AtomicBool) {
        let mut connection: Option<Connection> = None;
        let mut sent = 0_u64;
        while !stop.load(Ordering::Relaxed) {
            let kept = connection.take().filter(Connection::is_usable);
            let opened = match kept {
                Some(kept) => Ok(kept),
                None => Connection::open(self.addrs[self.gateway], CONNECT_TIMEOUT),
            };
            let Ok(mut opened) = opened else {
                self.next_gateway();
                continue;
            };
            sent += 1;
            let got = self.ask(&mut opened, sent);
            let is_over = sent.is_multiple_of(REQUESTS_EACH);
            match got.status == 0 || got.status == 503 || is_over {
                true => self.next_gateway(),
                false => connection = Some(opened),
            }
            thread::sleep(Duration::from_millis(self.rng.random_range(PAUSE_MS)));
        }
    }

    fn next_gateway(&mut self) {
        self.gateway = self.rng.random_range(0..self.addrs.len());
        thread::sleep(Duration::from_millis(20));
    }

    fn ask(&mut self, connection: &mut Connection, sent: u64) -> Response {
        let (kind, ask) = self.draw(sent);
        let leaves = kind == Kind::Stream && self.rng.random_range(0..100) < LEAVING_PERCENT;
        let patience = match leaves {
            true => LEAVES_AFTER,
            false => PATIENCE,
        };
        let sent_ms = unix_ms();
        let got = connection.send(&ask, patience);
        lock(&self.asked).push(Asked {
            kind,
            target: ask.path.clone(),
            gateway: self.gateway,
            sent_ms,
            ended_ms: unix_ms(),
            status: got.status,
            whole: got.complete,
            signed: got.is_signed(),
            answered_id: got.request_id().map(Into::into),
            body: got.body.clone(),
            left: leaves && !got.complete,
            id: ask.id,
        });
        got
    }

    fn draw(&mut self, sent: u64) -> (Kind, Request) {
        let id = format!("{:04x}{sent:08x}", self.number);
        let (kind, ask) = match self.rng.random_range(0..10) {
            0..=2 => (Kind::Safe, get(&format!("/look/{id}"), &id)),
            3..=5 => (Kind::Unsafe, post(&format!("/cut/{id}"), &id, "one last")),
            6 => (Kind::Changing, get(&format!("/changing/{id}"), &id)),
            7 => {
                let ask = get(&format!("/look/{id}"), &id);
                (Kind::OtherKey, ask.with_key(OTHER_KEY))
            }
            _ => (Kind::Stream, self.stream(&id)),
        };
        (kind, ask.with_deadline_ms(DEADLINE_MS))
    }

    /// Short and long prompts by turns.
    fn stream(&mut self, id: &str) -> Request {
        let target = format!("/stream/{id}");
        let own = match self.rng.random_bool(0.5) {
            true => 900,
            false => 9_000,
        };
        let output = stream_event_count(&target) * 4;
        post(&target, id, "a question").with_prompt(400, own, output)
    }
}
