//! Tests that a graceful shutdown interrupts no request.

mod support;

use std::time::Duration;

use support::{
    completion, document, engine_and_agent, settings, start, with_timeout, FakeEngine, TestEntry,
};
use types::{ErrorCode, Verdict};

#[test]
fn drain_completes_held_requests_and_refuses_new_ones() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(1).await;
        let entry = TestEntry::new(&agent);
        let running = entry.spawn_dispatch(completion("r-1"));
        let mut first = engine.next_request().await;
        first.begin_stream().tokens(1);
        let queued = entry.spawn_dispatch(completion("r-2"));
        entry.wait_for_load(1, 1).await;

        assert_eq!(entry.get("/readyz").await.0, 200);
        agent.drain();
        let late = entry.dispatch(&completion("r-3")).await;
        let ready = entry.get("/readyz").await.0;
        first.tokens(2).usage().done().end();
        engine.next_request().await.respond(2);

        let error = late.error().error;
        assert_eq!(
            (error.code, error.verdict),
            (ErrorCode::Draining, Verdict::NotRun)
        );
        assert!(late.reply.unwrap().leaving);
        assert_eq!(ready, 503);
        let (first, second) = (running.await, queued.await);
        assert_eq!((first.is_complete, first.token_indices().len()), (true, 3));
        assert_eq!(
            (second.is_complete, second.token_indices().len()),
            (true, 2)
        );
        assert!(second.reply.unwrap().leaving);
        with_timeout("the end of the agent", agent.stopped()).await;
    });
}

#[test]
fn drained_agent_stays_reachable_for_membership_lag() {
    smol::block_on(async {
        let engine = FakeEngine::start().await;
        let mut settings = settings(&engine.addr);
        settings.membership_lag = Duration::from_millis(800);
        let agent = start(settings, document(config::UpstreamKind::Engine, 1)).await;
        let entry = TestEntry::new(&agent);

        agent.drain();
        let start_time = std::time::Instant::now();
        let stopped = smol::spawn(agent.stopped());
        smol::Timer::after(Duration::from_millis(300)).await;
        let late = entry.dispatch(&completion("r-1")).await;
        with_timeout("the end of the agent", stopped).await;

        assert_eq!(late.error().error.code, ErrorCode::Draining);
        assert!(start_time.elapsed() >= Duration::from_millis(800));
    });
}

#[test]
fn drain_call_starts_drain() {
    smol::block_on(async {
        let (_engine, agent) = engine_and_agent(1).await;
        let entry = TestEntry::new(&agent);

        let drained = entry.drain().await;

        assert!(drained);
        assert!(entry.status().await.draining);
    });
}
