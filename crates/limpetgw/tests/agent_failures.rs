//! Tests of failing agents and engines, with separate processes and real
//! signals.

use std::time::Duration;

use harness::{args, Caller, ChatRequest, Cluster, ClusterPlan, HarnessError, Outcome, Reply};
use rstest::rstest;
use trillium_client::{Client, Method};
use trillium_smol::ClientConfig;
use types::{ErrorCode, Verdict};

type TestResult = Result<(), Box<dyn std::error::Error>>;

/// Maximum time until restarted processes are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Prompt that crashes every engine that runs it.
const CRASHING_PROMPT: &str = "scan-666";
/// Number of times that the crashing prompt is submitted.
const CRASHING_SUBMISSIONS: usize = 6;
/// Maximum number of engines that requests with the same content may crash.
const CRASHES_MAX: usize = 2;

fn plan(engines: usize, entries: usize) -> ClusterPlan {
    ClusterPlan::builder()
        .engines(engines)
        .entries(entries)
        .engine_args(args("--token-ms 10 --batch-max 16"))
        .agent_args(args("--membership-lag-ms 300 --upstream-silence-ms 500"))
        .build()
}

fn question(number: usize, tokens: u32) -> ChatRequest {
    ChatRequest::streamed(format!("burr wear, case {number} [len={tokens}]"))
}

fn spawn_question(caller: &Caller, question: ChatRequest) -> smol::Task<Reply> {
    let caller = caller.clone();
    smol::spawn(async move { caller.chat(&question).await })
}

async fn sleep_ms(duration_ms: u64) {
    smol::Timer::after(Duration::from_millis(duration_ms)).await;
}

/// Waits until an engine has generated at least 20 tokens and returns its
/// number.
async fn wait_for_busy_engine(fleet: &Cluster, engines: usize) -> Result<usize, HarnessError> {
    loop {
        for number in 0..engines {
            if fleet
                .stats(&format!("engine-{number}"))
                .await?
                .tokens_generated
                >= 20
            {
                return Ok(number);
            }
        }
        sleep_ms(10).await;
    }
}

#[test]
fn stream_survives_frozen_engine() -> TestResult {
    smol::block_on(async {
        let mut fleet = Cluster::start(plan(2, 1)).await?;
        let pending = spawn_question(&fleet.caller(0), question(1, 150));
        let busy = wait_for_busy_engine(&fleet, 2).await?;

        fleet.freeze(&format!("engine-{busy}"))?;
        let reply = pending.await;
        fleet.thaw(&format!("engine-{busy}"))?;

        assert_eq!(
            reply.outcome,
            Outcome::Complete { tokens: 150 },
            "{reply:?}"
        );
        Ok(())
    })
}

#[test]
fn stream_survives_killed_agent() -> TestResult {
    smol::block_on(async {
        let mut fleet = Cluster::start(plan(2, 1)).await?;
        let pending = spawn_question(&fleet.caller(0), question(1, 150));
        let busy = wait_for_busy_engine(&fleet, 2).await?;

        fleet.kill(&format!("agent-{busy}"))?;
        let reply = pending.await;

        assert_eq!(
            reply.outcome,
            Outcome::Complete { tokens: 150 },
            "{reply:?}"
        );
        Ok(())
    })
}

#[test]
fn frozen_agent_does_not_affect_later_requests() -> TestResult {
    smol::block_on(async {
        let mut fleet = Cluster::start(plan(2, 1)).await?;
        let caller = fleet.caller(0);
        let earlier: Vec<_> = (0..6)
            .map(|i| spawn_question(&caller, question(i, 150)))
            .collect();
        wait_for_busy_engine(&fleet, 2).await?;

        fleet.freeze("agent-0")?;
        let later: Vec<_> = (6..12)
            .map(|i| spawn_question(&caller, question(i, 20)))
            .collect();
        let mut replies = Vec::new();
        for pending in later {
            replies.push(pending.await);
        }
        fleet.thaw("agent-0")?;

        for reply in &replies {
            assert_eq!(reply.outcome, Outcome::Complete { tokens: 20 }, "{reply:?}");
        }
        for pending in earlier {
            let reply = pending.await;
            assert!(!reply.outcome.is_wrong(), "{reply:?}");
        }
        Ok(())
    })
}

