//! Fixtures: an agent in this process, a fake engine whose responses the test
//! controls, and the entry's side of a dispatch.

#![allow(dead_code, unreachable_pub, unused_imports)]

mod engine;
mod store;

pub use engine::{token_event, usage_event, FakeEngine, Part, ReceivedRequest};

pub use store::MemoryStore;

use std::{sync::Arc, time::Duration};

use ::store::{HttpPlatform, Instance, InstanceState, Role};
use config::{Class, Document, Snapshot, Team, Upstream, UpstreamKind};
use futures_lite::FutureExt;
use policy::quarantine::Evidence;
use rpc::{DispatchMeta, DispatchReply, PeerSecrets, Target};
use serde_json::{json, Value};
use shared_state::SharedState;
use trillium_client::{Client, Conn};
use trillium_smol::ClientConfig;
use types::{ErrorBody, Fingerprint, Generation, RequestId};

pub const SECRET: &str = "a secret of the test's own";
pub const CLASS: &str = "bench";
pub const URGENT: &str = "clinic";
pub const UPSTREAM: &str = "carving";

/// Timeout of every wait in a test.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Awaits a future; panics after [`TEST_TIMEOUT`].
pub async fn with_timeout<T>(what: &str, future: impl std::future::IntoFuture<Output = T>) -> T {
    let late = async {
        smol::Timer::after(TEST_TIMEOUT).await;
        panic!("{what}: timed out after {} s", TEST_TIMEOUT.as_secs());
    };
    future.into_future().or(late).await
}

/// Polls a condition until it is true.
pub async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    with_timeout(what, async {
        while !condition() {
            smol::Timer::after(Duration::from_millis(5)).await;
        }
    })
    .await;
}

pub fn document(kind: UpstreamKind, running_max: u32) -> Document {
    let class = |priority| Class {
        priority,
        first_token_target_ms: 500,
        token_gap_target_ms: 0,
        deadline_ms: 1_000,
        min_share_permille: 0,
        queue_limit: 16,
    };
    let team = Team {
        key_digests: Vec::new(),
        classes: vec![CLASS.into()],
        weight: 1,
    };
    let upstream = Upstream {
        kind,
        models: vec!["m".into()],
        adapters: Vec::new(),
        checks_fencing: false,
        running_min: running_max,
        running_max,
        reserved_slots: 0,
        idempotent: true,
    };
    Document {
        classes: [(CLASS.into(), class(10)), (URGENT.into(), class(200))]
            .into_iter()
            .collect(),
        teams: [("fitters".into(), team.into())].into_iter().collect(),
        upstreams: [(UPSTREAM.into(), upstream)].into_iter().collect(),
        ..Document::default()
    }
}

pub fn settings(upstream_addr: &str) -> agent::Settings {
    agent::Settings::builder()
        .instance("agent-1".into())
        .zone("az-1".into())
        .upstream(UPSTREAM.into())
        .upstream_addr(upstream_addr.into())
        .listen("127.0.0.1:0".parse().unwrap())
        .platform(HttpPlatform::new("127.0.0.1:1"))
        .secrets(secrets())
        .membership_lag(Duration::from_millis(100))
        .upstream_silence(Duration::from_secs(10))
        .build()
}

pub fn secrets() -> Arc<PeerSecrets> {
    Arc::new(PeerSecrets::new(SECRET, None))
}

/// Starts an agent without peers and with an empty store.
pub async fn start(settings: agent::Settings, document: Document) -> agent::Running {
    start_with(settings, document, Vec::new(), MemoryStore::new()).await
}

/// Returns the item of the instance list that describes a running agent.
pub fn listed_instance(instance: &str, agent: &agent::Running) -> Instance {
    Instance {
        instance: instance.into(),
        role: Role::Agent,
        upstream: Some(UPSTREAM.into()),
        zone: "az-1".into(),
        addr: agent.addr().to_string().into(),
        state: InstanceState::Live,
    }
}

/// Starts an agent with the given peers and store; returns once it is ready.
pub async fn start_with(
    settings: agent::Settings,
    document: Document,
    others: Vec<Instance>,
    store: Arc<MemoryStore>,
) -> agent::Running {
    let shared = SharedState::fixed(Snapshot::new(Generation(7), document), others);
    let running = agent::start(settings, shared, store).await.unwrap();
    let entry = TestEntry::new(&running);
    with_timeout("a ready agent", async {
        while entry.get("/readyz").await.0 != 200 {
            smol::Timer::after(Duration::from_millis(5)).await;
        }
    })
    .await;
    running
}

