//! A dispatch from an entry to the engine and back.

mod support;

use rstest::rstest;
use support::{completion, document, engine_and_agent, settings, start, Entry};
use types::{ErrorCode, Verdict};

#[rstest]
#[case::one_token(1)]
#[case::many_tokens(500)]
fn a_whole_answer_reaches_the_entry(#[case] tokens: u32) {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(4).await;
        let dispatch = Entry::of(&agent).begin(completion("r-1"));

        let mut arrived = engine.next().await;
        arrived.answer(tokens);
        let answer = dispatch.await;

        assert_eq!((answer.status, answer.is_whole), (200, true));
        assert_eq!(answer.token_indices().len(), tokens as usize);
        assert!(answer.body.ends_with("data: [DONE]\n\n"));
        assert_eq!(arrived.request_id, "r-1");
        assert_eq!(arrived.body["stream"], true);
        assert_ne!(arrived.body["priority"], 255, "the caller sets no priority");
        assert_eq!(answer.reply.unwrap().sender.as_str(), "agent-1");
    });
}

#[test]
fn a_token_is_passed_on_before_the_next_one_is_there() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(4).await;
        let head = Entry::of(&agent).begin_head(completion("r-1"));

        let mut arrived = engine.next().await;
        arrived.begin().token();
        let mut conn = head.await;
        let mut buffer = [0; 1024];
        let mut body = conn.response_body();
        let first = support::soon(
            "the first token",
            futures_lite::AsyncReadExt::read(&mut body, &mut buffer),
        );

        let count = first.await.unwrap();
        assert!(buffer[..count].ends_with(b"\n\n"));
    });
}

#[test]
fn a_stranger_is_refused() {
    smol::block_on(async {
        let (engine, agent) = engine_and_agent(4).await;
        let conn = Entry::of(&agent)
            .request(&completion("r-1"), support::prompt())
            .without_request_header(rpc::PEER_HEADER);

        let answer = support::read(conn.await.unwrap()).await;

        assert_eq!(answer.status, 403);
        assert_eq!(answer.error().error.code, ErrorCode::PeerRefused);
        assert!(engine.is_quiet().await);
    });
}

#[test]
fn an_unreachable_upstream_has_not_run_the_request() {
    smol::block_on(async {
        let engine = support::Engine::start().await;
        engine.stop().await;
        let document = document(config::UpstreamKind::Engine, 4);
        let agent = start(settings(&engine.addr), document).await;

        let answer = Entry::of(&agent).dispatch(&completion("r-1")).await;

        assert_eq!(answer.status, 502);
        let error = answer.error().error;
        assert_eq!(
            (error.code, error.verdict),
            (ErrorCode::UpstreamFailed, Verdict::NotRun)
        );
        assert_eq!(
            answer.reply.unwrap().load.running_limit,
            0,
            "no capacity is reported"
        );
    });
}
