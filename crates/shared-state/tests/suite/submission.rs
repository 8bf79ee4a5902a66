//! A submission takes effect at most once, and its result matches the stored
//! configuration.

use std::time::Duration;

use config::Head;
use proptest::prelude::*;
use rstest::rstest;
use shared_state::{submit, SessionId, Submission, SubmitError};
use types::Generation;

use crate::{
    fixtures::{chain, document, proptest_config},
    flaky_store::{CallOutcome, FlakyStore},
};

fn submission(base: u64, target_ms: u64) -> Submission {
    Submission::builder()
        .document(document(target_ms))
        .session(SessionId::new(Generation(base), 0xab))
        .submitter("ana".into())
        .submitted_unix_ms(0)
        .settle_time(Duration::from_millis(3))
        .settle_interval(Duration::from_millis(1))
        .build()
}

/// Returns how many of the stored heads were written by the session.
fn count_heads_of(heads: &[serde_json::Value], session: &SessionId) -> usize {
    let heads = heads.iter().map(|value| {
        serde_json::from_value::<Head>(value.clone()).expect("only heads are written")
    });
    heads
        .filter(|head| {
            head.last_session()
                .is_some_and(|last| last.session == session.as_str())
        })
        .count()
}

/// Returns the head in force, which is the last one stored.
fn in_force(heads: &[serde_json::Value]) -> Head {
    let last = heads.last().expect("a head was written");
    serde_json::from_value(last.clone()).expect("only heads are written")
}

#[test]
fn lost_response_is_resolved_and_repeated_session_changes_nothing() {
    smol::block_on(async {
        let store = FlakyStore::default();
        let submission = submission(0, 500);
        // The read of the head and the writes of both shards succeed; the
        // response to the write of the head is lost.
        let calls = [
            CallOutcome::Answered,
            CallOutcome::Answered,
            CallOutcome::Answered,
            CallOutcome::ResponseLost,
        ];
        store.set_outcomes(&calls);

        let first = submit(&store, &submission)
            .await
            .expect("the lost response is resolved");
        let again = submit(&store, &submission)
            .await
            .expect("the earlier run is found");

        assert_eq!(
            (first.generation, first.by_earlier_run),
            (Generation(1), false)
        );
        assert_eq!(
            (again.generation, again.by_earlier_run),
            (Generation(1), true)
        );
        assert_eq!(
            count_heads_of(&store.complete_delayed_writes(), &submission.session),
            1
        );
    });
}

#[test]
fn conflict_returns_head_of_winning_session() {
    smol::block_on(async {
        let store = FlakyStore::default();
        store.set_concurrent_head(chain(1)[0].0.to_value());
        let calls = [
            CallOutcome::Answered,
            CallOutcome::Answered,
            CallOutcome::Answered,
            CallOutcome::ConcurrentUpdate,
        ];
        store.set_outcomes(&calls);

        let result = submit(&store, &submission(0, 500)).await;

        let Err(SubmitError::Conflict(winner)) = result else {
            panic!("expected a conflict, got {result:?}");
        };
        assert_eq!(
            winner.last_session().map(|entry| &*entry.session),
            Some("s-0-0")
        );
    });
}

#[test]
fn session_run_after_another_session_fails_with_conflict() {
    smol::block_on(async {
        let store = FlakyStore::default();
        submit(&store, &submission(0, 500)).await.expect("accepted");
        let mut late = submission(0, 900);
        late.session = SessionId::new(Generation(0), 0xcd);

        let result = submit(&store, &late).await;

        assert!(
            matches!(result, Err(SubmitError::Conflict(_))),
            "{result:?}"
        );
        assert_eq!(
            count_heads_of(&store.complete_delayed_writes(), &late.session),
            0
        );
    });
}

#[test]
fn session_older_than_history_is_not_applied_again() {
    smol::block_on(async {
        let store = FlakyStore::default();
        let old = submission(0, 500);
        submit(&store, &old).await.expect("accepted");
        for base in 1..=70 {
            let next = submission(base, 500 + base);
            submit(&store, &next).await.expect("accepted");
        }

        let again = submit(&store, &old).await;

        assert!(
            matches!(again, Err(SubmitError::SessionExpired { .. })),
            "{again:?}"
        );
        assert_eq!(
            count_heads_of(&store.complete_delayed_writes(), &old.session),
            1
        );
    });
}

#[test]
fn generation_is_above_floor_after_store_was_restored() {
    smol::block_on(async {
        let store = FlakyStore::default();
        let mut submission = submission(0, 500);
        submission.generation_floor = Generation(41);

        let submitted = submit(&store, &submission).await.expect("accepted");

        assert_eq!(submitted.generation, Generation(42));
    });
}

#[rstest]
#[case("s-41-9f3a27c04d1be586", true)]
#[case("s-0-0000000000000000", true)]
#[case("s-41-9F3A27C04D1BE586", false)]
#[case("s-041-9f3a27c04d1be586", false)]
#[case("s-41", false)]
#[case("", false)]
fn only_canonical_session_ids_are_parsed(#[case] text: &str, #[case] is_id: bool) {
    let parsed = SessionId::parse(text);

    assert_eq!(parsed.is_ok(), is_id);
    assert!(parsed.is_err() || parsed.is_ok_and(|id| id.to_string() == text));
}

fn call_outcome() -> impl Strategy<Value = CallOutcome> {
    prop_oneof![
        4 => Just(CallOutcome::Answered),
        2 => Just(CallOutcome::Refused),
        2 => Just(CallOutcome::ResponseLost),
        2 => Just(CallOutcome::Delayed),
        1 => Just(CallOutcome::ConcurrentUpdate),
    ]
}

proptest! {
    #![proptest_config(proptest_config(300))]

    /// Two runs of one session with any outcomes of the store calls: after all
    /// delayed writes, the session has taken effect at most once, and the
    /// returned results are correct.
    #[test]
    fn submission_takes_effect_at_most_once_and_results_are_correct(
        first in prop::collection::vec(call_outcome(), 0..12),
        second in prop::collection::vec(call_outcome(), 0..12),
    ) {
        let store = FlakyStore::new(&first);
        store.set_concurrent_head(chain(1)[0].0.to_value());
        let submission = submission(0, 500);

        let mut results = vec![smol::block_on(submit(&store, &submission))];
        store.set_outcomes(&second);
        results.push(smol::block_on(submit(&store, &submission)));

        let heads = store.complete_delayed_writes();
        let head_count = count_heads_of(&heads, &submission.session);
        prop_assert!(head_count <= 1, "the session took effect {} times", head_count);
        for (run, result) in results.iter().enumerate() {
            match result {
                Ok(submitted) => {
                    prop_assert_eq!(head_count, 1);
                    let head = in_force(&heads);
                    let generation = head.generation_of(submission.session.as_str());
                    prop_assert_eq!(generation, Some(submitted.generation));
                }
                Err(SubmitError::Conflict(_)) => prop_assert_eq!(head_count, 0),
                // Applies to the first run only; the second one may have succeeded.
                Err(SubmitError::NotSubmitted(_)) if run == 0 => {
                    let other_run_may_have_succeeded = results[1].is_ok()
                        || matches!(results[1], Err(SubmitError::OutcomeUnknown { .. }));
                    prop_assert!(head_count == 0 || other_run_may_have_succeeded);
                }
                Err(_) => {}
            }
        }
    }
}
