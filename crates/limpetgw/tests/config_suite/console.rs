//! The console with answers from a file, as a process.

use harness::{Cluster, ClusterPlan};
use serde_json::json;

use crate::operating::{run, Checked, TempFile};

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

/// The session yields one document, in force as the next generation; the key
/// is shown once, works, and only its digest is stored.
#[test]
fn a_session_from_a_file_puts_one_document_into_force() -> Checked {
    smol::block_on(async {
        let fleet = Cluster::start(ClusterPlan::builder().build()).await?;
        let file = TempFile::new(&answers())?;

        let done = run(
            &fleet,
            &["console", "--answers", &file.path(), "--submitter", "ana"],
        )?;

        assert_eq!(done.code, Some(0), "{done:?}");
        let key = done
            .out
            .lines()
            .find_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
        let key = key.and_then(|line| line["key"].as_str().map(String::from));
        let key = key.ok_or("the key is shown")?;
        assert!(done.out.contains("+ teams.kiosk: "), "{done:?}");
        assert!(done.out.contains("generation 2 is submitted"), "{done:?}");
        let shown = run(&fleet, &["config", "show"])?;
        assert!(shown.out.contains(&config::key_digest(&key)), "{shown:?}");
        assert!(!shown.out.contains(&key), "only the digest is stored");
        let waited = run(&fleet, &["config", "wait", "2"])?;
        assert_eq!(waited.code, Some(0), "{waited:?}");
        let question = harness::ChatRequest::buffered("burr? [len=2]");
        let reply = fleet.caller_with_key(0, &key).chat(&question).await;
        assert!(reply.outcome.is_complete(), "{reply:?}");
        Ok(())
    })
}

/// A session whose answers break a rule changes nothing and names the rule.
#[test]
fn a_session_with_a_wrong_answer_changes_nothing() -> Checked {
    smol::block_on(async {
        let fleet = Cluster::start(ClusterPlan::builder().build()).await?;
        let wrong = answers().replace("standard", "nobody");
        let file = TempFile::new(&wrong)?;

        let done = run(&fleet, &["console", "--answers", &file.path()])?;

        assert_eq!(done.code, Some(1), "{done:?}");
        assert!(done.err.contains("teams.kiosk.classes"), "{done:?}");
        let history = run(&fleet, &["config", "history"])?;
        assert_eq!(history.out.lines().count(), 1, "{history:?}");
        Ok(())
    })
}

/// `status` lists every process, and `drain` makes one leave.
#[test]
fn status_lists_the_fleet_and_drain_ends_an_instance() -> Checked {
    smol::block_on(async {
        let mut fleet = Cluster::start(ClusterPlan::builder().engines(2).build()).await?;

        let status = run(&fleet, &["status", "--output", "json"])?;
        let drained = run(&fleet, &["drain", "agent-0"])?;
        let unknown = run(&fleet, &["drain", "nobody"])?;

        let status: serde_json::Value = serde_json::from_str(&status.out)?;
        let ids: Vec<&str> = status["instances"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(|one| one["status"]["instance"].as_str())
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

/// While the platform is down, the commands get the instances from a seed.
#[test]
fn status_and_drain_work_from_a_seed_in_an_outage() -> Checked {
    smol::block_on(async {
        let mut fleet = Cluster::start(ClusterPlan::builder().engines(2).build()).await?;
        let seed = fleet.process("agent-1")?.internal_addr().to_string();
        fleet.set_faults("platform", r#"{"down": true}"#).await?;

        let blind = run(&fleet, &["status"])?;
        let status = run(&fleet, &["status", "--seeds", &seed])?;
        let drained = run(&fleet, &["drain", "agent-0", "--seeds", &seed])?;

        assert_eq!(blind.code, Some(1), "{blind:?}");
        assert!(
            status.out.contains("can't be read"),
            "the store: {status:?}"
        );
        for name in ["agent-0", "agent-1", "entry-0"] {
            assert!(status.out.contains(&format!("{name} az-")), "{status:?}");
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
