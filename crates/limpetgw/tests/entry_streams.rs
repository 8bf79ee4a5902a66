//! Streams over failures of engines and agents: whole and own, or visibly broken.

use std::time::{Duration, Instant};

use harness::{
    args, default_document, Caller, ChatRequest, Cluster, ClusterPlan, Outcome, Reply, CLINIC_KEY,
    ENGINE_MODEL,
};
use rstest::rstest;
use smol::{io::AsyncWriteExt, net::TcpStream, Timer};

type Checked = Result<(), Box<dyn std::error::Error>>;

const ENGINES: usize = 3;
const STREAMS: usize = 12;
/// Length and pace of a stream: about 1.5 s.
const PROMPT: &str = "how are the burrs? [len=150]";
const WHOLE: Outcome = Outcome::Complete { tokens: 150 };

/// What fails while the streams run.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    Nothing,
    EngineKilled,
    AgentKilled,
    AgentFrozen,
    EngineFault(&'static str),
}

/// Engines that run all streams of a test at once.
async fn fleet(engines: usize) -> Result<Cluster, harness::HarnessError> {
    let mut document = default_document();
    for upstream in document.upstreams.values_mut() {
        upstream.running_min = 8;
    }
    let plan = ClusterPlan::builder()
        .document(document)
        .engines(engines)
        .engine_args(args("--token-ms 10"))
        .build();
    Cluster::start(plan).await
}

fn start(caller: &Caller, count: usize, prompt: &str, stream: bool) -> Vec<smol::Task<Reply>> {
    let ask = |number: usize| {
        let caller = caller.clone();
        let question = ChatRequest {
            stream,
            ..ChatRequest::streamed(format!("{number}: {prompt}"))
        };
        smol::spawn(async move { caller.chat(&question).await })
    };
    (0..count).map(ask).collect()
}

async fn all(tasks: Vec<smol::Task<Reply>>) -> Vec<Reply> {
    let mut replies = Vec::new();
    for task in tasks {
        replies.push(task.await);
    }
    replies
}

async fn pause(pause_ms: u64) {
    Timer::after(Duration::from_millis(pause_ms)).await;
}

async fn make(trouble: Trouble, fleet: &mut Cluster) -> Checked {
    match trouble {
        Trouble::Nothing => {}
        Trouble::EngineKilled => fleet.kill("engine-0")?,
        Trouble::AgentKilled => fleet.kill("agent-0")?,
        Trouble::AgentFrozen => fleet.freeze("agent-0")?,
        Trouble::EngineFault(faults) => fleet.set_faults("engine-0", faults).await?,
    }
    Ok(())
}

#[rstest]
#[case::nothing(Trouble::Nothing)]
#[case::engine_killed(Trouble::EngineKilled)]
#[case::agent_killed(Trouble::AgentKilled)]
#[case::agent_frozen(Trouble::AgentFrozen)]
#[case::engine_truncates(Trouble::EngineFault(r#"{"truncate_at_token":60}"#))]
#[case::engine_crosses(Trouble::EngineFault(r#"{"crossed":true}"#))]
#[case::engine_repeats(Trouble::EngineFault(r#"{"repeat_token":60}"#))]
fn streams_arrive_whole(#[case] trouble: Trouble, #[values(true, false)] stream: bool) -> Checked {
    smol::block_on(async {
        let mut fleet = fleet(ENGINES).await?;
        if let Trouble::EngineFault(_) = trouble {
            make(trouble, &mut fleet).await?;
        }

        let streams = start(&fleet.caller(0), STREAMS, PROMPT, stream);
        pause(500).await;
        make(trouble, &mut fleet).await?;
        let replies = all(streams).await;

        for reply in &replies {
            assert_eq!(reply.outcome, WHOLE, "{reply:?}");
        }
        let after = fleet.caller(0).chat(&ChatRequest::streamed(PROMPT)).await;
        assert_eq!(after.outcome, WHOLE, "{after:?}");
        Ok(())
    })
}

/// When no engine is left, a begun stream ends visibly broken, a new request
/// is refused, and nothing wrong is ever delivered.
#[rstest]
fn without_engines_streams_end_visibly_broken() -> Checked {
    smol::block_on(async {
        let mut fleet = fleet(ENGINES).await?;
        let caller = fleet.caller(0).with_timeout(Duration::from_secs(20));
        let streams = start(&caller, STREAMS, PROMPT, true);
        pause(500).await;

        for engine in 0..ENGINES {
            fleet.kill(&format!("engine-{engine}"))?;
        }
        let replies = all(streams).await;
        let after = caller.chat(&ChatRequest::streamed(PROMPT)).await;

        for reply in &replies {
            match &reply.outcome {
                Outcome::Broken { tokens, code, .. } => {
                    assert!(*tokens < 150);
                    assert!(code.is_some(), "{reply:?}");
                }
                // It had not begun.
                Outcome::Refused { verdict, .. } => assert!(verdict.is_some(), "{reply:?}"),
                _ => panic!("{reply:?}"),
            }
        }
        let begun = |reply: &&Reply| matches!(reply.outcome, Outcome::Broken { .. });
        assert!(replies.iter().filter(begun).count() > 0);
        assert!(
            matches!(after.outcome, Outcome::Refused { .. }),
            "{after:?}"
        );
        Ok(())
    })
}

/// Asks for a long stream over a connection of its own.
async fn hang_on(fleet: &Cluster, number: usize) -> Result<TcpStream, Box<dyn std::error::Error>> {
    let body = format!(
        r#"{{"model":"{ENGINE_MODEL}","stream":true,"messages":[{{"role":"user","content":"{number} [len=5000]"}}]}}"#
    );
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CLINIC_KEY}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut caller = TcpStream::connect(fleet.entry_addr(0)?).await?;
    caller.write_all(request.as_bytes()).await?;
    Ok(caller)
}

#[rstest]
fn a_caller_that_hangs_up_frees_the_engine() -> Checked {
    smol::block_on(async {
        let fleet = fleet(1).await?;
        let before = fleet.stats("engine-0").await?;
        let mut callers = Vec::new();
        for number in 0..4 {
            callers.push(hang_on(&fleet, number).await?);
        }
        pause(500).await;

        drop(callers);

        let started = Instant::now();
        loop {
            let stats = fleet.stats("engine-0").await?;
            if stats.cancelled - before.cancelled >= 4 {
                break;
            }
            assert!(started.elapsed() < Duration::from_secs(10), "{stats:?}");
            pause(50).await;
        }
        Ok(())
    })
}
