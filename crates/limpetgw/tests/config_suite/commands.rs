//! Helpers that run operator commands and query the status of processes.

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

pub(crate) type TestResult = Result<(), Box<dyn std::error::Error>>;

/// Interval at which an awaited condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a status call.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Exit code and output of an operator command.
#[derive(Debug)]
pub(crate) struct CommandOutput {
    pub(crate) code: Option<i32>,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

/// A temporary file, which is removed when the value is dropped.
pub(crate) struct TempFile(pub(crate) PathBuf);

impl TempFile {
    pub(crate) fn new(content: &str) -> std::io::Result<Self> {
        let name = format!("limpetgw-test-{:016x}", random_number());
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
        // A file that remains in the temporary directory is harmless.
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Returns a random number, so that concurrent tests use different file names.
fn random_number() -> u64 {
    use std::hash::{BuildHasher, RandomState};
    RandomState::new().hash_one(std::process::id())
}

/// Starts an operator command with the platform and secret of a fleet.
pub(crate) fn spawn(fleet: &Cluster, args: &[&str]) -> std::io::Result<Child> {
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

/// Waits until an operator command exits.
pub(crate) fn finish(child: Child) -> std::io::Result<CommandOutput> {
    let output = child.wait_with_output()?;
    Ok(CommandOutput {
        code: output.status.code(),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    })
}

/// Runs an operator command with the platform and secret of a fleet.
pub(crate) fn run(fleet: &Cluster, args: &[&str]) -> std::io::Result<CommandOutput> {
    finish(spawn(fleet, args)?)
}

/// Returns the generation applied in a process; `None` if it does not respond.
pub(crate) async fn generation_of(fleet: &Cluster, name: &str) -> Option<u64> {
    Some(status_of(fleet, name).await?.generation.0)
}

/// Queries the status of a process; `None` if it does not respond.
pub(crate) async fn status_of(fleet: &Cluster, name: &str) -> Option<Status> {
    let addr = fleet.process(name).ok()?.internal_addr().to_string();
    let secrets = PeerSecrets::new(fleet.secret(), None);
    let client = rpc::Client::new("test".into(), secrets.into());
    let answer = client
        .call::<GetStatus>(&addr, Generation(0), (), STATUS_TIMEOUT)
        .await;
    Some(answer.ok()?.answer)
}

/// Waits until all of these processes have applied a generation. Returns the
/// time taken, or the processes that had not applied it within `limit`.
pub(crate) async fn wait_until_applied(
    fleet: &Cluster,
    names: &[&str],
    generation: u64,
    limit: Duration,
) -> Result<Duration, String> {
    let start = Instant::now();
    loop {
        let mut lagging = Vec::new();
        for name in names {
            let applied = generation_of(fleet, name).await;
            if applied != Some(generation) {
                lagging.push(format!("{name}: {applied:?}"));
            }
        }
        if lagging.is_empty() {
            return Ok(start.elapsed());
        }
        if start.elapsed() > limit {
            return Err(lagging.join(", "));
        }
        smol::Timer::after(POLL_INTERVAL).await;
    }
}
