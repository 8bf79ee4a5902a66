//! The process under test, with stand-ins for the systems around it.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use harness::{
    default_document, ChatRequest, Cluster, ClusterPlan, Process, ProcessSpec, Programs,
};
use serde_json::json;
use wire_standins::{
    caller::{get, KEY},
    documents::{config, route, server_entry, team, ORDERS, PLANS},
    engine::{self, ConnectionAction, FakeEngine},
    http::ReceivedRequest,
    store::FakeStore,
};

/// Largest legal body of a request.
pub const BODY_MAX_BYTES: usize = 4 << 20;
/// Size of the response at [`LARGE_PATH`], below the gateway's limit for one.
const LARGE_RESPONSE_BYTES: usize = 3 << 20;
/// Path at the gateway with a large response.
pub const LARGE_PATH: &str = "/look/large";
/// Time within which an ordinary request has to be answered after the clients have
/// left; far above the timeouts in force.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Gateway,
    Entry,
}

/// Limits that the process under test is told, and the bounds that are checked.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub memory_mb: u64,
    pub descriptors_max: usize,
    pub descriptors_bound: usize,
}

impl Limits {
    /// Memory of the smallest machine of a deployment.
    pub fn smallest_machine() -> Self {
        Self {
            memory_mb: 120,
            descriptors_max: 1_000,
            descriptors_bound: 1_000,
        }
    }

    /// 200 of the descriptors are reserved for files, so 100 are left for
    /// connections; the bound allows 40 for the files in use.
    pub fn few_descriptors() -> Self {
        Self {
            descriptors_max: 300,
            descriptors_bound: 140,
            ..Self::smallest_machine()
        }
    }

    pub fn memory_bytes(self) -> u64 {
        self.memory_mb << 20
    }

    fn envs(self) -> Vec<(String, String)> {
        vec![
            (
                "LIMPETGW_MEMORY_LIMIT_MB".into(),
                self.memory_mb.to_string(),
            ),
            (
                "LIMPETGW_DESCRIPTORS_MAX".into(),
                self.descriptors_max.to_string(),
            ),
        ]
    }
}

/// A gateway or an entry, and what it needs to answer an ordinary request.
pub enum UnderTest {
    Gateway {
        process: Box<Process>,
        _store: FakeStore,
    },
    Entry(Box<Cluster>),
}

impl UnderTest {
    pub fn start(role: Role, limits: Limits) -> Self {
        match role {
            Role::Gateway => start_gateway(limits),
            Role::Entry => start_entry(limits),
        }
    }

    pub fn role(&self) -> Role {
        match self {
            Self::Gateway { .. } => Role::Gateway,
            Self::Entry(_) => Role::Entry,
        }
    }

    pub fn process(&self) -> &Process {
        match self {
            Self::Gateway { process, .. } => process,
            Self::Entry(cluster) => cluster.process("entry-0").expect("the entry was started"),
        }
    }

    pub fn addr(&self) -> SocketAddr {
        self.process().addr().parse().expect("a socket address")
    }

    pub fn operator_addr(&self) -> SocketAddr {
        self.process()
            .internal_addr()
            .parse()
            .expect("a socket address")
    }

    pub fn is_running(&mut self) -> bool {
        match self {
            Self::Gateway { process, .. } => process.is_running(),
            Self::Entry(cluster) => cluster
                .is_running("entry-0")
                .expect("the entry was started"),
        }
    }

    pub fn peak_bytes(&self) -> u64 {
        self.process().peak_rss_bytes().expect("the process runs")
    }

    pub fn open_descriptors(&self) -> usize {
        // A process that has ended is reported by `is_running`.
        self.process().open_descriptors().unwrap_or(0)
    }

    /// Waits until an ordinary request is answered.
    pub fn assert_serves(&self) {
        let deadline = Instant::now() + RECOVERY_TIMEOUT;
        loop {
            let seen = match self {
                Self::Gateway { .. } => ask_gateway(self.addr()),
                Self::Entry(cluster) => smol::block_on(ask_entry(cluster)),
            };
            let Err(seen) = seen else {
                return;
            };
            assert!(Instant::now() < deadline, "no answer afterwards: {seen}");
            thread::sleep(Duration::from_millis(100));
        }
    }
}

fn ask_gateway(addr: SocketAddr) -> Result<(), String> {
    let response = get("/look/1", "ordinary").send(addr);
    match response.status == 200 && response.complete {
        true => Ok(()),
        false => Err(format!("{response:?}")),
    }
}

async fn ask_entry(cluster: &Cluster) -> Result<(), String> {
    let reply = cluster
        .caller(0)
        .chat(&ChatRequest::streamed("how worn? [len=5]"))
        .await;
    match reply.outcome.is_complete() {
        true => Ok(()),
        false => Err(format!("{reply:?}")),
    }
}

fn start_gateway(limits: Limits) -> UnderTest {
    let store = FakeStore::start();
    for (service, name) in [(ORDERS, "o-0"), (ORDERS, "o-1"), (PLANS, "p-0")] {
        let instance = FakeEngine::start(name, answer);
        let spec = server_entry(service, instance.addr, "ready", 1, 1_775_000_000_000);
        store.put("servers", name, spec);
    }
    let routes = [
        route("/look/", "safe", ORDERS, 2),
        route("/plan/", "stream", PLANS, 2),
    ];
    let mut document = config(1, &routes, &[team("clinic", KEY)]);
    document["limits"]["max-body-bytes"] = json!(BODY_MAX_BYTES);
    store.put("config", "main", document);
    let programs = Programs::from_current_exe().expect("the folder of the programs");
    let store_addr = store.addr.to_string();
    let args = [
        "gateway",
        "--instance",
        "edge-1",
        "--zone",
        "az-1",
        "--store",
    ];
    let mut args: Vec<String> = args.map(String::from).into();
    args.push(store_addr);
    let spec = ProcessSpec {
        program: programs.limpetgw().expect("the program is built"),
        args,
        envs: limits.envs(),
        listen_flag: "--listen",
        operator_flag: Some("--operator-listen"),
    };
    let process = Process::start("gateway", spec).expect("the gateway starts");
    let gateway = UnderTest::Gateway {
        process: Box::new(process),
        _store: store,
    };
    gateway.assert_serves();
    gateway
}

/// Answers as an instance of the gateway's services does.
fn answer(request: &ReceivedRequest, stream: &mut std::net::TcpStream) -> ConnectionAction {
    match request.target() {
        LARGE_PATH => {
            let body = "x".repeat(LARGE_RESPONSE_BYTES);
            engine::send_signed_response(request, stream, 200, &body)
        }
        _ => engine::send_signed_response(request, stream, 200, "fine"),
    }
}

fn start_entry(limits: Limits) -> UnderTest {
    let mut document = default_document();
    document.limits.body_max_bytes = BODY_MAX_BYTES as u64;
    let plan = ClusterPlan::builder()
        .document(document)
        .engine_args(harness::args("--token-ms 1 --batch-max 16"))
        .entry_envs(limits.envs())
        .build();
    let cluster = smol::block_on(Cluster::start(plan)).expect("the cluster starts");
    UnderTest::Entry(Box::new(cluster))
}
