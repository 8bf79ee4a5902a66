//! Case `ranks`: a configuration spaces its ranks wide, and takes a key away.

use std::{net::SocketAddr, thread, time::Duration};

use crate::{
    engine::{Engine, Runs},
    gateway::{Folder, Gateway, Machine},
    http::{request, Connection, KEY},
    record::Record,
    store::{config, config_with, Store, ORDERS},
};

/// The edge machines of horma-quito.
const MACHINE: Machine = Machine {
    memory_mb: 260,
    descriptors_max: 4_100,
};
const NEW_KEY: &str = "anfqasnmgkcuyj8pjbvk";
/// `config-ms` of the deployment.
const CONFIG_MS: u64 = 2_000;
const WIDE_RANK: u32 = 300;
const NARROW_RANK: u32 = 3;
/// Time for which requests are judged.
const JUDGED: Duration = Duration::from_secs(10);

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
    thread::sleep(Duration::from_secs(4));
    let mut number = 0;
    let mut ask = |key: &str| {
        number += 1;
        let id = format!("{number:016x}");
        let status = ask(gateway.front, &id, key);
        record.line(&format!("client sent {id} with key {key}, got {status}"));
        (id, status)
    };
    if ask(KEY).1 != 200 {
        record.note("an order with the key of version 7 is not served");
        record.flush();
        return 2;
    }
    let rank = match trouble {
        true => WIDE_RANK,
        false => NARROW_RANK,
    };
    store.put("config", "main", &config_with(8, rank, NEW_KEY));
    let acknowledged_ms = record.now_ms();
    record.note(&format!(
        "version 8 is acknowledged: rank {rank} for routes and tenant, and the key replaced"
    ));
    thread::sleep(Duration::from_millis(CONFIG_MS + 100));
    let mut asked = 0;
    let mut old = Vec::new();
    let mut refused = 0;
    while record.now_ms() < acknowledged_ms + CONFIG_MS + JUDGED.as_millis() as u64 {
        asked += 1;
        let (id, status) = ask(KEY);
        if status == 200 {
            old.push(id);
        }
        if ask(NEW_KEY).1 == 401 {
            refused += 1;
        }
        thread::sleep(Duration::from_millis(100));
    }
    let all = runs.all();
    let run = old
        .iter()
        .filter(|id| all.iter().any(|run| run.request_id == **id))
        .count();
    record.note(&format!(
        "of {asked} orders with the dropped key, sent later than {CONFIG_MS} ms after the \
         acknowledgement, {run} ran; of {asked} with the new key {refused} got 401"
    ));
    record.flush();
    let broken = run > 0 || refused > 0;
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

/// Sends one order on a new connection. Returns the status, 0 without an answer.
fn ask(front: SocketAddr, id: &str, key: &str) -> u16 {
    let timeout = Duration::from_millis(2_500);
    let Ok(mut connection) = Connection::open(front, timeout) else {
        return 0;
    };
    let bytes = request("/order/cut", id, 2_500, "", b"last 41");
    let text = String::from_utf8_lossy(&bytes).replace(KEY, key);
    if connection.write(text.as_bytes()).is_err() {
        return 0;
    }
    match connection.read() {
        Ok(Some(answer)) => answer.status(),
        _ => 0,
    }
}
