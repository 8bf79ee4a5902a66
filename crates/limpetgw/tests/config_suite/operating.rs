//! What tests of operators' work share: running commands, asking processes.

use std::{
    io::Write,
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use harness::{Cluster, Programs};
use rpc::{
    methods::{GetStatus, Status},
    PeerSecrets,
};
use types::Generation;

pub(crate) type Checked = Result<(), Box<dyn std::error::Error>>;

/// Pause between two looks at something awaited.
const LOOK_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for a process's status.
const STATUS_LIMIT: Duration = Duration::from_secs(1);

/// What an operator command did.
#[derive(Debug)]
pub(crate) struct Done {
    pub(crate) code: Option<i32>,
    pub(crate) out: String,
    pub(crate) err: String,
}

/// A file with some content, removed when the value is dropped.
pub(crate) struct TempFile(pub(crate) PathBuf);

impl TempFile {
    pub(crate) fn new(content: &str) -> std::io::Result<Self> {
        let name = format!("limpetgw-test-{:016x}", unique());
        let path = std::env::temp_dir().join(name);
        std::fs::File::create_new(&path)?.write_all(content.as_bytes())?;
        Ok(Self(path))
    }

    pub(crate) fn path(&self) -> String {
        self.0.display().to_string()
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        // The system's folder for such files is cleaned up anyway.
        let _ = std::fs::remove_file(&self.0);
    }
}

/// A number that no other test of this machine uses at this time.
fn unique() -> u64 {
    use std::hash::{BuildHasher, RandomState};
    RandomState::new().hash_one(std::process::id())
}

/// Starts an operator command against a fleet.
pub(crate) fn start(fleet: &Cluster, args: &[&str]) -> std::io::Result<Child> {
    let programs = Programs::from_current_exe().map_err(std::io::Error::other)?;
    let program = programs.limpetgw().map_err(std::io::Error::other)?;
    Command::new(program)
        .args(args)
        .env("LIMPETGW_PLATFORM", fleet.platform_addr())
        .env("LIMPETGW_PEER_SECRET", fleet.secret())
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
}

/// Waits for the end of an operator command.
pub(crate) fn finish(child: Child) -> std::io::Result<Done> {
    let output = child.wait_with_output()?;
    Ok(Done {
        code: output.status.code(),
        out: String::from_utf8_lossy(&output.stdout).into_owned(),
        err: String::from_utf8_lossy(&output.stderr).into_owned(),
    })
}

/// Runs an operator command against a fleet.
pub(crate) fn run(fleet: &Cluster, args: &[&str]) -> std::io::Result<Done> {
    finish(start(fleet, args)?)
}

/// The generation in force in a process; `None` without an answer.
pub(crate) async fn generation_of(fleet: &Cluster, name: &str) -> Option<u64> {
    Some(status_of(fleet, name).await?.generation.0)
}

/// The state of a process in its own word; `None` without an answer.
pub(crate) async fn status_of(fleet: &Cluster, name: &str) -> Option<Status> {
    let addr = fleet.process(name).ok()?.internal_addr().to_string();
    let secrets = PeerSecrets::new(fleet.secret(), None);
    let client = rpc::Client::new("test".into(), secrets.into());
    let answer = client
        .call::<GetStatus>(&addr, Generation(0), (), STATUS_LIMIT)
        .await;
    Some(answer.ok()?.answer)
}

/// Waits until all these processes have a generation in force; the time
/// taken, or the stragglers.
pub(crate) async fn wait_in_force(
    fleet: &Cluster,
    names: &[&str],
    generation: u64,
    limit: Duration,
) -> Result<Duration, String> {
    let start = Instant::now();
    loop {
        let mut stragglers = Vec::new();
        for name in names {
            let own = generation_of(fleet, name).await;
            if own != Some(generation) {
                stragglers.push(format!("{name}: {own:?}"));
            }
        }
        if stragglers.is_empty() {
            return Ok(start.elapsed());
        }
        if start.elapsed() > limit {
            return Err(stragglers.join(", "));
        }
        smol::Timer::after(LOOK_PAUSE).await;
    }
}
