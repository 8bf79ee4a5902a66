//! Failed attempts: which are retried on another instance, and which verdict the
//! caller receives.

mod support;

use rpc::DispatchMeta;
use rstest::rstest;
use support::{
    agent, chat_body, error_of, fetch_json, fetch_stream, indices, run, start_entry, FakeAgent,
    Piece, Reaction, TestEntry,
};
use types::{ErrorCode, Verdict};

/// Starts two agents of an upstream. The first dispatch to either gets `reaction`,
/// later ones a complete response.
async fn two_agents(upstream: &str, reaction: Reaction) -> (Vec<FakeAgent>, TestEntry) {
    let agents = FakeAgent::group(2, vec![reaction]).await;
    let instances = agents
        .iter()
        .map(|agent| agent.instance(upstream))
        .collect();
    let entry = start_entry(instances).await;
    (agents, entry)
}

fn dispatches(agents: &[FakeAgent]) -> Vec<DispatchMeta> {
    let all = agents.iter().flat_map(|agent| agent.dispatches());
    all.map(|(meta, _body)| meta).collect()
}

#[rstest]
#[case::queue_full(ErrorCode::QueueFull)]
#[case::draining(ErrorCode::Draining)]
fn refused_request_is_retried_on_another_instance(#[case] code: ErrorCode) {
    run(async {
        // The hash of the prompt's prefix selects instance a-2 first.
        let refusing = FakeAgent::start("a-2", vec![Reaction::Refuse(code, Verdict::NotRun); 9]);
        let refusing = refusing.await;
        let accepting = FakeAgent::start("a-1", vec![]).await;
        let instances = vec![refusing.instance("carving"), accepting.instance("carving")];
        let entry = start_entry(instances).await;

        for _ in 0..8 {
            let (status, text, clean) = fetch_stream(entry.chat(true)).await;

            assert_eq!((status, clean), (200, true), "{text}");
        }
        assert!(
            !refusing.dispatches().is_empty(),
            "the refusing instance received no dispatch"
        );
        assert_eq!(accepting.dispatches().len(), 8);
    });
}

#[rstest]
fn unreachable_instance_is_retried_elsewhere() {
    run(async {
        let accepting = FakeAgent::start("a-2", vec![]).await;
        let unreachable = support::instance("a-1", "carving", "127.0.0.1:1");
        let entry = start_entry(vec![unreachable, accepting.instance("carving")]).await;

        for _ in 0..6 {
            assert_eq!(fetch_json(entry.chat(false)).await.0, 200);
        }
    });
}

#[rstest]
#[case::queue_full(
    Reaction::Refuse(ErrorCode::QueueFull, Verdict::NotRun),
    429,
    "queue_full",
    "not_run"
)]
#[case::failed(
    Reaction::Refuse(ErrorCode::UpstreamFailed, Verdict::MayHaveRun),
    502,
    "upstream_failed",
    "may_have_run"
)]
#[case::garbage(Reaction::Garbage, 502, "upstream_failed", "may_have_run")]
fn single_failure_keeps_its_verdict(
    #[case] reaction: Reaction,
    #[case] status: u16,
    #[case] code: &str,
    #[case] verdict: &str,
) {
    run(async {
        let agent = FakeAgent::start("a-1", vec![reaction]).await;
        let entry = start_entry(vec![agent.instance("carving")]).await;

        let (actual_status, body) = fetch_json(entry.chat(false)).await;

        assert_eq!(actual_status, status, "{body}");
        assert_eq!(error_of(&body), (code.to_owned(), verdict.to_owned()));
    });
}

/// Guards against reporting "not run" for a request of which an earlier attempt
/// may have run.
#[rstest]
fn later_not_run_does_not_override_may_have_run() {
    run(async {
        let ambiguous = Reaction::Refuse(ErrorCode::UpstreamFailed, Verdict::MayHaveRun);
        let full = Reaction::Refuse(ErrorCode::QueueFull, Verdict::NotRun);
        let agents = FakeAgent::group(2, vec![ambiguous, full]).await;
        let instances = agents
            .iter()
            .map(|agent| agent.instance("carving"))
            .collect();
        let entry = start_entry(instances).await;

        let (_, body) = fetch_json(entry.chat(false)).await;

        assert_eq!(dispatches(&agents).len(), 2);
        assert_eq!(error_of(&body).1, "may_have_run", "{body}");
    });
}

