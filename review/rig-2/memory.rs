//! Cases `bodies` and `fields`: clients send requests of legal size that take much
//! memory, and the platform ends a process whose memory exceeds its machine's.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::{Engine, Runs},
    gateway::{Folder, Gateway, Machine},
    http::{request, Connection},
    record::Record,
    store::{config, Store, MODEL, ORDERS},
};

/// The edge machines of kahawa-gw.
const MACHINE: Machine = Machine {
    memory_mb: 110,
    descriptors_max: 4_100,
};
const MEMORY_BYTES: u64 = (MACHINE.memory_mb as u64) << 20;
/// `max-body-bytes` of the configuration, and the mean body of an ordinary request.
const LEGAL_BODY_BYTES: usize = 4_194_304;
const ORDINARY_BODY_BYTES: usize = 17_000;
/// Clients that send bodies, each one after the other.
const BODY_CLIENTS: u64 = 8;
/// Fields of a head of at most 16,384 bytes, and of an ordinary one.
const MANY_FIELDS: usize = 1_700;
const FEW_FIELDS: usize = 10;
/// Clients that send one head each and keep their connections, by thread.
const FIELD_CLIENTS: usize = 80;
const FIELD_THREADS: u64 = 8;
const CALLERS: u64 = 12;
/// Time for which the crowd sends.
const CROWD_TIME: Duration = Duration::from_secs(12);
const CALM: Duration = Duration::from_secs(5);

/// Requests of ordinary callers without an answer yet, by id.
type Unanswered = Arc<Mutex<BTreeSet<String>>>;

/// What the crowd sends.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Crowd {
    /// Bodies of the largest legal size, one after the other on each connection.
    Bodies,
    /// One head with very many short fields; the connection stays open.
    Fields,
}

pub fn play(folder: &str, trouble: bool, crowd: Crowd) -> i32 {
    let record = Record::create(folder);
    let temporary = Folder::create();
    let store = Store::start();
    let runs = Runs::default();
    store.put("config", "main", &config(7));
    for number in 0..12 {
        let id = format!("i-{number:08x}");
        let work = Duration::from_millis(25);
        Engine::start((&id, MODEL), (64, work), &store, (&record, &runs));
    }
    for number in 0..3 {
        let id = format!("i-000000f{number}");
        let work = Duration::from_millis(30);
        Engine::start((&id, ORDERS), (6, work), &store, (&record, &runs));
    }
    let mut gateway = Gateway::new("edge-nbo-karen-1", MACHINE, store.addr, &temporary.0);
    gateway.start();
    if !gateway.is_ready_within(Duration::from_secs(10)) {
        record.note("the gateway did not become ready");
        record.flush();
        return 2;
    }
    let ended = Arc::new(AtomicBool::new(false));
    let unanswered = Unanswered::default();
    let next_id = Arc::new(AtomicU64::new(1));
    let answered = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for number in 0..CALLERS {
        let (ended, unanswered, next_id) = (ended.clone(), unanswered.clone(), next_id.clone());
        let (record, answered, front) = (record.clone(), answered.clone(), gateway.front);
        // Every other one asks for a stream; the others place orders.
        let (path, body) = match number % 2 {
            0 => ("/ask/plan", vec![b'p'; 1_500]),
            _ => ("/order/cut", b"last 41".to_vec()),
        };
        clients.push(thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                let Ok(mut connection) = Connection::open(front, Duration::from_secs(10)) else {
                    thread::sleep(Duration::from_millis(100));
                    continue;
                };
                while !ended.load(Ordering::Relaxed) {
                    let id = format!("{:016x}", next_id.fetch_add(1, Ordering::Relaxed));
                    unanswered.lock().expect("unpoisoned").insert(id.clone());
                    let sent = connection.write(&request(path, &id, 10_000, "", &body));
                    let answer = sent.and_then(|()| connection.read());
                    match answer {
                        Ok(Some(answer)) => {
                            unanswered.lock().expect("unpoisoned").remove(&id);
                            answered.fetch_add(1, Ordering::Relaxed);
                            record.line(&format!("caller {number}: {id} got {}", answer.status()));
                        }
                        _ => {
                            record.line(&format!("caller {number}: {id} got no answer"));
                            break;
                        }
                    }
                }
            }
        }));
    }
    thread::sleep(CALM);
    let shared = (ended.clone(), next_id.clone(), record.clone());
    record.note(match (crowd, trouble) {
        (Crowd::Bodies, true) => "8 clients begin to send bodies of the largest legal size",
        (Crowd::Bodies, false) => "8 clients begin to send ordinary bodies",
        (Crowd::Fields, true) => "640 clients begin to send a head with 1,700 short fields each",
        (Crowd::Fields, false) => "640 clients begin to send a head with 10 short fields each",
    });
    match crowd {
        Crowd::Bodies => {
            let body_bytes = match trouble {
                true => LEGAL_BODY_BYTES,
                false => ORDINARY_BODY_BYTES,
            };
            for number in 0..BODY_CLIENTS {
                let (shared, front) = (shared.clone(), gateway.front);
                clients.push(thread::spawn(move || {
                    send_bodies(number, front, body_bytes, &shared);
                }));
            }
        }
        Crowd::Fields => {
            let fields = match trouble {
                true => MANY_FIELDS,
                false => FEW_FIELDS,
            };
            for number in 0..FIELD_THREADS {
                let (shared, front) = (shared.clone(), gateway.front);
                clients.push(thread::spawn(move || {
                    send_fields(number, front, fields, &shared);
                }));
            }
        }
    }
    // The platform watches the memory of the process.
    let until = Instant::now() + CROWD_TIME;
    let mut peak_bytes = 0;
    let mut killed = false;
    while Instant::now() < until && !killed {
        let Some(bytes) = gateway.resident_bytes() else {
            record.note("the gateway has ended by itself");
            break;
        };
        peak_bytes = peak_bytes.max(bytes);
        if bytes > MEMORY_BYTES {
            gateway.kill();
            killed = true;
            record.note(&format!(
                "the process has {} MiB of {}: the platform kills it",
                bytes >> 20,
                MACHINE.memory_mb
            ));
        }
        thread::sleep(Duration::from_millis(10));
    }
    ended.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(300));
    // Without the kill, requests in progress get their answers.
    for client in clients {
        let _ = client.join();
    }
    let run_ids: BTreeSet<String> = runs.all().into_iter().map(|run| run.request_id).collect();
    let unanswered = unanswered.lock().expect("unpoisoned");
    let lost: Vec<&String> = unanswered
        .iter()
        .filter(|id| run_ids.contains(*id))
        .collect();
    for id in &lost {
        record.line(&format!(
            "{id} ran at a sound engine and got no complete answer"
        ));
    }
    let answered = answered.load(Ordering::Relaxed);
    record.note(&format!(
        "peak {} MiB of {}; ordinary requests on kept connections: {answered} answered, {} \
         passed to a sound engine and not answered",
        peak_bytes >> 20,
        MACHINE.memory_mb,
        lost.len()
    ));
    record.flush();
    if answered < 100 {
        return 2;
    }
    let broken = lost.len() > 3;
    println!(
        "{}",
        if broken {
            "LOST is broken"
        } else {
            "LOST holds"
        }
    );
    i32::from(broken)
}

