//! End-to-end tests with separate processes, from caller to engine and back,
//! while engines fail and processes drain.

use std::time::Duration;

use futures_lite::future;
use harness::{
    args, Caller, ChatRequest, Cluster, ClusterPlan, HarnessError, Outcome, Reply, ServiceCall,
    SERVICE_ROUTE,
};
use rstest::rstest;
use types::{ErrorCode, Verdict};

type TestResult = Result<(), Box<dyn std::error::Error>>;

/// Maximum time until a process exits after its last request.
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum time until the engine cancels the request of a disconnected caller;
/// far below the class's deadline of one minute.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time until every question has a running slot: far above the time to
/// start them and below the time that they run.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of questions in flight when a drain starts.
const IN_FLIGHT: usize = 12;

/// Returns a plan with engines that take 10 ms per token.
fn plan(engines: usize) -> ClusterPlan {
    ClusterPlan::builder()
        .engines(engines)
        .engine_args(args("--token-ms 10 --batch-max 16"))
        .agent_args(args("--membership-lag-ms 300"))
        .entry_args(args("--balancer-lag-ms 300"))
        .build()
}

fn question(number: usize, tokens: u32) -> ChatRequest {
    ChatRequest::streamed(format!("burr wear, case {number} [len={tokens}]"))
}

/// Asks `count` questions with responses of `tokens` tokens concurrently.
async fn ask_all(callers: &[Caller], count: usize, tokens: u32) -> Vec<Reply> {
    let pending: Vec<_> = (0..count)
        .map(|number| {
            let caller = callers[number % callers.len()].clone();
            let question = question(number, tokens);
            async_global_executor::spawn(async move { caller.chat(&question).await })
        })
        .collect();
    let mut replies = Vec::new();
    for reply in pending {
        replies.push(reply.await);
    }
    replies
}

/// Waits until an engine has generated at least 20 tokens.
async fn wait_until_busy(fleet: &Cluster, engine: &str) -> Result<(), HarnessError> {
    while fleet.stats(engine).await?.tokens_generated < 20 {
        smol::Timer::after(Duration::from_millis(10)).await;
    }
    Ok(())
}

fn assert_all_complete(replies: &[Reply], tokens: u32) {
    for reply in replies {
        assert_eq!(reply.outcome, Outcome::Complete { tokens }, "{reply:?}");
    }
}

#[rstest]
#[case::streamed(true)]
#[case::buffered(false)]
fn response_is_complete(#[case] stream: bool) -> TestResult {
    smol::block_on(async {
        let fleet = Cluster::start(ClusterPlan::builder().engines(2).build()).await?;
        let question = ChatRequest {
            stream,
            ..question(1, 40)
        };

        let reply = fleet.caller(0).chat(&question).await;

        assert_eq!(reply.outcome, Outcome::Complete { tokens: 40 }, "{reply:?}");
        Ok(())
    })
}

