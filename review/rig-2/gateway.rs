//! Starts gateways as the deploy file does, with the settings of a small deployment.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::http::Connection;

/// What an entry machine has.
#[derive(Clone, Copy)]
pub struct Machine {
    pub memory_mb: u32,
    pub descriptors_max: u32,
}

/// Descriptors of a process that are reserved for files.
const FILE_DESCRIPTORS: u32 = 200;

/// A gateway process, killed when it is dropped.
pub struct Gateway {
    name: String,
    machine: Machine,
    store: SocketAddr,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    peers: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Folder for temporary files, removed when it is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Self {
        let name = format!("limpetgw-review-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("the bound address")
}

impl Gateway {
    pub fn new(name: &str, machine: Machine, store: SocketAddr, folder: &Path) -> Self {
        let settings = folder.join(format!("{name}.json"));
        let text = "{\"retry_ratio\": 0.2, \"retry_allowance\": 54, \"retry_window_s\": 10, \
                    \"grace_s\": 8, \"drain_ms\": 2000}\n";
        fs::write(&settings, text).expect("the settings file");
        Self {
            name: name.into(),
            machine,
            store,
            front: free_addr(),
            ready: free_addr(),
            peers: free_addr(),
            settings,
            log: folder.join(format!("{name}.log")),
            child: None,
        }
    }

    /// Starts the process. The shell sets the limit of descriptors and becomes it.
    pub fn start(&mut self) {
        let Machine {
            memory_mb,
            descriptors_max,
        } = self.machine;
        let command = format!(
            "ulimit -n {}; exec target/release/limpetgw gateway --instance {} --zone sierra-a \
             --listen {} --operator-listen {} --store {} --threads 1 --peer-listen {} \
             --cpu-share 0.19 --memory-limit-mb {memory_mb} --descriptors-max {descriptors_max}",
            descriptors_max - FILE_DESCRIPTORS,
            self.name,
            self.front,
            self.ready,
            self.store,
            self.peers
        );
        let log = File::create(&self.log).expect("the log file");
        let child = Command::new("/bin/sh")
            .args(["-c", &command])
            .env("LIMPETGW_CONFIG", &self.settings)
            .env("LIMPETGW_LOG_FORMAT", "json")
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()
            .expect("the gateway starts");
        self.child = Some(child);
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends SIGKILL and waits for the end of the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(900);
        let Ok(mut connection) = Connection::open(self.ready, timeout) else {
            return false;
        };
        let asked =
            connection.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
        asked.is_ok() && matches!(connection.read(), Ok(Some(answer)) if answer.status() == 200)
    }

    /// Waits until the process is ready, at most for `time`.
    pub fn is_ready_within(&self, time: Duration) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Resident memory of the process in bytes.
    pub fn resident_bytes(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kib << 10)
    }

    /// Open descriptors of the process.
    pub fn descriptors(&self) -> usize {
        let folder = fs::read_dir(format!("/proc/{}/fd", self.pid()));
        folder.map_or(0, Iterator::count)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
