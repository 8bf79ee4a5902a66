//! Tests of the console with answers from a file, and of `status` and `drain`.

use harness::{Cluster, ClusterPlan};
use serde_json::json;

use crate::commands::{run, TempFile, TestResult};

fn answers() -> String {
    json!([
        {"question": "menu", "answer": "team"},
        {"question": "team", "answer": "kiosk"},
        {"question": "teams.kiosk.classes", "answer": ["standard"]},
        {"question": "teams.kiosk.weight", "answer": 2},
        {"question": "menu", "answer": "new key"},
        {"question": "key.team", "answer": "kiosk"},
        {"question": "menu", "answer": "finish"},
        {"question": "confirm", "answer": "yes"},
    ])
    .to_string()
}

/// The session submits one document as the next generation. The generated key
/// is shown once and accepted, and only its digest is stored.
#[test]
fn form_session_submits_one_document() -> TestResult {
    smol::block_on(async {
        let fleet = Cluster::start(ClusterPlan::builder().build()).await?;
        let file = TempFile::new(&answers())?;

        let output = run(
            &fleet,
            &["console", "--answers", &file.path(), "--submitter", "ana"],
        )?;

        assert_eq!(output.code, Some(0), "{output:?}");
        let key = output
            .stdout
            .lines()
            .find_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
        let key = key.and_then(|line| line["key"].as_str().map(String::from));
        let key = key.ok_or("the key is shown")?;
        assert!(output.stdout.contains("+ teams.kiosk: "), "{output:?}");
        assert!(
            output.stdout.contains("generation 2 is submitted"),
            "{output:?}"
        );
        let shown = run(&fleet, &["config", "show"])?;
        assert!(
            shown.stdout.contains(&config::key_digest(&key)),
            "{shown:?}"
        );
        assert!(!shown.stdout.contains(&key), "only the digest is stored");
        let waited = run(&fleet, &["config", "wait", "2"])?;
        assert_eq!(waited.code, Some(0), "{waited:?}");
        let question = harness::ChatRequest::buffered("burr? [len=2]");
        let reply = fleet.caller_with_key(0, &key).chat(&question).await;
        assert!(reply.outcome.is_complete(), "{reply:?}");
        Ok(())
    })
}

/// A session with an invalid answer changes nothing and reports the rule.
#[test]
fn form_session_with_invalid_answer_changes_nothing() -> TestResult {
    smol::block_on(async {
        let fleet = Cluster::start(ClusterPlan::builder().build()).await?;
        let wrong = answers().replace("standard", "nobody");
        let file = TempFile::new(&wrong)?;

        let output = run(&fleet, &["console", "--answers", &file.path()])?;

        assert_eq!(output.code, Some(1), "{output:?}");
        assert!(output.stderr.contains("teams.kiosk.classes"), "{output:?}");
        let history = run(&fleet, &["config", "history"])?;
        assert_eq!(history.stdout.lines().count(), 1, "{history:?}");
        Ok(())
    })
}

/// `status` lists every process, and `drain` makes one exit.
#[test]
fn status_lists_all_processes_and_drain_stops_one() -> TestResult {
    smol::block_on(async {
        let mut fleet = Cluster::start(ClusterPlan::builder().engines(2).build()).await?;

        let status = run(&fleet, &["status", "--output", "json"])?;
        let drained = run(&fleet, &["drain", "agent-0"])?;
        let unknown = run(&fleet, &["drain", "nobody"])?;

        let status: serde_json::Value = serde_json::from_str(&status.stdout)?;
        let ids: Vec<&str> = status["instances"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(|report| report["status"]["instance"].as_str())
            .collect();
        assert_eq!(ids, ["agent-0", "agent-1", "entry-0"]);
        assert_eq!(drained.code, Some(0), "{drained:?}");
        assert_eq!(unknown.code, Some(1), "{unknown:?}");
        let limit = std::time::Duration::from_secs(20);
        let exit = fleet.process_mut("agent-0")?.wait_exit(limit).await?;
        assert!(exit.success(), "{exit:?}");
        Ok(())
    })
}

/// While the platform is down, the commands get the instance list from a seed.
#[test]
fn status_and_drain_use_seeds_during_platform_outage() -> TestResult {
    smol::block_on(async {
        let mut fleet = Cluster::start(ClusterPlan::builder().engines(2).build()).await?;
        let seed = fleet.process("agent-1")?.internal_addr().to_string();
        fleet.set_faults("platform", r#"{"down": true}"#).await?;

        let without_seeds = run(&fleet, &["status"])?;
        let status = run(&fleet, &["status", "--seeds", &seed])?;
        let drained = run(&fleet, &["drain", "agent-0", "--seeds", &seed])?;

        assert_eq!(without_seeds.code, Some(1), "{without_seeds:?}");
        assert!(
            status.stdout.contains("can't be read"),
            "the store is reported as unreadable: {status:?}"
        );
        for name in ["agent-0", "agent-1", "entry-0"] {
            assert!(status.stdout.contains(&format!("{name} az-")), "{status:?}");
        }
        assert_eq!(drained.code, Some(0), "{drained:?}");
        let limit = std::time::Duration::from_secs(20);
        assert!(fleet
            .process_mut("agent-0")?
            .wait_exit(limit)
            .await?
            .success());
        Ok(())
    })
}