#[rstest]
#[case::may_have_run(Reaction::Refuse(ErrorCode::UpstreamFailed, Verdict::MayHaveRun))]
#[case::garbage(Reaction::Garbage)]
#[case::truncated(Reaction::Respond(vec![Piece::Disconnect]))]
fn idempotent_request_is_retried(#[case] reaction: Reaction) {
    run(async {
        let (agents, entry) = two_agents("carving", reaction).await;

        let (status, body) = fetch_json(entry.chat(false)).await;

        assert_eq!(status, 200, "{body}");
        let attempts: Vec<_> = dispatches(&agents)
            .iter()
            .map(|meta| meta.attempt)
            .collect();
        assert_eq!(attempts.len(), 2);
    });
}

/// Guards against retries of a displaced request. Under load it would wait on another
/// instance and be displaced again, which only delays the error.
#[rstest]
fn displaced_request_fails_without_retry() {
    run(async {
        let displaced = Reaction::Refuse(ErrorCode::Displaced, Verdict::NotRun);
        let agents = [
            FakeAgent::start("a-1", vec![displaced.clone(); 9]).await,
            FakeAgent::start("a-2", vec![displaced; 9]).await,
        ];
        let instances = agents
            .iter()
            .map(|agent| agent.instance("carving"))
            .collect();
        let entry = start_entry(instances).await;

        let (status, body) = fetch_json(entry.chat(false)).await;

        assert_eq!(status, 429, "{body}");
        assert_eq!(error_of(&body).0, "displaced");
        assert_eq!(error_of(&body).1, "not_run");
        assert_eq!(dispatches(&agents).len(), 1);
    });
}

#[rstest]
fn retries_stay_within_budget_when_all_attempts_fail() {
    run(async {
        const REQUESTS: usize = 1_000;
        let refusal = Reaction::Refuse(ErrorCode::UpstreamFailed, Verdict::MayHaveRun);
        let agents = FakeAgent::group(3, vec![refusal; 2 * REQUESTS]).await;
        let instances = agents
            .iter()
            .map(|agent| agent.instance("carving"))
            .collect();
        let entry = start_entry(instances).await;

        for _ in 0..REQUESTS {
            fetch_json(entry.chat(false)).await;
        }

        let attempts: usize = agents.iter().map(|agent| agent.dispatches().len()).sum();
        assert!(attempts <= REQUESTS * 11 / 10, "{attempts} attempts");
    });
}

#[rstest]
#[case::streamed(true)]
#[case::buffered(false)]
fn truncated_stream_resumes_at_next_token(#[case] stream: bool) {
    run(async {
        // The stream is truncated within the event of token 3.
        let mut pieces = agent::tokens("req-1", 0, 3);
        let half = agent::token("req-1", 3)[..20].to_vec();
        pieces.extend([Piece::Bytes(half), Piece::WaitMs(20), Piece::Disconnect]);
        let (agents, entry) = two_agents("carving", Reaction::Respond(pieces)).await;
        let conn = entry
            .chat(stream)
            .with_request_header("x-request-id", "req-1");

        if stream {
            let (_, text, clean) = fetch_stream(conn).await;
            assert!(clean, "{text}");
            assert_eq!(indices(&text), (0..8).collect::<Vec<_>>());
            assert_eq!(text.matches("[DONE]").count(), 1);
        } else {
            let (status, response) = fetch_json(conn).await;
            assert_eq!(status, 200, "{response}");
            let content: String = (0..8).map(|index| format!("w{index} ")).collect();
            assert_eq!(
                response["choices"][0]["message"]["content"],
                content.as_str()
            );
        }
        let mut resumed: Vec<_> = dispatches(&agents)
            .iter()
            .map(|meta| meta.resume_from)
            .collect();
        resumed.sort_unstable();
        assert_eq!(resumed, [0, 3]);
    });
}

#[rstest]
#[case::after_the_last_token(agent::tokens("r", 0, 8))]
#[case::before_the_terminator({
    let mut pieces = agent::tokens("r", 0, 8);
    let ending = agent::ending("r", 8);
    pieces.push(Piece::Bytes(ending[..ending.len() - 14].to_vec()));
    pieces
})]
fn final_events_are_delivered_once(#[case] mut pieces: Vec<Piece>) {
    run(async {
        pieces.extend([Piece::WaitMs(20), Piece::Disconnect]);
        let (agents, entry) = two_agents("carving", Reaction::Respond(pieces)).await;

        let (_, text, clean) = fetch_stream(entry.chat(true)).await;

        assert!(clean, "{text}");
        assert_eq!(indices(&text), (0..8).collect::<Vec<_>>());
        assert_eq!(text.matches("finish_reason\":\"stop").count(), 1);
        assert_eq!(text.matches("[DONE]").count(), 1);
        assert_eq!(dispatches(&agents).len(), 2);
    });
}