pub async fn engine_and_agent(running_max: u32) -> (FakeEngine, agent::Running) {
    let engine = FakeEngine::start().await;
    let settings = settings(&engine.addr);
    let agent = start(settings, document(UpstreamKind::Engine, running_max)).await;
    (engine, agent)
}

pub fn completion(request_id: &str) -> DispatchMeta {
    DispatchMeta {
        sender: "entry-1".into(),
        generation: Generation(7),
        request_id: request_id.into(),
        attempt: 1,
        team: "fitters".into(),
        class: CLASS.into(),
        remaining_ms: 60_000,
        resume_from: 0,
        suspect: false,
        idempotent: true,
        fingerprint: Fingerprint::of("m", request_id.as_bytes()),
        prompt_tokens: 3,
        max_tokens: 0,
        target: Target::Completion { model: "m".into() },
    }
}

pub fn urgent_completion(request_id: &str) -> DispatchMeta {
    DispatchMeta {
        class: URGENT.into(),
        ..completion(request_id)
    }
}

pub fn call(request_id: &str, method: &str, path: &str) -> DispatchMeta {
    DispatchMeta {
        target: Target::Call {
            method: method.into(),
            path: path.into(),
            content_type: Some("application/json".into()),
            idempotency_key: Some(format!("key-{request_id}")),
        },
        ..completion(request_id)
    }
}

pub fn prompt() -> Vec<u8> {
    json!({"model": "m", "messages": [{"role": "user", "content": "hello"}], "priority": 255, "stream": false})
        .to_string()
        .into_bytes()
}

/// Client that sends requests to an agent as an entry does.
#[derive(Clone)]
pub struct TestEntry {
    http: Client,
    addr: String,
}

/// Response of the agent to a dispatch.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub reply: Option<DispatchReply>,
    pub upstream_status: Option<String>,
    /// The body, or the part received before the connection broke.
    pub body: String,
    pub is_complete: bool,
}

impl Response {
    pub fn error(&self) -> ErrorBody {
        serde_json::from_str(&self.body).unwrap_or_else(|_| panic!("not an error body: {self:?}"))
    }

    /// Returns the token indices in the order of arrival.
    pub fn token_indices(&self) -> Vec<u64> {
        events(&self.body)
            .iter()
            .filter_map(|event| event["token_index"].as_u64())
            .collect()
    }
}

pub fn events(body: &str) -> Vec<Value> {
    body.split("\n\n")
        .filter_map(|event| event.strip_prefix("data: "))
        .filter_map(|data| serde_json::from_str(data).ok())
        .collect()
}

impl TestEntry {
    pub fn new(agent: &agent::Running) -> Self {
        Self {
            http: Client::new(ClientConfig::default().with_nodelay(true)),
            addr: agent.addr().to_string(),
        }
    }

    pub fn request(&self, meta: &DispatchMeta, body: Vec<u8>) -> Conn {
        self.http
            .post(format!("http://{}{}", self.addr, rpc::DISPATCH_PATH))
            .with_request_header(rpc::PEER_HEADER, SECRET)
            .with_request_header(rpc::DISPATCH_HEADER, serde_json::to_string(meta).unwrap())
            .with_body(body)
    }

    /// Sends a dispatch and waits for the head of its response.
    pub async fn send(&self, meta: &DispatchMeta) -> Conn {
        with_timeout("the head of the response", self.request(meta, prompt()))
            .await
            .expect("the agent must respond")
    }

    /// Sends a dispatch and reads its response to the end.
    pub async fn dispatch(&self, meta: &DispatchMeta) -> Response {
        read(self.send(meta).await).await
    }

    /// Starts a dispatch in the background.
    pub fn spawn_dispatch(&self, meta: DispatchMeta) -> smol::Task<Response> {
        let entry = self.clone();
        smol::spawn(async move { entry.dispatch(&meta).await })
    }

    /// Sends a dispatch in the background; the task returns once the response
    /// head has arrived.
    pub fn spawn_send(&self, meta: DispatchMeta) -> smol::Task<Conn> {
        let entry = self.clone();
        smol::spawn(async move { entry.send(&meta).await })
    }

    pub async fn get(&self, path: &str) -> (u16, String) {
        let conn = self.http.get(format!("http://{}{path}", self.addr));
        let response = read(
            with_timeout("the response", conn)
                .await
                .expect("the agent must respond"),
        )
        .await;
        (response.status, response.body)
    }

