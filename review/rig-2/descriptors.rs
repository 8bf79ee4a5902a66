//! Case `descriptors`: a crowd of clients connects at once, begins requests, stops half-way and
//! leaves again.

use std::{
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

use crate::{
    engine::{Engine, Runs},
    gateway::{Folder, Gateway, Machine},
    http::{request, Connection},
    record::Record,
    store::{config, Store, ORDERS},
};

/// The edge machines of horma-quito.
const MACHINE: Machine = Machine {
    memory_mb: 260,
    descriptors_max: 4_100,
};
/// Route timeout of the orders, and the time after it within which the rule wants the
/// final answer.
const TIMEOUT_MS: u64 = 1_200;
const SLACK_MS: u64 = 500;
const CALLERS: u64 = 12;
const CROWD_PROCESSES: usize = 8;
const CROWD_HOLD_MS: u64 = 3_000;
/// Connections of each process of the crowd, and without the disruption.
const CROWD_CONNECTIONS: usize = 560;
const FEW_CONNECTIONS: usize = 16;

/// A request of an ordinary caller.
struct Asked {
    at_ms: u64,
    answered_ms: Option<u64>,
}

pub fn play(folder: &str, trouble: bool) -> i32 {
    let record = Record::create(folder);
    let temporary = Folder::create();
    let store = Store::start();
    let runs = Runs::default();
    store.put("config", "main", &config(7));
    for number in 0..3 {
        let id = format!("i-000000f{number}");
        let work = Duration::from_millis(30);
        Engine::start((&id, ORDERS), (6, work), &store, (&record, &runs));
    }
    let mut gateway = Gateway::new("edge-sierra-a-1", MACHINE, store.addr, &temporary.0);
    gateway.start();
    if !gateway.is_ready_within(Duration::from_secs(10)) {
        record.note("the gateway did not become ready");
        record.flush();
        return 2;
    }
    let ended = Arc::new(AtomicBool::new(false));
    let asked: Arc<Mutex<Vec<Asked>>> = Arc::default();
    let next_id = Arc::new(AtomicU64::new(1));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (ended, asked, next_id) = (ended.clone(), asked.clone(), next_id.clone());
            let (record, front) = (record.clone(), gateway.front);
            thread::spawn(move || {
                let mut kept: Option<Connection> = None;
                while !ended.load(Ordering::Relaxed) {
                    let at_ms = record.now_ms();
                    let connection = kept
                        .take()
                        .map_or_else(|| Connection::open(front, Duration::from_millis(2_500)), Ok);
                    let Ok(mut connection) = connection else {
                        record.line(&format!("caller {number}: no connection"));
                        thread::sleep(Duration::from_millis(200));
                        continue;
                    };
                    let id = format!("{:016x}", next_id.fetch_add(1, Ordering::Relaxed));
                    let sent = connection.write(&request("/order/cut", &id, 2_500, "", b"last 41"));
                    let answer = sent.and_then(|()| connection.read());
                    let status = match &answer {
                        Ok(Some(answer)) => answer.status(),
                        _ => 0,
                    };
                    record.line(&format!("caller {number}: {id} got {status}"));
                    asked.lock().expect("unpoisoned").push(Asked {
                        at_ms,
                        answered_ms: (status > 0).then(|| record.now_ms()),
                    });
                    if status > 0 {
                        kept = Some(connection);
                    }
                    thread::sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(5));
    let connections = match trouble {
        true => CROWD_CONNECTIONS,
        false => FEW_CONNECTIONS,
    };
    record.note(&format!(
        "{CROWD_PROCESSES} x {connections} clients connect, begin a request and stop half-way"
    ));
    let crowd: Vec<Child> = (0..CROWD_PROCESSES)
        .filter_map(|_| start_crowd(gateway.front.port(), connections))
        .collect();
    let mut most_descriptors = 0;
    for _ in 0..20 {
        thread::sleep(Duration::from_millis(100));
        most_descriptors = most_descriptors.max(gateway.descriptors());
    }
    let mut connected = 0;
    for child in crowd {
        if let Ok(output) = child.wait_with_output() {
            let text = String::from_utf8_lossy(&output.stdout).into_owned();
            connected += text.trim().parse::<usize>().unwrap_or(0);
        }
    }
    record.note(&format!(
        "the crowd of {connected} has left; the process had up to {most_descriptors} descriptors"
    ));
    // Long after the press of the crowd.
    thread::sleep(Duration::from_secs(7));
    let from_ms = record.now_ms();
    thread::sleep(Duration::from_secs(8));
    let to_ms = record.now_ms() - TIMEOUT_MS - SLACK_MS;
    ended.store(true, Ordering::Relaxed);
    let is_ready = gateway.is_ready();
    for caller in callers {
        let _ = caller.join();
    }
    let asked = asked.lock().expect("unpoisoned");
    let before = asked
        .iter()
        .filter(|asked| asked.at_ms < 5_000 && asked.answered_ms.is_some())
        .count();
    let judged: Vec<&Asked> = asked
        .iter()
        .filter(|asked| (from_ms..to_ms).contains(&asked.at_ms))
        .collect();
    let late = judged
        .iter()
        .filter(|asked| {
            let limit_ms = asked.at_ms + TIMEOUT_MS + SLACK_MS;
            asked.answered_ms.is_none_or(|at_ms| at_ms > limit_ms)
        })
        .count();
    record.note(&format!(
        "before the crowd {before} orders were answered; of {} sent 7 s and more after it had \
         left, {late} have no final answer {SLACK_MS} ms after the route's timeout; /readyz \
         answers: {is_ready}",
        judged.len()
    ));
    record.flush();
    if before < 100 || judged.len() < 8 {
        return 2;
    }
    let broken = late >= 8 && late * 4 > judged.len();
    println!(
        "{}",
        if broken {
            "CONFIG is broken"
        } else {
            "CONFIG holds"
        }
    );
    i32::from(broken)
}

fn start_crowd(port: u16, connections: usize) -> Option<Child> {
    let program = std::env::current_exe().ok()?;
    let args = ["crowd", &port.to_string(), &connections.to_string()].map(String::from);
    Command::new(program)
        .args(args)
        .arg(CROWD_HOLD_MS.to_string())
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()
        .ok()
}
