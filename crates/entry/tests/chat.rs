//! Chat completions relayed between a caller and a fake agent.

mod support;

use rstest::rstest;
use support::{agent, fetch_json, fetch_stream, indices, run, start_entry, FakeAgent};

#[rstest]
fn streamed_response_is_relayed_completely() {
    run(async {
        let agent = FakeAgent::start("a-1", vec![]).await;
        let entry = start_entry(vec![agent.instance("carving")]).await;

        let conn = entry
            .chat(true)
            .with_request_header("x-request-id", "req-7");
        let (status, text, clean) = fetch_stream(conn).await;

        assert_eq!(status, 200);
        assert!(clean);
        assert_eq!(indices(&text), (0..8).collect::<Vec<_>>());
        assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
        let (meta, body) = agent.dispatches().remove(0);
        assert_eq!(meta.request_id.as_str(), "req-7");
        assert_eq!(meta.team.as_str(), "fitters");
        assert_eq!(meta.class.as_str(), "bench");
        assert_eq!(body, support::chat_body("m", true).into_bytes());
    });
}

#[rstest]
fn non_streamed_response_is_assembled() {
    run(async {
        let agent = FakeAgent::start("a-1", vec![]).await;
        let entry = start_entry(vec![agent.instance("carving")]).await;

        let (status, response) = fetch_json(entry.chat(false)).await;

        assert_eq!(status, 200, "{response}");
        let content: String = (0..8).map(|index| format!("w{index} ")).collect();
        assert_eq!(
            response["choices"][0]["message"]["content"],
            content.as_str()
        );
        assert_eq!(response["usage"]["completion_tokens"], 8);
        assert_eq!(response["choices"][0]["finish_reason"], "stop");
    });
}

#[rstest]
fn event_split_across_reads_is_relayed_unchanged() {
    run(async {
        let bytes = [agent::token("r", 0), agent::ending("r", 1)].concat();
        for at in [1, 10, bytes.len() / 2, bytes.len() - 1] {
            let (first, second) = bytes.split_at(at);
            let pieces = vec![
                support::Piece::Bytes(first.to_vec()),
                support::Piece::WaitMs(5),
                support::Piece::Bytes(second.to_vec()),
            ];
            let agent = FakeAgent::start("a-1", vec![support::Reaction::Respond(pieces)]).await;
            let entry = start_entry(vec![agent.instance("carving")]).await;

            let (_, text, clean) = fetch_stream(entry.chat(true)).await;

            assert!(clean);
            assert_eq!(text.as_bytes(), bytes);
        }
    });
}

#[rstest]
fn models_are_listed() {
    run(async {
        let entry = start_entry(vec![]).await;

        let (status, list) = fetch_json(entry.get("/v1/models")).await;

        assert_eq!(status, 200);
        assert_eq!(list["data"][0]["id"], "m");
    });
}
