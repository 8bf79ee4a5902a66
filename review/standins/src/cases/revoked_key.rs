//! A key is taken away from connected clients. A client that gets 401 for a plan
//! goes on with the other key of its tenant on the same connection.

use std::{thread, time::Duration};

use crate::{
    client::{Client, ClientRequest},
    fleet::{model_engines, order_engines, Fleet, Result, CONFIG_BOUND, KEYS, ORDERS, PLANS},
    record::Record,
    Finding,
};

const CLIENTS: usize = 40;
/// Size of a long plan; the largest `scan-plan` has 100,000 bytes.
const PLAN_BYTES: usize = 95_000;

pub fn run(record: &Record, with_trouble: bool) -> Result<Finding> {
    let engines = order_engines().into_iter().chain(model_engines());
    let fleet = Fleet::start(record, engines.collect())?;
    let plan = vec![b'x'; PLAN_BYTES];
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let mut client = Client::connect(fleet.addr, record)?;
        let answer = client.call(&request(PLANS, &format!("first-{number}"), KEYS[0], &plan))?;
        if answer.status() != 200 {
            return Err("the first plans are not served".into());
        }
        clients.push(client);
    }
    if with_trouble {
        fleet.configure(2, &KEYS[1..]);
    }
    thread::sleep(CONFIG_BOUND + Duration::from_millis(200));
    let mut denied = 0;
    for (number, client) in clients.iter_mut().enumerate() {
        let (plan_id, order_id) = (format!("plan-{number}"), format!("order-{number}"));
        if client
            .call(&request(PLANS, &plan_id, KEYS[0], &plan))
            .is_err()
        {
            continue;
        }
        // The other key is in force in every configuration of the case.
        let Ok(answer) = client.call(&request(ORDERS, &order_id, KEYS[1], b"one last")) else {
            continue;
        };
        let status = answer.status();
        if (300..500).contains(&status) && ![408, 421, 429].contains(&status) {
            denied += 1;
        }
    }
    let denied_max = 5 + 3 * CLIENTS / 500;
    record.line(&format!(
        "{denied} of {CLIENTS} orders whose key is in every configuration were denied, {denied_max} \
         may be"
    ));
    Ok(match denied > denied_max {
        true => Finding::Broken,
        false => Finding::Held,
    })
}

fn request<'a>(path: &'a str, id: &'a str, key: &'a str, body: &'a [u8]) -> ClientRequest<'a> {
    ClientRequest {
        path,
        id,
        key,
        deadline: Duration::from_millis(2_500),
        body,
        expects_continue: false,
    }
}
