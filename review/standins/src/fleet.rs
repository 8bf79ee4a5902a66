//! A small deployment: the store, engines and one gateway process, started with
//! the command of the deploy file.

use std::{
    error::Error,
    fs,
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{Client, ClientRequest},
    engine::{Engine, EngineSpec, Runs},
    record::Record,
    store::Store,
};

pub type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Host of all routes.
pub const HOST: &str = "carving.example";
/// Keys of the only tenant.
pub const KEYS: [&str; 2] = ["key-one-of-the-clinic", "key-two-of-the-clinic"];
/// Route of orders, which may run at most once.
pub const ORDERS: &str = "/orders/";
/// Route of reviews, streams that may not be resumed and so run at most once.
pub const REVIEWS: &str = "/reviews/";
/// Route of plans, streams that may be resumed.
pub const PLANS: &str = "/plans/";

/// Bounds of the site `horma-quito`.
pub const CONFIG_BOUND: Duration = Duration::from_millis(2_000);
pub const DRAIN_BOUND: Duration = Duration::from_millis(2_000);

/// Specifications of three engines of the service of orders.
pub fn order_engines() -> Vec<EngineSpec> {
    let names = ["order-1", "order-2", "order-3"].into_iter();
    let engines = names.map(|name| EngineSpec {
        name,
        service: "pedidos",
        slots: 6,
        work: Duration::from_millis(30),
        streams: false,
    });
    engines.collect()
}

/// Specifications of four model engines.
pub fn model_engines() -> Vec<EngineSpec> {
    let names = ["model-1", "model-2", "model-3", "model-4"].into_iter();
    let engines = names.map(|name| EngineSpec {
        name,
        service: "talla-llm",
        slots: 64,
        work: Duration::from_millis(50),
        streams: true,
    });
    engines.collect()
}

/// Longest time until a gateway is ready.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Process ids of the gateways that run.
static GATEWAYS: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all gateways that were started here and still run.
pub fn kill_gateways() {
    for id in GATEWAYS.lock().expect("unpoisoned").iter() {
        let _ = signal(*id, "KILL");
    }
}

/// Sends a signal to a process.
pub fn signal(process_id: u32, name: &str) -> std::io::Result<()> {
    let command = format!("kill -{name} {process_id}");
    Command::new("sh").args(["-c", &command]).status().map(drop)
}

pub struct Fleet {
    pub store: Store,
    pub engines: Vec<Engine>,
    pub runs: Runs,
    pub record: Record,
    pub addr: SocketAddr,
    gateway: Child,
    folder: PathBuf,
}