/// A clean end without the terminator, tokens out of order, and a second response
/// after the first must not be relayed as a complete response.
#[rstest]
#[case::missing_terminator(agent::tokens("r", 0, 3))]
#[case::missing_finish_event({
    let mut pieces = agent::tokens("r", 0, 3);
    pieces.push(Piece::Bytes(b"data: [DONE]\n\n".to_vec()));
    pieces
})]
#[case::missing_token({
    let mut pieces = agent::tokens("r", 0, 3);
    pieces.extend(agent::complete_response("r", 4, 8));
    pieces
})]
#[case::duplicate_token({
    let mut pieces = agent::tokens("r", 0, 3);
    pieces.extend(agent::complete_response("r", 2, 8));
    pieces
})]
#[case::two_responses({
    let mut pieces = agent::complete_response("r", 0, 3);
    pieces.extend(agent::complete_response("r", 0, 3));
    pieces
})]
#[case::truncated({
    let mut pieces = agent::tokens("r", 0, 3);
    pieces.push(Piece::Disconnect);
    pieces
})]
fn invalid_stream_ends_with_error(#[case] pieces: Vec<Piece>, #[values(true, false)] stream: bool) {
    run(async {
        let agent = FakeAgent::start("a-1", vec![Reaction::Respond(pieces)]).await;
        let entry = start_entry(vec![agent.instance("carving")]).await;

        if stream {
            let (status, text, clean) = fetch_stream(entry.chat(true)).await;
            assert_eq!(status, 200);
            assert!(!clean, "{text}");
            assert_eq!(indices(&text), (0..3).collect::<Vec<_>>());
            assert!(!text.contains("[DONE]"), "{text}");
            let last = text.trim_end().rsplit("\n\n").next().unwrap();
            let body = serde_json::from_str(last.strip_prefix("data: ").unwrap()).unwrap();
            assert_eq!(error_of(&body).1, "may_have_run");
        } else {
            let (status, body) = fetch_json(entry.chat(false)).await;
            assert_eq!(status, 502, "{body}");
            assert_eq!(error_of(&body).1, "may_have_run");
        }
    });
}

#[rstest]
fn non_idempotent_request_is_not_resumed() {
    run(async {
        let mut pieces = agent::tokens("r", 0, 3);
        pieces.push(Piece::Disconnect);
        let (agents, entry) = two_agents("carving-once", Reaction::Respond(pieces)).await;
        let conn = entry
            .post("/v1/chat/completions", chat_body("m-once", true))
            .with_request_header("idempotency-key", "k-1");

        let (_, text, clean) = fetch_stream(conn).await;

        assert!(!clean || text.contains("may_have_run"), "{text}");
        assert_eq!(dispatches(&agents).len(), 1);
    });
}

/// The agent holds another request with the same id. Cancelling the refused one
/// would cancel that request.
#[rstest]
fn refused_duplicate_does_not_cancel_original() {
    run(async {
        let refusal = Reaction::Refuse(ErrorCode::InProgress, Verdict::MayHaveRun);
        let agent = FakeAgent::start("a-1", vec![refusal]).await;
        let entry = start_entry(vec![agent.instance("carving")]).await;

        let (status, body) = fetch_json(entry.chat(false)).await;
        smol::Timer::after(std::time::Duration::from_millis(300)).await;

        assert_eq!(status, 409, "{body}");
        assert!(agent.recalls().is_empty());
    });
}

/// An agent that announced its shutdown gets no new requests from this entry, even
/// while the instance list still contains it.
#[rstest]
#[case::in_a_reply(None)]
#[case::in_a_refusal(Some(Reaction::Refuse(ErrorCode::Draining, Verdict::NotRun)))]
fn leaving_agent_receives_no_new_requests(#[case] reaction: Option<Reaction>) {
    run(async {
        let agents = FakeAgent::group(2, reaction.clone().into_iter().collect()).await;
        for agent in &agents {
            if reaction.is_none() {
                agent.announce_leaving();
            }
        }
        let instances = agents
            .iter()
            .map(|agent| agent.instance("carving"))
            .collect();
        let entry = start_entry(instances).await;
        fetch_json(entry.chat(false)).await;
        let mut first_attempts: Vec<_> = agents.iter().map(|agent| agent.dispatches()).collect();
        first_attempts
            .iter_mut()
            .for_each(|dispatches| dispatches.retain(|(meta, _)| meta.attempt == 1));
        let leaving = usize::from(first_attempts[0].is_empty());
        agents[1 - leaving].retract_leaving();

        for _ in 0..10 {
            assert_eq!(fetch_json(entry.chat(false)).await.0, 200);
        }

        assert_eq!(agents[leaving].dispatches().len(), 1);
    });
}