    pub fn rpc_client(&self) -> rpc::Client {
        rpc::Client::new("entry-1".into(), secrets())
    }

    pub async fn recall(&self, request_id: &str, cancel: bool) -> policy::schedule::Recall {
        let params = rpc::methods::RecallParams {
            request_id: RequestId::from(request_id),
            cancel,
        };
        let client = self.rpc_client();
        client
            .call::<rpc::methods::RecallRequest>(&self.addr, Generation(7), params, TEST_TIMEOUT)
            .await
            .expect("the recall must succeed")
            .answer
            .recall
    }

    /// Returns the crash evidence of the agent.
    pub async fn evidence(&self) -> Vec<Evidence> {
        self.exchange_evidence(Vec::new()).await
    }

    /// Sends crash evidence to the agent; returns the agent's merged evidence.
    pub async fn exchange_evidence(&self, params: Vec<Evidence>) -> Vec<Evidence> {
        let client = self.rpc_client();
        let exchange = client.call::<rpc::methods::ExchangeEvidence>(
            &self.addr,
            Generation(7),
            params,
            TEST_TIMEOUT,
        );
        exchange.await.expect("the exchange must succeed").answer
    }

    /// Calls the drain method; returns whether the call succeeded.
    pub async fn drain(&self) -> bool {
        let client = self.rpc_client();
        let drained =
            client.call::<rpc::methods::Drain>(&self.addr, Generation(7), (), TEST_TIMEOUT);
        drained.await.is_ok()
    }

    pub async fn status(&self) -> rpc::methods::Status {
        self.rpc_client()
            .call::<rpc::methods::GetStatus>(&self.addr, Generation(7), (), TEST_TIMEOUT)
            .await
            .expect("the status call must succeed")
            .answer
    }

    /// Waits until the agent reports exactly this load.
    pub async fn wait_for_load(&self, running: u32, queued: u32) {
        with_timeout("the load", async {
            loop {
                let load = self.status().await.load.unwrap();
                if (load.running, load.queued) == (running, queued) {
                    return;
                }
                smol::Timer::after(Duration::from_millis(5)).await;
            }
        })
        .await;
    }
}

/// Reads a response until it ends or its connection breaks.
pub async fn read(conn: Conn) -> Response {
    ResponseReader::new(conn).read_to_end().await
}

/// A response that is read step by step.
pub struct ResponseReader {
    conn: Conn,
    body: Vec<u8>,
}

impl ResponseReader {
    pub fn new(conn: Conn) -> Self {
        Self {
            conn,
            body: Vec::new(),
        }
    }

    /// Reads until `count` tokens have arrived.
    pub async fn read_until_token(mut self, count: usize) -> Self {
        while events(&String::from_utf8_lossy(&self.body)).len() < count {
            let has_more = self.read_chunk().await;
            assert_eq!(
                has_more,
                Some(true),
                "the response ended before the expected tokens"
            );
        }
        self
    }

    /// Reads until the response ends or its connection breaks.
    pub async fn read_to_end(mut self) -> Response {
        let is_complete = loop {
            match self.read_chunk().await {
                Some(true) => {}
                Some(false) => break true,
                None => break false,
            }
        };
        let header = |name: &'static str| {
            let headers = self.conn.response_headers();
            headers.get_str(name).map(str::to_string)
        };
        Response {
            status: self.conn.status().map_or(0, |status| status as u16),
            reply: header(rpc::REPLY_HEADER).map(|text| serde_json::from_str(&text).unwrap()),
            upstream_status: header(rpc::UPSTREAM_STATUS_HEADER),
            body: String::from_utf8(self.body).unwrap(),
            is_complete,
        }
    }

    /// Reads more bytes; returns `Some(false)` at the end of the response and
    /// `None` if the connection broke.
    async fn read_chunk(&mut self) -> Option<bool> {
        use futures_lite::AsyncReadExt;

        let mut buffer = [0; 4096];
        let mut body = self.conn.response_body();
        let count = with_timeout("more of the response", body.read(&mut buffer))
            .await
            .ok()?;
        self.body.extend_from_slice(&buffer[..count]);
        Some(count > 0)
    }
}

/// Closes the connection in the middle of a response.
pub fn disconnect(mut conn: Conn) {
    conn.request_headers_mut().insert("connection", "close");
    drop(conn);
}