/// What the threads of a crowd share: whether the case has ended, the next request id
/// and the record.
type Shared = (Arc<AtomicBool>, Arc<AtomicU64>, Record);

/// Sends bodies one after the other on one connection.
fn send_bodies(number: u64, front: SocketAddr, body_bytes: usize, shared: &Shared) {
    let (ended, next_id, record) = shared;
    let body = vec![b'x'; body_bytes];
    while !ended.load(Ordering::Relaxed) {
        let Ok(mut connection) = Connection::open(front, Duration::from_secs(10)) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        while !ended.load(Ordering::Relaxed) {
            let id = format!("c{:015x}", next_id.fetch_add(1, Ordering::Relaxed));
            let sent = connection.write(&request("/ask/long", &id, 10_000, "", &body));
            let status = status(sent.and_then(|()| connection.read()));
            record.line(&format!("crowd {number}: {id} got {status}"));
            if status == 0 {
                break;
            }
        }
    }
}

/// Sends one order on each of many connections, which stay open after its answer.
fn send_fields(number: u64, front: SocketAddr, fields: usize, shared: &Shared) {
    let (ended, next_id, record) = shared;
    let head: String = (0..fields).map(|field| format!("x{field}:\r\n")).collect();
    let mut held = Vec::new();
    for _ in 0..FIELD_CLIENTS {
        if ended.load(Ordering::Relaxed) {
            return;
        }
        let Ok(mut connection) = Connection::open(front, Duration::from_secs(10)) else {
            continue;
        };
        let id = format!("c{:015x}", next_id.fetch_add(1, Ordering::Relaxed));
        let sent = connection.write(&request("/order/cut", &id, 10_000, &head, b"last 41"));
        let status = status(sent.and_then(|()| connection.read()));
        record.line(&format!("crowd {number}: {id} got {status}"));
        held.push(connection);
    }
    while !ended.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(50));
    }
}

/// Status of an answer, 0 without one.
fn status(answer: std::io::Result<Option<crate::http::Message>>) -> u16 {
    match answer {
        Ok(Some(answer)) => answer.status(),
        _ => 0,
    }
}
