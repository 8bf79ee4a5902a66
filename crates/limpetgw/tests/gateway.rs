//! Tests of signals and settings with a gateway process.
#![allow(missing_docs)]

use std::{
    fs,
    io::{BufRead, BufReader, Read},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::mpsc,
    thread,
    time::Duration,
};

use rstest::rstest;
use rustix::process::{kill_process, Pid, Signal};

const LONG_TIMEOUT: Duration = Duration::from_secs(20);

struct TestGateway {
    child: Child,
    log_lines: mpsc::Receiver<String>,
    settings_path: PathBuf,
}

impl TestGateway {
    /// Starts a gateway whose store is unreachable and waits until it listens.
    fn start(name: &str, settings_text: &str) -> Self {
        let settings_path =
            std::env::temp_dir().join(format!("limpetgw-{name}-{}.json", std::process::id()));
        fs::write(&settings_path, settings_text).expect("the settings file is writable");
        let mut child = Command::new(env!("CARGO_BIN_EXE_limpetgw"))
            .args(["gateway", "--instance", "edge-1", "--zone", "az-1"])
            .args(["--store", "127.0.0.1:9", "--balancer-lag-ms", "100"])
            .args([
                "--listen",
                "127.0.0.1:0",
                "--operator-listen",
                "127.0.0.1:0",
            ])
            .arg("--settings-file")
            .arg(&settings_path)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the gateway starts");
        let stdout = child.stdout.take().expect("stdout is piped");
        let (line_sender, log_lines) = mpsc::channel();
        thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                if line_sender.send(line).is_err() {
                    return;
                }
            }
        });
        let gateway = Self {
            child,
            log_lines,
            settings_path,
        };
        gateway.wait_line("GatewayListening", &[]);
        gateway
    }

    /// Waits for a log line of an event that contains all of `parts`.
    fn wait_line(&self, event: &str, parts: &[&str]) -> String {
        loop {
            let line = self
                .log_lines
                .recv_timeout(LONG_TIMEOUT)
                .expect("the gateway did not log the event in time");
            if line.contains(event) && parts.iter().all(|part| line.contains(part)) {
                return line;
            }
        }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the signal was not sent");
    }

    fn is_running(&mut self) -> bool {
        self.child
            .try_wait()
            .expect("the process state is available")
            .is_none()
    }
}

impl Drop for TestGateway {
    fn drop(&mut self) {
        // Fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings_path);
    }
}

/// Guards against SIGHUP terminating the process and its requests in flight
/// instead of reloading the settings. The fault occurred on five randomly
/// generated test days.
#[test]
fn sighup_reloads_settings_without_stopping_the_process() {
    let mut gateway = TestGateway::start("hup", r#"{"retry_ratio": 0.2, "grace_s": 8}"#);

    fs::write(
        &gateway.settings_path,
        r#"{"retry_ratio": 0.1, "grace_s": 6}"#,
    )
    .expect("the settings file is writable");
    gateway.signal(Signal::HUP);

    gateway.wait_line("SettingsReread", &[r#""signalled":true"#]);
    gateway.signal(Signal::HUP);
    gateway.wait_line(
        "SettingsReread",
        &[r#""signalled":true"#, r#""changed":false"#],
    );
    assert!(gateway.is_running());
}

#[test]
fn changed_settings_file_is_reloaded_without_signal() {
    let gateway = TestGateway::start("silent", r#"{"retry_ratio": 0.2}"#);

    fs::write(&gateway.settings_path, r#"{"retry_ratio": 0.1}"#)
        .expect("the settings file is writable");

    gateway.wait_line(
        "SettingsReread",
        &[r#""signalled":false"#, r#""changed":true"#],
    );
}

#[rstest]
#[case::invalid_json("retry")]
#[case::negative(r#"{"retry_ratio": -1}"#)]
#[case::text(r#"{"grace_s": "long"}"#)]
fn invalid_settings_file_is_ignored(#[case] text: &str) {
    let name = format!("bad-{}", text.len());
    let mut gateway = TestGateway::start(&name, r#"{"retry_ratio": 0.2}"#);

    fs::write(&gateway.settings_path, text).expect("the settings file is writable");
    gateway.signal(Signal::HUP);

    let line = gateway.wait_line("SettingsReread", &[r#""signalled":true"#]);
    assert!(line.contains(r#""changed":false"#), "{line}");
    assert!(!line.contains(r#""error":"""#), "{line}");
    assert!(gateway.is_running());
}

#[test]
fn sigterm_stops_the_process_and_logs_the_drain() {
    let mut gateway = TestGateway::start("term", "{}");

    gateway.signal(Signal::TERM);

    gateway.wait_line("GatewayDrainBegun", &[]);
    gateway.wait_line("GatewayStopped", &[r#""in_flight":0"#]);
    let status = gateway.child.wait().expect("the exit status is available");
    assert!(status.success(), "{status}");
}

#[test]
fn invalid_setting_is_reported() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_limpetgw"))
        .args(["gateway", "--instance", "e", "--zone", "z"])
        .args(["--store", "somewhere"])
        .stderr(Stdio::piped())
        .spawn()
        .expect("the gateway starts");

    let status = child.wait().expect("the exit status is available");
    let mut text = String::new();
    let mut stderr = child.stderr.take().expect("stderr is piped");
    stderr.read_to_string(&mut text).expect("stderr is UTF-8");

    assert_eq!(status.code(), Some(2));
    assert!(
        text.contains("--store") && text.contains("somewhere"),
        "{text}"
    );
}
