//! Submitting and spreading configurations while the platform fails and
//! operators race, on separate processes.

use std::time::Duration;

use ::config::Document;
use harness::{default_document, Cluster, ClusterPlan};

use crate::operating::{finish, generation_of, run, start, wait_in_force, Checked, TempFile};

/// Time in which a change has to be in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(19);
const ALL: [&str; 4] = ["entry-0", "entry-1", "agent-0", "agent-1"];

fn plan() -> ClusterPlan {
    ClusterPlan::builder().entries(2).engines(2).build()
}

/// The default document with another bound, as a file.
fn document_file(queue_limit: u32) -> std::io::Result<TempFile> {
    TempFile::new(&serde_json::to_string(&document(queue_limit))?)
}

fn document(queue_limit: u32) -> Document {
    let mut document = default_document();
    document.classes["urgent"].queue_limit = queue_limit;
    document
}

/// Two sessions that began at the same generation: one wins, the other is
/// told who, and is shown what its document would change now.
#[test]
fn of_two_operators_exactly_one_wins() -> Checked {
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
            start(&fleet, &args)
        };

        let first = submit(&ana, "s-1-00000000000000aa", "ana")?;
        let second = submit(&luis, "s-1-00000000000000bb", "luis")?;
        let done = [("ana", 11, finish(first)?), ("luis", 22, finish(second)?)];

        let won = done
            .iter()
            .filter(|(_, _, one)| one.code == Some(0))
            .count();
        let lost: Vec<_> = done
            .iter()
            .filter(|(_, _, one)| one.code == Some(3))
            .collect();
        assert_eq!((won, lost.len()), (1, 1), "{done:?}");
        let (loser, own_limit, told) = lost[0];
        let (winner, winner_limit) = if *loser == "ana" {
            ("luis", 22)
        } else {
            ("ana", 11)
        };
        assert!(
            told.err.contains(&format!("{winner} was first")),
            "{told:?}"
        );
        let change = format!("classes.urgent.queue_limit: {winner_limit} -> {own_limit}");
        assert!(told.err.contains(&change), "{told:?}");
        let history = run(&fleet, &["config", "history"])?;
        assert_eq!(history.out.lines().count(), 2, "{history:?}");
        assert!(
            history.out.contains(winner) && !history.out.contains(loser),
            "{history:?}"
        );
        Ok(())
    })
}

/// The write of the head takes effect and every answer to it is lost: the
/// command says that it can't know yet, and the same session run again says
/// that it took effect, without applying it a second time.
#[test]
fn a_lost_answer_is_told_as_unknown_and_settled_by_the_same_session() -> Checked {
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
        let again = run(&fleet, &args)?;
        let once_more = run(&fleet, &args)?;

        assert_eq!(unknown.code, Some(4), "{unknown:?}");
        assert!(unknown.err.contains("can't be known yet"), "{unknown:?}");
        assert!(unknown.err.contains(session), "{unknown:?}");
        for known in [again, once_more] {
            assert_eq!(known.code, Some(0), "{known:?}");
            assert!(known.out.contains("earlier run"), "{known:?}");
            assert!(known.out.contains("generation 2"), "{known:?}");
        }
        wait_in_force(&fleet, &ALL, 2, IN_FORCE_LIMIT).await?;
        Ok(())
    })
}

/// The answer to the write is lost and the store answers again soon: the
/// command settles it by itself.
#[test]
fn a_lost_answer_is_settled_within_one_run() -> Checked {
    smol::block_on(async {
        let fleet = Cluster::start(plan()).await?;
        let file = document_file(44)?;
        let faults = r#"{"lose_answers": true, "only_kind": "config-head"}"#;
        fleet.set_faults("platform", faults).await?;

        let path = file.path();
        let running = start(&fleet, &["config", "submit", &path, "--settle-ms", "20000"])?;
        wait_in_force(&fleet, &["entry-0"], 2, IN_FORCE_LIMIT).await?;
        fleet.set_faults("platform", "{}").await?;
        let done = finish(running)?;

        assert_eq!(done.code, Some(0), "{done:?}");
        assert!(done.out.contains("generation 2 is submitted"), "{done:?}");
        Ok(())
    })
}

