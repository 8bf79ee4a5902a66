//! Tests that a content that crashes upstreams is quarantined, and that contents
//! that ran at the same time are still served.

mod support;

use std::sync::Arc;

use policy::quarantine::{Crash, Evidence};
use store::Instance;
use support::{
    completion, document, listed_instance, settings, start_with, wait_until, FakeEngine,
    MemoryStore, ResponseReader, TestEntry,
};
use types::{ErrorCode, Fingerprint, Verdict};

const CRASHING: &str = "poison";
const HARMLESS: &str = "innocent";

async fn engine_and_agent(
    instance: &str,
    others: Vec<Instance>,
    store: Arc<MemoryStore>,
) -> (FakeEngine, agent::Running) {
    let engine = FakeEngine::start().await;
    let mut settings = settings(&engine.addr);
    settings.instance = instance.into();
    let document = document(config::UpstreamKind::Engine, 4);
    let agent = start_with(settings, document, others, store).await;
    (engine, agent)
}

fn completion_with_content(text: &str, request_id: &str) -> rpc::DispatchMeta {
    rpc::DispatchMeta {
        fingerprint: Fingerprint::of("m", text.as_bytes()),
        ..completion(request_id)
    }
}

fn evidence_for<'a>(evidence: &'a [Evidence], text: &str) -> Option<&'a Evidence> {
    let fingerprint = Fingerprint::of("m", text.as_bytes());
    evidence.iter().find(|row| row.fingerprint == fingerprint)
}

/// Runs the crashing and the harmless content concurrently until the engine
/// crashes; returns once the entry has both failures.
async fn crash_with_two_requests(engine: &FakeEngine, entry: &TestEntry) {
    let crashing = entry.spawn_dispatch(completion_with_content(CRASHING, "p-1"));
    let mut first = engine.next_request().await;
    let harmless = entry.spawn_send(completion_with_content(HARMLESS, "i-1"));
    let mut second = engine.next_request().await;
    second.begin_stream().token();
    let harmless = ResponseReader::new(harmless.await)
        .read_until_token(1)
        .await;
    first.begin_stream();
    engine.crash(&mut [&mut first, &mut second]).await;
    assert_eq!(crashing.await.error().error.verdict, Verdict::MayHaveRun);
    assert!(!harmless.read_to_end().await.is_complete);
}

#[test]
fn second_crash_quarantines_content_and_completed_content_is_cleared() {
    smol::block_on(async {
        let (third_engine, third) = engine_and_agent("a-3", Vec::new(), MemoryStore::new()).await;
        let others = vec![listed_instance("a-3", &third)];
        let (second_engine, second) = engine_and_agent("a-2", others, MemoryStore::new()).await;
        let others = vec![listed_instance("a-2", &second)];
        let (first_engine, first) = engine_and_agent("a-1", others, MemoryStore::new()).await;
        crash_with_two_requests(&first_engine, &TestEntry::new(&first)).await;

        let entry = TestEntry::new(&second);
        let harmless = entry.spawn_dispatch(completion_with_content(HARMLESS, "i-2"));
        second_engine.next_request().await.respond(2);
        let harmless = harmless.await;
        let crashing = entry.spawn_dispatch(completion_with_content(CRASHING, "p-2"));
        let mut request = second_engine.next_request().await;
        request.begin_stream();
        second_engine.crash(&mut [&mut request]).await;
        crashing.await;
        let refused = TestEntry::new(&third)
            .dispatch(&completion_with_content(CRASHING, "p-3"))
            .await;

        assert!(harmless.is_complete);
        let evidence = TestEntry::new(&second).evidence().await;
        let harmless = Fingerprint::of("m", HARMLESS.as_bytes());
        assert!(evidence
            .iter()
            .any(|row| row.fingerprint == harmless && row.cleared));
        let error = refused.error().error;
        assert_eq!(
            (refused.status, error.code, error.verdict),
            (422, ErrorCode::Quarantined, Verdict::NotRun)
        );
        assert!(error.retry_after_ms.unwrap() > 0);
        assert!(third_engine.is_idle().await);
    });
}

#[test]
fn suspect_runs_alone() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent("a-2", Vec::new(), MemoryStore::new()).await;
        let others = vec![listed_instance("a-2", &agent)];
        let (crashed_engine, crashed) = engine_and_agent("a-1", others, MemoryStore::new()).await;
        crash_with_two_requests(&crashed_engine, &TestEntry::new(&crashed)).await;

        let entry = TestEntry::new(&agent);
        let running = entry.spawn_dispatch(completion_with_content("other", "o-1"));
        let mut first = engine.next_request().await;
        let suspect = entry.spawn_dispatch(completion_with_content(CRASHING, "p-2"));
        entry.wait_for_load(1, 1).await;
        let is_idle = engine.is_idle().await;
        first.respond(1);
        let mut alone = engine.next_request().await;
        alone.respond(1);

        assert!(
            is_idle,
            "a suspect must not start while another request runs"
        );
        assert_eq!(alone.request_id, "p-2");
        assert!(running.await.is_complete);
        assert!(suspect.await.is_complete);
    });
}

