//! Tests of submitting and distributing configurations with separate
//! processes, while the platform fails and operators submit concurrently.

use std::time::Duration;

use ::config::Document;
use harness::{default_document, Cluster, ClusterPlan};

use crate::commands::{
    finish, generation_of, run, spawn, wait_until_applied, TempFile, TestResult,
};

/// Maximum time until every process has applied a change.
const APPLY_TIMEOUT: Duration = Duration::from_secs(19);
const ALL_PROCESSES: [&str; 4] = ["entry-0", "entry-1", "agent-0", "agent-1"];

fn plan() -> ClusterPlan {
    ClusterPlan::builder().entries(2).engines(2).build()
}

/// Writes the default document with another queue limit to a file.
fn document_file(queue_limit: u32) -> std::io::Result<TempFile> {
    TempFile::new(&serde_json::to_string(&document(queue_limit))?)
}

fn document(queue_limit: u32) -> Document {
    let mut document = default_document();
    document.classes["urgent"].queue_limit = queue_limit;
    document
}

/// Of two sessions that started at the same generation, one succeeds. The other
/// fails and reports the winner and the differences to its document.
#[test]
fn exactly_one_of_two_concurrent_submissions_succeeds() -> TestResult {
    smol::block_on(async {
        let fleet = Cluster::start(plan()).await?;
        let (ana, luis) = (document_file(11)?, document_file(22)?);
        let submit = |file: &TempFile, session: &str, who: &str| {
            let args = [
                "config",
                "submit",
                &file.path(),
                "--session",
                session,
                "--submitter",
                who,
            ];
            spawn(&fleet, &args)
        };

        let first = submit(&ana, "s-1-00000000000000aa", "ana")?;
        let second = submit(&luis, "s-1-00000000000000bb", "luis")?;
        let outputs = [("ana", 11, finish(first)?), ("luis", 22, finish(second)?)];

        let won = outputs
            .iter()
            .filter(|(_, _, output)| output.code == Some(0))
            .count();
        let lost: Vec<_> = outputs
            .iter()
            .filter(|(_, _, output)| output.code == Some(3))
            .collect();
        assert_eq!((won, lost.len()), (1, 1), "{outputs:?}");
        let (loser, own_limit, output) = lost[0];
        let (winner, winner_limit) = if *loser == "ana" {
            ("luis", 22)
        } else {
            ("ana", 11)
        };
        assert!(
            output.stderr.contains(&format!("{winner} was first")),
            "{output:?}"
        );
        let change = format!("classes.urgent.queue_limit: {winner_limit} -> {own_limit}");
        assert!(output.stderr.contains(&change), "{output:?}");
        let history = run(&fleet, &["config", "history"])?;
        assert_eq!(history.stdout.lines().count(), 2, "{history:?}");
        assert!(
            history.stdout.contains(winner) && !history.stdout.contains(loser),
            "{history:?}"
        );
        Ok(())
    })
}

/// The write of the head takes effect, but every response to it is lost. The
/// command reports an unknown outcome. Repeating the session reports that it
/// took effect, without applying it a second time.
#[test]
fn unknown_outcome_is_resolved_by_repeating_the_session() -> TestResult {
    smol::block_on(async {
        let fleet = Cluster::start(plan()).await?;
        let file = document_file(33)?;
        let path = file.path();
        let session = "s-1-00000000000000cc";
        let args = [
            "config",
            "submit",
            &path,
            "--session",
            session,
            "--settle-ms",
            "500",
        ];
        let faults = r#"{"lose_answers": true, "only_kind": "config-head"}"#;
        fleet.set_faults("platform", faults).await?;

        let unknown = run(&fleet, &args)?;
        fleet.set_faults("platform", "{}").await?;
        let repeated = run(&fleet, &args)?;
        let repeated_again = run(&fleet, &args)?;

        assert_eq!(unknown.code, Some(4), "{unknown:?}");
        assert!(unknown.stderr.contains("can't be known yet"), "{unknown:?}");
        assert!(unknown.stderr.contains(session), "{unknown:?}");
        for known in [repeated, repeated_again] {
            assert_eq!(known.code, Some(0), "{known:?}");
            assert!(known.stdout.contains("earlier run"), "{known:?}");
            assert!(known.stdout.contains("generation 2"), "{known:?}");
        }
        wait_until_applied(&fleet, &ALL_PROCESSES, 2, APPLY_TIMEOUT).await?;
        Ok(())
    })
}

