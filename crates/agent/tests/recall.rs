//! Tests of the result of a recall, and of requests whose entry disconnects.

mod support;

use policy::schedule::Recall;
use rstest::rstest;
use support::{completion, disconnect, engine_and_agent, ResponseReader, TestEntry};
use types::{ErrorCode, Verdict};

#[test]
fn recalled_queued_request_never_runs() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(1).await;
        let entry = TestEntry::new(&agent);
        let running = entry.spawn_dispatch(completion("r-1"));
        let mut first = engine.next_request().await;
        let queued = entry.spawn_dispatch(completion("r-2"));
        entry.wait_for_load(1, 1).await;

        let recall = entry.recall("r-2", false).await;
        let response = queued.await;
        first.respond(1);

        assert_eq!(recall, Recall::Recalled);
        let error = response.error().error;
        assert_eq!(
            (error.code, error.verdict),
            (ErrorCode::Recalled, Verdict::NotRun)
        );
        assert!(running.await.is_complete);
        assert!(engine.is_idle().await, "the request must not run");
    });
}

#[rstest]
#[case::running(false)]
#[case::ended(true)]
fn recall_of_started_request_returns_already_started(#[case] has_ended: bool) {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(1).await;
        let entry = TestEntry::new(&agent);
        let dispatch = entry.spawn_dispatch(completion("r-1"));
        let mut request = engine.next_request().await;
        if has_ended {
            request.respond(1);
            dispatch.await;
        }

        let recall = entry.recall("r-1", false).await;

        assert_eq!(recall, Recall::AlreadyStarted);
    });
}

#[test]
fn recall_of_unknown_request_is_not_confirmed_after_restart() {
    smol::block_on(async {
        let (_engine, agent) = engine_and_agent(1).await;

        let recall = TestEntry::new(&agent)
            .recall("ran-before-the-restart", false)
            .await;

        assert_eq!(recall, Recall::AlreadyStarted);
    });
}

#[test]
fn request_arriving_after_its_recall_is_refused() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(1).await;
        let entry = TestEntry::new(&agent);

        entry.recall("r-1", false).await;
        let response = entry.dispatch(&completion("r-1")).await;

        let error = response.error().error;
        assert_eq!(
            (error.code, error.verdict),
            (ErrorCode::Recalled, Verdict::NotRun)
        );
        assert!(engine.is_idle().await);
    });
}

#[test]
fn recall_with_cancel_stops_engine_before_first_token() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(1).await;
        let entry = TestEntry::new(&agent);
        let dispatch = entry.spawn_dispatch(completion("r-1"));
        let mut request = engine.next_request().await;
        request.begin_stream();

        let recall = entry.recall("r-1", true).await;
        let response = dispatch.await;

        assert_eq!(recall, Recall::AlreadyStarted);
        assert_eq!(engine.next_cancel().await, "r-1");
        assert_eq!(response.error().error.verdict, Verdict::MayHaveRun);
        request.wait_until_closed().await;
        entry.wait_for_load(0, 0).await;
    });
}

#[test]
fn recall_with_cancel_stops_engine_during_response() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(1).await;
        let entry = TestEntry::new(&agent);
        let head = entry.spawn_send(completion("r-1"));
        let mut request = engine.next_request().await;
        request.begin_stream().tokens(3);
        let reading = ResponseReader::new(head.await).read_until_token(3).await;

        let recall = entry.recall("r-1", true).await;
        let response = reading.read_to_end().await;

        assert_eq!(recall, Recall::AlreadyStarted);
        assert_eq!(engine.next_cancel().await, "r-1");
        assert!(!response.is_complete);
        request.wait_until_closed().await;
        entry.wait_for_load(0, 0).await;
    });
}

#[test]
fn queued_request_never_runs_after_entry_disconnects() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(1).await;
        let entry = TestEntry::new(&agent);
        let running = entry.spawn_dispatch(completion("r-1"));
        let mut first = engine.next_request().await;
        let queued = entry.spawn_dispatch(completion("r-2"));
        entry.wait_for_load(1, 1).await;

        drop(queued);
        entry.wait_for_load(1, 0).await;
        first.respond(1);

        assert!(running.await.is_complete);
        assert!(engine.is_idle().await);
    });
}

#[test]
fn disconnect_before_first_token_stops_engine() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(1).await;
        let entry = TestEntry::new(&agent);
        let dispatch = entry.spawn_dispatch(completion("r-1"));
        let mut request = engine.next_request().await;

        drop(dispatch);

        assert_eq!(engine.next_cancel().await, "r-1");
        request.begin_stream().wait_until_closed().await;
        entry.wait_for_load(0, 0).await;
    });
}

#[test]
fn disconnect_during_response_stops_engine() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(1).await;
        let entry = TestEntry::new(&agent);
        let head = entry.spawn_send(completion("r-1"));
        let mut request = engine.next_request().await;
        request.begin_stream().tokens(3);

        disconnect(head.await);

        request.wait_until_closed().await;
        assert_eq!(engine.next_cancel().await, "r-1");
        entry.wait_for_load(0, 0).await;
    });
}

#[test]
fn duplicate_of_running_request_is_refused() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(4).await;
        let entry = TestEntry::new(&agent);
        let dispatch = entry.spawn_dispatch(completion("r-1"));
        let mut request = engine.next_request().await;

        let again = entry.dispatch(&completion("r-1")).await;
        request.respond(2);

        let error = again.error().error;
        assert_eq!(
            (error.code, error.verdict),
            (ErrorCode::InProgress, Verdict::MayHaveRun)
        );
        assert!(dispatch.await.is_complete);
        assert!(engine.is_idle().await);
    });
}
