//! Long work makes room for urgent work and goes on later, without a gap.

mod support;

use rstest::rstest;
use support::{completion, engine_and_agent, hang_up, urgent, Entry, Reading};

#[rstest]
#[case::before_the_first_token(0)]
#[case::within_the_answer(100)]
fn a_paused_answer_goes_on_without_a_gap(#[case] tokens_before: u32) {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(1).await;
        let entry = Entry::of(&agent);
        let long = entry.begin(completion("long"));
        let mut first_stay = engine.next().await;
        first_stay.begin().tokens(tokens_before);
        entry.until_load(1, 0).await;

        let short = entry.begin(urgent("short"));
        let paused = engine.next_cancel().await;
        let mut urgent_stay = engine.next().await;
        urgent_stay.answer(2);
        let short = short.await;
        let mut second_stay = engine.next().await;
        let resumed_from = second_stay.resume_from();
        second_stay.begin().tokens(50).usage().done().end();
        let long = long.await;

        assert_eq!(
            (paused.as_str(), urgent_stay.request_id.as_str()),
            ("long", "short")
        );
        assert!(urgent_stay.body["priority"].as_u64() > first_stay.body["priority"].as_u64());
        assert_eq!((short.is_whole, short.token_indices().len()), (true, 2));
        assert_eq!(second_stay.request_id, "long");
        assert!(long.is_whole);
        let expected: Vec<u64> = (0..u64::from(resumed_from) + 50).collect();
        assert_eq!(long.token_indices(), expected);
        first_stay.closed().await;
    });
}

#[test]
fn what_the_engine_sends_after_a_pause_reaches_nobody() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(1).await;
        let entry = Entry::of(&agent);
        let head = entry.begin_head(completion("long"));
        let mut first_stay = engine.next().await;
        first_stay.begin().tokens(3);
        let reading = Reading::of(head.await).until_token(3).await;

        let short = entry.begin(urgent("short"));
        engine.next_cancel().await;
        first_stay.tokens(5).usage().done().end();
        engine.next().await.answer(2);
        short.await;
        let mut second_stay = engine.next().await;
        second_stay.begin().tokens(1).usage().done().end();
        let long = reading.until_end().await;

        assert_eq!(second_stay.resume_from(), 3);
        assert_eq!(
            (long.is_whole, long.token_indices()),
            (true, vec![0, 1, 2, 3])
        );
    });
}

#[test]
fn a_hang_up_while_paused_ends_the_request() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(1).await;
        let entry = Entry::of(&agent);
        let head = entry.begin_head(completion("long"));
        let mut first_stay = engine.next().await;
        first_stay.begin().token();
        let conn = head.await;

        let short = entry.begin(urgent("short"));
        engine.next_cancel().await;
        let mut urgent_stay = engine.next().await;
        hang_up(conn);
        entry.recall("long", true).await;
        urgent_stay.answer(2);

        assert!(short.await.is_whole);
        entry.until_load(0, 0).await;
        assert!(
            engine.is_quiet().await,
            "the long request does not start again"
        );
    });
}