/// The response to the write is lost, but the store recovers within the settle
/// time: the command determines the outcome itself.
#[test]
fn unknown_outcome_is_resolved_within_settle_time() -> TestResult {
    smol::block_on(async {
        let fleet = Cluster::start(plan()).await?;
        let file = document_file(44)?;
        let faults = r#"{"lose_answers": true, "only_kind": "config-head"}"#;
        fleet.set_faults("platform", faults).await?;

        let path = file.path();
        let running = spawn(&fleet, &["config", "submit", &path, "--settle-ms", "20000"])?;
        wait_until_applied(&fleet, &["entry-0"], 2, APPLY_TIMEOUT).await?;
        fleet.set_faults("platform", "{}").await?;
        let output = finish(running)?;

        assert_eq!(output.code, Some(0), "{output:?}");
        assert!(
            output.stdout.contains("generation 2 is submitted"),
            "{output:?}"
        );
        Ok(())
    })
}

/// While the store is down, the command reports that nothing was submitted.
#[test]
fn submission_during_store_outage_changes_nothing() -> TestResult {
    smol::block_on(async {
        let fleet = Cluster::start(plan()).await?;
        let file = document_file(55)?;
        fleet.set_faults("platform", r#"{"down": true}"#).await?;

        let output = run(&fleet, &["config", "submit", &file.path()])?;
        fleet.set_faults("platform", "{}").await?;

        assert_eq!(output.code, Some(1), "{output:?}");
        assert!(output.stderr.contains("nothing changed"), "{output:?}");
        let history = run(&fleet, &["config", "history"])?;
        assert_eq!(history.stdout.lines().count(), 1, "{history:?}");
        Ok(())
    })
}

/// The store goes down after only one process has read the new configuration:
/// the others get it from that process in time, without any caller requests.
#[test]
fn change_is_distributed_from_one_process_while_store_is_down() -> TestResult {
    smol::block_on(async {
        let mut fleet = Cluster::start(plan()).await?;
        let others = ["entry-0", "entry-1", "agent-1"];
        for name in others {
            fleet.freeze(name)?;
        }
        // The short outage makes the pending watches of the frozen processes
        // fail, so that they do not return the change.
        fleet.set_faults("platform", r#"{"down": true}"#).await?;
        fleet.set_faults("platform", "{}").await?;
        fleet.submit(document(66)).await?;
        wait_until_applied(&fleet, &["agent-0"], 2, APPLY_TIMEOUT).await?;
        fleet.process_mut("platform")?.kill()?;
        for name in others {
            fleet.thaw(name)?;
        }

        wait_until_applied(&fleet, &ALL_PROCESSES, 2, APPLY_TIMEOUT).await?;
        Ok(())
    })
}

/// The watches return the new head, but the store hangs when the shards are
/// read. Only `agent-0` read the shards before that; the other processes get
/// them from it.
#[test]
fn change_is_distributed_from_one_process_while_store_hangs() -> TestResult {
    smol::block_on(async {
        let mut fleet = Cluster::start(plan()).await?;
        let others = ["entry-0", "entry-1", "agent-1"];
        for name in others {
            fleet.freeze(name)?;
        }
        fleet.submit(document(66)).await?;
        wait_until_applied(&fleet, &["agent-0"], 2, APPLY_TIMEOUT).await?;
        let hangs = r#"{"slow_ms": 60000, "only_kind": "config-shard"}"#;
        fleet.set_faults("platform", hangs).await?;
        for name in others {
            fleet.thaw(name)?;
        }

        wait_until_applied(&fleet, &ALL_PROCESSES, 2, APPLY_TIMEOUT).await?;
        Ok(())
    })
}

/// A store that lost its data and restarts with an older generation does not
/// revert any process, and the next submission gets a generation above theirs.
#[test]
fn store_reset_does_not_revert_processes() -> TestResult {
    smol::block_on(async {
        let mut fleet = Cluster::start(plan()).await?;
        fleet.submit(document(66)).await?;
        fleet.submit(document(77)).await?;
        wait_until_applied(&fleet, &ALL_PROCESSES, 3, APPLY_TIMEOUT).await?;

        fleet.restart("platform").await?;
        fleet.submit(document(88)).await?;
        for name in ALL_PROCESSES {
            fleet.register(name, "live").await?;
        }
        // Long enough for several reads of the store by each process.
        for _ in 0..40 {
            for name in ALL_PROCESSES {
                assert_eq!(generation_of(&fleet, name).await, Some(3), "{name}");
            }
            smol::Timer::after(Duration::from_millis(150)).await;
        }
        // Recovers the current document from a process and submits it again.
        let addr = fleet.process("agent-0")?.internal_addr().to_string();
        let shown = run(&fleet, &["config", "show", "--from", &addr])?;
        assert!(shown.stdout.contains(r#""queue_limit": 77"#), "{shown:?}");
        let file = TempFile::new(&shown.stdout)?;
        let output = run(&fleet, &["config", "submit", &file.path()])?;

        assert_eq!(output.code, Some(0), "{output:?}");
        assert!(
            output.stdout.contains("generation 4 is submitted"),
            "{output:?}"
        );
        wait_until_applied(&fleet, &ALL_PROCESSES, 4, APPLY_TIMEOUT).await?;
        Ok(())
    })
}

/// An invalid document changes nothing, and all of its errors are reported.
#[test]
fn invalid_document_changes_nothing() -> TestResult {
    smol::block_on(async {
        let fleet = Cluster::start(plan()).await?;
        let mut wrong = serde_json::to_value(document(66))?;
        wrong["classes"]["urgent"]["queue_limit"] = 0.into();
        wrong["teams"]["clinic"]["classes"] = serde_json::json!(["nobody"]);
        let file = TempFile::new(&wrong.to_string())?;

        let output = run(&fleet, &["config", "submit", &file.path()])?;

        assert_eq!(output.code, Some(1), "{output:?}");
        for expected in [
            "classes.urgent.queue_limit: 0: 1 to 100000",
            "teams.clinic.classes: \"nobody\"",
        ] {
            assert!(output.stderr.contains(expected), "{expected}: {output:?}");
        }
        let history = run(&fleet, &["config", "history"])?;
        assert_eq!(history.stdout.lines().count(), 1, "{history:?}");
        Ok(())
    })
}

/// `config wait` succeeds once every listed process has applied the generation,
/// and otherwise names the processes that have not.
#[test]
fn wait_reports_processes_that_lag_behind() -> TestResult {
    smol::block_on(async {
        let mut fleet = Cluster::start(plan()).await?;
        let file = document_file(66)?;
        fleet.freeze("agent-1")?;
        run(&fleet, &["config", "submit", &file.path()])?;

        let behind = run(&fleet, &["config", "wait", "2", "--wait-ms", "4000"])?;
        fleet.thaw("agent-1")?;
        let everywhere = run(&fleet, &["config", "wait", "2", "--output", "json"])?;

        assert_eq!(behind.code, Some(1), "{behind:?}");
        assert!(
            behind.stderr.contains("agent-1") && !behind.stderr.contains("agent-0"),
            "{behind:?}"
        );
        assert_eq!(everywhere.code, Some(0), "{everywhere:?}");
        let report: serde_json::Value = serde_json::from_str(&everywhere.stdout)?;
        assert_eq!(report["instances"], 4);
        Ok(())
    })
}
