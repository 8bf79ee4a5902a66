//! Fixtures: an agent in this process, a fake engine whose answers the test
//! writes, and an entry's side of a dispatch.

#![allow(dead_code, unreachable_pub, unused_imports)]

mod engine;
mod store;

pub use engine::{token_event, usage_event, Arrived, Engine, Part};

pub use store::Store;

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

/// Bound on every wait of a test.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Waits for a future within the bound.
pub async fn soon<T>(what: &str, future: impl std::future::IntoFuture<Output = T>) -> T {
    let late = async {
        smol::Timer::after(PATIENCE).await;
        panic!("{what}: nothing within {} s", PATIENCE.as_secs());
    };
    future.into_future().or(late).await
}

/// Waits until a condition holds.
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    soon(what, async {
        while !holds() {
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

/// Starts an agent in front of an engine, with room for `running_max` requests.
pub async fn start(settings: agent::Settings, document: Document) -> agent::Running {
    start_with(settings, document, Vec::new(), Store::new()).await
}

/// An agent's line in the instance list.
pub fn listed(instance: &str, agent: &agent::Running) -> Instance {
    Instance {
        instance: instance.into(),
        role: Role::Agent,
        upstream: Some(UPSTREAM.into()),
        zone: "az-1".into(),
        addr: agent.addr().to_string().into(),
        state: InstanceState::Live,
    }
}

/// Starts an agent that knows others and has a store; returns once it is ready.
pub async fn start_with(
    settings: agent::Settings,
    document: Document,
    others: Vec<Instance>,
    store: Arc<Store>,
) -> agent::Running {
    let shared = SharedState::fixed(Snapshot::new(Generation(7), document), others);
    let running = agent::start(settings, shared, store).await.unwrap();
    let entry = Entry::of(&running);
    soon("a ready agent", async {
        while entry.get("/readyz").await.0 != 200 {
            smol::Timer::after(Duration::from_millis(5)).await;
        }
    })
    .await;
    running
}

pub async fn engine_and_agent(running_max: u32) -> (Engine, agent::Running) {
    let engine = Engine::start().await;
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

pub fn urgent(request_id: &str) -> DispatchMeta {
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

/// An entry's connections to an agent.
#[derive(Clone)]
pub struct Entry {
    http: Client,
    addr: String,
}

/// What a dispatch came to.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub reply: Option<DispatchReply>,
    pub upstream_status: Option<String>,
    /// The body, or what came of it before it was cut.
    pub body: String,
    pub is_whole: bool,
}

impl Answer {
    pub fn error(&self) -> ErrorBody {
        serde_json::from_str(&self.body).unwrap_or_else(|_| panic!("not an error: {self:?}"))
    }

    /// Token indices in the order of their arrival.
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

impl Entry {
    pub fn of(agent: &agent::Running) -> Self {
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

    /// Sends a dispatch and waits for the head of its answer.
    pub async fn send(&self, meta: &DispatchMeta) -> Conn {
        soon("head of an answer", self.request(meta, prompt()))
            .await
            .expect("the agent answers")
    }

    /// Sends a dispatch and reads its answer to the end.
    pub async fn dispatch(&self, meta: &DispatchMeta) -> Answer {
        read(self.send(meta).await).await
    }

    /// Starts a dispatch in the background.
    pub fn begin(&self, meta: DispatchMeta) -> smol::Task<Answer> {
        let entry = self.clone();
        smol::spawn(async move { entry.dispatch(&meta).await })
    }

    /// Starts a dispatch in the background and waits there for the head of
    /// its answer.
    pub fn begin_head(&self, meta: DispatchMeta) -> smol::Task<Conn> {
        let entry = self.clone();
        smol::spawn(async move { entry.send(&meta).await })
    }

    pub async fn get(&self, path: &str) -> (u16, String) {
        let conn = self.http.get(format!("http://{}{path}", self.addr));
        let answer = read(soon("an answer", conn).await.expect("the agent answers")).await;
        (answer.status, answer.body)
    }

    pub fn calls(&self) -> rpc::Client {
        rpc::Client::new("entry-1".into(), secrets())
    }

    pub async fn recall(&self, request_id: &str, cancel: bool) -> policy::schedule::Recall {
        let params = rpc::methods::RecallParams {
            request_id: RequestId::from(request_id),
            cancel,
        };
        let calls = self.calls();
        calls
            .call::<rpc::methods::RecallRequest>(&self.addr, Generation(7), params, PATIENCE)
            .await
            .expect("the recall is answered")
            .answer
            .recall
    }

    /// What the agent knows about crashes.
    pub async fn evidence(&self) -> Vec<Evidence> {
        self.tell_evidence(Vec::new()).await
    }

    /// Tells the agent about crashes; what it knows then.
    pub async fn tell_evidence(&self, params: Vec<Evidence>) -> Vec<Evidence> {
        let calls = self.calls();
        let exchange = calls.call::<rpc::methods::ExchangeEvidence>(
            &self.addr,
            Generation(7),
            params,
            PATIENCE,
        );
        exchange.await.expect("the exchange is answered").answer
    }

    /// Asks the agent to drain.
    pub async fn drain(&self) -> bool {
        let calls = self.calls();
        let drained = calls.call::<rpc::methods::Drain>(&self.addr, Generation(7), (), PATIENCE);
        drained.await.is_ok()
    }

    pub async fn status(&self) -> rpc::methods::Status {
        self.calls()
            .call::<rpc::methods::GetStatus>(&self.addr, Generation(7), (), PATIENCE)
            .await
            .expect("the status is answered")
            .answer
    }

    /// Waits until the agent's load is as wanted.
    pub async fn until_load(&self, running: u32, queued: u32) {
        soon("the load", async {
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

/// Reads an answer to its end, clean or cut.
pub async fn read(conn: Conn) -> Answer {
    Reading::of(conn).until_end().await
}

/// An answer that is being read.
pub struct Reading {
    conn: Conn,
    body: Vec<u8>,
}

impl Reading {
    pub fn of(conn: Conn) -> Self {
        Self {
            conn,
            body: Vec::new(),
        }
    }

    /// Reads until `count` tokens have come.
    pub async fn until_token(mut self, count: usize) -> Self {
        while events(&String::from_utf8_lossy(&self.body)).len() < count {
            let more = self.more().await;
            assert_eq!(more, Some(true), "the answer ended early");
        }
        self
    }

    /// Reads to the end, clean or cut.
    pub async fn until_end(mut self) -> Answer {
        let is_whole = loop {
            match self.more().await {
                Some(true) => {}
                Some(false) => break true,
                None => break false,
            }
        };
        let header = |name: &'static str| {
            let headers = self.conn.response_headers();
            headers.get_str(name).map(str::to_string)
        };
        Answer {
            status: self.conn.status().map_or(0, |status| status as u16),
            reply: header(rpc::REPLY_HEADER).map(|text| serde_json::from_str(&text).unwrap()),
            upstream_status: header(rpc::UPSTREAM_STATUS_HEADER),
            body: String::from_utf8(self.body).unwrap(),
            is_whole,
        }
    }

    /// Whether more bytes came; `None` when the answer was cut.
    async fn more(&mut self) -> Option<bool> {
        use futures_lite::AsyncReadExt;

        let mut buffer = [0; 4096];
        let mut body = self.conn.response_body();
        let count = soon("more of an answer", body.read(&mut buffer))
            .await
            .ok()?;
        self.body.extend_from_slice(&buffer[..count]);
        Some(count > 0)
    }
}

/// Hangs up in the middle of an answer.
pub fn hang_up(mut conn: Conn) {
    conn.request_headers_mut().insert("connection", "close");
    drop(conn);
}
