//! Tests of draining instances, outdated instance lists and cold starts with
//! separate processes, while the platform fails.

use std::time::Duration;

use harness::{args, ChatRequest, Cluster, ClusterPlan, Reply};

use crate::commands::{generation_of, status_of, wait_until_applied, TempFile, TestResult};
use rstest::rstest;
use smol::Task;

/// Time after which a draining instance must not get new requests.
const DRAIN_PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Maximum time until a restarted process is ready, with or without seeds.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of questions that are asked through each entry.
const QUESTIONS: usize = 12;

fn plan() -> ClusterPlan {
    ClusterPlan::builder().entries(2).engines(2).build()
}

/// Asks [`QUESTIONS`] questions through each entry and checks that every
/// response is complete.
async fn ask_all(fleet: &Cluster) -> TestResult {
    for entry in 0..2 {
        for number in 0..QUESTIONS {
            ask_one(fleet, entry, number).await;
        }
    }
    Ok(())
}

/// Asks eight different questions through entry-0 concurrently, so that more
/// than one instance is the entry's first choice.
async fn ask_concurrently(fleet: &Cluster) {
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

async fn requests_started(fleet: &Cluster, engine: &str) -> Result<u64, harness::HarnessError> {
    Ok(fleet.stats(engine).await?.requests_started)
}

/// A draining agent gets no new requests even if the instance list does not
/// show the drain.
#[rstest]
#[case::list_never_changes(r#"{"instances_frozen": true}"#)]
#[case::list_is_down(r#"{"down": true, "only_kind": "instances"}"#)]
#[case::platform_is_down(r#"{"down": true}"#)]
#[case::platform_is_slow(r#"{"slow_ms": 5000}"#)]
fn draining_agent_gets_no_new_requests_despite_outdated_list(#[case] faults: &str) -> TestResult {
    smol::block_on(async {
        let mut fleet = Cluster::start(plan()).await?;
        ask_all(&fleet).await?;
        fleet.set_faults("platform", faults).await?;

        fleet.terminate("agent-0")?;
        smol::Timer::after(DRAIN_PROPAGATION_TIME).await;
        let before = requests_started(&fleet, "engine-0").await?;
        ask_all(&fleet).await?;

        assert_eq!(requests_started(&fleet, "engine-0").await?, before);
        Ok(())
    })
}

/// The instance list shows an instance as leaving before it starts to drain.
#[test]
fn instance_listed_as_leaving_gets_no_new_requests() -> TestResult {
    smol::block_on(async {
        let fleet = Cluster::start(plan()).await?;
        ask_all(&fleet).await?;
        assert!(
            requests_started(&fleet, "engine-0").await? > 0,
            "engine-0 got no request before the drain"
        );

        fleet.register("agent-0", "leaving").await?;
        smol::Timer::after(DRAIN_PROPAGATION_TIME).await;
        let before = requests_started(&fleet, "engine-0").await?;
        ask_all(&fleet).await?;

        assert_eq!(requests_started(&fleet, "engine-0").await?, before);
        Ok(())
    })
}

/// Starts a fleet in which agent-0 drains with a long request in flight, the
/// instance list does not show the drain, and entry-0 has learned of it from
/// the agent. Returns the fleet and the long requests.
async fn fleet_with_draining_agent(
) -> Result<(Cluster, Vec<Task<Reply>>), Box<dyn std::error::Error>> {
    let mut plan = plan();
    plan.engine_args = args("--token-ms 10");
    let mut fleet = Cluster::start(plan).await?;
    let frozen = r#"{"instances_frozen": true}"#;
    fleet.set_faults("platform", frozen).await?;
    let caller = fleet.caller(0);
    let mut long_requests = Vec::new();
    while status_of(&fleet, "agent-0")
        .await
        .map(|status| status.in_flight)
        < Some(1)
    {
        assert!(
            long_requests.len() < 8,
            "none of the long requests was sent to agent-0"
        );
        let caller = caller.clone();
        let question = ChatRequest::streamed(format!("plan {} [len=1500]", long_requests.len()));
        long_requests.push(smol::spawn(async move { caller.chat(&question).await }));
        smol::Timer::after(Duration::from_millis(200)).await;
    }
    fleet.terminate("agent-0")?;
    for _ in 0..20 {
        ask_concurrently(&fleet).await;
        if fleet.process("entry-0")?.count_log("InstanceSaidLeaving") > 0 {
            return Ok((fleet, long_requests));
        }
    }
    Err("entry-0 did not log that agent-0 is leaving".into())
}

/// Returns the number of dispatches from entry-0 to agent-0 so far.
fn dispatches_to_draining(fleet: &Cluster) -> Result<usize, harness::HarnessError> {
    let log = fleet.process("entry-0")?.log();
    let is_choice = |line: &&String| {
        line.contains("UpstreamChosen") && line.contains(r#""instance":"agent-0""#)
    };
    Ok(log.iter().filter(is_choice).count())
}

/// An entry that has learned that an agent is draining does not dispatch to it
/// again, even if the instance list shows the agent as live. The agent completes
/// its long request.
#[test]
fn entry_does_not_dispatch_to_draining_agent_again() -> TestResult {
    smol::block_on(async {
        let (mut fleet, long_requests) = fleet_with_draining_agent().await?;
        let before = dispatches_to_draining(&fleet)?;

        for _ in 0..5 {
            ask_concurrently(&fleet).await;
        }

        assert!(
            fleet.process_mut("agent-0")?.is_running(),
            "agent-0 exited before its requests ended"
        );
        assert_eq!(dispatches_to_draining(&fleet)?, before);
        for reply in long_requests {
            let reply = reply.await;
            assert!(reply.outcome.is_complete(), "{reply:?}");
        }
        Ok(())
    })
}

/// A drained agent is replaced under the same id and address, and the instance
/// list never showed the drain: the replacement gets requests.
#[test]
fn replacement_at_same_address_gets_requests() -> TestResult {
    smol::block_on(async {
        let (mut fleet, _long_requests) = fleet_with_draining_agent().await?;
        fleet.set_faults("platform", "{}").await?;
        fleet.restart("agent-0").await?;
        let before = dispatches_to_draining(&fleet)?;

        for _ in 0..400 {
            ask_concurrently(&fleet).await;
            if dispatches_to_draining(&fleet)? > before {
                return Ok(());
            }
            smol::Timer::after(Duration::from_millis(50)).await;
        }
        panic!("the replacement got no request");
    })
}

/// A process that starts while the platform is down gets the configuration and
/// the instance list from its seeds, and serves requests.
#[test]
fn cold_start_during_outage_uses_seeds() -> TestResult {
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
        fleet.wait_ready(START_TIMEOUT).await?;

        assert_eq!(generation_of(&fleet, "entry-1").await, Some(1));
        ask_all(&fleet).await
    })
}