impl Fleet {
    /// Starts the deployment and waits until the gateway is ready.
    pub fn start(record: &Record, engines: Vec<EngineSpec>) -> Result<Self> {
        let store = Store::start()?;
        store.put("config", "main", &config(1, &KEYS));
        let runs = Runs::default();
        let engines: Result<Vec<Engine>> = engines
            .into_iter()
            .map(|spec| Engine::start(spec, &store, record, &runs))
            .collect();
        let engines = engines?;
        let folder = std::env::temp_dir().join(format!("limpetgw-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let settings = folder.join("node.json");
        // The template of the deploy file with the bounds of the site.
        fs::write(
            &settings,
            "{\"retry_ratio\": 0.2, \"retry_allowance\": 54, \"retry_window_s\": 10, \"grace_s\": 8}",
        )?;
        let (addr, ready_addr) = (free_addr()?, free_addr()?);
        let log = fs::File::create(folder.join("gateway.log"))?;
        let gateway = Command::new("target/release/limpetgw")
            .args([
                "gateway",
                "--instance",
                "edge-sierra-a-1",
                "--zone",
                "sierra-a",
            ])
            .args(["--listen", &addr.to_string()])
            .args(["--operator-listen", &ready_addr.to_string()])
            .args(["--store", &store.addr.to_string(), "--threads", "1"])
            .env("LIMPETGW_LOG_FORMAT", "json")
            .env("LIMPETGW_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        GATEWAYS.lock().expect("unpoisoned").push(gateway.id());
        let fleet = Self {
            store,
            engines,
            runs,
            record: record.clone(),
            addr,
            gateway,
            folder,
        };
        fleet.wait_until_ready(ready_addr)?;
        Ok(fleet)
    }

    fn wait_until_ready(&self, addr: SocketAddr) -> Result<()> {
        let started_at = Instant::now();
        while started_at.elapsed() < START_TIMEOUT {
            if is_ready(addr) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err("the gateway is not ready".into())
    }

    /// Sends a signal to the gateway.
    pub fn signal(&self, name: &str) -> Result<()> {
        self.record.line(&format!("the gateway gets SIG{name}"));
        Ok(signal(self.gateway.id(), name)?)
    }

    /// Writes a configuration in which the tenant has these keys. It is
    /// acknowledged on return.
    pub fn configure(&self, version: u64, keys: &[&str]) {
        self.store.put("config", "main", &config(version, keys));
        self.record.line(&format!(
            "store: configuration {version} with {} keys is acknowledged",
            keys.len()
        ));
    }

    /// Sends one request on a connection of its own and returns its status.
    pub fn call_once(&self, request: &ClientRequest<'_>) -> Option<u16> {
        let mut client = Client::connect(self.addr, &self.record).ok()?;
        client.call(request).ok().map(|answer| answer.status())
    }

    /// Returns how often a request ran.
    pub fn run_count(&self, request_id: &str) -> usize {
        let runs = self.runs.lock().expect("unpoisoned");
        runs.iter()
            .filter(|run| run.request_id == request_id)
            .count()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let id = self.gateway.id();
        let _ = self.gateway.kill();
        let _ = self.gateway.wait();
        GATEWAYS
            .lock()
            .expect("unpoisoned")
            .retain(|other| *other != id);
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn is_ready(addr: SocketAddr) -> bool {
    use std::io::{Read, Write};
    let Ok(mut stream) = TcpStream::connect(addr) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let sent = stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
    let mut start = [0; 12];
    sent.is_ok() && stream.read_exact(&mut start).is_ok() && start.ends_with(b"200")
}

fn free_addr() -> Result<SocketAddr> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?)
}

/// A configuration with the routes, limits and bounds of the site
/// `horma-quito`.
fn config(version: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let keys = keys.join(",");
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"r-orders\",\"host\":\"{HOST}\",\"prefix\":\"{ORDERS}\",\"kind\":\"unsafe\",\
         \"timeout-ms\":1200,\"slo-ms\":150,\"priority\":2,\"service\":\"pedidos\",\"attempts\":1,\
         \"public\":false,\"sticky\":false}},\
         {{\"name\":\"r-reviews\",\"host\":\"{HOST}\",\"prefix\":\"{REVIEWS}\",\"kind\":\"stream\",\
         \"timeout-ms\":5000,\"slo-ms\":500,\"priority\":1,\"service\":\"talla-llm\",\"attempts\":1,\
         \"public\":false,\"sticky\":true,\"can-resume\":false,\"itl-target-ms\":300}},\
         {{\"name\":\"r-plans\",\"host\":\"{HOST}\",\"prefix\":\"{PLANS}\",\"kind\":\"stream\",\
         \"timeout-ms\":10000,\"slo-ms\":1500,\"priority\":2,\"service\":\"talla-llm\",\"attempts\":2,\
         \"public\":false,\"sticky\":true,\"can-resume\":true,\"itl-target-ms\":800}}],\
         \"services\":[{{\"name\":\"pedidos\",\"health-path\":\"/healthz\",\"max-conns\":100,\
         \"protocol\":\"h1\",\"tls\":false}},\
         {{\"name\":\"talla-llm\",\"health-path\":\"/healthz\",\"max-conns\":360,\"protocol\":\"h1\",\
         \"tls\":false,\"engine\":{{\"slots\":64,\"kv-capacity\":659492,\"stride\":4,\
         \"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"clinic\",\"api-keys\":[{keys}],\"priority\":1}}]}}"
    )
}
