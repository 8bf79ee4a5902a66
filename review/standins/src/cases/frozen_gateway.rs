//! A gateway freezes while clients with an unknown key wait for the interim
//! response. The bytes of their bodies must not run as requests of their own.

use std::{thread, time::Duration};

use crate::{
    client::{Client, ClientRequest},
    fleet::{order_engines, Fleet, Result, HOST, KEYS, ORDERS},
    record::Record,
    Finding,
};

const CLIENTS: usize = 6;
/// Duration of the freeze: longer than the clients wait for an interim response,
/// shorter than their deadline.
const FREEZE: Duration = Duration::from_millis(1_800);
/// Time for which a client keeps its connection after its request.
const IDLE: Duration = Duration::from_millis(500);
/// Key of a tenant that is in no configuration.
const UNKNOWN_KEY: &str = "key-that-nobody-holds";

pub fn run(record: &Record, with_trouble: bool) -> Result<Finding> {
    let fleet = Fleet::start(record, order_engines())?;
    let served = fleet.call_once(&request("first", KEYS[0], b"one last"));
    if served != Some(200) {
        return Err("the first order is not served".into());
    }
    if with_trouble {
        fleet.signal("STOP")?;
    }
    thread::scope(|scope| {
        for number in 0..CLIENTS {
            let fleet = &fleet;
            scope.spawn(move || {
                let body = quoted_order(&format!("quoted-{number}"));
                let id = format!("ticket-{number}");
                let client = Client::connect(fleet.addr, &fleet.record);
                if let Ok(mut client) = client {
                    // Its outcome is in the record.
                    let _ = client.call(&request(&id, UNKNOWN_KEY, body.as_bytes()));
                    // The client keeps its connection for its next request.
                    thread::sleep(IDLE);
                }
            });
        }
        thread::sleep(FREEZE);
        if with_trouble {
            fleet.signal("CONT")?;
        }
        Result::Ok(())
    })?;
    let runs = fleet.runs.lock().expect("unpoisoned").clone();
    let unasked = runs.iter().filter(|run| run.request_id != "first").count();
    record.line(&format!(
        "{CLIENTS} requests with an unknown key were sent; {unasked} requests that no client sent \
         have run"
    ));
    Ok(match unasked {
        0 => Finding::Held,
        _ => Finding::Broken,
    })
}

/// Text of an order as a support ticket quotes it, with a key that is in force.
fn quoted_order(id: &str) -> String {
    let (key, body) = (KEYS[1], "one last, size 31, left");
    format!(
        "POST {ORDERS} HTTP/1.1\r\nHost: {HOST}\r\nX-Limpetgw-Request-Id: {id}\r\n\
         X-Limpetgw-Deadline-Ms: 2500\r\nX-Limpetgw-Key: {key}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn request<'a>(id: &'a str, key: &'a str, body: &'a [u8]) -> ClientRequest<'a> {
    ClientRequest {
        path: ORDERS,
        id,
        key,
        deadline: Duration::from_millis(2_500),
        body,
        expects_continue: true,
    }
}
