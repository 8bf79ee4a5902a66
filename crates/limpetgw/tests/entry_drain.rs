//! Planned stops cut off nothing, and what leaves gets nothing new.

use std::time::Duration;

use harness::{args, ChatRequest, Cluster, ClusterPlan, Outcome, Reply};
use rstest::rstest;
use smol::Timer;
use types::ErrorCode;

type Checked = Result<(), Box<dyn std::error::Error>>;

const PROMPT: &str = "how are the burrs? [len=150]";
const WHOLE: Outcome = Outcome::Complete { tokens: 150 };
/// Time by which a process must have ended after its last request.
const EXIT_LIMIT: Duration = Duration::from_secs(15);

async fn fleet(entries: usize, engines: usize) -> Result<Cluster, harness::HarnessError> {
    let plan = ClusterPlan::builder()
        .entries(entries)
        .engines(engines)
        .engine_args(args("--token-ms 10"))
        .entry_args(args("--balancer-lag-ms 500"))
        .agent_args(Vec::new())
        .build();
    Cluster::start(plan).await
}

async fn pause(pause_ms: u64) {
    Timer::after(Duration::from_millis(pause_ms)).await;
}

/// Asks `count` questions, `gap_ms` apart, each at the entry that `entry_of`
/// names at that moment.
async fn ask_steadily(callers: Vec<harness::Caller>, count: usize, gap_ms: u64) -> Vec<Reply> {
    let mut tasks = Vec::new();
    for number in 0..count {
        let caller = callers[number % callers.len()].clone();
        let question = ChatRequest::streamed(format!("{number}: {PROMPT}"));
        tasks.push(smol::spawn(async move { caller.chat(&question).await }));
        pause(gap_ms).await;
    }
    let mut replies = Vec::new();
    for task in tasks {
        replies.push(task.await);
    }
    replies
}

#[rstest]
fn an_entry_drains_under_load() -> Checked {
    smol::block_on(async {
        let mut fleet = fleet(1, 2).await?;
        let caller = fleet.caller(0);
        let load = smol::spawn(ask_steadily(vec![caller.clone()], 10, 30));
        pause(500).await;

        fleet.terminate("entry-0")?;
        pause(100).await;
        let ready = fleet.get_internal("entry-0", "/readyz").await?;
        let during_lag =
            smol::spawn(async move { caller.chat(&ChatRequest::streamed(PROMPT)).await });
        pause(600).await;
        let caller = fleet.caller(0);
        let after_lag = caller.chat(&ChatRequest::streamed(PROMPT)).await;
        let replies = load.await;
        let exit = fleet.process_mut("entry-0")?.wait_exit(EXIT_LIMIT).await?;

        assert_eq!(ready.0, 503);
        for reply in &replies {
            assert_eq!(reply.outcome, WHOLE, "{reply:?}");
        }
        assert_eq!(during_lag.await.outcome, WHOLE);
        assert!(
            after_lag.outcome.is_refused_with(ErrorCode::Draining),
            "{after_lag:?}"
        );
        assert!(exit.success(), "{exit:?}");
        Ok(())
    })
}

/// All entries are replaced one after the other, behind a balancer that stops
/// using an entry when it is not ready.
#[rstest]
fn all_entries_are_replaced_under_load() -> Checked {
    smol::block_on(async {
        let mut fleet = fleet(3, 2).await?;
        let mut replies = Vec::new();
        for leaving in 0..3 {
            let others = (0..3).filter(|entry| *entry != leaving);
            let callers = others.map(|entry| fleet.caller(entry)).collect();
            let before = smol::spawn(ask_steadily(vec![fleet.caller(leaving)], 4, 20));
            pause(300).await;
            let name = format!("entry-{leaving}");
            fleet.terminate(&name)?;

            replies.extend(ask_steadily(callers, 6, 50).await);
            replies.extend(before.await);
            let exit = fleet.process_mut(&name)?.wait_exit(EXIT_LIMIT).await?;
            assert!(exit.success(), "{exit:?}");
            fleet.restart(&name).await?;
            fleet.wait_ready(Duration::from_secs(20)).await?;
        }

        for reply in &replies {
            assert_eq!(reply.outcome, WHOLE, "{reply:?}");
        }
        Ok(())
    })
}

/// An agent that leaves finishes what it has; the list may be wrong about it,
/// and the store down.
#[rstest]
#[case::alone("{}")]
#[case::list_frozen(r#"{"instances_frozen":true}"#)]
#[case::store_down(r#"{"down":true}"#)]
fn an_agent_leaves_under_load(#[case] platform_faults: &str) -> Checked {
    smol::block_on(async {
        let mut fleet = fleet(2, 3).await?;
        fleet.set_faults("platform", platform_faults).await?;
        let callers = vec![fleet.caller(0), fleet.caller(1)];
        let load = smol::spawn(ask_steadily(callers.clone(), 30, 60));
        pause(600).await;

        fleet.terminate("agent-0")?;
        let replies = load.await;
        let exit = fleet.process_mut("agent-0")?.wait_exit(EXIT_LIMIT).await?;

        for reply in &replies {
            assert_eq!(reply.outcome, WHOLE, "{reply:?}");
        }
        assert!(exit.success(), "{exit:?}");
        let after = callers[0].chat(&ChatRequest::streamed(PROMPT)).await;
        assert_eq!(after.outcome, WHOLE, "{after:?}");
        Ok(())
    })
}
