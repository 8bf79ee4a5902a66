//! Deadlines, unresponsive agents, disconnected or stalled callers, and draining.

mod support;

use std::time::{Duration, Instant};

use policy::schedule::Recall;
use rstest::rstest;
use smol::{io::AsyncWriteExt, net::TcpStream, Timer};
use support::{
    agent, chat_body, error_of, fetch_json, fetch_stream, indices, run, start_entry, FakeAgent,
    Piece, Reaction, API_KEY,
};

/// Polls a condition until it holds; fails with `what` after 10 s.
async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < Duration::from_secs(10), "{what}");
        Timer::after(Duration::from_millis(10)).await;
    }
}

#[rstest]
#[case::recalled(Some(Recall::Recalled), "not_run")]
#[case::started(Some(Recall::AlreadyStarted), "may_have_run")]
#[case::no_response(None, "may_have_run")]
fn verdict_after_deadline_follows_recall_result(
    #[case] recall: Option<Recall>,
    #[case] verdict: &str,
) {
    run(async {
        let agent = FakeAgent::start("a-1", vec![Reaction::Silent]).await;
        agent.set_recall_result(recall);
        let entry = start_entry(vec![agent.instance("carving")]).await;
        let conn = entry
            .chat(false)
            .with_request_header("limpetgw-class", "hurried")
            .with_request_header("x-request-id", "req-3");

        let (status, body) = fetch_json(conn).await;

        assert_eq!(status, 504, "{body}");
        let expected = ("deadline_exceeded".to_owned(), verdict.to_owned());
        assert_eq!(error_of(&body), expected);
        assert_eq!(agent.recalls().first().map(String::as_str), Some("req-3"));
    });
}

#[rstest]
fn stream_past_deadline_ends_with_error() {
    run(async {
        let mut pieces = agent::tokens("r", 0, 2);
        pieces.push(Piece::Hang);
        let agent = FakeAgent::start("a-1", vec![Reaction::Respond(pieces)]).await;
        let entry = start_entry(vec![agent.instance("carving")]).await;
        let conn = entry
            .chat(true)
            .with_request_header("limpetgw-class", "hurried");

        let (_, text, clean) = fetch_stream(conn).await;

        assert!(!clean, "{text}");
        assert!(text.contains("deadline_exceeded"), "{text}");
        wait_until("the request is not cancelled at the agent", || {
            !agent.recalls().is_empty()
        })
        .await;
    });
}

#[rstest]
#[case::before_the_head(Vec::new(), 0)]
#[case::in_the_stream(agent::tokens("r", 0, 2), 2)]
fn unresponsive_agent_is_replaced(#[case] pieces: Vec<Piece>, #[case] delivered: u32) {
    run(async {
        let agents = FakeAgent::group(2, vec![Reaction::Freeze(pieces)]).await;
        let instances = agents
            .iter()
            .map(|agent| agent.instance("carving"))
            .collect();
        let entry = start_entry(instances).await;

        let (status, text, clean) = fetch_stream(entry.chat(true)).await;

        assert_eq!((status, clean), (200, true), "{text}");
        assert_eq!(indices(&text), (0..8).collect::<Vec<_>>());
        let resumed = agents
            .iter()
            .flat_map(|agent| agent.dispatches())
            .filter(|(meta, _)| meta.attempt == 2)
            .map(|(meta, _)| meta.resume_from)
            .collect::<Vec<_>>();
        assert_eq!(resumed, [delivered]);
    });
}

/// A short request to a slow instance is also sent to a second one, and cancelled
/// on the slow one after the second has responded.
#[rstest]
fn short_request_is_hedged() {
    run(async {
        let agents = FakeAgent::group(2, vec![Reaction::Silent]).await;
        let instances = agents
            .iter()
            .map(|agent| agent.instance("carving"))
            .collect();
        let entry = start_entry(instances).await;
        let conn = entry
            .chat(true)
            .with_request_header("x-request-id", "req-8");

        let (status, text, clean) = fetch_stream(conn).await;

        assert_eq!((status, clean), (200, true), "{text}");
        assert_eq!(indices(&text), (0..8).collect::<Vec<_>>());
        let slow = agents
            .iter()
            .find(|agent| agent.dispatches().iter().any(|(meta, _)| meta.attempt == 1));
        let slow = slow.expect("no agent received the first attempt");
        wait_until("the request is not cancelled on the slow instance", || {
            slow.recalls().contains(&"req-8".to_owned())
        })
        .await;
    });
}

/// Guards against sending a long request to a second instance while the first one
/// is slow.
#[rstest]
fn long_request_is_not_hedged() {
    run(async {
        let late = Reaction::RespondAfter(2_600, agent::complete_response("r", 0, 8));
        let agents = FakeAgent::group(2, vec![late]).await;
        let instances = agents
            .iter()
            .map(|agent| agent.instance("carving"))
            .collect();
        let entry = start_entry(instances).await;
        let long = chat_body("m", true).replace("\"max_tokens\":8", "\"max_tokens\":4000");

        let (_, _, clean) = fetch_stream(entry.post("/v1/chat/completions", long)).await;

        assert!(clean);
        let dispatches: usize = agents.iter().map(|agent| agent.dispatches().len()).sum();
        assert_eq!(dispatches, 1);
    });
}