#[rstest]
#[case::no_restart(Restart::Nothing)]
#[case::entry_restarts(Restart::Entry)]
#[case::agents_of_crashed_engines_restart(Restart::Agents)]
fn crashing_prompt_crashes_at_most_two_engines(#[case] restart: Restart) -> TestResult {
    smol::block_on(async {
        let mut fleet = Cluster::start(plan(4, 2)).await?;
        let faults = format!(r#"{{"crash_on_prompt":"{CRASHING_PROMPT}"}}"#);
        for engine in 0..4 {
            fleet
                .set_faults(&format!("engine-{engine}"), &faults)
                .await?;
        }
        let crashing_question = ChatRequest::streamed(format!("{CRASHING_PROMPT} [len=40]"));
        let harmless: Vec<_> = (0..8)
            .map(|i| spawn_question(&fleet.caller(1), question(i, 100)))
            .collect();
        wait_for_busy_engine(&fleet, 4).await?;

        let mut replies = vec![fleet.caller(0).chat(&crashing_question).await];
        restart_processes(&mut fleet, restart).await?;
        for submission in 1..CRASHING_SUBMISSIONS {
            replies.push(fleet.caller(submission % 2).chat(&crashing_question).await);
        }
        let crashed = crashed_engines(&mut fleet)?.len();

        assert!(
            crashed <= CRASHES_MAX,
            "{crashed} engines crashed: {replies:#?}"
        );
        let last = &replies[CRASHING_SUBMISSIONS - 1].outcome;
        assert!(last.is_refused_with(ErrorCode::Quarantined), "{last:?}");
        assert_eq!(last.verdict(), Some(Verdict::NotRun));
        for pending in harmless {
            let reply = pending.await;
            assert_eq!(
                reply.outcome,
                Outcome::Complete { tokens: 100 },
                "{reply:?}"
            );
        }
        Ok(())
    })
}

/// Processes that are killed and restarted after the first response to the
/// crashing prompt.
#[derive(Clone, Copy, Debug)]
enum Restart {
    Nothing,
    Entry,
    Agents,
}

async fn restart_processes(fleet: &mut Cluster, restart: Restart) -> Result<(), HarnessError> {
    let names = match restart {
        Restart::Nothing => return Ok(()),
        Restart::Entry => vec!["entry-0".into()],
        Restart::Agents => crashed_engines(fleet)?
            .into_iter()
            .map(|engine| format!("agent-{engine}"))
            .collect(),
    };
    for name in names {
        fleet.kill(&name)?;
        fleet.restart(&name).await?;
    }
    fleet.wait_ready(READY_TIMEOUT).await
}

fn crashed_engines(fleet: &mut Cluster) -> Result<Vec<usize>, HarnessError> {
    let mut crashed = Vec::new();
    for engine in 0..4 {
        if !fleet.process_mut(&format!("engine-{engine}"))?.is_running() {
            crashed.push(engine);
        }
    }
    Ok(crashed)
}

#[rstest]
#[case::dispatch_without_secret("/dispatch", None)]
#[case::dispatch_with_wrong_secret("/dispatch", Some("not the secret of this fleet"))]
#[case::call_without_secret("/rpc", None)]
#[case::call_with_wrong_secret("/rpc", Some("not the secret of this fleet"))]
fn agent_rejects_missing_or_wrong_secret_and_does_not_reveal_it(
    #[case] path: &str,
    #[case] secret: Option<&str>,
) -> TestResult {
    smol::block_on(async {
        let fleet = Cluster::start(plan(1, 1)).await?;
        let agent = fleet.process("agent-0")?;
        let url = format!("http://{}{path}", agent.internal_addr());
        let http = Client::new(ClientConfig::default().with_nodelay(true));
        let mut conn = http.build_conn(Method::Post, url.as_str()).with_body("{}");
        if let Some(secret) = secret {
            conn = conn.with_request_header("limpetgw-peer", secret.to_string());
        }

        let mut conn = conn.await?;
        let body = conn.response_body().read_string().await?;
        let (_, metrics) = fleet.get_internal("agent-0", "/metrics").await?;

        assert_eq!(conn.status().map(|status| status as u16), Some(403));
        assert!(
            body.contains("peer_refused") && body.contains("not_run"),
            "{body}"
        );
        let texts = [
            body,
            metrics,
            agent.log().join("\n"),
            agent.args().join(" "),
        ];
        assert!(texts.iter().all(|text| !text.contains(fleet.secret())));
        Ok(())
    })
}
