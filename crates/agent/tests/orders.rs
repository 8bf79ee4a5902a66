//! Orders to the engine are given under the lease only.

mod support;

use std::{sync::Arc, time::Duration, time::Instant};

use rstest::rstest;
use serde_json::{json, Value};
use store::{Condition, Key, ObjectStore};
use support::{document, settings, start_with, Arrived, Engine, Store};

const LEASE_KIND: &str = "order-lease";

/// Length of the other holder's lease, in milliseconds.
const OTHER_LEASE_MS: u64 = 400;
/// Longest order of the other holder, in milliseconds.
const OTHER_ORDER_MS: u64 = 1_000;
/// Allowance for clocks that every contender adds, in milliseconds.
const MARGIN_MS: u64 = 1_500;

async fn engine_and_agent(
    store: &Arc<Store>,
    adapters: &[&str],
    checks_fencing: bool,
) -> (Engine, agent::Running) {
    let engine = Engine::start().await;
    let mut document = document(config::UpstreamKind::Engine, 4);
    let upstream = document.upstreams.values_mut().next().unwrap();
    upstream.adapters = adapters.iter().map(|name| name.to_string()).collect();
    upstream.checks_fencing = checks_fencing;
    let agent = start_with(settings(&engine.addr), document, Vec::new(), store.clone()).await;
    (engine, agent)
}

fn answer(arrived: &mut Arrived, body: &Value) {
    let text = body.to_string();
    arrived.head(200, Some(text.len() as u64)).bytes(text).end();
}

/// Answers the question what is loaded.
async fn tell_loaded(engine: &Engine, names: &[&str]) {
    let mut arrived = engine.next().await;
    assert_eq!(
        (arrived.method.as_str(), arrived.path.as_str()),
        ("GET", "/orders")
    );
    let orders: Vec<Value> = names
        .iter()
        .map(|name| json!({"order": "load_adapter", "name": name, "fencing": 1}))
        .collect();
    answer(&mut arrived, &json!({"orders": orders}));
}

fn other_lease(released: bool) -> Value {
    json!({
        "holder": "agent-1", "nonce": "another process", "term": 7, "write": 3,
        "duration_ms": OTHER_LEASE_MS, "longest_order_ms": OTHER_ORDER_MS, "released": released,
    })
}

async fn put(store: &Store, value: &Value) {
    let key = Key::new(LEASE_KIND, "agent-1");
    store.put(&key, value, Condition::None).await.unwrap();
}

#[test]
fn only_what_is_missing_is_ordered_and_the_lease_is_released() {
    smol::block_on(async {
        let store = Store::new();
        let (engine, _agent) = engine_and_agent(&store, &["child-last", "burr-wear"], true).await;

        tell_loaded(&engine, &["child-last"]).await;
        let mut order = engine.next().await;
        let held = store.value(LEASE_KIND, "agent-1").unwrap();
        answer(&mut order, &json!({"applied": true}));

        assert_eq!(
            (order.method.as_str(), order.path.as_str()),
            ("POST", "/orders")
        );
        let expected = json!({"order": "load_adapter", "name": "burr-wear", "fencing": 1});
        assert_eq!(order.body, expected);
        assert_eq!(
            held["released"], false,
            "the order is given under the lease"
        );
        support::until("the release", || {
            store.value(LEASE_KIND, "agent-1").unwrap()["released"] == true
        })
        .await;
    });
}

#[rstest]
#[case::the_engine_checks_fencing(true, OTHER_LEASE_MS + MARGIN_MS)]
#[case::the_engine_does_not(false, OTHER_LEASE_MS + MARGIN_MS + OTHER_ORDER_MS + MARGIN_MS)]
fn the_lease_of_another_process_is_waited_out(#[case] checks_fencing: bool, #[case] wait_ms: u64) {
    smol::block_on(async {
        let store = Store::new();
        put(&store, &other_lease(false)).await;
        let began = Instant::now();
        let (engine, _agent) = engine_and_agent(&store, &["burr-wear"], checks_fencing).await;

        tell_loaded(&engine, &[]).await;
        let order = engine.next().await;

        assert!(
            began.elapsed() >= Duration::from_millis(wait_ms),
            "{:?}",
            began.elapsed()
        );
        assert_eq!(order.body["fencing"], 8, "above the other's number");
    });
}

#[test]
fn no_order_is_given_while_the_store_is_down() {
    smol::block_on(async {
        let store = Store::new();
        put(&store, &other_lease(true)).await;
        store.set_down(true);
        let (engine, _agent) = engine_and_agent(&store, &["burr-wear"], true).await;

        tell_loaded(&engine, &[]).await;
        let is_quiet = engine.is_quiet().await;
        store.set_down(false);
        let order = engine.next().await;

        assert!(is_quiet);
        assert_eq!(order.body["fencing"], 8);
    });
}

#[test]
fn nothing_is_ordered_when_nothing_is_missing() {
    smol::block_on(async {
        let store = Store::new();
        let (engine, _agent) = engine_and_agent(&store, &["burr-wear"], true).await;

        tell_loaded(&engine, &["burr-wear"]).await;

        assert!(engine.is_quiet().await);
        assert_eq!(
            store.value(LEASE_KIND, "agent-1"),
            None,
            "no lease is taken for nothing"
        );
    });
}