#[test]
fn crash_is_counted_once_for_all_running_requests() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent("a-1", Vec::new(), MemoryStore::new()).await;
        let entry = TestEntry::new(&agent);

        crash_with_two_requests(&engine, &entry).await;

        let evidence = entry.evidence().await;
        for text in [CRASHING, HARMLESS] {
            let crashes = &evidence_for(&evidence, text).unwrap().crashes;
            assert_eq!(crashes.len(), 1);
            assert!(!crashes[0].alone);
        }
    });
}

#[test]
fn broken_connection_to_reachable_upstream_is_not_a_crash() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent("a-1", Vec::new(), MemoryStore::new()).await;
        let entry = TestEntry::new(&agent);
        let dispatch = entry.spawn_dispatch(completion_with_content(CRASHING, "p-1"));

        engine
            .next_request()
            .await
            .begin_stream()
            .break_connection();
        dispatch.await;

        assert!(entry.evidence().await.is_empty());
    });
}

#[test]
fn evidence_survives_restart_and_store_outage() {
    smol::block_on(async {
        let store = MemoryStore::new();
        let (engine, agent) = engine_and_agent("a-1", Vec::new(), store.clone()).await;
        store.set_down(true);
        crash_with_two_requests(&engine, &TestEntry::new(&agent)).await;
        smol::Timer::after(std::time::Duration::from_millis(100)).await;
        store.set_down(false);
        wait_until("the evidence in the store", || {
            store.value("crash-evidence", "a-1").is_some()
        })
        .await;

        let (_engine, restarted) = engine_and_agent("a-1", Vec::new(), store).await;

        let evidence = TestEntry::new(&restarted).evidence().await;
        assert_eq!(evidence_for(&evidence, CRASHING).unwrap().crashes.len(), 1);
    });
}

#[test]
fn new_agent_fetches_evidence_from_other_agents() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent("a-1", Vec::new(), MemoryStore::new()).await;
        crash_with_two_requests(&engine, &TestEntry::new(&agent)).await;

        let others = vec![listed_instance("a-1", &agent)];
        let (_engine, fresh) = engine_and_agent("a-2", others, MemoryStore::new()).await;

        let evidence = TestEntry::new(&fresh).evidence().await;
        assert!(evidence_for(&evidence, CRASHING).is_some());
    });
}

#[test]
fn recovered_upstream_is_used_again() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent("a-1", Vec::new(), MemoryStore::new()).await;
        let entry = TestEntry::new(&agent);
        crash_with_two_requests(&engine, &entry).await;
        assert_eq!(entry.status().await.load.unwrap().running_limit, 0);

        let _engine = FakeEngine::start_at(&engine.addr).await;

        support::with_timeout("the upstream to have capacity again", async {
            while entry.status().await.load.unwrap().running_limit == 0 {
                smol::Timer::after(std::time::Duration::from_millis(20)).await;
            }
        })
        .await;
    });
}

#[test]
fn upstream_that_accepts_and_closes_connections_counts_as_crashed() {
    smol::block_on(async {
        let listener = smol::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap().to_string();
        let closing = smol::spawn(async move {
            let mut open = Vec::new();
            while let Ok((connection, _)) = listener.accept().await {
                open.push(smol::spawn(async move {
                    smol::Timer::after(std::time::Duration::from_millis(20)).await;
                    drop(connection);
                }));
            }
        });
        let document = document(config::UpstreamKind::Engine, 4);
        let agent = start_with(settings(&addr), document, Vec::new(), MemoryStore::new()).await;
        let entry = TestEntry::new(&agent);

        entry
            .dispatch(&completion_with_content(CRASHING, "p-1"))
            .await;

        assert!(evidence_for(&entry.evidence().await, CRASHING).is_some());
        drop(closing);
    });
}

#[test]
fn evidence_received_while_queued_prevents_shared_start() {
    smol::block_on(async {
        let engine = FakeEngine::start().await;
        let document = document(config::UpstreamKind::Engine, 1);
        let agent = start_with(
            settings(&engine.addr),
            document,
            Vec::new(),
            MemoryStore::new(),
        )
        .await;
        let entry = TestEntry::new(&agent);
        let running = entry.spawn_dispatch(completion_with_content("other", "o-1"));
        let mut first = engine.next_request().await;
        let queued = entry.spawn_dispatch(completion_with_content(CRASHING, "p-1"));
        entry.wait_for_load(1, 1).await;

        let crash = Crash {
            instance: "a-9".into(),
            sequence: 1,
            alone: false,
        };
        let evidence = Evidence {
            fingerprint: Fingerprint::of("m", CRASHING.as_bytes()),
            crashes: vec![crash],
            cleared: false,
            age_ms: 0,
        };
        entry.exchange_evidence(vec![evidence]).await;
        first.respond(1);
        let refused = queued.await;

        assert!(running.await.is_complete);
        let error = refused.error().error;
        assert_eq!(
            (error.code, error.verdict),
            (ErrorCode::NoUpstream, Verdict::NotRun)
        );
        assert!(engine.is_idle().await);
        entry.wait_for_load(0, 0).await;
    });
}
