//! Tests that invalid settings are rejected at start with a specific message.

use std::process::{Command, Output};

use rstest::rstest;

const SECRET: &str = "a-peer-secret-for-tests";

fn entry_args() -> Vec<&'static str> {
    vec![
        "entry",
        "--instance=e-1",
        "--zone=az-1",
        "--platform=127.0.0.1:1",
        "--listen=127.0.0.1:7070",
    ]
}

fn run(args: &[&str], secret: Option<&str>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_limpetgw"));
    command.args(args).env_clear();
    if let Some(secret) = secret {
        command.env("LIMPETGW_PEER_SECRET", secret);
    }
    command.output().expect("the program starts")
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[rstest]
#[case::invalid_address("--seeds=nowhere", "--seeds", "nowhere")]
#[case::same_listeners("--operator-listen=127.0.0.1:7070", "--operator-listen", "other than")]
#[case::out_of_range("--request-timeout-ms=1", "--request-timeout-ms", "100..=600000")]
#[case::unknown_rule("--rule=best", "--rule", "round-robin")]
#[case::not_a_number("--subset-max=many", "--subset-max", "many")]
fn invalid_setting_is_reported_with_flag_value_and_allowed_values(
    #[case] arg: &str,
    #[case] flag: &str,
    #[case] expected: &str,
) {
    let mut args = entry_args();
    args.push(arg);

    let output = run(&args, Some(SECRET));

    assert_eq!(output.status.code(), Some(2), "{}", stderr(&output));
    assert!(stderr(&output).contains(flag), "{}", stderr(&output));
    assert!(stderr(&output).contains(expected), "{}", stderr(&output));
}

#[test]
fn missing_secret_is_reported() {
    let output = run(&entry_args(), None);

    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains("LIMPETGW_PEER_SECRET"));
}

#[test]
fn short_secret_is_rejected_and_not_shown() {
    let output = run(&entry_args(), Some("short-one"));

    assert_eq!(output.status.code(), Some(2));
    assert!(!stderr(&output).contains("short-one"));
}

#[rstest]
#[case::help(&["help"], "Usage")]
#[case::version(&["--version"], "limpetgw")]
#[case::completions(&["completions", "bash"], "limpetgw")]
fn help_version_and_completions_are_printed(#[case] args: &[&str], #[case] expected: &str) {
    let output = run(args, None);

    assert!(output.status.success());
    assert!(String::from_utf8_lossy(&output.stdout).contains(expected));
}

#[test]
fn explain_fails_for_request_without_events() {
    let output = run(&["explain", "r-1", "/dev/null"], None);

    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).contains("nothing found"));
}
