//! Tests that a form session validates each answer and returns one valid
//! document.

use config::Document;
use console::{
    run_form_session, FileAnswers, FormSession, NewKey, QuestionKind, SourceError, Step,
};
use proptest::prelude::*;
use rstest::rstest;
use serde_json::{json, Value};

/// Returns answers that create a class, a team with a key, an engine upstream and
/// a service.
fn answers() -> Vec<(&'static str, Value)> {
    vec![
        ("menu", json!("class")),
        ("class", json!("urgent")),
        ("classes.urgent.priority", json!(200)),
        ("classes.urgent.first_token_target_ms", json!(500)),
        ("classes.urgent.token_gap_target_ms", json!("")),
        ("classes.urgent.deadline_ms", json!(30_000)),
        ("classes.urgent.min_share_permille", json!(100)),
        ("classes.urgent.queue_limit", json!(64)),
        ("menu", json!("team")),
        ("team", json!("clinic")),
        ("teams.clinic.classes", json!(["urgent"])),
        ("teams.clinic.weight", json!("")),
        ("menu", json!("new key")),
        ("key.team", json!("clinic")),
        ("menu", json!("upstream")),
        ("upstream", json!("carving")),
        ("upstreams.carving.kind", json!("engine")),
        ("upstreams.carving.models", json!(["carve-1", "carve-2"])),
        ("upstreams.carving.adapters", json!("")),
        ("upstreams.carving.checks_fencing", json!("yes")),
        ("upstreams.carving.running_min", json!(1)),
        ("upstreams.carving.running_max", json!(8)),
        ("upstreams.carving.reserved_slots", json!(2)),
        ("upstreams.carving.idempotent", json!("yes")),
        ("menu", json!("upstream")),
        ("upstream", json!("orders")),
        ("upstreams.orders.kind", json!("service")),
        ("upstreams.orders.running_min", json!("")),
        ("upstreams.orders.running_max", json!("")),
        ("upstreams.orders.idempotent", json!("no")),
        ("menu", json!("service")),
        ("service", json!("orders")),
        ("services.orders.upstream", json!("orders")),
        (
            "services.orders.at_most_once_prefixes",
            json!(["/orders", "/bookings"]),
        ),
        ("menu", json!("difference")),
        ("menu", json!("finish")),
        ("confirm", json!("yes")),
    ]
}

fn answers_file(answers: &[(&str, Value)]) -> FileAnswers {
    let lines: Vec<Value> = answers
        .iter()
        .map(|(question, answer)| json!({"question": question, "answer": answer}))
        .collect();
    FileAnswers::parse(&json!(lines).to_string()).expect("the answers are valid JSON")
}

fn run_session(answers: &[(&str, Value)]) -> (Result<Option<Document>, SourceError>, FileAnswers) {
    let mut source = answers_file(answers);
    let mut session = FormSession::new(Document::default());
    let document = run_form_session(&mut session, &mut source, NewKey::random);
    (document, source)
}

/// Returns the answers up to a question, with another answer to that question.
fn with_answer(question: &str, answer: Value) -> Vec<(&'static str, Value)> {
    let mut answers = answers();
    let index = answers.iter().position(|(id, _)| *id == question);
    let index = index.expect("the answers contain the question");
    answers.truncate(index + 1);
    answers[index].1 = answer;
    answers
}

#[test]
fn session_returns_one_valid_document() {
    let (document, source) = run_session(&answers());

    let document = document
        .expect("all questions are answered")
        .expect("the session is finished");
    assert_eq!(source.finish(), Ok(()));
    assert_eq!(document.validate(), Ok(()));
    assert_eq!(document.classes["urgent"].priority, 200);
    assert_eq!(document.teams["clinic"].key_digests.len(), 1);
    assert!(document.upstreams["carving"].checks_fencing);
    assert_eq!(document.upstreams["carving"].models.len(), 2);
    assert!(!document.upstreams["orders"].idempotent);
    assert_eq!(
        document.services["orders"].at_most_once_prefixes,
        ["/orders", "/bookings"]
    );
}

#[rstest]
#[case("class", json!("two words"), "a name of 1 to 64")]
#[case("classes.urgent.priority", json!("high"), "a whole number")]
#[case("classes.urgent.priority", json!(256), "u8")]
#[case("classes.urgent.first_token_target_ms", json!(0), "1 to 600000")]
#[case("classes.urgent.deadline_ms", json!(499), "at least first_token_target_ms")]
#[case("classes.urgent.min_share_permille", json!(501), "at most 500 permille")]
#[case("teams.clinic.classes", json!(["nobody"]), "one of the classes [urgent]")]
#[case("teams.clinic.classes", json!("none"), "at least one class")]
#[case("key.team", json!("nobody"), "one of clinic")]
#[case("upstreams.carving.kind", json!("toaster"), "one of engine, service")]
#[case("upstreams.carving.models", json!(""), "at least one model")]
#[case("upstreams.carving.checks_fencing", json!("maybe"), "yes or no")]
#[case("upstreams.carving.running_max", json!(0), "1 to 4096")]
#[case("services.orders.upstream", json!("carving"), "of the kind service")]
#[case("services.orders.at_most_once_prefixes", json!(["orders"]), "starts with /")]
#[case("menu", json!("fly"), "one of class")]
fn invalid_answer_is_rejected_when_it_is_entered(
    #[case] question: &str,
    #[case] answer: Value,
    #[case] rule: &str,
) {
    let (result, _) = run_session(&with_answer(question, answer));

    let Err(SourceError::Rejected { rejected, .. }) = result else {
        panic!("{result:?}");
    };
    assert_eq!(rejected.question, question);
    assert!(rejected.rule.contains(rule), "{rejected}");
}

