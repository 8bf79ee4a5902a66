//! Leaving instances, wrong lists and cold starts while the platform fails,
//! on separate processes.

use std::time::Duration;

use harness::{args, ChatRequest, Cluster, ClusterPlan, Reply};

use crate::operating::{generation_of, status_of, wait_in_force, Checked, TempFile};
use rstest::rstest;
use smol::Task;

/// Time after which a leaving instance gets no new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);
/// Time for a cold start from seeds.
const START_LIMIT: Duration = Duration::from_secs(10);
/// Questions asked of each entry to see where they go.
const QUESTIONS: usize = 12;

fn plan() -> ClusterPlan {
    ClusterPlan::builder().entries(2).engines(2).build()
}

/// Asks both entries some questions; every one has to be answered whole.
async fn ask_all(fleet: &Cluster) -> Checked {
    for entry in 0..2 {
        for number in 0..QUESTIONS {
            ask_one(fleet, entry, number).await;
        }
    }
    Ok(())
}

/// Asks entry-0 several questions at the same time, more than one instance
/// is first choice for.
async fn ask_at_once(fleet: &Cluster) {
    let caller = fleet.caller(0);
    let asked: Vec<Task<Reply>> = (0..8)
        .map(|number| {
            let caller = caller.clone();
            let question = ChatRequest::streamed(format!("burr {number}? [len=3]"));
            smol::spawn(async move { caller.chat(&question).await })
        })
        .collect();
    for reply in asked {
        let reply = reply.await;
        assert!(reply.outcome.is_complete(), "{reply:?}");
    }
}

async fn ask_one(fleet: &Cluster, entry: usize, number: usize) {
    let question = ChatRequest::streamed(format!("burr {entry} {number}? [len=3]"));
    let reply = fleet.caller(entry).chat(&question).await;
    assert!(reply.outcome.is_complete(), "entry-{entry}: {reply:?}");
}

async fn started(fleet: &Cluster, engine: &str) -> Result<u64, harness::HarnessError> {
    Ok(fleet.stats(engine).await?.requests_started)
}

/// What the platform does while an agent leaves.
#[rstest]
#[case::list_never_changes(r#"{"instances_frozen": true}"#)]
#[case::list_is_down(r#"{"down": true, "only_kind": "instances"}"#)]
#[case::platform_is_down(r#"{"down": true}"#)]
#[case::platform_is_slow(r#"{"slow_ms": 5000}"#)]
fn an_agent_that_drains_gets_nothing_new_whatever_the_list_says(#[case] faults: &str) -> Checked {
    smol::block_on(async {
        let mut fleet = Cluster::start(plan()).await?;
        ask_all(&fleet).await?;
        fleet.set_faults("platform", faults).await?;

        fleet.terminate("agent-0")?;
        smol::Timer::after(LEAVING_LIMIT).await;
        let before = started(&fleet, "engine-0").await?;
        ask_all(&fleet).await?;

        assert_eq!(started(&fleet, "engine-0").await?, before);
        Ok(())
    })
}

/// The list says that an instance is leaving before the instance knows.
#[test]
fn an_instance_that_the_list_shows_leaving_gets_nothing_new() -> Checked {
    smol::block_on(async {
        let fleet = Cluster::start(plan()).await?;
        ask_all(&fleet).await?;
        assert!(started(&fleet, "engine-0").await? > 0, "it was used before");

        fleet.register("agent-0", "leaving").await?;
        smol::Timer::after(LEAVING_LIMIT).await;
        let before = started(&fleet, "engine-0").await?;
        ask_all(&fleet).await?;

        assert_eq!(started(&fleet, "engine-0").await?, before);
        Ok(())
    })
}

/// A fleet whose agent-0 drains while it still has a long request, which the
/// list never shows, and whose entry-0 has heard so; with the long requests.
async fn fleet_with_draining_agent(
) -> Result<(Cluster, Vec<Task<Reply>>), Box<dyn std::error::Error>> {
    let mut plan = plan();
    plan.engine_args = args("--token-ms 10");
    let mut fleet = Cluster::start(plan).await?;
    let frozen = r#"{"instances_frozen": true}"#;
    fleet.set_faults("platform", frozen).await?;
    let caller = fleet.caller(0);
    let mut long = Vec::new();
    while status_of(&fleet, "agent-0").await.map(|one| one.in_flight) < Some(1) {
        assert!(long.len() < 8, "none of these went to agent-0");
        let caller = caller.clone();
        let question = ChatRequest::streamed(format!("plan {} [len=1500]", long.len()));
        long.push(smol::spawn(async move { caller.chat(&question).await }));
        smol::Timer::after(Duration::from_millis(200)).await;
    }
    fleet.terminate("agent-0")?;
    for _ in 0..20 {
        ask_at_once(&fleet).await;
        if fleet.process("entry-0")?.count_log("InstanceSaidLeaving") > 0 {
            return Ok((fleet, long));
        }
    }
    Err("entry-0 did not note that agent-0 is leaving".into())
}

