//! Contents that crash their upstream, and what the entry learns of them.

mod support;

use std::time::{Duration, Instant};

use policy::quarantine::{Crash, Evidence};
use rpc::methods::ExchangeEvidence;
use rstest::rstest;
use smol::Timer;
use support::{answered, bench, chat_body, error_of, run, FakeAgent, Reaction, API_KEY};
use types::{ErrorCode, Fingerprint, Generation, Verdict};

fn crash(instance: &str, alone: bool) -> Crash {
    Crash {
        instance: instance.into(),
        sequence: 1,
        alone,
    }
}

/// Evidence about the request that [`support::Bench::chat`] sends.
fn evidence(crashes: Vec<Crash>) -> Vec<Evidence> {
    vec![Evidence {
        fingerprint: Fingerprint::of("m", chat_body("m", false).as_bytes()),
        crashes,
        cleared: false,
        age_ms: 0,
    }]
}

fn crashed() -> Reaction {
    Reaction::Refuse(ErrorCode::UpstreamFailed, Verdict::MayHaveRun)
}

#[rstest]
fn a_retry_after_a_crash_is_marked_as_suspect() {
    run(async {
        let agents = FakeAgent::group(2, vec![crashed()]).await;
        for agent in &agents {
            agent.tell_evidence(evidence(vec![crash("a-1", false)]));
        }
        let instances = agents.iter().map(|one| one.instance("carving")).collect();
        let bench = bench(instances).await;

        let (status, body) = answered(bench.chat(false)).await;

        assert_eq!(status, 200, "{body}");
        let mut dispatches: Vec<_> = agents.iter().flat_map(|one| one.dispatches()).collect();
        dispatches.sort_by_key(|(meta, _)| meta.attempt);
        assert!(dispatches[1].0.suspect);
    });
}

/// After two crashes the content is refused, first with the verdict of what
/// was tried, then without trying.
#[rstest]
fn a_content_that_crashed_two_upstreams_is_refused() {
    run(async {
        let agents = FakeAgent::group(3, vec![crashed(), crashed()]).await;
        for agent in &agents {
            agent.tell_evidence(evidence(vec![crash("a-1", true), crash("a-2", true)]));
        }
        let instances = agents.iter().map(|one| one.instance("carving")).collect();
        let bench = bench(instances).await;

        let first = answered(bench.chat(false)).await;
        let again = answered(bench.chat(false)).await;

        let tried: usize = agents.iter().map(|one| one.dispatches().len()).sum();
        assert_eq!(tried, 1);
        let told = |verdict: &str| ("quarantined".to_owned(), verdict.to_owned());
        assert_eq!(error_of(&first.1), told("may_have_run"));
        assert_eq!(again.0, 422);
        assert_eq!(error_of(&again.1), told("not_run"));
        assert!(again.1["error"]["retry_after_ms"].is_u64());
    });
}

#[rstest]
fn a_new_entry_learns_from_the_agents() {
    run(async {
        let agent = FakeAgent::start("a-1", vec![]).await;
        agent.tell_evidence(evidence(vec![crash("a-1", true), crash("a-2", true)]));
        let bench = bench(vec![agent.instance("carving")]).await;

        let started = Instant::now();
        while answered(bench.chat(false)).await.0 != 422 {
            assert!(started.elapsed() < Duration::from_secs(10));
            Timer::after(Duration::from_millis(50)).await;
        }
    });
}

#[rstest]
fn an_entry_takes_in_and_tells_evidence() {
    run(async {
        let bench = bench(vec![]).await;
        let peer = rpc::Client::new("entry-2".into(), support::secrets());
        let addr = bench.running.operator_addr.to_string();
        let known = evidence(vec![crash("a-1", true), crash("a-2", true)]);
        let timeout = Duration::from_secs(5);

        let told = peer
            .call::<ExchangeEvidence>(&addr, Generation(1), known.clone(), timeout)
            .await
            .unwrap();

        assert_eq!(told.answer.len(), 1);
        assert_eq!(told.answer[0].crashes, known[0].crashes);
        let (status, body) = answered(bench.chat(false)).await;
        assert_eq!(status, 422, "{body} {API_KEY}");
    });
}