#[rstest]
fn slow_responsive_agent_is_awaited() {
    run(async {
        let mut pieces = vec![Piece::WaitMs(2_600)];
        pieces.extend(agent::complete_response("r", 0, 8));
        let slow = FakeAgent::start("a-1", vec![Reaction::Respond(pieces)]).await;
        let entry = start_entry(vec![slow.instance("carving")]).await;

        let (_, text, clean) = fetch_stream(entry.chat(true)).await;

        assert!(clean, "{text}");
        assert_eq!(slow.dispatches().len(), 1);
    });
}

#[rstest]
#[case::before_the_head(Reaction::Silent, false)]
#[case::while_assembling({
    let mut pieces = agent::tokens("r", 0, 2);
    pieces.push(Piece::Hang);
    Reaction::Respond(pieces)
}, false)]
#[case::in_the_stream({
    let mut pieces = Vec::new();
    for index in 0..400 {
        pieces.push(Piece::Bytes(agent::token("r", index)));
        pieces.push(Piece::WaitMs(10));
    }
    Reaction::Respond(pieces)
}, true)]
fn caller_disconnect_cancels_request(#[case] reaction: Reaction, #[case] stream: bool) {
    run(async {
        let agent = FakeAgent::start("a-1", vec![reaction]).await;
        let entry = start_entry(vec![agent.instance("carving")]).await;
        let body = chat_body("m", stream);
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-request-id: req-5\r\nauthorization: Bearer {API_KEY}\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut caller = TcpStream::connect(entry.running.addr).await.unwrap();
        caller.write_all(head.as_bytes()).await.unwrap();
        wait_until("the agent received no dispatch", || {
            !agent.dispatches().is_empty()
        })
        .await;
        Timer::after(Duration::from_millis(50)).await;

        drop(caller);

        wait_until("the request is not cancelled at the agent", || {
            agent.recalls().contains(&"req-5".to_owned())
        })
        .await;
    });
}

/// Guards against a caller that never reads its response and so occupies the
/// upstream until the deadline.
#[rstest]
fn stalled_caller_is_disconnected() {
    run(async {
        const TOKENS: u32 = 100_000;
        let pieces = agent::tokens("r", 0, TOKENS);
        let agent = FakeAgent::start("a-1", vec![Reaction::Respond(pieces)]).await;
        let entry = start_entry(vec![agent.instance("carving")]).await;
        let body = chat_body("m", true);
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-request-id: req-6\r\nauthorization: Bearer {API_KEY}\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut caller = TcpStream::connect(entry.running.addr).await.unwrap();
        caller.write_all(head.as_bytes()).await.unwrap();

        // The caller stays connected and reads nothing. The cancellation must come
        // well before the deadline of its class.
        let started = Instant::now();
        wait_until("the request is not cancelled at the agent", || {
            agent.recalls().contains(&"req-6".to_owned())
        })
        .await;

        assert!(started.elapsed() < Duration::from_secs(4));
        drop(caller);
    });
}

#[rstest]
fn drain_completes_in_flight_requests() {
    run(async {
        let mut pieces = Vec::new();
        for index in 0..8 {
            pieces.push(Piece::Bytes(agent::token("r", index)));
            pieces.push(Piece::WaitMs(100));
        }
        pieces.push(Piece::Bytes(agent::ending("r", 8)));
        let agent = FakeAgent::start("a-1", vec![Reaction::Respond(pieces)]).await;
        let entry = start_entry(vec![agent.instance("carving")]).await;
        let drain = entry.running.drain_handle();
        let in_flight = entry.chat(true).await.unwrap();

        drain.drain();

        // Requests that the balancer sends during its lag are still served.
        assert_eq!(fetch_json(entry.get("/readyz")).await.0, 503);
        assert_eq!(fetch_json(entry.get_operator("/readyz")).await.0, 503);
        assert_eq!(fetch_json(entry.chat(false)).await.0, 200);
        let during_lag = entry.chat(false);
        let after_lag = entry.chat(false);
        let finished = entry.running.finished();
        let requests = async {
            Timer::after(Duration::from_millis(50)).await;
            assert_eq!(fetch_json(during_lag).await.0, 200);
            Timer::after(Duration::from_millis(350)).await;
            let (status, body) = fetch_json(after_lag).await;
            assert_eq!(status, 503, "{body}");
            let expected = ("draining".to_owned(), "not_run".to_owned());
            assert_eq!(error_of(&body), expected);
            read_rest(in_flight).await
        };
        let (text, ()) = futures_lite::future::zip(requests, finished).await;
        assert_eq!(indices(&text), (0..8).collect::<Vec<_>>());
        assert!(text.ends_with("data: [DONE]\n\n"));
    });
}

async fn read_rest(mut conn: trillium_client::Conn) -> String {
    conn.response_body().read_string().await.unwrap()
}

#[rstest]
fn operator_drain_starts_shutdown() {
    run(async {
        let entry = start_entry(vec![]).await;
        let addr = entry.running.operator_addr.to_string();
        let operator = rpc::Client::new("operator".into(), support::secrets());

        let response = operator
            .call::<rpc::methods::Drain>(&addr, types::Generation(1), (), Duration::from_secs(5))
            .await;

        assert!(response.is_ok());
        entry.running.finished().await;
    });
}
