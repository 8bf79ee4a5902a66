//! Two of the three engines of a service leave at once, without reporting
//! `draining`. Orders must no longer reach them after the drain time.

use std::{
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{Client, ClientRequest},
    fleet::{order_engines, Fleet, Result, DRAIN_BOUND, KEYS, ORDERS},
    record::Record,
    Finding,
};

/// Time that an engine serves beyond the drain time, "a little longer".
const LONGER: Duration = Duration::from_millis(250);
/// Time on the way that is granted to a request: from the gateway to the engine.
const ON_THE_WAY: Duration = Duration::from_millis(20);
const CLIENTS: usize = 6;

pub fn run(record: &Record, with_trouble: bool) -> Result<Finding> {
    let fleet = Fleet::start(record, order_engines())?;
    let stop = Arc::new(AtomicBool::new(false));
    let failed = AtomicUsize::new(0);
    let mut left_at = Vec::new();
    thread::scope(|scope| {
        for number in 0..CLIENTS {
            let (fleet, stop, failed) = (&fleet, &stop, &failed);
            scope.spawn(move || send_orders(fleet, number, stop, failed));
        }
        thread::sleep(Duration::from_secs(4));
        if with_trouble {
            for engine in &fleet.engines[..2] {
                let at = engine.leave(DRAIN_BOUND + LONGER);
                left_at.push((engine.id.clone(), at));
            }
        }
        thread::sleep(Duration::from_secs(5));
        stop.store(true, Ordering::SeqCst);
    });
    let runs = fleet.runs.lock().expect("unpoisoned").clone();
    let has_left = |engine: &str, at: Instant| {
        let left = left_at.iter().find(|(left, _)| left == engine);
        left.is_some_and(|(_, left_at)| at > *left_at + DRAIN_BOUND + ON_THE_WAY)
    };
    let late: Vec<_> = runs
        .iter()
        .filter(|run| has_left(&run.engine, run.at))
        .collect();
    let cut = late.iter().filter(|run| !run.answered).count();
    for run in &late {
        let (_, left) = left_at
            .iter()
            .find(|(left, _)| *left == run.engine)
            .ok_or("unknown engine")?;
        let late_ms = run.at.duration_since(*left).as_millis();
        record.line(&format!(
            "{} reached {} {late_ms} ms after its leaving was acknowledged",
            run.request_id, run.engine
        ));
    }
    record.line(&format!(
        "{} orders ran, {} of them at engines that had left for over {} ms, {cut} of these were cut \
         off by the engine's exit; {} orders of the day got no 200",
        runs.len(),
        late.len(),
        DRAIN_BOUND.as_millis(),
        failed.load(Ordering::SeqCst)
    ));
    if runs.len() < 100 {
        return Err("too few orders ran".into());
    }
    Ok(match late.is_empty() {
        true => Finding::Held,
        false => Finding::Broken,
    })
}

/// Sends one order after the other on a kept connection until `stop` is set.
fn send_orders(fleet: &Fleet, number: usize, stop: &AtomicBool, failed: &AtomicUsize) {
    let mut client = None;
    for count in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("order-{number}-{count}");
        let request = ClientRequest {
            path: ORDERS,
            id: &id,
            key: KEYS[0],
            deadline: Duration::from_millis(2_500),
            body: b"one last, size 31, left",
            expects_continue: false,
        };
        if client.is_none() {
            client = Client::connect(fleet.addr, &fleet.record).ok();
        }
        let answer = client.as_mut().map(|client| client.call(&request));
        match answer {
            Some(Ok(answer)) if answer.status() == 200 => {}
            other => {
                failed.fetch_add(1, Ordering::SeqCst);
                if !matches!(other, Some(Ok(_))) {
                    client = None;
                }
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
}
