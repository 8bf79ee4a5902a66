//! What an entry is told about a request that it takes back, and what it
//! means to hang up.

mod support;

use policy::schedule::Recall;
use rstest::rstest;
use support::{completion, engine_and_agent, hang_up, Entry, Reading};
use types::{ErrorCode, Verdict};

#[test]
fn a_queued_request_is_taken_back_and_never_runs() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(1).await;
        let entry = Entry::of(&agent);
        let running = entry.begin(completion("r-1"));
        let mut first = engine.next().await;
        let queued = entry.begin(completion("r-2"));
        entry.until_load(1, 1).await;

        let recall = entry.recall("r-2", false).await;
        let answer = queued.await;
        first.answer(1);

        assert_eq!(recall, Recall::Recalled);
        let error = answer.error().error;
        assert_eq!(
            (error.code, error.verdict),
            (ErrorCode::Recalled, Verdict::NotRun)
        );
        assert!(running.await.is_whole);
        assert!(engine.is_quiet().await, "the request did not run");
    });
}

#[rstest]
#[case::running(false)]
#[case::ended(true)]
fn a_started_request_is_not_called_recalled(#[case] has_ended: bool) {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(1).await;
        let entry = Entry::of(&agent);
        let dispatch = entry.begin(completion("r-1"));
        let mut arrived = engine.next().await;
        if has_ended {
            arrived.answer(1);
            dispatch.await;
        }

        let recall = entry.recall("r-1", false).await;

        assert_eq!(recall, Recall::AlreadyStarted);
    });
}

#[test]
fn a_young_agent_does_not_vouch_for_the_one_before_it() {
    smol::block_on(async {
        let (_engine, agent) = engine_and_agent(1).await;

        let recall = Entry::of(&agent)
            .recall("ran-before-the-restart", false)
            .await;

        assert_eq!(recall, Recall::AlreadyStarted);
    });
}

#[test]
fn a_request_that_arrives_after_its_recall_is_refused() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(1).await;
        let entry = Entry::of(&agent);

        entry.recall("r-1", false).await;
        let answer = entry.dispatch(&completion("r-1")).await;

        let error = answer.error().error;
        assert_eq!(
            (error.code, error.verdict),
            (ErrorCode::Recalled, Verdict::NotRun)
        );
        assert!(engine.is_quiet().await);
    });
}

#[test]
fn a_recall_with_cancel_stops_the_engine_before_the_first_token() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(1).await;
        let entry = Entry::of(&agent);
        let dispatch = entry.begin(completion("r-1"));
        let mut arrived = engine.next().await;
        arrived.begin();

        let recall = entry.recall("r-1", true).await;
        let answer = dispatch.await;

        assert_eq!(recall, Recall::AlreadyStarted);
        assert_eq!(engine.next_cancel().await, "r-1");
        assert_eq!(answer.error().error.verdict, Verdict::MayHaveRun);
        arrived.closed().await;
        entry.until_load(0, 0).await;
    });
}

#[test]
fn a_recall_with_cancel_stops_the_engine_within_the_answer() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(1).await;
        let entry = Entry::of(&agent);
        let head = entry.begin_head(completion("r-1"));
        let mut arrived = engine.next().await;
        arrived.begin().tokens(3);
        let reading = Reading::of(head.await).until_token(3).await;

        let recall = entry.recall("r-1", true).await;
        let answer = reading.until_end().await;

        assert_eq!(recall, Recall::AlreadyStarted);
        assert_eq!(engine.next_cancel().await, "r-1");
        assert!(!answer.is_whole);
        arrived.closed().await;
        entry.until_load(0, 0).await;
    });
}

#[test]
fn a_request_whose_entry_hangs_up_in_the_queue_never_runs() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(1).await;
        let entry = Entry::of(&agent);
        let running = entry.begin(completion("r-1"));
        let mut first = engine.next().await;
        let queued = entry.begin(completion("r-2"));
        entry.until_load(1, 1).await;

        drop(queued);
        entry.until_load(1, 0).await;
        first.answer(1);

        assert!(running.await.is_whole);
        assert!(engine.is_quiet().await);
    });
}

#[test]
fn a_hang_up_before_the_first_token_stops_the_engine() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(1).await;
        let entry = Entry::of(&agent);
        let dispatch = entry.begin(completion("r-1"));
        let mut arrived = engine.next().await;

        drop(dispatch);

        assert_eq!(engine.next_cancel().await, "r-1");
        arrived.begin().closed().await;
        entry.until_load(0, 0).await;
    });
}

#[test]
fn a_hang_up_within_the_answer_stops_the_engine() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(1).await;
        let entry = Entry::of(&agent);
        let head = entry.begin_head(completion("r-1"));
        let mut arrived = engine.next().await;
        arrived.begin().tokens(3);

        hang_up(head.await);

        arrived.closed().await;
        assert_eq!(engine.next_cancel().await, "r-1");
        entry.until_load(0, 0).await;
    });
}

#[test]
fn the_same_request_is_not_run_twice_at_once() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(4).await;
        let entry = Entry::of(&agent);
        let dispatch = entry.begin(completion("r-1"));
        let mut arrived = engine.next().await;

        let again = entry.dispatch(&completion("r-1")).await;
        arrived.answer(2);

        let error = again.error().error;
        assert_eq!(
            (error.code, error.verdict),
            (ErrorCode::InProgress, Verdict::MayHaveRun)
        );
        assert!(dispatch.await.is_whole);
        assert!(engine.is_quiet().await);
    });
}
