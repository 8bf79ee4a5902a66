//! A request through separate processes, from caller to engine and back,
//! while engines fail and processes leave.

use std::time::Duration;

use futures_lite::future;
use harness::{
    args, Caller, ChatRequest, Cluster, ClusterPlan, HarnessError, Outcome, Reply, ServiceCall,
    SERVICE_ROUTE,
};
use rstest::rstest;
use types::{ErrorCode, Verdict};

type Checked = Result<(), Box<dyn std::error::Error>>;

/// Longest wait for a process to end once all its requests have.
const EXIT_LIMIT: Duration = Duration::from_secs(20);
/// Longest wait until a caller's hanging up has reached the engine; far below
/// the class's deadline of a minute.
const CANCEL_LIMIT: Duration = Duration::from_secs(10);
/// Longest wait until every question has a running slot, far above the time
/// that starting them takes and below the time that they run.
const START_LIMIT: Duration = Duration::from_secs(5);
/// Questions that are under way when something happens.
const AT_ONCE: usize = 12;

/// A fleet whose engines take a moment for each token.
fn paced(engines: usize) -> ClusterPlan {
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

/// Asks several questions of one length at once.
async fn ask_all(callers: &[Caller], count: usize, tokens: u32) -> Vec<Reply> {
    let asking: Vec<_> = (0..count)
        .map(|number| {
            let caller = callers[number % callers.len()].clone();
            let question = question(number, tokens);
            async_global_executor::spawn(async move { caller.chat(&question).await })
        })
        .collect();
    let mut replies = Vec::new();
    for reply in asking {
        replies.push(reply.await);
    }
    replies
}

/// Returns once an engine has generated tokens of real questions.
async fn wait_until_busy(fleet: &Cluster, engine: &str) -> Result<(), HarnessError> {
    while fleet.stats(engine).await?.tokens_generated < 20 {
        smol::Timer::after(Duration::from_millis(10)).await;
    }
    Ok(())
}

fn assert_all_whole(replies: &[Reply], tokens: u32) {
    for reply in replies {
        assert_eq!(reply.outcome, Outcome::Complete { tokens }, "{reply:?}");
    }
}

#[rstest]
#[case::streamed(true)]
#[case::whole(false)]
fn an_answer_arrives_whole(#[case] stream: bool) -> Checked {
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
fn a_plain_service_answers_its_caller() -> Checked {
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
#[case::whole(false)]
fn a_crash_in_mid_answer_loses_no_token(#[case] stream: bool) -> Checked {
    smol::block_on(async {
        let mut fleet = Cluster::start(paced(2)).await?;
        let caller = fleet.caller(0);
        let asked = ChatRequest {
            stream,
            ..question(1, 200)
        };
        let asking = async_global_executor::spawn(async move { caller.chat(&asked).await });
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

        let reply = asking.await;
        assert_eq!(
            reply.outcome,
            Outcome::Complete { tokens: 200 },
            "{reply:?}"
        );
        Ok(())
    })
}

#[rstest]
#[case::crossed(r#"{"crossed": true}"#)]
#[case::crossed_events(r#"{"crossed_events": true}"#)]
#[case::truncated(r#"{"truncate_at_token": 5}"#)]
#[case::truncated_as_if_whole(r#"{"truncate_at_token": 5, "clean_end": true}"#)]
#[case::repeated(r#"{"repeat_token": 5}"#)]
#[case::skipped(r#"{"skip_token": 5}"#)]
#[case::dropped(r#"{"drop_before_first_token": true}"#)]
fn a_wrong_answer_never_looks_right(
    #[case] faults: &str,
    #[values(true, false)] stream: bool,
) -> Checked {
    smol::block_on(async {
        let fleet = Cluster::start(paced(1)).await?;
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
#[case::crossed(r#"{"crossed": true}"#)]
#[case::crossed_events(r#"{"crossed_events": true}"#)]
#[case::truncated(r#"{"truncate_at_token": 5, "clean_end": true}"#)]
#[case::repeated(r#"{"repeat_token": 5}"#)]
#[case::skipped(r#"{"skip_token": 5}"#)]
fn a_wrong_answer_is_made_good_elsewhere(#[case] faults: &str) -> Checked {
    smol::block_on(async {
        let fleet = Cluster::start(paced(2)).await?;
        fleet.set_faults("engine-0", faults).await?;

        let replies = ask_all(&[fleet.caller(0)], 4, 20).await;

        assert_all_whole(&replies, 20);
        Ok(())
    })
}

#[rstest]
#[case::crossed(r#"{"crossed": true}"#)]
#[case::truncated(r#"{"truncate": true}"#)]
#[case::lost(r#"{"lose_answers": true}"#)]
fn a_service_s_wrong_answer_never_looks_right(#[case] faults: &str) -> Checked {
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
fn a_drained_agent_cuts_nothing_off() -> Checked {
    smol::block_on(async {
        let mut fleet = Cluster::start(paced(2)).await?;
        let callers = [fleet.caller(0)];
        let asking = async_global_executor::spawn({
            let callers = callers.clone();
            async move { ask_all(&callers, AT_ONCE, 150).await }
        });
        wait_until_busy(&fleet, "engine-0").await?;

        // The platform's list still says that the agent is live.
        fleet.terminate("agent-0")?;
        let late = ask_all(&callers, AT_ONCE, 20).await;
        let status = fleet.process_mut("agent-0")?.wait_exit(EXIT_LIMIT).await?;

        assert_all_whole(&asking.await, 150);
        assert_all_whole(&late, 20);
        assert!(status.success(), "{status}");
        Ok(())
    })
}

#[test]
fn a_drained_entry_cuts_nothing_off() -> Checked {
    smol::block_on(async {
        let mut plan = paced(1);
        plan.entries = 2;
        let mut fleet = Cluster::start(plan).await?;
        let leaving = fleet.caller(0);
        let asking = async_global_executor::spawn({
            let leaving = leaving.clone();
            async move { ask_all(&[leaving], AT_ONCE, 150).await }
        });
        wait_until_busy(&fleet, "engine-0").await?;

        fleet.terminate("entry-0")?;
        let late = ask_all(&[leaving, fleet.caller(1)], AT_ONCE, 20).await;
        let status = fleet.process_mut("entry-0")?.wait_exit(EXIT_LIMIT).await?;

        assert_all_whole(&asking.await, 150);
        assert!(status.success(), "{status}");
        for reply in &late {
            let is_fine = match &reply.outcome {
                Outcome::Complete { tokens } => *tokens == 20,
                Outcome::Refused { code, verdict, .. } => {
                    (*code, *verdict) == (Some(ErrorCode::Draining), Some(Verdict::NotRun))
                }
                // The listener was closed before the caller came.
                Outcome::NoResponse { .. } => true,
                _ => false,
            };
            assert!(is_fine, "{reply:?}");
        }
        Ok(())
    })
}

/// The engine takes 16 at once and so may the agent from its start on.
#[test]
fn a_fresh_agent_uses_the_whole_running_limit() -> Checked {
    const RUNNING_MAX: usize = 16;

    smol::block_on(async {
        let mut plan = paced(1);
        plan.engine_args.extend(args("--load-lag-ms 0"));
        let fleet = Cluster::start(plan).await?;
        let callers = [fleet.caller(0)];
        // Ten seconds each: none ends before the last one could have started.
        let asking = async_global_executor::spawn(async move {
            ask_all(&callers, RUNNING_MAX, 1_000).await;
        });

        let all_run = async {
            while fleet.running("engine-0").await? < RUNNING_MAX {
                smol::Timer::after(Duration::from_millis(10)).await;
            }
            Ok::<bool, HarnessError>(true)
        };
        let too_late = async {
            smol::Timer::after(START_LIMIT).await;
            Ok(false)
        };
        let all_run = future::or(all_run, too_late).await?;

        let running = fleet.running("engine-0").await?;
        assert!(all_run, "{running} of {RUNNING_MAX} run");
        drop(asking);
        Ok(())
    })
}

#[test]
fn a_vanished_caller_frees_the_engine() -> Checked {
    smol::block_on(async {
        let fleet = Cluster::start(paced(1)).await?;
        let impatient = fleet.caller(0).with_timeout(Duration::from_millis(500));

        let reply = impatient.chat(&question(1, 100_000)).await;

        assert!(matches!(reply.outcome, Outcome::TimedOut { tokens } if tokens > 0));
        let cancelled = async {
            while fleet.stats("engine-0").await?.cancelled == 0 {
                smol::Timer::after(Duration::from_millis(10)).await;
            }
            Ok::<bool, HarnessError>(true)
        };
        let too_late = async {
            smol::Timer::after(CANCEL_LIMIT).await;
            Ok(false)
        };
        assert!(future::or(cancelled, too_late).await?, "still running");
        Ok(())
    })
}