/// Dispatches of entry-0 to agent-0 so far.
fn dispatches_to_draining(fleet: &Cluster) -> Result<usize, harness::HarnessError> {
    let log = fleet.process("entry-0")?.log();
    let is_choice = |line: &&String| {
        line.contains("UpstreamChosen") && line.contains(r#""instance":"agent-0""#)
    };
    Ok(log.iter().filter(is_choice).count())
}

/// An agent that drains, and stays for a long request, is not even asked
/// once an entry has heard so, while the list shows it live; and the long
/// request is not cut off.
#[test]
fn a_draining_agent_is_not_asked_again() -> Checked {
    smol::block_on(async {
        let (mut fleet, long) = fleet_with_draining_agent().await?;
        let before = dispatches_to_draining(&fleet)?;

        for _ in 0..5 {
            ask_at_once(&fleet).await;
        }

        assert!(
            fleet.process_mut("agent-0")?.is_running(),
            "it finishes its requests"
        );
        assert_eq!(dispatches_to_draining(&fleet)?, before);
        for reply in long {
            let reply = reply.await;
            assert!(reply.outcome.is_complete(), "{reply:?}");
        }
        Ok(())
    })
}

/// A drained agent is replaced under the same id and address, while the list
/// never showed it leaving: it gets work again.
#[test]
fn a_replacement_at_the_same_address_gets_work_again() -> Checked {
    smol::block_on(async {
        let (mut fleet, _long) = fleet_with_draining_agent().await?;
        fleet.set_faults("platform", "{}").await?;
        fleet.restart("agent-0").await?;
        let before = dispatches_to_draining(&fleet)?;

        for _ in 0..400 {
            ask_at_once(&fleet).await;
            if dispatches_to_draining(&fleet)? > before {
                return Ok(());
            }
            smol::Timer::after(Duration::from_millis(50)).await;
        }
        panic!("the replacement got no work");
    })
}

/// A new process that starts while the platform is down gets configuration
/// and upstreams from its seeds, and serves.
#[test]
fn a_cold_start_in_an_outage_serves_from_seeds() -> Checked {
    smol::block_on(async {
        let mut fleet = Cluster::start(plan()).await?;
        let seeds = [
            "127.0.0.1:1".to_string(),
            fleet.process("agent-1")?.internal_addr().to_string(),
        ];
        fleet.set_faults("platform", r#"{"down": true}"#).await?;

        let entry = fleet.process_mut("entry-1")?;
        let mut args = entry.args().to_vec();
        args.extend(["--seeds".into(), seeds.join(",")]);
        entry.set_args(args);
        entry.restart().await?;
        fleet.wait_ready(START_LIMIT).await?;

        assert_eq!(generation_of(&fleet, "entry-1").await, Some(1));
        ask_all(&fleet).await
    })
}

/// Without seeds nothing can be known: the process refuses work truly.
#[test]
fn a_cold_start_in_an_outage_without_seeds_refuses_as_not_run() -> Checked {
    smol::block_on(async {
        let mut fleet = Cluster::start(plan()).await?;
        fleet.set_faults("platform", r#"{"down": true}"#).await?;
        fleet.process_mut("entry-1")?.restart().await?;

        let reply = fleet
            .caller(1)
            .chat(&ChatRequest::buffered("ready? [len=1]"))
            .await;

        assert_eq!(
            reply.outcome.verdict(),
            Some(types::Verdict::NotRun),
            "{reply:?}"
        );
        Ok(())
    })
}

/// The peer secret is changed process by process, in three rounds, without
/// one refused request: first the new one is accepted beside the old one,
/// then it is used, then the old one is no longer accepted.
#[test]
fn the_peer_secret_is_changed_without_a_refused_request() -> Checked {
    smol::block_on(async {
        let mut fleet = Cluster::start(plan()).await?;
        let old = TempFile::new(fleet.secret())?;
        let new = TempFile::new("a-new-secret-for-this-test")?;
        let names = ["agent-0", "agent-1", "entry-0", "entry-1"];
        let plain: Vec<Vec<String>> = names
            .iter()
            .map(|name| Ok(fleet.process(name)?.args().to_vec()))
            .collect::<Result<_, harness::HarnessError>>()?;
        let rounds = [(&old, Some(&new)), (&new, Some(&old)), (&new, None)];

        for (current, accepted) in rounds {
            for (name, plain) in names.iter().zip(&plain) {
                let mut args = plain.clone();
                args.extend(["--peer-secret-file".into(), current.path()]);
                if let Some(accepted) = accepted {
                    args.extend(["--previous-peer-secret-file".into(), accepted.path()]);
                }
                let process = fleet.process_mut(name)?;
                process.set_args(args);
                process.restart().await?;
                fleet.wait_ready(START_LIMIT).await?;
                ask_all(&fleet).await?;
            }
        }

        assert_eq!(
            generation_of(&fleet, "agent-0").await,
            None,
            "the old secret"
        );
        for name in names {
            let log = fleet.process(name)?.log().join("\n");
            assert!(
                !log.contains(fleet.secret()) && !log.contains("a-new-secret"),
                "{name}"
            );
            let (_, metrics) = fleet.get_internal(name, "/metrics").await?;
            assert!(!metrics.contains(fleet.secret()), "{name}");
        }
        Ok(())
    })
}

/// Changes reach every process from the platform's list alone as well: no
/// request is needed.
#[test]
fn an_idle_fleet_learns_of_a_change() -> Checked {
    smol::block_on(async {
        let fleet = Cluster::start(plan()).await?;

        fleet.submit(harness::default_document()).await?;

        let names = ["entry-0", "entry-1", "agent-0", "agent-1"];
        wait_in_force(&fleet, &names, 2, Duration::from_secs(5)).await?;
        Ok(())
    })
}
