//! Tests that orders are sent to the engine only while the lease is held.

mod support;

use std::{sync::Arc, time::Duration, time::Instant};

use rstest::rstest;
use serde_json::{json, Value};
use store::{Condition, Key, ObjectStore};
use support::{document, settings, start_with, FakeEngine, MemoryStore, ReceivedRequest};

const LEASE_KIND: &str = "order-lease";

/// Duration of the other holder's lease.
const OTHER_LEASE_MS: u64 = 400;
/// Maximum duration of an order of the other holder. If the engine does not check
/// fencing numbers, a new holder waits for this time as well.
const OTHER_ORDER_MS: u64 = 1_000;
/// Margin for clock differences that each contender adds to a wait.
const MARGIN_MS: u64 = 1_500;

async fn engine_and_agent(
    store: &Arc<MemoryStore>,
    adapters: &[&str],
    checks_fencing: bool,
) -> (FakeEngine, agent::Running) {
    let engine = FakeEngine::start().await;
    let mut document = document(config::UpstreamKind::Engine, 4);
    let upstream = document.upstreams.values_mut().next().unwrap();
    upstream.adapters = adapters.iter().map(|name| name.to_string()).collect();
    upstream.checks_fencing = checks_fencing;
    let agent = start_with(settings(&engine.addr), document, Vec::new(), store.clone()).await;
    (engine, agent)
}

fn respond_json(request: &mut ReceivedRequest, body: &Value) {
    let text = body.to_string();
    request.head(200, Some(text.len() as u64)).bytes(text).end();
}

/// Responds to the request for the loaded adapters.
async fn respond_with_loaded_adapters(engine: &FakeEngine, names: &[&str]) {
    let mut request = engine.next_request().await;
    assert_eq!(
        (request.method.as_str(), request.path.as_str()),
        ("GET", "/orders")
    );
    let orders: Vec<Value> = names
        .iter()
        .map(|name| json!({"order": "load_adapter", "name": name, "fencing": 1}))
        .collect();
    respond_json(&mut request, &json!({"orders": orders}));
}

fn other_lease(released: bool) -> Value {
    json!({
        "holder": "agent-1", "nonce": "another process", "term": 7, "write": 3,
        "duration_ms": OTHER_LEASE_MS, "longest_order_ms": OTHER_ORDER_MS, "released": released,
    })
}

async fn put(store: &MemoryStore, value: &Value) {
    let key = Key::new(LEASE_KIND, "agent-1");
    store.put(&key, value, Condition::None).await.unwrap();
}

#[test]
fn only_missing_adapters_are_ordered_and_lease_is_released() {
    smol::block_on(async {
        let store = MemoryStore::new();
        let (engine, _agent) = engine_and_agent(&store, &["child-last", "burr-wear"], true).await;

        respond_with_loaded_adapters(&engine, &["child-last"]).await;
        let mut order = engine.next_request().await;
        let held = store.value(LEASE_KIND, "agent-1").unwrap();
        respond_json(&mut order, &json!({"applied": true}));

        assert_eq!(
            (order.method.as_str(), order.path.as_str()),
            ("POST", "/orders")
        );
        let expected = json!({"order": "load_adapter", "name": "burr-wear", "fencing": 1});
        assert_eq!(order.body, expected);
        assert_eq!(
            held["released"], false,
            "the lease must be held while the order is sent"
        );
        support::wait_until("the release", || {
            store.value(LEASE_KIND, "agent-1").unwrap()["released"] == true
        })
        .await;
    });
}

#[rstest]
#[case::engine_checks_fencing(true, OTHER_LEASE_MS + MARGIN_MS)]
#[case::engine_ignores_fencing(false, OTHER_LEASE_MS + MARGIN_MS + OTHER_ORDER_MS + MARGIN_MS)]
fn order_waits_for_lease_of_another_process_to_expire(
    #[case] checks_fencing: bool,
    #[case] wait_ms: u64,
) {
    smol::block_on(async {
        let store = MemoryStore::new();
        put(&store, &other_lease(false)).await;
        let start_time = Instant::now();
        let (engine, _agent) = engine_and_agent(&store, &["burr-wear"], checks_fencing).await;

        respond_with_loaded_adapters(&engine, &[]).await;
        let order = engine.next_request().await;

        assert!(
            start_time.elapsed() >= Duration::from_millis(wait_ms),
            "{:?}",
            start_time.elapsed()
        );
        assert_eq!(
            order.body["fencing"], 8,
            "must exceed the other holder's number"
        );
    });
}

#[test]
fn no_order_is_sent_while_store_is_down() {
    smol::block_on(async {
        let store = MemoryStore::new();
        put(&store, &other_lease(true)).await;
        store.set_down(true);
        let (engine, _agent) = engine_and_agent(&store, &["burr-wear"], true).await;

        respond_with_loaded_adapters(&engine, &[]).await;
        let is_idle = engine.is_idle().await;
        store.set_down(false);
        let order = engine.next_request().await;

        assert!(is_idle);
        assert_eq!(order.body["fencing"], 8);
    });
}

#[test]
fn no_order_is_sent_if_all_adapters_are_loaded() {
    smol::block_on(async {
        let store = MemoryStore::new();
        let (engine, _agent) = engine_and_agent(&store, &["burr-wear"], true).await;

        respond_with_loaded_adapters(&engine, &["burr-wear"]).await;

        assert!(engine.is_idle().await);
        assert_eq!(
            store.value(LEASE_KIND, "agent-1"),
            None,
            "no lease may be acquired without an order"
        );
    });
}