/// The store is down: nothing was submitted, and the command says so.
#[test]
fn a_store_that_is_down_is_told_as_no_change() -> Checked {
    smol::block_on(async {
        let fleet = Cluster::start(plan()).await?;
        let file = document_file(55)?;
        fleet.set_faults("platform", r#"{"down": true}"#).await?;

        let done = run(&fleet, &["config", "submit", &file.path()])?;
        fleet.set_faults("platform", "{}").await?;

        assert_eq!(done.code, Some(1), "{done:?}");
        assert!(done.err.contains("nothing changed"), "{done:?}");
        let history = run(&fleet, &["config", "history"])?;
        assert_eq!(history.out.lines().count(), 1, "{history:?}");
        Ok(())
    })
}

/// The store goes down when one process only has seen the accepted write:
/// the others learn from it, without any request, in time.
#[test]
fn a_change_spreads_from_one_process_while_the_store_is_down() -> Checked {
    smol::block_on(async {
        let mut fleet = Cluster::start(plan()).await?;
        let others = ["entry-0", "entry-1", "agent-1"];
        for name in others {
            fleet.freeze(name)?;
        }
        // Their watches are answered now, by a refusal.
        fleet.set_faults("platform", r#"{"down": true}"#).await?;
        fleet.set_faults("platform", "{}").await?;
        fleet.submit(document(66)).await?;
        wait_in_force(&fleet, &["agent-0"], 2, IN_FORCE_LIMIT).await?;
        fleet.process_mut("platform")?.kill()?;
        for name in others {
            fleet.thaw(name)?;
        }

        wait_in_force(&fleet, &ALL, 2, IN_FORCE_LIMIT).await?;
        Ok(())
    })
}

/// Watches bring the new head, but the store hangs when the shards are read:
/// the processes get them from the one that has them.
#[test]
fn a_change_spreads_from_one_process_while_the_store_hangs() -> Checked {
    smol::block_on(async {
        let mut fleet = Cluster::start(plan()).await?;
        let others = ["entry-0", "entry-1", "agent-1"];
        for name in others {
            fleet.freeze(name)?;
        }
        fleet.submit(document(66)).await?;
        wait_in_force(&fleet, &["agent-0"], 2, IN_FORCE_LIMIT).await?;
        let hangs = r#"{"slow_ms": 60000, "only_kind": "config-shard"}"#;
        fleet.set_faults("platform", hangs).await?;
        for name in others {
            fleet.thaw(name)?;
        }

        wait_in_force(&fleet, &ALL, 2, IN_FORCE_LIMIT).await?;
        Ok(())
    })
}

/// A store that lost everything and starts again with an older document
/// reverts no process, and the next submission goes above all of them.
#[test]
fn a_store_that_was_set_back_reverts_no_process() -> Checked {
    smol::block_on(async {
        let mut fleet = Cluster::start(plan()).await?;
        fleet.submit(document(66)).await?;
        fleet.submit(document(77)).await?;
        wait_in_force(&fleet, &ALL, 3, IN_FORCE_LIMIT).await?;

        fleet.restart("platform").await?;
        fleet.submit(document(88)).await?;
        for name in ALL {
            fleet.register(name, "live").await?;
        }
        // Long enough for several reads of the store by each process.
        for _ in 0..40 {
            for name in ALL {
                assert_eq!(generation_of(&fleet, name).await, Some(3), "{name}");
            }
            smol::Timer::after(Duration::from_millis(150)).await;
        }
        // What is in force is had from a process, and submitted again.
        let addr = fleet.process("agent-0")?.internal_addr().to_string();
        let shown = run(&fleet, &["config", "show", "--from", &addr])?;
        assert!(shown.out.contains(r#""queue_limit": 77"#), "{shown:?}");
        let file = TempFile::new(&shown.out)?;
        let done = run(&fleet, &["config", "submit", &file.path()])?;

        assert_eq!(done.code, Some(0), "{done:?}");
        assert!(done.out.contains("generation 4 is submitted"), "{done:?}");
        wait_in_force(&fleet, &ALL, 4, IN_FORCE_LIMIT).await?;
        Ok(())
    })
}

/// A document with errors changes nothing and names all of them.
#[test]
fn a_document_with_errors_changes_nothing() -> Checked {
    smol::block_on(async {
        let fleet = Cluster::start(plan()).await?;
        let mut wrong = serde_json::to_value(document(66))?;
        wrong["classes"]["urgent"]["queue_limit"] = 0.into();
        wrong["teams"]["clinic"]["classes"] = serde_json::json!(["nobody"]);
        let file = TempFile::new(&wrong.to_string())?;

        let done = run(&fleet, &["config", "submit", &file.path()])?;

        assert_eq!(done.code, Some(1), "{done:?}");
        for expected in [
            "classes.urgent.queue_limit: 0: 1 to 100000",
            "teams.clinic.classes: \"nobody\"",
        ] {
            assert!(done.err.contains(expected), "{expected}: {done:?}");
        }
        let history = run(&fleet, &["config", "history"])?;
        assert_eq!(history.out.lines().count(), 1, "{history:?}");
        Ok(())
    })
}

/// `config wait` succeeds once every listed process has the generation, and
/// names the one that is frozen.
#[test]
fn waiting_names_the_stragglers() -> Checked {
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
            behind.err.contains("agent-1") && !behind.err.contains("agent-0"),
            "{behind:?}"
        );
        assert_eq!(everywhere.code, Some(0), "{everywhere:?}");
        let report: serde_json::Value = serde_json::from_str(&everywhere.out)?;
        assert_eq!(report["instances"], 4);
        Ok(())
    })
}
