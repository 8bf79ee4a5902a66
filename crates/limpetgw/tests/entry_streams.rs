//! Tests that streams are complete and correct, or end with a visible error,
//! when engines and agents fail.

use std::time::{Duration, Instant};

use harness::{
    args, default_document, Caller, ChatRequest, Cluster, ClusterPlan, Outcome, Reply, CLINIC_KEY,
    ENGINE_MODEL,
};
use rstest::rstest;
use smol::{io::AsyncWriteExt, net::TcpStream, Timer};

type TestResult = Result<(), Box<dyn std::error::Error>>;

const ENGINES: usize = 3;
const STREAMS: usize = 12;
/// 150 tokens at 10 ms each: a stream takes about 1.5 s.
const PROMPT: &str = "how are the burrs? [len=150]";
const COMPLETE: Outcome = Outcome::Complete { tokens: 150 };

/// Failure injected while the streams run.
#[derive(Clone, Copy, Debug)]
enum Failure {
    Nothing,
    EngineKilled,
    AgentKilled,
    AgentFrozen,
    EngineFault(&'static str),
}

/// Starts a fleet whose running limit is high enough to run all streams of a
/// test at once.
async fn start_fleet(engines: usize) -> Result<Cluster, harness::HarnessError> {
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

fn spawn_questions(
    caller: &Caller,
    count: usize,
    prompt: &str,
    stream: bool,
) -> Vec<smol::Task<Reply>> {
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

async fn join_all(tasks: Vec<smol::Task<Reply>>) -> Vec<Reply> {
    let mut replies = Vec::new();
    for task in tasks {
        replies.push(task.await);
    }
    replies
}

async fn sleep_ms(duration_ms: u64) {
    Timer::after(Duration::from_millis(duration_ms)).await;
}

async fn inject(failure: Failure, fleet: &mut Cluster) -> TestResult {
    match failure {
        Failure::Nothing => {}
        Failure::EngineKilled => fleet.kill("engine-0")?,
        Failure::AgentKilled => fleet.kill("agent-0")?,
        Failure::AgentFrozen => fleet.freeze("agent-0")?,
        Failure::EngineFault(faults) => fleet.set_faults("engine-0", faults).await?,
    }
    Ok(())
}

#[rstest]
#[case::no_failure(Failure::Nothing)]
#[case::engine_killed(Failure::EngineKilled)]
#[case::agent_killed(Failure::AgentKilled)]
#[case::agent_frozen(Failure::AgentFrozen)]
#[case::engine_truncates(Failure::EngineFault(r#"{"truncate_at_token":60}"#))]
#[case::engine_swaps_responses(Failure::EngineFault(r#"{"crossed":true}"#))]
#[case::engine_repeats(Failure::EngineFault(r#"{"repeat_token":60}"#))]
fn responses_are_complete_despite_failure(
    #[case] failure: Failure,
    #[values(true, false)] stream: bool,
) -> TestResult {
    smol::block_on(async {
        let mut fleet = start_fleet(ENGINES).await?;
        if let Failure::EngineFault(_) = failure {
            inject(failure, &mut fleet).await?;
        }

        let streams = spawn_questions(&fleet.caller(0), STREAMS, PROMPT, stream);
        sleep_ms(500).await;
        inject(failure, &mut fleet).await?;
        let replies = join_all(streams).await;

        for reply in &replies {
            assert_eq!(reply.outcome, COMPLETE, "{reply:?}");
        }
        let after = fleet.caller(0).chat(&ChatRequest::streamed(PROMPT)).await;
        assert_eq!(after.outcome, COMPLETE, "{after:?}");
        Ok(())
    })
}

/// When all engines have failed, started streams end with an error, and
/// requests that have not started and new ones are refused.
#[rstest]
fn streams_end_with_error_when_all_engines_fail() -> TestResult {
    smol::block_on(async {
        let mut fleet = start_fleet(ENGINES).await?;
        let caller = fleet.caller(0).with_timeout(Duration::from_secs(20));
        let streams = spawn_questions(&caller, STREAMS, PROMPT, true);
        sleep_ms(500).await;

        for engine in 0..ENGINES {
            fleet.kill(&format!("engine-{engine}"))?;
        }
        let replies = join_all(streams).await;
        let after = caller.chat(&ChatRequest::streamed(PROMPT)).await;

        for reply in &replies {
            match &reply.outcome {
                Outcome::Broken { tokens, code, .. } => {
                    assert!(*tokens < 150);
                    assert!(code.is_some(), "{reply:?}");
                }
                // The stream had not started.
                Outcome::Refused { verdict, .. } => assert!(verdict.is_some(), "{reply:?}"),
                _ => panic!("{reply:?}"),
            }
        }
        let was_started = |reply: &&Reply| matches!(reply.outcome, Outcome::Broken { .. });
        assert!(replies.iter().filter(was_started).count() > 0);
        assert!(
            matches!(after.outcome, Outcome::Refused { .. }),
            "{after:?}"
        );
        Ok(())
    })
}

/// Requests a long stream over a separate connection, and returns the
/// connection.
async fn open_stream(
    fleet: &Cluster,
    number: usize,
) -> Result<TcpStream, Box<dyn std::error::Error>> {
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
fn caller_disconnect_cancels_request_on_engine() -> TestResult {
    smol::block_on(async {
        let fleet = start_fleet(1).await?;
        let before = fleet.stats("engine-0").await?;
        let mut callers = Vec::new();
        for number in 0..4 {
            callers.push(open_stream(&fleet, number).await?);
        }
        sleep_ms(500).await;

        drop(callers);

        let started = Instant::now();
        loop {
            let stats = fleet.stats("engine-0").await?;
            if stats.cancelled - before.cancelled >= 4 {
                break;
            }
            assert!(started.elapsed() < Duration::from_secs(10), "{stats:?}");
            sleep_ms(50).await;
        }
        Ok(())
    })
}
