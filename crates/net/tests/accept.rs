//! A burst of connections beyond the descriptors of the process, on one thread.
//!
//! One test only, because it lowers the limit of descriptors of its own process; the
//! crowd is another process.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    process::{Child, Command, Stdio},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use async_global_executor::GlobalExecutorConfig;
use net::{ClientBudget, ConnectionGuard, GuardPolicy, HeadRejection, RejectionContext};
use policy::client_limits::ClientLimits;
use rustix::process::{getrlimit, setrlimit, Resource};
use trillium::Conn;

const CROWD_ENV: &str = "LIMPETGW_TEST_CROWD_ADDR";
const CROWD_CONNECTIONS: usize = 600;
const CROWD_STAYS: Duration = Duration::from_secs(2);
const CONNECTIONS_MAX: usize = 60;
const DESCRIPTORS_MAX: u64 = 160;
const READ_TIMEOUT: Duration = Duration::from_secs(5);

struct Policy;

impl GuardPolicy for Policy {
    fn head_timeout(&self) -> Duration {
        READ_TIMEOUT
    }

    fn idle_timeout(&self) -> Option<Duration> {
        None
    }

    fn stall_timeout(&self) -> Duration {
        READ_TIMEOUT
    }

    fn body_timeout(&self) -> Option<Duration> {
        None
    }

    fn rejection_response(&self, _rejection: HeadRejection) -> Vec<u8> {
        b"HTTP/1.1 503 Any\r\nconnection: close\r\ncontent-length: 0\r\n\r\n".into()
    }

    fn on_rejected(&self, _rejection: HeadRejection, _context: RejectionContext) {}
}

fn start_server() -> SocketAddr {
    let one_thread = GlobalExecutorConfig::default()
        .with_min_threads(1)
        .with_max_threads(1);
    async_global_executor::init_with_config(one_thread);
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let (socket, addr) = net::listen(any_port).expect("bind loopback port");
    let budget = ClientBudget::new(ClientLimits {
        memory_bytes: 64 << 20,
        connections_max: CONNECTIONS_MAX,
    });
    net::server_config(socket)
        .with_acceptor(ConnectionGuard::new(Arc::new(Policy)).with_budget(budget))
        .spawn(|conn: Conn| async move { conn.ok("served") });
    addr
}

fn start_crowd(addr: SocketAddr) -> Child {
    let program = std::env::current_exe().expect("path of the test program");
    Command::new(program)
        .args(["--exact", "crowd"])
        .env(CROWD_ENV, addr.to_string())
        .stdout(Stdio::null())
        .spawn()
        .expect("start the crowd")
}

fn lower_descriptor_limit() {
    let mut limit = getrlimit(Resource::Nofile);
    limit.current = Some(DESCRIPTORS_MAX);
    setrlimit(Resource::Nofile, limit).expect("a lower limit is allowed");
}

fn open_descriptors() -> u64 {
    let listed = std::fs::read_dir("/proc/self/fd");
    // Without a free descriptor the folder can't be read.
    listed.map_or(DESCRIPTORS_MAX, |entries| entries.count() as u64)
}

/// Returns the status line of a request on a new connection, empty without a response.
fn ask(addr: SocketAddr) -> String {
    let mut line = [0; 12];
    let answered = TcpStream::connect(addr).and_then(|mut stream| {
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        stream.write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")?;
        stream.read_exact(&mut line)
    });
    match answered {
        Ok(()) => String::from_utf8_lossy(&line).into_owned(),
        Err(_) => String::new(),
    }
}

/// Not a test, but the crowd of the one below, which starts it.
#[test]
fn crowd() {
    let Ok(addr) = std::env::var(CROWD_ENV) else {
        return;
    };
    let connections: Vec<TcpStream> = (0..CROWD_CONNECTIONS)
        .filter_map(|_| {
            let mut stream = TcpStream::connect(&addr).ok()?;
            stream.write_all(b"GET / HT").ok()?;
            Some(stream)
        })
        .collect();
    thread::sleep(CROWD_STAYS);
    drop(connections);
}

/// Guards against a failure: a burst was accepted to the last descriptor before any task
/// ran that refuses a connection, and the accept loop then spun for good.
#[test]
fn requests_are_served_during_and_after_a_burst_beyond_the_descriptors() {
    if std::env::var(CROWD_ENV).is_ok() {
        return;
    }
    let addr = start_server();
    assert_eq!(ask(addr), "HTTP/1.1 200");
    let mut crowd = start_crowd(addr);
    lower_descriptor_limit();

    let mut peak = 0;
    let burst_at = Instant::now();
    while burst_at.elapsed() < CROWD_STAYS / 2 {
        peak = peak.max(open_descriptors());
        thread::sleep(Duration::from_millis(5));
    }
    let during = ask(addr);
    crowd.wait().expect("the crowd ends");
    let after = ask(addr);

    assert_eq!(
        (during.as_str(), after.as_str()),
        ("HTTP/1.1 200", "HTTP/1.1 200")
    );
    // The limit of connections, those being closed, and the files of the process.
    assert!(peak < DESCRIPTORS_MAX, "{peak} descriptors");
}
