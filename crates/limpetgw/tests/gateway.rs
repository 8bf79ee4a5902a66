//! The gateway as a process: signals and settings.
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

const LONG: Duration = Duration::from_secs(20);

struct Gateway {
    child: Child,
    lines: mpsc::Receiver<String>,
    settings: PathBuf,
}

impl Gateway {
    /// A gateway whose store does not answer.
    fn start(name: &str, settings_text: &str) -> Self {
        let settings =
            std::env::temp_dir().join(format!("limpetgw-{name}-{}.json", std::process::id()));
        fs::write(&settings, settings_text).expect("a file");
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
            .arg(&settings)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("it starts");
        let stdout = child.stdout.take().expect("its output");
        let (told, lines) = mpsc::channel();
        thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                if told.send(line).is_err() {
                    return;
                }
            }
        });
        let gateway = Self {
            child,
            lines,
            settings,
        };
        gateway.wait_line("GatewayListening", &[]);
        gateway
    }

    /// Waits for a log line of an event that holds all of `parts`.
    fn wait_line(&self, event: &str, parts: &[&str]) -> String {
        loop {
            let line = self.lines.recv_timeout(LONG).expect("a log line");
            if line.contains(event) && parts.iter().all(|part| line.contains(part)) {
                return line;
            }
        }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("a signal");
    }

    fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("a state").is_none()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// Seen on five hunted days: SIGHUP ended the process with all it held.
#[test]
fn sighup_changes_settings_and_ends_nothing() {
    let mut gateway = Gateway::start("hup", r#"{"retry_ratio": 0.2, "grace_s": 8}"#);

    fs::write(&gateway.settings, r#"{"retry_ratio": 0.1, "grace_s": 6}"#).expect("a file");
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
fn settings_that_change_without_a_signal_are_taken_over() {
    let gateway = Gateway::start("silent", r#"{"retry_ratio": 0.2}"#);

    fs::write(&gateway.settings, r#"{"retry_ratio": 0.1}"#).expect("a file");

    gateway.wait_line(
        "SettingsReread",
        &[r#""signalled":false"#, r#""changed":true"#],
    );
}

#[rstest]
#[case::no_json("retry")]
#[case::negative(r#"{"retry_ratio": -1}"#)]
#[case::text(r#"{"grace_s": "long"}"#)]
fn settings_that_make_no_sense_change_nothing(#[case] text: &str) {
    let name = format!("bad-{}", text.len());
    let mut gateway = Gateway::start(&name, r#"{"retry_ratio": 0.2}"#);

    fs::write(&gateway.settings, text).expect("a file");
    gateway.signal(Signal::HUP);

    let line = gateway.wait_line("SettingsReread", &[r#""signalled":true"#]);
    assert!(line.contains(r#""changed":false"#), "{line}");
    assert!(!line.contains(r#""error":"""#), "{line}");
    assert!(gateway.is_running());
}

#[test]
fn sigterm_ends_it_cleanly_and_the_log_says_so() {
    let mut gateway = Gateway::start("term", "{}");

    gateway.signal(Signal::TERM);

    gateway.wait_line("GatewayDrainBegun", &[]);
    gateway.wait_line("GatewayStopped", &[r#""in_flight":0"#]);
    let status = gateway.child.wait().expect("an end");
    assert!(status.success(), "{status}");
}

#[test]
fn a_wrong_setting_is_named() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_limpetgw"))
        .args(["gateway", "--instance", "e", "--zone", "z"])
        .args(["--store", "somewhere"])
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");

    let status = child.wait().expect("an end");
    let mut text = String::new();
    let mut stderr = child.stderr.take().expect("its errors");
    stderr.read_to_string(&mut text).expect("text");

    assert_eq!(status.code(), Some(2));
    assert!(
        text.contains("--store") && text.contains("somewhere"),
        "{text}"
    );
}
