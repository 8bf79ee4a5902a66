//! Test setup: a fake agent, a fake store and an entry that uses them.

#![allow(dead_code, missing_docs, unreachable_pub, unused_imports)]

pub mod agent;
pub mod store;

use std::{sync::Arc, time::Duration};

use ::store::{HttpPlatform, Instance, InstanceState, Role};
use config::{Class, Document, Snapshot, Team, Upstream, UpstreamKind};
use entry::{Dependencies, Running, Settings};
use rpc::PeerSecrets;
use serde_json::{json, Value};
use shared_state::SharedState;
use trillium_client::{Client, Conn};
use trillium_smol::ClientConfig;
use types::{Generation, InstanceId};

pub use agent::{FakeAgent, Piece, Reaction};
pub use store::FakeStore;

pub const API_KEY: &str = "key-of-the-fitters";
pub const OTHER_KEY: &str = "key-of-the-clinic";
pub const SECRET: &str = "a-peer-secret-of-tests";

pub fn secrets() -> Arc<PeerSecrets> {
    Arc::new(PeerSecrets::new(SECRET, None))
}

pub fn document() -> Document {
    let mut document = Document::default();
    document.classes.insert("bench".into(), class(200, 5_000));
    document.classes.insert("history".into(), class(10, 5_000));
    document.classes.insert("hurried".into(), class(250, 300));
    document.teams.insert(
        "fitters".into(),
        team(API_KEY, &["bench", "hurried"]).into(),
    );
    document
        .teams
        .insert("clinic".into(), team(OTHER_KEY, &["bench"]).into());
    document
        .upstreams
        .insert("carving".into(), upstream(UpstreamKind::Engine, &["m"]));
    let mut once = upstream(UpstreamKind::Engine, &["m-once"]);
    once.idempotent = false;
    document.upstreams.insert("carving-once".into(), once);
    document
        .upstreams
        .insert("orders".into(), upstream(UpstreamKind::Service, &[]));
    document.services.insert(
        "orders".into(),
        config::Service {
            upstream: "orders".into(),
            at_most_once_prefixes: vec!["/place".into()],
        },
    );
    document.limits.body_max_bytes = 64 << 10;
    document
}

fn class(priority: u8, deadline_ms: u64) -> Class {
    Class {
        priority,
        first_token_target_ms: 500,
        token_gap_target_ms: 0,
        deadline_ms,
        min_share_permille: 10,
        queue_limit: 10,
    }
}

fn team(api_key: &str, classes: &[&str]) -> Team {
    Team {
        key_digests: vec![config::key_digest(api_key)],
        classes: classes.iter().map(|class| (*class).into()).collect(),
        weight: 1,
    }
}

fn upstream(kind: UpstreamKind, models: &[&str]) -> Upstream {
    Upstream {
        kind,
        models: models.iter().map(|model| (*model).into()).collect(),
        adapters: Vec::new(),
        checks_fencing: false,
        running_min: 1,
        running_max: 4,
        reserved_slots: 0,
        idempotent: true,
    }
}

pub fn instance(name: &str, upstream: &str, addr: &str) -> Instance {
    Instance {
        instance: name.into(),
        role: Role::Agent,
        upstream: Some(upstream.into()),
        zone: "az-1".into(),
        addr: addr.into(),
        state: InstanceState::Live,
    }
}

/// An entry under test, with the fake store and an HTTP client.
pub struct TestEntry {
    pub running: Running,
    pub store: Arc<FakeStore>,
    client: Client,
}

pub async fn start_entry(instances: Vec<Instance>) -> TestEntry {
    start_entry_with(document(), instances, Arc::new(FakeStore::default())).await
}

pub async fn start_entry_with(
    document: Document,
    instances: Vec<Instance>,
    store: Arc<FakeStore>,
) -> TestEntry {
    let snapshot = Snapshot::new(Generation(1), document);
    let shared = SharedState::fixed(snapshot, instances);
    start_entry_named("entry-1", shared, store).await
}

