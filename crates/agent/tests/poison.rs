//! A content that crashes its upstream stops doing so, and the innocents that
//! ran beside it are served.

mod support;

use std::sync::Arc;

use policy::quarantine::{Crash, Evidence};
use store::Instance;
use support::{
    completion, document, listed, settings, start_with, until, Engine, Entry, Reading, Store,
};
use types::{ErrorCode, Fingerprint, Verdict};

const POISON: &str = "poison";
const INNOCENT: &str = "innocent";

async fn engine_and_agent(
    instance: &str,
    others: Vec<Instance>,
    store: Arc<Store>,
) -> (Engine, agent::Running) {
    let engine = Engine::start().await;
    let mut settings = settings(&engine.addr);
    settings.instance = instance.into();
    let document = document(config::UpstreamKind::Engine, 4);
    let agent = start_with(settings, document, others, store).await;
    (engine, agent)
}

fn content(text: &str, request_id: &str) -> rpc::DispatchMeta {
    rpc::DispatchMeta {
        fingerprint: Fingerprint::of("m", text.as_bytes()),
        ..completion(request_id)
    }
}

fn about<'a>(evidence: &'a [Evidence], text: &str) -> Option<&'a Evidence> {
    let fingerprint = Fingerprint::of("m", text.as_bytes());
    evidence.iter().find(|one| one.fingerprint == fingerprint)
}

/// Runs the poison beside an innocent until the engine crashes; returns once
/// the entry knows.
async fn crash_with_innocent(engine: &Engine, entry: &Entry) {
    let poison = entry.begin(content(POISON, "p-1"));
    let mut first = engine.next().await;
    let innocent = entry.begin_head(content(INNOCENT, "i-1"));
    let mut second = engine.next().await;
    second.begin().token();
    let innocent = Reading::of(innocent.await).until_token(1).await;
    first.begin();
    engine.crash(&mut [&mut first, &mut second]).await;
    assert_eq!(poison.await.error().error.verdict, Verdict::MayHaveRun);
    assert!(!innocent.until_end().await.is_whole);
}

#[test]
fn a_second_crash_elsewhere_quarantines_the_culprit_and_clears_the_innocent() {
    smol::block_on(async {
        let (third_engine, third) = engine_and_agent("a-3", Vec::new(), Store::new()).await;
        let others = vec![listed("a-3", &third)];
        let (second_engine, second) = engine_and_agent("a-2", others, Store::new()).await;
        let others = vec![listed("a-2", &second)];
        let (first_engine, first) = engine_and_agent("a-1", others, Store::new()).await;
        crash_with_innocent(&first_engine, &Entry::of(&first)).await;

        let entry = Entry::of(&second);
        let innocent = entry.begin(content(INNOCENT, "i-2"));
        second_engine.next().await.answer(2);
        let innocent = innocent.await;
        let poison = entry.begin(content(POISON, "p-2"));
        let mut arrived = second_engine.next().await;
        arrived.begin();
        second_engine.crash(&mut [&mut arrived]).await;
        poison.await;
        let refused = Entry::of(&third).dispatch(&content(POISON, "p-3")).await;

        assert!(innocent.is_whole);
        let known = Entry::of(&second).evidence().await;
        let innocent = Fingerprint::of("m", INNOCENT.as_bytes());
        assert!(known
            .iter()
            .any(|one| one.fingerprint == innocent && one.cleared));
        let error = refused.error().error;
        assert_eq!(
            (refused.status, error.code, error.verdict),
            (422, ErrorCode::Quarantined, Verdict::NotRun)
        );
        assert!(error.retry_after_ms.unwrap() > 0);
        assert!(third_engine.is_quiet().await);
    });
}

#[test]
fn a_suspect_runs_alone() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent("a-2", Vec::new(), Store::new()).await;
        let others = vec![listed("a-2", &agent)];
        let (crashed_engine, crashed) = engine_and_agent("a-1", others, Store::new()).await;
        crash_with_innocent(&crashed_engine, &Entry::of(&crashed)).await;

        let entry = Entry::of(&agent);
        let running = entry.begin(content("other", "o-1"));
        let mut first = engine.next().await;
        let suspect = entry.begin(content(POISON, "p-2"));
        entry.until_load(1, 1).await;
        let is_quiet = engine.is_quiet().await;
        first.answer(1);
        let mut alone = engine.next().await;
        alone.answer(1);

        assert!(is_quiet, "a suspect does not start beside another request");
        assert_eq!(alone.request_id, "p-2");
        assert!(running.await.is_whole);
        assert!(suspect.await.is_whole);
    });
}