#[test]
fn item_in_use_cannot_be_removed() {
    let mut answers = answers();
    answers.truncate(answers.len() - 2);
    answers.extend([
        ("menu", json!("remove class")),
        ("remove.class", json!("urgent")),
    ]);

    let (result, _) = run_session(&answers);

    let Err(SourceError::Rejected { rejected, .. }) = result else {
        panic!("{result:?}");
    };
    assert!(rejected.rule.contains("teams.clinic.classes"), "{rejected}");
}

#[test]
fn mismatched_missing_and_unused_answers_are_reported() {
    let mut mismatched = answers();
    mismatched[2].0 = "classes.urgent.weight";
    let (result, _) = run_session(&mismatched);
    assert!(
        matches!(result, Err(SourceError::QuestionMismatch { number: 3, .. })),
        "{result:?}"
    );

    let (result, _) = run_session(&answers()[..5]);
    assert!(
        matches!(result, Err(SourceError::Exhausted { .. })),
        "{result:?}"
    );

    let mut unused = answers();
    unused.push(("menu", json!("finish")));
    let (result, source) = run_session(&unused);
    assert!(result.is_ok());
    assert_eq!(
        source.finish(),
        Err(SourceError::UnusedAnswers { count: 1 })
    );
}

#[rstest]
#[case::team("team", "there is no class yet")]
#[case::service("service", "there is no upstream of the kind service yet")]
#[case::key("new key", "there is no team yet")]
#[case::removal("remove class", "there is no class yet")]
fn form_without_items_to_choose_is_not_opened(#[case] item: &str, #[case] rule: &str) {
    let (result, _) = run_session(&[("menu", json!(item))]);

    let Err(SourceError::Rejected { rejected, .. }) = result else {
        panic!("{result:?}");
    };
    assert_eq!(rejected.rule, rule);
}

#[test]
fn aborted_session_returns_no_document() {
    let (result, _) = run_session(&[("menu", json!("give up"))]);

    assert_eq!(result, Ok(None));
}

#[test]
fn changes_are_shown_before_confirmation() {
    let original = run_session(&answers())
        .0
        .expect("all questions are answered")
        .expect("the session is finished");
    let mut session = FormSession::new(original);
    for answer in ["class", "urgent", "201", "", "", "", "", "", "finish"] {
        session.answer(answer).expect("the answer is valid");
    }

    let Step::Ask(question) = session.step() else {
        panic!("the next step is not a question");
    };
    assert_eq!(question.id, "confirm");
    let note = question.note.expect("the question has a note");
    assert_eq!(note, "~ classes.urgent.priority: 200 -> 201");
}

#[test]
fn key_is_removed_by_prefix_of_its_digest() {
    let original = run_session(&answers())
        .0
        .expect("all questions are answered")
        .expect("the session is finished");
    let digest = original.teams["clinic"].key_digests[0][..8].to_string();
    let mut session = FormSession::new(original);
    for answer in ["remove key", "clinic", &digest, "finish", "yes"] {
        session.answer(answer).expect("the answer is valid");
    }

    let Step::Finished(document) = session.step() else {
        panic!("the session is not finished");
    };
    assert!(document.teams["clinic"].key_digests.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_204),
        ..ProptestConfig::default()
    })]

    /// For arbitrary answers, the session continues to ask questions, and the
    /// resulting document is valid.
    #[test]
    fn arbitrary_answers_give_a_valid_document(
        answers in prop::collection::vec(
            (any::<prop::sample::Index>(), prop_oneof![
                Just(String::new()), Just("yes".to_string()), Just("none".to_string()),
                "[a-c]", "[0-9]{1,4}", "/[a-z]{0,3}", ".{0,6}",
            ]), 1..120),
    ) {
        let mut session = FormSession::new(Document::default());
        for (index, text) in &answers {
            match session.step() {
                Step::Ask(question) => {
                    let answer = match &question.kind {
                        QuestionKind::Choice { options } if !options.is_empty() => {
                            options[index.index(options.len())].clone()
                        }
                        _ => text.clone(),
                    };
                    // Aborting would end most of the generated sessions early.
                    if answer != "give up" {
                        let _ = session.answer(&answer);
                    }
                }
                Step::CreateKey { .. } => session.add_key(&config::key_digest(text)),
                Step::Finished(document) => {
                    prop_assert_eq!(document.validate(), Ok(()));
                    break;
                }
                Step::Aborted => break,
            }
        }
    }
}
