//! A submission takes effect at most once, and its outcome is told truly.

use std::time::Duration;

use config::Head;
use proptest::prelude::*;
use rstest::rstest;
use shared_state::{submit, SessionId, Submission, SubmitError};
use types::Generation;

use crate::{
    fixtures::{chain, document, proptest_config},
    flaky_store::{Fate, FlakyStore},
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

/// How often a session stands in the chain of heads, and whether it took
/// effect in a head that was ever stored.
fn times_in_force(heads: &[serde_json::Value], session: &SessionId) -> usize {
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

/// The last head: what is in force after all delayed writes.
fn in_force(heads: &[serde_json::Value]) -> Head {
    let last = heads.last().expect("a head was written");
    serde_json::from_value(last.clone()).expect("only heads are written")
}

#[test]
fn a_lost_answer_is_settled_and_the_session_run_again_changes_nothing() {
    smol::block_on(async {
        let store = FlakyStore::default();
        let submission = submission(0, 500);
        // The head is read, the shards are written, the head's answer is lost.
        let calls = [
            Fate::Answered,
            Fate::Answered,
            Fate::Answered,
            Fate::AnswerLost,
        ];
        store.set_fates(&calls);

        let first = submit(&store, &submission).await.expect("settled");
        let again = submit(&store, &submission).await.expect("known");

        assert_eq!(
            (first.generation, first.by_earlier_run),
            (Generation(1), false)
        );
        assert_eq!(
            (again.generation, again.by_earlier_run),
            (Generation(1), true)
        );
        assert_eq!(times_in_force(&store.settle(), &submission.session), 1);
    });
}

#[test]
fn the_loser_of_a_race_is_told_who_won() {
    smol::block_on(async {
        let store = FlakyStore::default();
        store.set_rival(chain(1)[0].0.to_value());
        let calls = [
            Fate::Answered,
            Fate::Answered,
            Fate::Answered,
            Fate::RivalFirst,
        ];
        store.set_fates(&calls);

        let lost = submit(&store, &submission(0, 500)).await;

        let Err(SubmitError::Conflict(winner)) = lost else {
            panic!("{lost:?}");
        };
        assert_eq!(
            winner.last_session().map(|one| &*one.session),
            Some("s-0-0")
        );
    });
}

#[test]
fn a_session_that_is_run_after_another_one_won_never_applies() {
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
        assert_eq!(times_in_force(&store.settle(), &late.session), 0);
    });
}

#[test]
fn a_session_older_than_the_history_never_applies_again() {
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
        assert_eq!(times_in_force(&store.settle(), &old.session), 1);
    });
}

#[test]
fn a_store_that_was_set_back_gets_a_generation_above_all_in_force() {
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
fn session_ids_have_one_form(#[case] text: &str, #[case] is_id: bool) {
    let parsed = SessionId::parse(text);

    assert_eq!(parsed.is_ok(), is_id);
    assert!(parsed.is_err() || parsed.is_ok_and(|id| id.to_string() == text));
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        4 => Just(Fate::Answered),
        2 => Just(Fate::Refused),
        2 => Just(Fate::AnswerLost),
        2 => Just(Fate::Delayed),
        1 => Just(Fate::RivalFirst),
    ]
}

proptest! {
    #![proptest_config(proptest_config(300))]

    /// Whatever happens to each call, over two runs of one session: what was
    /// told is true once all delayed writes have arrived, and the session
    /// took effect at most once.
    #[test]
    fn what_a_submission_tells_is_true(
        first in prop::collection::vec(fate(), 0..12),
        second in prop::collection::vec(fate(), 0..12),
    ) {
        let store = FlakyStore::new(&first);
        store.set_rival(chain(1)[0].0.to_value());
        let submission = submission(0, 500);

        let mut told = vec![smol::block_on(submit(&store, &submission))];
        store.set_fates(&second);
        told.push(smol::block_on(submit(&store, &submission)));

        let heads = store.settle();
        let times = times_in_force(&heads, &submission.session);
        prop_assert!(times <= 1, "in force {} times", times);
        for (run, result) in told.iter().enumerate() {
            match result {
                Ok(submitted) => {
                    prop_assert_eq!(times, 1);
                    let head = in_force(&heads);
                    let generation = head.generation_of(submission.session.as_str());
                    prop_assert_eq!(generation, Some(submitted.generation));
                }
                Err(SubmitError::Conflict(_)) => prop_assert_eq!(times, 0),
                // Speaks of its own run only: the other one may have succeeded.
                Err(SubmitError::NotSubmitted(_)) if run == 0 => {
                    let other = told[1].is_ok() || matches!(told[1], Err(SubmitError::OutcomeUnknown { .. }));
                    prop_assert!(times == 0 || other);
                }
                Err(_) => {}
            }
        }
    }
}