#[test]
fn one_crash_is_counted_once_for_all_that_ran() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent("a-1", Vec::new(), Store::new()).await;
        let entry = Entry::of(&agent);

        crash_with_innocent(&engine, &entry).await;

        let known = entry.evidence().await;
        for text in [POISON, INNOCENT] {
            let crashes = &about(&known, text).unwrap().crashes;
            assert_eq!(crashes.len(), 1);
            assert!(!crashes[0].alone);
        }
    });
}

#[test]
fn a_broken_connection_to_a_living_upstream_is_no_crash() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent("a-1", Vec::new(), Store::new()).await;
        let entry = Entry::of(&agent);
        let dispatch = entry.begin(content(POISON, "p-1"));

        engine.next().await.begin().cut();
        dispatch.await;

        assert!(entry.evidence().await.is_empty());
    });
}

#[test]
fn evidence_survives_a_restart_and_a_store_that_was_down() {
    smol::block_on(async {
        let store = Store::new();
        let (engine, agent) = engine_and_agent("a-1", Vec::new(), store.clone()).await;
        store.set_down(true);
        crash_with_innocent(&engine, &Entry::of(&agent)).await;
        smol::Timer::after(std::time::Duration::from_millis(100)).await;
        store.set_down(false);
        until("the evidence in the store", || {
            store.value("crash-evidence", "a-1").is_some()
        })
        .await;

        let (_engine, restarted) = engine_and_agent("a-1", Vec::new(), store).await;

        let known = Entry::of(&restarted).evidence().await;
        assert_eq!(about(&known, POISON).unwrap().crashes.len(), 1);
    });
}

#[test]
fn a_new_agent_learns_from_the_others() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent("a-1", Vec::new(), Store::new()).await;
        crash_with_innocent(&engine, &Entry::of(&agent)).await;

        let others = vec![listed("a-1", &agent)];
        let (_engine, fresh) = engine_and_agent("a-2", others, Store::new()).await;

        let known = Entry::of(&fresh).evidence().await;
        assert!(about(&known, POISON).is_some());
    });
}

#[test]
fn an_upstream_that_is_back_is_used_again() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent("a-1", Vec::new(), Store::new()).await;
        let entry = Entry::of(&agent);
        crash_with_innocent(&engine, &entry).await;
        assert_eq!(entry.status().await.load.unwrap().running_limit, 0);

        let _engine = Engine::start_at(&engine.addr).await;

        support::soon("capacity again", async {
            while entry.status().await.load.unwrap().running_limit == 0 {
                smol::Timer::after(std::time::Duration::from_millis(20)).await;
            }
        })
        .await;
    });
}

#[test]
fn a_crashing_upstream_that_still_seems_to_listen_has_crashed() {
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
        let agent = start_with(settings(&addr), document, Vec::new(), Store::new()).await;
        let entry = Entry::of(&agent);

        entry.dispatch(&content(POISON, "p-1")).await;

        assert!(about(&entry.evidence().await, POISON).is_some());
        drop(closing);
    });
}

#[test]
fn evidence_that_comes_while_a_content_is_queued_keeps_it_from_starting_beside_others() {
    smol::block_on(async {
        let engine = Engine::start().await;
        let document = document(config::UpstreamKind::Engine, 1);
        let agent = start_with(settings(&engine.addr), document, Vec::new(), Store::new()).await;
        let entry = Entry::of(&agent);
        let running = entry.begin(content("other", "o-1"));
        let mut first = engine.next().await;
        let queued = entry.begin(content(POISON, "p-1"));
        entry.until_load(1, 1).await;

        let crash = Crash {
            instance: "a-9".into(),
            sequence: 1,
            alone: false,
        };
        let heard = Evidence {
            fingerprint: Fingerprint::of("m", POISON.as_bytes()),
            crashes: vec![crash],
            cleared: false,
            age_ms: 0,
        };
        entry.tell_evidence(vec![heard]).await;
        first.answer(1);
        let refused = queued.await;

        assert!(running.await.is_whole);
        let error = refused.error().error;
        assert_eq!(
            (error.code, error.verdict),
            (ErrorCode::NoUpstream, Verdict::NotRun)
        );
        assert!(engine.is_quiet().await);
        entry.until_load(0, 0).await;
    });
}
