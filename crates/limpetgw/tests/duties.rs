//! Reports of usage by gateway processes that are killed, paused and started again.
#![allow(missing_docs)]

use std::{
    net::{SocketAddr, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use rstest::rstest;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::json;
use wire_standins::{
    caller::KEY,
    cloud::FakeCloud,
    documents::{config, route, team, ORDERS},
    store::FakeStore,
};

const LONG_TIMEOUT: Duration = Duration::from_secs(30);
const WINDOW_MS: u64 = 1_000;
const LATE_MS: u64 = 6_000;
const LEASE: Duration = Duration::from_millis(1_500);
/// Time after which every gateway knows the others also by the store.
const STEADY: Duration = Duration::from_secs(9);

/// A gateway process, killed on drop.
struct Gateway {
    process: String,
    child: Child,
    file: PathBuf,
}

impl Gateway {
    /// Starts a gateway; `process` names it in the calls to the API.
    fn start(
        store: &FakeStore,
        cloud: &FakeCloud,
        name: &str,
        process: &str,
        is_linked: bool,
    ) -> Self {
        let settings = json!({
            "platform_api": cloud.listen_for(process).to_string(), "duties": ["metering"],
            "fence_checked": false, "lease_ms": LEASE.as_millis() as u64, "thaw_ms": 100,
            "usage_window_s": WINDOW_MS / 1_000, "usage_late_s": LATE_MS / 1_000,
        });
        let file_name = format!(
            "limpetgw-test-{}-{}.json",
            std::process::id(),
            cloud_id(cloud, process)
        );
        let file = std::env::temp_dir().join(file_name);
        std::fs::write(&file, settings.to_string()).expect("write settings file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_limpetgw"));
        command
            .args(["gateway", "--instance", name, "--zone", "az-1"])
            .args(["--threads", "1", "--store", &store.addr.to_string()])
            .args(["--listen", "127.0.0.1:0"])
            .args(["--operator-listen", "127.0.0.1:0"])
            .arg("--settings-file")
            .arg(&file)
            .stdout(Stdio::null())
            .stderr(Stdio::null());
        if is_linked {
            command.args(["--peer-listen", &free_udp_addr().to_string()]);
        }
        Self {
            process: process.into(),
            child: command.spawn().expect("the gateway starts"),
            file,
        }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the process runs");
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // Fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// Returns a name that no other gateway of the test run has.
fn cloud_id(cloud: &FakeCloud, process: &str) -> String {
    format!("{process}-{}", cloud.listen_for("unused").port())
}

fn free_udp_addr() -> SocketAddr {
    // Freed before the gateway binds it; nothing else asks for ports in between
    // often enough to matter.
    let socket = UdpSocket::bind("127.0.0.1:0").expect("bind to a local port");
    socket.local_addr().expect("local address")
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.expect("time after 1970").as_millis() as u64
}

fn wait_for(description: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + LONG_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "timed out waiting for {description}"
        );
        thread::sleep(Duration::from_millis(10));
    }
}

fn store() -> FakeStore {
    let store = FakeStore::start();
    let routes = [route("/look/", "safe", ORDERS, 2)];
    store.put("config", "main", config(3, &routes, &[team("clinic", KEY)]));
    store
}

fn wait_for_present_window(cloud: &FakeCloud) {
    let window = unix_ms() / WINDOW_MS;
    wait_for("report of the present window", || {
        cloud.reports().contains_key(&window)
    });
}

/// Checks the rules, and that no window is missing or late.
fn check(cloud: &FakeCloud, late_ms: u64) {
    let violations = cloud.violations(LEASE);
    assert!(violations.is_empty(), "{violations:#?}");
    let reports = cloud.reports();
    let first = *reports.keys().min().expect("a report");
    let last = *reports.keys().max().expect("a report");
    for window in first..=last {
        let report = reports.get(&window).expect("every window is reported");
        let after_ms = report.at_unix_ms.saturating_sub((window + 1) * WINDOW_MS);
        assert!(after_ms <= late_ms, "window {window} after {after_ms} ms");
    }
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The holder is killed.
    Kill,
    /// The holder is killed and starts again at once under its name.
    Restart,
    /// The holder is paused until others have taken over.
    Pause,
    /// Half of the gateways are killed, the holder among them.
    KillHalf,
}

/// Guards rules 1 to 4 and the time of the reports when processes end or are paused
/// at a random moment of a window.
#[rstest]
fn reports_go_on_after_processes_end_or_pause(
    #[values(Fault::Kill, Fault::Restart, Fault::Pause, Fault::KillHalf)] fault: Fault,
    #[values(true, false)] is_linked: bool,
) {
    let (store, cloud) = (store(), FakeCloud::default());
    let mut gateways: Vec<Gateway> = (1..=4)
        .map(|number| {
            let name = format!("edge-{number}");
            Gateway::start(&store, &cloud, &name, &name, is_linked)
        })
        .collect();
    thread::sleep(STEADY);
    wait_for("reports", || cloud.reports().len() >= 2);
    let holder = cloud.last_process().expect("a call");
    let position = gateways
        .iter()
        .position(|gateway| gateway.process == holder);
    let mut holding = gateways.remove(position.expect("a gateway of the fleet"));

    let next = match fault {
        Fault::Kill => {
            holding.child.kill().expect("the process runs");
            None
        }
        Fault::Restart => {
            holding.child.kill().expect("the process runs");
            let process = format!("{holder}-second");
            Some(Gateway::start(&store, &cloud, &holder, &process, is_linked))
        }
        Fault::Pause => {
            holding.signal(Signal::STOP);
            None
        }
        Fault::KillHalf => {
            holding.child.kill().expect("the process runs");
            gateways[0].child.kill().expect("the process runs");
            None
        }
    };
    wait_for("another holder", || {
        cloud.last_process() != Some(holder.clone())
    });
    thread::sleep(Duration::from_secs(2));
    if matches!(fault, Fault::Pause) {
        cloud.on_resumed(&holder);
        holding.signal(Signal::CONT);
    }
    wait_for_present_window(&cloud);
    wait_for_present_window(&cloud);

    check(&cloud, LATE_MS + 1_000);
    drop(next);
}
