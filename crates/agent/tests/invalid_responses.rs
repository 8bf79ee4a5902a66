//! Tests that an upstream response that is incomplete or belongs to another
//! request is never reported to the entry as complete.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::{
    completion, document, engine_and_agent, settings, start, FakeEngine, ReceivedRequest,
    ResponseReader, TestEntry,
};
use types::{ErrorCode, Verdict};

fn other_id_in_head(request: &mut ReceivedRequest) {
    request.response_id = "other".into();
    request.respond(2);
}

fn other_id_in_events(request: &mut ReceivedRequest) {
    request.begin_stream().response_id = "other".into();
    request.tokens(2).usage().done().end();
}

fn first_token_missing(request: &mut ReceivedRequest) {
    request
        .begin_stream()
        .skip_token()
        .tokens(2)
        .usage()
        .done()
        .end();
}

fn malformed(request: &mut ReceivedRequest) {
    request.begin_stream().bytes("data: {]\n\n".into()).end();
}

fn no_data(request: &mut ReceivedRequest) {
    request.begin_stream().bytes("hello\n\n".into()).end();
}

fn empty(request: &mut ReceivedRequest) {
    request.begin_stream().end();
}

fn connection_broken(request: &mut ReceivedRequest) {
    request.begin_stream().break_connection();
}

fn usage_without_tokens(request: &mut ReceivedRequest) {
    request.begin_stream();
    let event = support::usage_event("r-1", 2);
    request.bytes(event).done().end();
}

fn server_error(request: &mut ReceivedRequest) {
    request.head(500, Some(0)).end();
}

#[rstest]
#[case::other_id_in_head(other_id_in_head)]
#[case::other_id_in_events(other_id_in_events)]
#[case::first_token_missing(first_token_missing)]
#[case::malformed(malformed)]
#[case::no_data(no_data)]
#[case::empty(empty)]
#[case::connection_broken(connection_broken)]
#[case::usage_without_tokens(usage_without_tokens)]
#[case::server_error(server_error)]
fn fault_before_first_token_is_reported_as_may_have_run(#[case] fault: fn(&mut ReceivedRequest)) {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(4).await;
        let entry = TestEntry::new(&agent);
        let dispatch = entry.spawn_dispatch(completion("r-1"));

        fault(&mut engine.next_request().await);
        let response = dispatch.await;

        let error = response.error().error;
        assert_eq!(
            (response.status, error.code, error.verdict),
            (502, ErrorCode::UpstreamFailed, Verdict::MayHaveRun)
        );
        assert_eq!(
            engine.next_cancel().await,
            "r-1",
            "the request must be cancelled at the engine"
        );
        next_request_is_served(&engine, &entry).await;
    });
}

fn then_gap(request: &mut ReceivedRequest) {
    request.skip_token().tokens(5);
}

fn then_duplicate_token(request: &mut ReceivedRequest) {
    let event = support::token_event("r-1", 2);
    request.bytes(event).tokens(5);
}

fn then_other_id(request: &mut ReceivedRequest) {
    request.response_id = "other".into();
    request.tokens(5);
}

fn then_wrong_count(request: &mut ReceivedRequest) {
    request.skip_token().usage().done().end();
}

fn then_done_without_usage(request: &mut ReceivedRequest) {
    request.done().end();
}

fn then_end(request: &mut ReceivedRequest) {
    request.end();
}

fn then_connection_broken(request: &mut ReceivedRequest) {
    request.break_connection();
}

fn then_partial_event(request: &mut ReceivedRequest) {
    let event = support::token_event("r-1", 3);
    request.bytes(event[..event.len() - 4].into()).end();
}

fn then_usage_without_done(request: &mut ReceivedRequest) {
    request.usage().end();
}

fn then_token_after_usage(request: &mut ReceivedRequest) {
    request.usage().token().done().end();
}

