//! What an agent does when its upstream, or the agent itself, fails: separate
//! processes, real signals.

use std::time::Duration;

use harness::{args, Caller, ChatRequest, Cluster, ClusterPlan, HarnessError, Outcome, Reply};
use rstest::rstest;
use trillium_client::{Client, Method};
use trillium_smol::ClientConfig;
use types::{ErrorCode, Verdict};

type Checked = Result<(), Box<dyn std::error::Error>>;

/// Bound on every wait of a test.
const PATIENCE: Duration = Duration::from_secs(20);
/// The prompt that crashes every engine that runs it.
const POISON: &str = "scan-666";
/// Submissions of the poison after it is expected to be known.
const POISON_SUBMISSIONS: usize = 6;
/// Engines that one content may crash.
const CRASHES_MAX: usize = 2;

fn paced(engines: usize, entries: usize) -> ClusterPlan {
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

fn begin(caller: &Caller, question: ChatRequest) -> smol::Task<Reply> {
    let caller = caller.clone();
    smol::spawn(async move { caller.chat(&question).await })
}

async fn pause(pause_ms: u64) {
    smol::Timer::after(Duration::from_millis(pause_ms)).await;
}

/// An engine that has generated tokens of real questions.
async fn busy_engine(fleet: &Cluster, engines: usize) -> Result<usize, HarnessError> {
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
        pause(10).await;
    }
}

#[test]
fn an_engine_frozen_in_mid_answer_loses_no_token() -> Checked {
    smol::block_on(async {
        let mut fleet = Cluster::start(paced(2, 1)).await?;
        let asking = begin(&fleet.caller(0), question(1, 150));
        let busy = busy_engine(&fleet, 2).await?;

        fleet.freeze(&format!("engine-{busy}"))?;
        let reply = asking.await;
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
fn an_agent_killed_in_mid_answer_loses_no_token() -> Checked {
    smol::block_on(async {
        let mut fleet = Cluster::start(paced(2, 1)).await?;
        let asking = begin(&fleet.caller(0), question(1, 150));
        let busy = busy_engine(&fleet, 2).await?;

        fleet.kill(&format!("agent-{busy}"))?;
        let reply = asking.await;

        assert_eq!(
            reply.outcome,
            Outcome::Complete { tokens: 150 },
            "{reply:?}"
        );
        Ok(())
    })
}

#[test]
fn a_frozen_agent_does_not_stop_the_others_and_delivers_nothing_wrong() -> Checked {
    smol::block_on(async {
        let mut fleet = Cluster::start(paced(2, 1)).await?;
        let caller = fleet.caller(0);
        let under_way: Vec<_> = (0..6).map(|i| begin(&caller, question(i, 150))).collect();
        busy_engine(&fleet, 2).await?;

        fleet.freeze("agent-0")?;
        let meanwhile: Vec<_> = (6..12).map(|i| begin(&caller, question(i, 20))).collect();
        let mut replies = Vec::new();
        for asking in meanwhile {
            replies.push(asking.await);
        }
        fleet.thaw("agent-0")?;

        for reply in &replies {
            assert_eq!(reply.outcome, Outcome::Complete { tokens: 20 }, "{reply:?}");
        }
        for asking in under_way {
            let reply = asking.await;
            assert!(!reply.outcome.is_wrong(), "{reply:?}");
        }
        Ok(())
    })
}

#[rstest]
#[case::nothing_restarts(Restart::Nothing)]
#[case::the_entry_restarts(Restart::Entry)]
#[case::the_agents_that_saw_it_restart(Restart::Agents)]
fn a_poison_request_crashes_two_engines_at_most(#[case] restart: Restart) -> Checked {
    smol::block_on(async {
        let mut fleet = Cluster::start(paced(4, 2)).await?;
        let faults = format!(r#"{{"crash_on_prompt":"{POISON}"}}"#);
        for engine in 0..4 {
            fleet
                .set_faults(&format!("engine-{engine}"), &faults)
                .await?;
        }
        let poison = ChatRequest::streamed(format!("{POISON} [len=40]"));
        let innocents: Vec<_> = (0..8)
            .map(|i| begin(&fleet.caller(1), question(i, 100)))
            .collect();
        busy_engine(&fleet, 4).await?;

        let mut replies = vec![fleet.caller(0).chat(&poison).await];
        restart_some(&mut fleet, restart).await?;
        for turn in 1..POISON_SUBMISSIONS {
            replies.push(fleet.caller(turn % 2).chat(&poison).await);
        }
        let crashed = crashed_engines(&mut fleet)?.len();

        assert!(
            crashed <= CRASHES_MAX,
            "{crashed} engines crashed: {replies:#?}"
        );
        let last = &replies[POISON_SUBMISSIONS - 1].outcome;
        assert!(last.is_refused_with(ErrorCode::Quarantined), "{last:?}");
        assert_eq!(last.verdict(), Some(Verdict::NotRun));
        for asking in innocents {
            let reply = asking.await;
            assert_eq!(
                reply.outcome,
                Outcome::Complete { tokens: 100 },
                "{reply:?}"
            );
        }
        Ok(())
    })
}

/// What is killed and started again after the first answer to the poison.
#[derive(Clone, Copy, Debug)]
enum Restart {
    Nothing,
    Entry,
    Agents,
}

async fn restart_some(fleet: &mut Cluster, restart: Restart) -> Result<(), HarnessError> {
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
    fleet.wait_ready(PATIENCE).await
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
#[case::dispatch_without("/dispatch", None)]
#[case::dispatch_with_another("/dispatch", Some("not the secret of this fleet"))]
#[case::call_without("/rpc", None)]
#[case::call_with_another("/rpc", Some("not the secret of this fleet"))]
fn an_agent_refuses_strangers_and_shows_no_secret(
    #[case] path: &str,
    #[case] secret: Option<&str>,
) -> Checked {
    smol::block_on(async {
        let fleet = Cluster::start(paced(1, 1)).await?;
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
        let shown = [
            body,
            metrics,
            agent.log().join("\n"),
            agent.args().join(" "),
        ];
        assert!(shown.iter().all(|text| !text.contains(fleet.secret())));
        Ok(())
    })
}
