//! Answers that are not the request's own, or not whole, never reach the entry
//! as a clean answer.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::{
    completion, document, engine_and_agent, settings, start, Arrived, Engine, Entry, Reading,
};
use types::{ErrorCode, Verdict};

fn other_id_in_head(arrived: &mut Arrived) {
    arrived.answer_id = "other".into();
    arrived.answer(2);
}

fn other_id_in_events(arrived: &mut Arrived) {
    arrived.begin().answer_id = "other".into();
    arrived.tokens(2).usage().done().end();
}

fn first_token_missing(arrived: &mut Arrived) {
    arrived.begin().skip().tokens(2).usage().done().end();
}

fn malformed(arrived: &mut Arrived) {
    arrived.begin().bytes("data: {]\n\n".into()).end();
}

fn no_data(arrived: &mut Arrived) {
    arrived.begin().bytes("hello\n\n".into()).end();
}

fn empty(arrived: &mut Arrived) {
    arrived.begin().end();
}

fn cut(arrived: &mut Arrived) {
    arrived.begin().cut();
}

fn no_tokens_counted_as_two(arrived: &mut Arrived) {
    arrived.begin();
    let event = support::usage_event("r-1", 2);
    arrived.bytes(event).done().end();
}

fn server_error(arrived: &mut Arrived) {
    arrived.head(500, Some(0)).end();
}

#[rstest]
#[case::other_id_in_head(other_id_in_head)]
#[case::other_id_in_events(other_id_in_events)]
#[case::first_token_missing(first_token_missing)]
#[case::malformed(malformed)]
#[case::no_data(no_data)]
#[case::empty(empty)]
#[case::cut(cut)]
#[case::no_tokens_counted_as_two(no_tokens_counted_as_two)]
#[case::server_error(server_error)]
fn a_fault_before_the_first_token_may_have_run(#[case] fault: fn(&mut Arrived)) {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(4).await;
        let entry = Entry::of(&agent);
        let dispatch = entry.begin(completion("r-1"));

        fault(&mut engine.next().await);
        let answer = dispatch.await;

        let error = answer.error().error;
        assert_eq!(
            (answer.status, error.code, error.verdict),
            (502, ErrorCode::UpstreamFailed, Verdict::MayHaveRun)
        );
        assert_eq!(
            engine.next_cancel().await,
            "r-1",
            "the engine is told to stop"
        );
        next_request_is_served(&engine, &entry).await;
    });
}

fn then_gap(arrived: &mut Arrived) {
    arrived.skip().tokens(5);
}

fn then_same_token_again(arrived: &mut Arrived) {
    let event = support::token_event("r-1", 2);
    arrived.bytes(event).tokens(5);
}

fn then_other_id(arrived: &mut Arrived) {
    arrived.answer_id = "other".into();
    arrived.tokens(5);
}

fn then_wrong_count(arrived: &mut Arrived) {
    arrived.skip().usage().done().end();
}

fn then_end_marker_without_count(arrived: &mut Arrived) {
    arrived.done().end();
}

fn then_end(arrived: &mut Arrived) {
    arrived.end();
}

fn then_cut(arrived: &mut Arrived) {
    arrived.cut();
}

fn then_half_an_event(arrived: &mut Arrived) {
    let event = support::token_event("r-1", 3);
    arrived.bytes(event[..event.len() - 4].into()).end();
}

fn then_count_without_end_marker(arrived: &mut Arrived) {
    arrived.usage().end();
}

fn then_token_after_count(arrived: &mut Arrived) {
    arrived.usage().token().done().end();
}