#[rstest]
#[case::gap(then_gap)]
#[case::duplicate_token(then_duplicate_token)]
#[case::other_id(then_other_id)]
#[case::wrong_count(then_wrong_count)]
#[case::done_without_usage(then_done_without_usage)]
#[case::end(then_end)]
#[case::connection_broken(then_connection_broken)]
#[case::partial_event(then_partial_event)]
#[case::usage_without_done(then_usage_without_done)]
#[case::token_after_usage(then_token_after_usage)]
fn fault_after_first_token_breaks_the_body(#[case] fault: fn(&mut ReceivedRequest)) {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(4).await;
        let entry = TestEntry::new(&agent);
        let head = entry.spawn_send(completion("r-1"));
        let mut request = engine.next_request().await;
        request.begin_stream().tokens(3);
        let reading = ResponseReader::new(head.await).read_until_token(3).await;

        fault(&mut request);
        let response = reading.read_to_end().await;

        assert_eq!(response.status, 200);
        assert!(!response.is_complete, "{response:?}");
        assert!(!response.body.contains("[DONE]"));
        assert!(!response.body.contains("other"));
        assert_eq!(response.token_indices(), [0, 1, 2]);
        assert!(
            response.body.ends_with("\n\n"),
            "only complete events are forwarded"
        );
        next_request_is_served(&engine, &entry).await;
    });
}

#[test]
fn data_after_end_marker_is_discarded() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(4).await;
        let entry = TestEntry::new(&agent);
        let dispatch = entry.spawn_dispatch(completion("r-1"));

        let mut request = engine.next_request().await;
        request.begin_stream().tokens(2).usage().done();
        let response = dispatch.await;
        request.tokens(3).end();

        assert_eq!(
            (response.is_complete, response.token_indices()),
            (true, vec![0, 1])
        );
        next_request_is_served(&engine, &entry).await;
    });
}

#[rstest]
#[case::before_response_head(false)]
#[case::during_response(true)]
fn silent_upstream_times_out(#[case] is_streaming: bool) {
    smol::block_on(async {
        let engine = FakeEngine::start().await;
        let mut settings = settings(&engine.addr);
        settings.upstream_silence = Duration::from_millis(200);
        let agent = start(settings, document(config::UpstreamKind::Engine, 4)).await;
        let entry = TestEntry::new(&agent);
        let dispatch = entry.spawn_dispatch(completion("r-1"));

        let mut request = engine.next_request().await;
        if is_streaming {
            request.begin_stream().tokens(3);
        }
        let response = dispatch.await;

        assert_eq!(engine.next_cancel().await, "r-1");
        match is_streaming {
            true => assert!(!response.is_complete),
            false => assert_eq!(response.error().error.verdict, Verdict::MayHaveRun),
        }
        entry.wait_for_load(0, 0).await;
    });
}

#[test]
fn late_response_does_not_reach_another_request() {
    smol::block_on(async {
        let engine = FakeEngine::start().await;
        let mut settings = settings(&engine.addr);
        settings.upstream_silence = Duration::from_millis(200);
        let agent = start(settings, document(config::UpstreamKind::Engine, 1)).await;
        let entry = TestEntry::new(&agent);

        let late = entry.spawn_dispatch(completion("r-1"));
        let mut first = engine.next_request().await;
        assert_eq!(late.await.status, 502);
        let second = entry.spawn_dispatch(completion("r-2"));
        let mut request = engine.next_request().await;
        first.respond(9);
        request.respond(2);
        let response = second.await;

        assert_eq!(response.token_indices(), [0, 1]);
        assert!(!response.body.contains("r-1"));
    });
}

async fn next_request_is_served(engine: &FakeEngine, entry: &TestEntry) {
    entry.wait_for_load(0, 0).await;
    let dispatch = entry.spawn_dispatch(completion("next"));
    engine.next_request().await.respond(2);
    let response = dispatch.await;
    assert_eq!(
        (response.is_complete, response.token_indices()),
        (true, vec![0, 1])
    );
}

#[test]
fn tokens_before_fault_reach_entry() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(4).await;
        let entry = TestEntry::new(&agent);
        let head = entry.spawn_send(completion("r-1"));
        let mut request = engine.next_request().await;
        request.begin_stream().tokens(3);
        let reading = ResponseReader::new(head.await).read_until_token(3).await;

        let events = [3, 4, 6].map(|index| support::token_event("r-1", index));
        request.bytes(events.concat()).end();
        let response = reading.read_to_end().await;

        assert!(!response.is_complete);
        assert_eq!(response.token_indices(), [0, 1, 2, 3, 4]);
    });
}
