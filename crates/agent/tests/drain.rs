//! A graceful shutdown cuts off nothing.

mod support;

use std::time::Duration;

use support::{completion, document, engine_and_agent, settings, soon, start, Engine, Entry};
use types::{ErrorCode, Verdict};

#[test]
fn what_is_queued_or_running_ends_whole_and_new_work_is_refused() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(1).await;
        let entry = Entry::of(&agent);
        let running = entry.begin(completion("r-1"));
        let mut first = engine.next().await;
        first.begin().tokens(1);
        let queued = entry.begin(completion("r-2"));
        entry.until_load(1, 1).await;

        assert_eq!(entry.get("/readyz").await.0, 200);
        agent.drain();
        let late = entry.dispatch(&completion("r-3")).await;
        let ready = entry.get("/readyz").await.0;
        first.tokens(2).usage().done().end();
        engine.next().await.answer(2);

        let error = late.error().error;
        assert_eq!(
            (error.code, error.verdict),
            (ErrorCode::Draining, Verdict::NotRun)
        );
        assert!(late.reply.unwrap().leaving);
        assert_eq!(ready, 503);
        let (first, second) = (running.await, queued.await);
        assert_eq!((first.is_whole, first.token_indices().len()), (true, 3));
        assert_eq!((second.is_whole, second.token_indices().len()), (true, 2));
        assert!(second.reply.unwrap().leaving);
        soon("the end of the agent", agent.stopped()).await;
    });
}

#[test]
fn a_drained_agent_stays_reachable_for_the_membership_lag() {
    smol::block_on(async {
        let engine = Engine::start().await;
        let mut settings = settings(&engine.addr);
        settings.membership_lag = Duration::from_millis(800);
        let agent = start(settings, document(config::UpstreamKind::Engine, 1)).await;
        let entry = Entry::of(&agent);

        agent.drain();
        let began = std::time::Instant::now();
        let stopped = smol::spawn(agent.stopped());
        smol::Timer::after(Duration::from_millis(300)).await;
        let late = entry.dispatch(&completion("r-1")).await;
        soon("the end of the agent", stopped).await;

        assert_eq!(late.error().error.code, ErrorCode::Draining);
        assert!(began.elapsed() >= Duration::from_millis(800));
    });
}

#[test]
fn an_operator_drains_by_a_call() {
    smol::block_on(async {
        let (_engine, agent) = engine_and_agent(1).await;
        let entry = Entry::of(&agent);

        let drained = entry.drain().await;

        assert!(drained);
        assert!(entry.status().await.draining);
    });
}