#[test]
fn service_responds_and_repeated_order_runs_once() -> TestResult {
    smol::block_on(async {
        let plan = ClusterPlan::builder().services(1).build();
        let mut fleet = Cluster::start(plan).await?;
        let read = ServiceCall::read(SERVICE_ROUTE, "/history/7?page=2");
        let order =
            ServiceCall::at_most_once(SERVICE_ROUTE, "/orders/new", r#"{"part":1}"#, "key-1");

        let read = fleet.caller(0).call(&read).await;
        let ordered = fleet.caller(0).call(&order).await;
        let again = fleet.caller(0).call(&order).await;

        assert!(read.outcome.is_complete(), "{read:?}");
        assert!(ordered.outcome.is_complete(), "{ordered:?}");
        assert_eq!(again.body, ordered.body);
        assert_eq!(fleet.ledger().runs_of_key("key-1").count(), 1);
        Ok(())
    })
}

#[rstest]
#[case::streamed(true)]
#[case::buffered(false)]
fn response_survives_engine_crash(#[case] stream: bool) -> TestResult {
    smol::block_on(async {
        let mut fleet = Cluster::start(plan(2)).await?;
        let caller = fleet.caller(0);
        let asked = ChatRequest {
            stream,
            ..question(1, 200)
        };
        let pending = async_global_executor::spawn(async move { caller.chat(&asked).await });
        let busy = future::or(
            async {
                wait_until_busy(&fleet, "engine-0")
                    .await
                    .map(|()| "engine-0")
            },
            async {
                wait_until_busy(&fleet, "engine-1")
                    .await
                    .map(|()| "engine-1")
            },
        );
        let busy = busy.await?;

        fleet.kill(busy)?;

        let reply = pending.await;
        assert_eq!(
            reply.outcome,
            Outcome::Complete { tokens: 200 },
            "{reply:?}"
        );
        Ok(())
    })
}

#[rstest]
#[case::swapped(r#"{"crossed": true}"#)]
#[case::swapped_events(r#"{"crossed_events": true}"#)]
#[case::truncated(r#"{"truncate_at_token": 5}"#)]
#[case::truncated_with_clean_end(r#"{"truncate_at_token": 5, "clean_end": true}"#)]
#[case::repeated(r#"{"repeat_token": 5}"#)]
#[case::skipped(r#"{"skip_token": 5}"#)]
#[case::dropped(r#"{"drop_before_first_token": true}"#)]
fn invalid_engine_response_is_reported_as_failure(
    #[case] faults: &str,
    #[values(true, false)] stream: bool,
) -> TestResult {
    smol::block_on(async {
        let fleet = Cluster::start(plan(1)).await?;
        fleet.set_faults("engine-0", faults).await?;
        let asked = ChatRequest {
            stream,
            ..question(1, 20)
        };

        let reply = fleet.caller(0).chat(&asked).await;

        match &reply.outcome {
            Outcome::Broken { .. } => assert!(stream, "{reply:?}"),
            Outcome::Refused { verdict, .. } => {
                assert_eq!(*verdict, Some(Verdict::MayHaveRun), "{reply:?}");
            }
            other => panic!("{other:?}"),
        }
        Ok(())
    })
}

#[rstest]
#[case::swapped(r#"{"crossed": true}"#)]
#[case::swapped_events(r#"{"crossed_events": true}"#)]
#[case::truncated(r#"{"truncate_at_token": 5, "clean_end": true}"#)]
#[case::repeated(r#"{"repeat_token": 5}"#)]
#[case::skipped(r#"{"skip_token": 5}"#)]
fn invalid_response_is_replaced_by_another_engine(#[case] faults: &str) -> TestResult {
    smol::block_on(async {
        let fleet = Cluster::start(plan(2)).await?;
        fleet.set_faults("engine-0", faults).await?;

        let replies = ask_all(&[fleet.caller(0)], 4, 20).await;

        assert_all_complete(&replies, 20);
        Ok(())
    })
}

#[rstest]
#[case::swapped(r#"{"crossed": true}"#)]
#[case::truncated(r#"{"truncate": true}"#)]
#[case::lost(r#"{"lose_answers": true}"#)]
fn invalid_service_response_is_not_reported_as_not_run(#[case] faults: &str) -> TestResult {
    smol::block_on(async {
        let plan = ClusterPlan::builder().services(1).build();
        let mut fleet = Cluster::start(plan).await?;
        fleet.set_faults("service-0", faults).await?;
        let order = ServiceCall::at_most_once(SERVICE_ROUTE, "/orders/new", "{}", "key-1");

        let reply = fleet.caller(0).call(&order).await;

        match &reply.outcome {
            Outcome::Broken { .. } => {}
            Outcome::Refused { verdict, .. } => {
                assert_ne!(*verdict, Some(Verdict::NotRun), "{reply:?}");
            }
            other => panic!("{other:?}"),
        }
        assert_eq!(fleet.ledger().runs_of_key("key-1").count(), 1);
        Ok(())
    })
}

#[test]
fn drained_agent_completes_requests() -> TestResult {
    smol::block_on(async {
        let mut fleet = Cluster::start(plan(2)).await?;
        let callers = [fleet.caller(0)];
        let pending = async_global_executor::spawn({
            let callers = callers.clone();
            async move { ask_all(&callers, IN_FLIGHT, 150).await }
        });
        wait_until_busy(&fleet, "engine-0").await?;

        // The platform's instance list still shows the agent as live.
        fleet.terminate("agent-0")?;
        let late_replies = ask_all(&callers, IN_FLIGHT, 20).await;
        let status = fleet
            .process_mut("agent-0")?
            .wait_exit(EXIT_TIMEOUT)
            .await?;

        assert_all_complete(&pending.await, 150);
        assert_all_complete(&late_replies, 20);
        assert!(status.success(), "{status}");
        Ok(())
    })
}

#[test]
fn drained_entry_completes_requests() -> TestResult {
    smol::block_on(async {
        let mut plan = plan(1);
        plan.entries = 2;
        let mut fleet = Cluster::start(plan).await?;
        let drained_entry_caller = fleet.caller(0);
        let pending = async_global_executor::spawn({
            let drained_entry_caller = drained_entry_caller.clone();
            async move { ask_all(&[drained_entry_caller], IN_FLIGHT, 150).await }
        });
        wait_until_busy(&fleet, "engine-0").await?;

        fleet.terminate("entry-0")?;
        let late_replies = ask_all(&[drained_entry_caller, fleet.caller(1)], IN_FLIGHT, 20).await;
        let status = fleet
            .process_mut("entry-0")?
            .wait_exit(EXIT_TIMEOUT)
            .await?;

        assert_all_complete(&pending.await, 150);
        assert!(status.success(), "{status}");
        for reply in &late_replies {
            let is_expected = match &reply.outcome {
                Outcome::Complete { tokens } => *tokens == 20,
                Outcome::Refused { code, verdict, .. } => {
                    (*code, *verdict) == (Some(ErrorCode::Draining), Some(Verdict::NotRun))
                }
                // The listener was closed before the caller connected.
                Outcome::NoResponse { .. } => true,
                _ => false,
            };
            assert!(is_expected, "{reply:?}");
        }
        Ok(())
    })
}

/// The engine runs 16 requests concurrently, and a new agent may use all of
/// these slots immediately.
#[test]
fn new_agent_uses_full_running_limit() -> TestResult {
    const RUNNING_MAX: usize = 16;

    smol::block_on(async {
        let mut plan = plan(1);
        plan.engine_args.extend(args("--load-lag-ms 0"));
        let fleet = Cluster::start(plan).await?;
        let callers = [fleet.caller(0)];
        // Each request takes 10 s, so that none ends before the last one starts.
        let pending = async_global_executor::spawn(async move {
            ask_all(&callers, RUNNING_MAX, 1_000).await;
        });

        let all_run = async {
            while fleet.running_requests("engine-0").await? < RUNNING_MAX {
                smol::Timer::after(Duration::from_millis(10)).await;
            }
            Ok::<bool, HarnessError>(true)
        };
        let timeout = async {
            smol::Timer::after(START_TIMEOUT).await;
            Ok(false)
        };
        let all_run = future::or(all_run, timeout).await?;

        let running = fleet.running_requests("engine-0").await?;
        assert!(all_run, "{running} of {RUNNING_MAX} requests are running");
        drop(pending);
        Ok(())
    })
}

#[test]
fn caller_timeout_cancels_request_on_engine() -> TestResult {
    smol::block_on(async {
        let fleet = Cluster::start(plan(1)).await?;
        let caller = fleet.caller(0).with_timeout(Duration::from_millis(500));

        let reply = caller.chat(&question(1, 100_000)).await;

        assert!(matches!(reply.outcome, Outcome::TimedOut { tokens } if tokens > 0));
        let cancelled = async {
            while fleet.stats("engine-0").await?.cancelled == 0 {
                smol::Timer::after(Duration::from_millis(10)).await;
            }
            Ok::<bool, HarnessError>(true)
        };
        let timeout = async {
            smol::Timer::after(CANCEL_TIMEOUT).await;
            Ok(false)
        };
        assert!(
            future::or(cancelled, timeout).await?,
            "the engine did not cancel the request"
        );
        Ok(())
    })
}