/// Without seeds, the process has no configuration and refuses requests with a
/// response which states that the request did not run.
#[test]
fn cold_start_during_outage_without_seeds_refuses_as_not_run() -> TestResult {
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

/// The peer secret is rotated process by process in three rounds, without a
/// refused request: the new secret is first accepted in addition to the old one,
/// then used, and finally the old secret is no longer accepted.
#[test]
fn peer_secret_is_rotated_without_refused_requests() -> TestResult {
    smol::block_on(async {
        let mut fleet = Cluster::start(plan()).await?;
        let old = TempFile::new(fleet.secret())?;
        let new = TempFile::new("a-new-secret-for-this-test")?;
        let names = ["agent-0", "agent-1", "entry-0", "entry-1"];
        let original_args: Vec<Vec<String>> = names
            .iter()
            .map(|name| Ok(fleet.process(name)?.args().to_vec()))
            .collect::<Result<_, harness::HarnessError>>()?;
        let rounds = [(&old, Some(&new)), (&new, Some(&old)), (&new, None)];

        for (current, previous) in rounds {
            for (name, original_args) in names.iter().zip(&original_args) {
                let mut args = original_args.clone();
                args.extend(["--peer-secret-file".into(), current.path()]);
                if let Some(previous) = previous {
                    args.extend(["--previous-peer-secret-file".into(), previous.path()]);
                }
                let process = fleet.process_mut(name)?;
                process.set_args(args);
                process.restart().await?;
                fleet.wait_ready(START_TIMEOUT).await?;
                ask_all(&fleet).await?;
            }
        }

        assert_eq!(
            generation_of(&fleet, "agent-0").await,
            None,
            "agent-0 still accepts the old secret"
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

/// Changes reach every process through the platform alone, without caller
/// requests.
#[test]
fn change_is_applied_without_caller_requests() -> TestResult {
    smol::block_on(async {
        let fleet = Cluster::start(plan()).await?;

        fleet.submit(harness::default_document()).await?;

        let names = ["entry-0", "entry-1", "agent-0", "agent-1"];
        wait_until_applied(&fleet, &names, 2, Duration::from_secs(5)).await?;
        Ok(())
    })
}
