//! Quarantine of request contents that crash upstreams, and the exchange of
//! evidence.

mod support;

use std::time::{Duration, Instant};

use policy::quarantine::{Crash, Evidence};
use rpc::methods::ExchangeEvidence;
use rstest::rstest;
use smol::Timer;
use support::{chat_body, error_of, fetch_json, run, start_entry, FakeAgent, Reaction, API_KEY};
use types::{ErrorCode, Fingerprint, Generation, Verdict};

fn crash(instance: &str, alone: bool) -> Crash {
    Crash {
        instance: instance.into(),
        sequence: 1,
        alone,
    }
}

/// Returns evidence that the content of [`support::TestEntry::chat`] caused
/// `crashes`.
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
fn retry_after_crash_is_marked_suspect() {
    run(async {
        let agents = FakeAgent::group(2, vec![crashed()]).await;
        for agent in &agents {
            agent.set_evidence(evidence(vec![crash("a-1", false)]));
        }
        let instances = agents
            .iter()
            .map(|agent| agent.instance("carving"))
            .collect();
        let entry = start_entry(instances).await;

        let (status, body) = fetch_json(entry.chat(false)).await;

        assert_eq!(status, 200, "{body}");
        let mut dispatches: Vec<_> = agents.iter().flat_map(|agent| agent.dispatches()).collect();
        dispatches.sort_by_key(|(meta, _)| meta.attempt);
        assert!(dispatches[1].0.suspect);
    });
}

/// After the first attempt, the entry fetches evidence of two crashes and fails the
/// request with "may have run". The next request is refused before any dispatch.
#[rstest]
fn content_that_crashed_two_upstreams_is_refused() {
    run(async {
        let agents = FakeAgent::group(3, vec![crashed(), crashed()]).await;
        for agent in &agents {
            agent.set_evidence(evidence(vec![crash("a-1", true), crash("a-2", true)]));
        }
        let instances = agents
            .iter()
            .map(|agent| agent.instance("carving"))
            .collect();
        let entry = start_entry(instances).await;

        let first = fetch_json(entry.chat(false)).await;
        let again = fetch_json(entry.chat(false)).await;

        let dispatches: usize = agents.iter().map(|agent| agent.dispatches().len()).sum();
        assert_eq!(dispatches, 1);
        let code_and_verdict = |verdict: &str| ("quarantined".to_owned(), verdict.to_owned());
        assert_eq!(error_of(&first.1), code_and_verdict("may_have_run"));
        assert_eq!(again.0, 422);
        assert_eq!(error_of(&again.1), code_and_verdict("not_run"));
        assert!(again.1["error"]["retry_after_ms"].is_u64());
    });
}

#[rstest]
fn new_entry_fetches_evidence_from_agents() {
    run(async {
        let agent = FakeAgent::start("a-1", vec![]).await;
        agent.set_evidence(evidence(vec![crash("a-1", true), crash("a-2", true)]));
        let entry = start_entry(vec![agent.instance("carving")]).await;

        let started = Instant::now();
        while fetch_json(entry.chat(false)).await.0 != 422 {
            assert!(started.elapsed() < Duration::from_secs(10));
            Timer::after(Duration::from_millis(50)).await;
        }
    });
}

#[rstest]
fn entry_merges_and_returns_evidence() {
    run(async {
        let entry = start_entry(vec![]).await;
        let peer = rpc::Client::new("entry-2".into(), support::secrets());
        let addr = entry.running.operator_addr.to_string();
        let sent = evidence(vec![crash("a-1", true), crash("a-2", true)]);
        let timeout = Duration::from_secs(5);

        let response = peer
            .call::<ExchangeEvidence>(&addr, Generation(1), sent.clone(), timeout)
            .await
            .unwrap();

        assert_eq!(response.answer.len(), 1);
        assert_eq!(response.answer[0].crashes, sent[0].crashes);
        let (status, body) = fetch_json(entry.chat(false)).await;
        assert_eq!(status, 422, "{body} {API_KEY}");
    });
}