pub async fn start_entry_named(
    name: &str,
    shared: Arc<SharedState>,
    store: Arc<FakeStore>,
) -> TestEntry {
    let loopback = "127.0.0.1:0".parse().unwrap();
    let settings = Settings::builder()
        .instance(InstanceId::from(name))
        .zone("az-1".into())
        .listen(loopback)
        .operator_listen(loopback)
        .platform(HttpPlatform::new("127.0.0.1:1"))
        .secrets(secrets())
        .request_timeout(Duration::from_millis(500))
        .balancer_lag(Duration::from_millis(200))
        .build();
    let dependencies = Dependencies {
        shared,
        store: store.clone(),
        peers: rpc::Client::new(name.into(), secrets()),
    };
    let running = entry::serve(settings, dependencies).await.unwrap();
    TestEntry {
        running,
        store,
        client: Client::new(ClientConfig::default().with_nodelay(true)),
    }
}

impl TestEntry {
    pub fn post(&self, path: &str, body: impl Into<trillium::Body>) -> Conn {
        self.client
            .post(format!("http://{}{path}", self.running.addr))
            .with_request_header("authorization", format!("Bearer {API_KEY}"))
            .with_request_header("content-type", "application/json")
            .with_body(body)
    }

    pub fn get(&self, path: &str) -> Conn {
        self.client
            .get(format!("http://{}{path}", self.running.addr))
            .with_request_header("authorization", format!("Bearer {API_KEY}"))
    }

    pub fn get_operator(&self, path: &str) -> Conn {
        self.client
            .get(format!("http://{}{path}", self.running.operator_addr))
    }

    pub fn chat(&self, stream: bool) -> Conn {
        self.post("/v1/chat/completions", chat_body("m", stream))
    }
}

pub fn chat_body(model: &str, stream: bool) -> String {
    json!({
        "model": model,
        "stream": stream,
        "max_tokens": 8,
        "messages": [{"role": "user", "content": "Which last fits a wide heel?"}],
    })
    .to_string()
}

/// Sends a request; returns the status and the JSON body, or the text as a JSON
/// string if it is not JSON.
pub async fn fetch_json(conn: Conn) -> (u16, Value) {
    let mut conn = conn.await.unwrap();
    let status = conn.status().unwrap() as u16;
    let text = conn.response_body().read_string().await.unwrap();
    let value = serde_json::from_str(&text).unwrap_or(Value::String(text));
    (status, value)
}

/// Sends a request; returns the status, the text received, and whether the body
/// ended without an error.
pub async fn fetch_stream(conn: Conn) -> (u16, String, bool) {
    use futures_lite::AsyncReadExt;
    let mut conn = conn.await.unwrap();
    let status = conn.status().unwrap() as u16;
    let mut text = Vec::new();
    let mut body = conn.response_body();
    let mut buf = [0; 4096];
    let clean = loop {
        match body.read(&mut buf).await {
            Ok(0) => break true,
            Ok(count) => text.extend_from_slice(&buf[..count]),
            Err(_) => break false,
        }
    };
    (status, String::from_utf8(text).unwrap(), clean)
}

/// Returns the token indices in the text of a stream, in order.
pub fn indices(text: &str) -> Vec<u64> {
    text.split("\n\n")
        .filter_map(|event| event.strip_prefix("data: "))
        .filter_map(|data| serde_json::from_str::<Value>(data).ok())
        .filter_map(|event| event["token_index"].as_u64())
        .collect()
}

pub fn error_of(body: &Value) -> (String, String) {
    let text = |field: &str| body["error"][field].as_str().unwrap_or_default().to_owned();
    (text("code"), text("verdict"))
}

/// Runs the future of a test; panics after 30 s.
pub fn run<T>(test: impl std::future::Future<Output = T>) -> T {
    const TEST_TIMEOUT: Duration = Duration::from_secs(30);
    smol::block_on(async {
        let timeout = async {
            smol::Timer::after(TEST_TIMEOUT).await;
            panic!("the test took longer than {TEST_TIMEOUT:?}");
        };
        futures_lite::FutureExt::or(test, timeout).await
    })
}
