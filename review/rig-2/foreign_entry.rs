//! Case `foreign-entry`: an entry of another writer that can't be read, and then the final fault of
//! a day, after which the gateways start again.

use std::{
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
/// `recover-s` of the deployment.
const RECOVER: Duration = Duration::from_secs(12);
const DRAIN_MS: u64 = 2_000;
const CLIENTS: u64 = 8;
const DEADLINE_MS: u64 = 2_500;

/// A request of a client with its final answer.
struct Asked {
    at_ms: u64,
    status: u16,
}

pub fn play(folder: &str, trouble: bool) -> i32 {
    let record = Record::create(folder);
    let temporary = Folder::create();
    let store = Store::start();
    let runs = Runs::default();
    store.put("config", "main", &config(7));
    let engines: Vec<Engine> = ["i-0000000a", "i-0000000b", "i-0000000c"]
        .iter()
        .map(|id| {
            let work = Duration::from_millis(30);
            Engine::start((id, ORDERS), (6, work), &store, (&record, &runs))
        })
        .collect();
    let mut gateways: Vec<Gateway> = (1..=2)
        .map(|number| {
            let name = format!("edge-sierra-a-{number}");
            Gateway::new(&name, MACHINE, store.addr, &temporary.0)
        })
        .collect();
    for gateway in &mut gateways {
        gateway.start();
    }
    if !gateways
        .iter()
        .all(|gateway| gateway.is_ready_within(Duration::from_secs(10)))
    {
        record.note("the gateways did not become ready at the first start");
        record.flush();
        return 2;
    }
    let ended = Arc::new(AtomicBool::new(false));
    let asked: Arc<Mutex<Vec<Asked>>> = Arc::default();
    let fronts: Vec<_> = gateways.iter().map(|gateway| gateway.front).collect();
    let next_id = Arc::new(AtomicU64::new(1));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (ended, asked, fronts) = (ended.clone(), asked.clone(), fronts.clone());
            let (record, next_id) = (record.clone(), next_id.clone());
            thread::spawn(move || {
                let mut turn = number as usize;
                while !ended.load(Ordering::Relaxed) {
                    let at_ms = record.now_ms();
                    let mut status = 0;
                    // One retry, at another gateway, after a promise or without a connection.
                    for _ in 0..2 {
                        turn += 1;
                        let id = format!("{:016x}", next_id.fetch_add(1, Ordering::Relaxed));
                        let front = fronts[turn % fronts.len()];
                        status = ask(front, &id);
                        record.line(&format!("client {number} sent {id}, got {status}"));
                        if !matches!(status, 0 | 429 | 503) {
                            break;
                        }
                        thread::sleep(Duration::from_millis(200));
                    }
                    asked
                        .lock()
                        .expect("unpoisoned")
                        .push(Asked { at_ms, status });
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    if trouble {
        // Half of a surrogate pair: an escape that JSON allows and no text can hold.
        let spec = "{\"service\":\"puwu68b\",\"addr\":\"127.0.0.1:9\",\"zone\":\"\\ud83d\",\
                    \"slots\":\"six\",\"state\":\"on\",\"seq\":1,\"born\":1775000000000}";
        store.put("servers", "i-of-another-writer", spec);
        record.note("another writer has put an entry of kind `servers` that can't be read");
    }
    thread::sleep(Duration::from_secs(2));
    // Planned work: one engine leaves. It goes on to serve for many seconds.
    engines[0].register(&store, "draining", 2);
    let leaving_ms = record.now_ms();
    record.note("the store has acknowledged that i-0000000a is draining");
    thread::sleep(Duration::from_secs(6));
    let late = runs
        .all()
        .iter()
        .filter(|run| run.engine == "i-0000000a" && run.at_ms > leaving_ms + DRAIN_MS)
        .count();
    record.note(&format!(
        "{late} requests reached i-0000000a later than {DRAIN_MS} ms after it (not judged here)"
    ));
    let fault_ms = record.now_ms();
    for gateway in &mut gateways {
        gateway.kill();
    }
    record.note("final fault: all gateways were killed");
    thread::sleep(Duration::from_millis(1_200));
    for gateway in &mut gateways {
        gateway.start();
    }
    let back_ms = record.now_ms();
    record.note("the gateways were started again");
    thread::sleep(RECOVER + Duration::from_secs(8));
    ended.store(true, Ordering::Relaxed);
    let judged_ms = back_ms + RECOVER.as_millis() as u64;
    for client in clients {
        let _ = client.join();
    }
    let asked = asked.lock().expect("unpoisoned");
    let share = |from_ms: u64, to_ms: u64| {
        let of_span = asked
            .iter()
            .filter(|asked| (from_ms..to_ms).contains(&asked.at_ms));
        let all = of_span.clone().count();
        let served = of_span.filter(|asked| asked.status == 200).count();
        (served, all)
    };
    let (served_before, all_before) = share(0, fault_ms);
    let (served_after, all_after) = share(judged_ms, u64::MAX);
    let ready = gateways.iter().filter(|gateway| gateway.is_ready()).count();
    record.note(&format!(
        "before the fault {served_before} of {all_before} served; later than 12 s after the \
         gateways are back {served_after} of {all_after}; {ready} of 2 gateways are ready"
    ));
    record.flush();
    if all_before < 50 || all_after < 20 || served_before * 4 < all_before {
        return 2;
    }
    let broken = served_after * 4 < all_after;
    println!(
        "{}",
        if broken {
            "RECOVER is broken"
        } else {
            "RECOVER holds"
        }
    );
    i32::from(broken)
}

/// Sends one order on a new connection. Returns the status, 0 without an answer.
fn ask(front: std::net::SocketAddr, id: &str) -> u16 {
    let timeout = Duration::from_millis(DEADLINE_MS);
    let Ok(mut connection) = Connection::open(front, timeout) else {
        return 0;
    };
    let path = "/order/cut";
    if connection
        .write(&request(path, id, DEADLINE_MS, "", b"last 41"))
        .is_err()
    {
        return 0;
    }
    match connection.read() {
        Ok(Some(answer)) => answer.status(),
        _ => 0,
    }
}
