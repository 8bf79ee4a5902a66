//! Tests that a long request is paused for an urgent one and resumes later
//! without a gap.

mod support;

use rstest::rstest;
use support::{
    completion, disconnect, engine_and_agent, urgent_completion, ResponseReader, TestEntry,
};

#[rstest]
#[case::before_first_token(0)]
#[case::during_response(100)]
fn paused_response_resumes_without_gap(#[case] tokens_before: u32) {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(1).await;
        let entry = TestEntry::new(&agent);
        let long = entry.spawn_dispatch(completion("long"));
        let mut first_run = engine.next_request().await;
        first_run.begin_stream().tokens(tokens_before);
        entry.wait_for_load(1, 0).await;

        let short = entry.spawn_dispatch(urgent_completion("short"));
        let paused = engine.next_cancel().await;
        let mut urgent_run = engine.next_request().await;
        urgent_run.respond(2);
        let short = short.await;
        let mut second_run = engine.next_request().await;
        let resumed_from = second_run.resume_from();
        second_run.begin_stream().tokens(50).usage().done().end();
        let long = long.await;

        assert_eq!(
            (paused.as_str(), urgent_run.request_id.as_str()),
            ("long", "short")
        );
        assert!(urgent_run.body["priority"].as_u64() > first_run.body["priority"].as_u64());
        assert_eq!((short.is_complete, short.token_indices().len()), (true, 2));
        assert_eq!(second_run.request_id, "long");
        assert!(long.is_complete);
        let expected: Vec<u64> = (0..u64::from(resumed_from) + 50).collect();
        assert_eq!(long.token_indices(), expected);
        first_run.wait_until_closed().await;
    });
}

#[test]
fn data_sent_after_pause_is_discarded() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(1).await;
        let entry = TestEntry::new(&agent);
        let head = entry.spawn_send(completion("long"));
        let mut first_run = engine.next_request().await;
        first_run.begin_stream().tokens(3);
        let reading = ResponseReader::new(head.await).read_until_token(3).await;

        let short = entry.spawn_dispatch(urgent_completion("short"));
        engine.next_cancel().await;
        first_run.tokens(5).usage().done().end();
        engine.next_request().await.respond(2);
        short.await;
        let mut second_run = engine.next_request().await;
        second_run.begin_stream().tokens(1).usage().done().end();
        let long = reading.read_to_end().await;

        assert_eq!(second_run.resume_from(), 3);
        assert_eq!(
            (long.is_complete, long.token_indices()),
            (true, vec![0, 1, 2, 3])
        );
    });
}

#[test]
fn disconnect_while_paused_ends_request() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(1).await;
        let entry = TestEntry::new(&agent);
        let head = entry.spawn_send(completion("long"));
        let mut first_run = engine.next_request().await;
        first_run.begin_stream().token();
        let conn = head.await;

        let short = entry.spawn_dispatch(urgent_completion("short"));
        engine.next_cancel().await;
        let mut urgent_run = engine.next_request().await;
        disconnect(conn);
        entry.recall("long", true).await;
        urgent_run.respond(2);

        assert!(short.await.is_complete);
        entry.wait_for_load(0, 0).await;
        assert!(
            engine.is_idle().await,
            "the long request must not start again"
        );
    });
}
