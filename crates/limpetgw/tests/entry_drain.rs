//! Tests that draining processes complete their requests and get no new ones.

use std::time::Duration;

use harness::{args, ChatRequest, Cluster, ClusterPlan, Outcome, Reply};
use rstest::rstest;
use smol::Timer;
use types::ErrorCode;

type TestResult = Result<(), Box<dyn std::error::Error>>;

const PROMPT: &str = "how are the burrs? [len=150]";
const COMPLETE: Outcome = Outcome::Complete { tokens: 150 };
/// Maximum time from the last request until the process exits.
const EXIT_TIMEOUT: Duration = Duration::from_secs(15);

async fn start_fleet(entries: usize, engines: usize) -> Result<Cluster, harness::HarnessError> {
    let plan = ClusterPlan::builder()
        .entries(entries)
        .engines(engines)
        .engine_args(args("--token-ms 10"))
        .entry_args(args("--balancer-lag-ms 500"))
        .agent_args(Vec::new())
        .build();
    Cluster::start(plan).await
}

async fn sleep_ms(duration_ms: u64) {
    Timer::after(Duration::from_millis(duration_ms)).await;
}

/// Asks `count` questions, one every `gap_ms`, and cycles through `callers`.
async fn ask_at_interval(callers: Vec<harness::Caller>, count: usize, gap_ms: u64) -> Vec<Reply> {
    let mut tasks = Vec::new();
    for number in 0..count {
        let caller = callers[number % callers.len()].clone();
        let question = ChatRequest::streamed(format!("{number}: {PROMPT}"));
        tasks.push(smol::spawn(async move { caller.chat(&question).await }));
        sleep_ms(gap_ms).await;
    }
    let mut replies = Vec::new();
    for task in tasks {
        replies.push(task.await);
    }
    replies
}

#[rstest]
fn entry_drains_under_load() -> TestResult {
    smol::block_on(async {
        let mut fleet = start_fleet(1, 2).await?;
        let caller = fleet.caller(0);
        let requests = smol::spawn(ask_at_interval(vec![caller.clone()], 10, 30));
        sleep_ms(500).await;

        fleet.terminate("entry-0")?;
        sleep_ms(100).await;
        let ready = fleet.get_internal("entry-0", "/readyz").await?;
        let during_lag =
            smol::spawn(async move { caller.chat(&ChatRequest::streamed(PROMPT)).await });
        sleep_ms(600).await;
        let caller = fleet.caller(0);
        let after_lag = caller.chat(&ChatRequest::streamed(PROMPT)).await;
        let replies = requests.await;
        let exit = fleet
            .process_mut("entry-0")?
            .wait_exit(EXIT_TIMEOUT)
            .await?;

        assert_eq!(ready.0, 503);
        for reply in &replies {
            assert_eq!(reply.outcome, COMPLETE, "{reply:?}");
        }
        assert_eq!(during_lag.await.outcome, COMPLETE);
        assert!(
            after_lag.outcome.is_refused_with(ErrorCode::Draining),
            "{after_lag:?}"
        );
        assert!(exit.success(), "{exit:?}");
        Ok(())
    })
}

/// Replaces all entries one after the other. As behind a balancer, callers do
/// not use an entry after its drain has started.
#[rstest]
fn rolling_restart_of_entries_completes_all_requests() -> TestResult {
    smol::block_on(async {
        let mut fleet = start_fleet(3, 2).await?;
        let mut replies = Vec::new();
        for draining in 0..3 {
            let others = (0..3).filter(|entry| *entry != draining);
            let callers = others.map(|entry| fleet.caller(entry)).collect();
            let earlier = smol::spawn(ask_at_interval(vec![fleet.caller(draining)], 4, 20));
            sleep_ms(300).await;
            let name = format!("entry-{draining}");
            fleet.terminate(&name)?;

            replies.extend(ask_at_interval(callers, 6, 50).await);
            replies.extend(earlier.await);
            let exit = fleet.process_mut(&name)?.wait_exit(EXIT_TIMEOUT).await?;
            assert!(exit.success(), "{exit:?}");
            fleet.restart(&name).await?;
            fleet.wait_ready(Duration::from_secs(20)).await?;
        }

        for reply in &replies {
            assert_eq!(reply.outcome, COMPLETE, "{reply:?}");
        }
        Ok(())
    })
}

/// A draining agent completes its requests, even if the instance list does not
/// show the drain or the store is down.
#[rstest]
#[case::platform_healthy("{}")]
#[case::list_frozen(r#"{"instances_frozen":true}"#)]
#[case::store_down(r#"{"down":true}"#)]
fn agent_drains_under_load(#[case] platform_faults: &str) -> TestResult {
    smol::block_on(async {
        let mut fleet = start_fleet(2, 3).await?;
        fleet.set_faults("platform", platform_faults).await?;
        let callers = vec![fleet.caller(0), fleet.caller(1)];
        let requests = smol::spawn(ask_at_interval(callers.clone(), 30, 60));
        sleep_ms(600).await;

        fleet.terminate("agent-0")?;
        let replies = requests.await;
        let exit = fleet
            .process_mut("agent-0")?
            .wait_exit(EXIT_TIMEOUT)
            .await?;

        for reply in &replies {
            assert_eq!(reply.outcome, COMPLETE, "{reply:?}");
        }
        assert!(exit.success(), "{exit:?}");
        let after = callers[0].chat(&ChatRequest::streamed(PROMPT)).await;
        assert_eq!(after.outcome, COMPLETE, "{after:?}");
        Ok(())
    })
}