#[rstest]
#[case::gap(then_gap)]
#[case::same_token_again(then_same_token_again)]
#[case::other_id(then_other_id)]
#[case::wrong_count(then_wrong_count)]
#[case::end_marker_without_count(then_end_marker_without_count)]
#[case::end(then_end)]
#[case::cut(then_cut)]
#[case::half_an_event(then_half_an_event)]
#[case::count_without_end_marker(then_count_without_end_marker)]
#[case::token_after_count(then_token_after_count)]
fn a_fault_after_the_first_token_cuts_the_body(#[case] fault: fn(&mut Arrived)) {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(4).await;
        let entry = Entry::of(&agent);
        let head = entry.begin_head(completion("r-1"));
        let mut arrived = engine.next().await;
        arrived.begin().tokens(3);
        let reading = Reading::of(head.await).until_token(3).await;

        fault(&mut arrived);
        let answer = reading.until_end().await;

        assert_eq!(answer.status, 200);
        assert!(!answer.is_whole, "{answer:?}");
        assert!(!answer.body.contains("[DONE]"));
        assert!(!answer.body.contains("other"));
        assert_eq!(answer.token_indices(), [0, 1, 2]);
        assert!(answer.body.ends_with("\n\n"), "whole events only");
        next_request_is_served(&engine, &entry).await;
    });
}

#[test]
fn what_follows_the_end_reaches_nobody() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(4).await;
        let entry = Entry::of(&agent);
        let dispatch = entry.begin(completion("r-1"));

        let mut arrived = engine.next().await;
        arrived.begin().tokens(2).usage().done();
        let answer = dispatch.await;
        arrived.tokens(3).end();

        assert_eq!(
            (answer.is_whole, answer.token_indices()),
            (true, vec![0, 1])
        );
        next_request_is_served(&engine, &entry).await;
    });
}

#[rstest]
#[case::before_the_head(false)]
#[case::within_the_answer(true)]
fn a_silent_upstream_is_given_up(#[case] has_begun: bool) {
    smol::block_on(async {
        let engine = Engine::start().await;
        let mut settings = settings(&engine.addr);
        settings.upstream_silence = Duration::from_millis(200);
        let agent = start(settings, document(config::UpstreamKind::Engine, 4)).await;
        let entry = Entry::of(&agent);
        let dispatch = entry.begin(completion("r-1"));

        let mut arrived = engine.next().await;
        if has_begun {
            arrived.begin().tokens(3);
        }
        let answer = dispatch.await;

        assert_eq!(engine.next_cancel().await, "r-1");
        match has_begun {
            true => assert!(!answer.is_whole),
            false => assert_eq!(answer.error().error.verdict, Verdict::MayHaveRun),
        }
        entry.until_load(0, 0).await;
    });
}

#[test]
fn an_answer_that_was_given_up_does_not_reach_another_request() {
    smol::block_on(async {
        let engine = Engine::start().await;
        let mut settings = settings(&engine.addr);
        settings.upstream_silence = Duration::from_millis(200);
        let agent = start(settings, document(config::UpstreamKind::Engine, 1)).await;
        let entry = Entry::of(&agent);

        let late = entry.begin(completion("r-1"));
        let mut first = engine.next().await;
        assert_eq!(late.await.status, 502);
        let second = entry.begin(completion("r-2"));
        let mut arrived = engine.next().await;
        first.answer(9);
        arrived.answer(2);
        let answer = second.await;

        assert_eq!(answer.token_indices(), [0, 1]);
        assert!(!answer.body.contains("r-1"));
    });
}

async fn next_request_is_served(engine: &Engine, entry: &Entry) {
    entry.until_load(0, 0).await;
    let dispatch = entry.begin(completion("next"));
    engine.next().await.answer(2);
    let answer = dispatch.await;
    assert_eq!(
        (answer.is_whole, answer.token_indices()),
        (true, vec![0, 1])
    );
}

#[test]
fn tokens_before_a_fault_reach_the_entry() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(4).await;
        let entry = Entry::of(&agent);
        let head = entry.begin_head(completion("r-1"));
        let mut arrived = engine.next().await;
        arrived.begin().tokens(3);
        let reading = Reading::of(head.await).until_token(3).await;

        let events = [3, 4, 6].map(|index| support::token_event("r-1", index));
        arrived.bytes(events.concat()).end();
        let answer = reading.until_end().await;

        assert!(!answer.is_whole);
        assert_eq!(answer.token_indices(), [0, 1, 2, 3, 4]);
    });
}
