//! Engines fail part of their orders with a status that is in no registry. A
//! failure that bears an engine's signature must have the status that it gave.

use std::{thread, time::Duration};

use crate::{
    client::{Client, ClientRequest},
    engine::OVERLOADED,
    fleet::{order_engines, Fleet, Result, KEYS, ORDERS},
    record::Record,
    Finding,
};

const ORDERS_SENT: usize = 60;
/// Time between two orders.
const INTERVAL: Duration = Duration::from_millis(20);

pub fn run(record: &Record, with_trouble: bool) -> Result<Finding> {
    let fleet = Fleet::start(record, order_engines())?;
    if with_trouble {
        for engine in &fleet.engines {
            engine.fail_runs(3);
        }
    }
    let mut client = Client::connect(fleet.addr, record)?;
    let (mut served, mut unchanged, mut changed) = (0, 0, 0);
    for number in 0..ORDERS_SENT {
        let id = format!("order-{number}");
        let answer = client.call(&ClientRequest {
            path: ORDERS,
            id: &id,
            key: KEYS[0],
            deadline: Duration::from_millis(2_500),
            body: b"one last, size 31, left",
            expects_continue: false,
        })?;
        match (answer.header("x-limpetgw-server-seal"), answer.status()) {
            (Some(_), 200) => served += 1,
            (Some(_), OVERLOADED) => unchanged += 1,
            (Some(seal), status) => {
                changed += 1;
                record.line(&format!(
                    "{id} bears the signature {seal} and the status {status}, the engine gave \
                     {OVERLOADED}"
                ));
            }
            (None, _) => {}
        }
        thread::sleep(INTERVAL);
    }
    record.line(&format!(
        "of {ORDERS_SENT} orders {served} were served, {unchanged} came with the engine's failure and \
         {changed} with its signature and another status"
    ));
    if served == 0 {
        return Err("no order was served".into());
    }
    Ok(match changed {
        0 => Finding::Held,
        _ => Finding::Broken,
    })
}
