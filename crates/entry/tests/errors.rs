//! Clear errors for whatever a caller gets wrong; the entry stays up.

mod support;

use rstest::rstest;
use serde_json::Value;
use smol::{io::AsyncReadExt, io::AsyncWriteExt, net::TcpStream};
use support::{answered, bench, chat_body, error_of, run, Bench, FakeAgent, API_KEY};
use trillium_client::Conn;

async fn one_bench() -> (FakeAgent, Bench) {
    let agent = FakeAgent::start("a-1", vec![]).await;
    let bench = bench(vec![agent.instance("carving")]).await;
    (agent, bench)
}

fn with_key(conn: Conn, key: &str) -> Conn {
    conn.without_request_header("authorization")
        .with_request_header("authorization", key.to_owned())
}

type Ask = fn(&Bench) -> Conn;

#[rstest]
#[case::malformed_json(|b: &Bench| b.post("/v1/chat/completions", "{\"model\": "), 400, "malformed_request")]
#[case::no_messages(|b: &Bench| b.post("/v1/chat/completions", "{\"model\":\"m\",\"messages\":[]}"), 400, "malformed_request")]
#[case::no_text(|b: &Bench| b.post("/v1/chat/completions", vec![0xff, 0xfe, 0x00]), 400, "malformed_request")]
#[case::unknown_model(|b: &Bench| b.post("/v1/chat/completions", chat_body("x", false)), 404, "model_not_found")]
#[case::unknown_path(|b: &Bench| b.get("/v2/chat"), 404, "route_not_found")]
#[case::unknown_service(|b: &Bench| b.get("/services/nothing/here"), 404, "route_not_found")]
#[case::wrong_key(|b: &Bench| with_key(b.chat(false), "Bearer wrong"), 401, "invalid_api_key")]
#[case::no_bearer(|b: &Bench| with_key(b.chat(false), "Basic abc"), 401, "invalid_api_key")]
#[case::no_key(|b: &Bench| b.chat(false).without_request_header("authorization"), 401, "invalid_api_key")]
#[case::foreign_class(|b: &Bench| b.chat(false).with_request_header("limpetgw-class", "history"), 403, "class_not_allowed")]
#[case::oversize(|b: &Bench| b.post("/v1/chat/completions", "x".repeat(70_000)), 413, "body_too_large")]
#[case::large_headers(|b: &Bench| b.chat(false).with_request_header("x-big", "y".repeat(20_000)), 431, "headers_too_large")]
#[case::no_idempotency_key(
    |b: &Bench| b.post("/v1/chat/completions", chat_body("m-once", false)),
    400,
    "idempotency_key_missing"
)]
#[case::no_upstream(
    |b: &Bench| b.post("/v1/chat/completions", chat_body("m-once", false))
        .with_request_header("idempotency-key", "k-1"),
    503,
    "no_upstream"
)]
fn a_bad_request_is_told_what_to_do(#[case] ask: Ask, #[case] status: u16, #[case] code: &str) {
    run(async {
        let (agent, bench) = one_bench().await;

        let mut conn = ask(&bench)
            .with_request_header("x-request-id", "req-9")
            .await
            .unwrap();

        let text = conn.response_body().read_string().await.unwrap();
        let body: Value = serde_json::from_str(&text).unwrap();
        assert_eq!(conn.status().unwrap() as u16, status, "{body}");
        assert_eq!(error_of(&body), (code.to_owned(), "not_run".to_owned()));
        assert_eq!(body["error"]["request_id"], "req-9");
        assert!(!body["error"]["message"].as_str().unwrap().is_empty());
        let echoed = conn.response_headers().get_str("x-request-id");
        assert_eq!(echoed, Some("req-9"));
        let retries = body["error"]["retry_after_ms"].is_u64();
        assert_eq!(
            conn.response_headers().get_str("retry-after").is_some(),
            retries
        );
        assert!(agent.dispatches().is_empty());
        assert_eq!(answered(bench.chat(false)).await.0, 200);
    });
}

/// Sends raw bytes and reads what comes back until the connection closes.
async fn raw(bench: &Bench, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(bench.running.addr).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

#[rstest]
fn a_half_sent_body_times_out() {
    run(async {
        let (_agent, bench) = one_bench().await;
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {API_KEY}\r\ncontent-length: 100\r\n\r\n{{\"mod"
        );

        let answer = raw(&bench, head.as_bytes()).await;

        assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
        assert!(answer.contains("request_timeout"), "{answer}");
        assert_eq!(answered(bench.chat(false)).await.0, 200);
    });
}

#[rstest]
fn a_half_sent_head_times_out() {
    run(async {
        let (_agent, bench) = one_bench().await;

        let answer = raw(
            &bench,
            b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-sl",
        )
        .await;

        assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
        assert!(answer.contains("request_timeout"), "{answer}");
        assert_eq!(answered(bench.chat(false)).await.0, 200);
    });
}

#[rstest]
fn endless_headers_get_a_clear_answer() {
    run(async {
        let (_agent, bench) = one_bench().await;
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-big: {}\r\n\r\n",
            "y".repeat(100_000)
        );

        let answer = raw(&bench, head.as_bytes()).await;

        assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
        assert!(answer.contains("headers_too_large"), "{answer}");
        assert_eq!(answered(bench.chat(false)).await.0, 200);
    });
}

#[rstest]
fn a_request_id_is_made_if_absent_or_unusable() {
    run(async {
        let (_agent, bench) = one_bench().await;
        for header in [None, Some("has space"), Some("")] {
            let mut conn = bench.chat(false);
            if let Some(header) = header {
                conn = conn.with_request_header("x-request-id", header);
            }

            let conn = conn.await.unwrap();

            let made = conn.response_headers().get_str("x-request-id").unwrap();
            assert!(made.starts_with("req-"), "{made}");
        }
    });
}

#[rstest]
fn without_configuration_nothing_is_taken() {
    run(async {
        let shared = shared_state::SharedState::fixed(config::Snapshot::default(), vec![]);
        let bench = support::bench_of("entry-1", shared, Default::default()).await;

        let (status, body) = answered(bench.chat(false)).await;

        assert_eq!(status, 503);
        assert_eq!(error_of(&body).0, "not_configured");
        assert_eq!(answered(bench.get("/readyz")).await.0, 503);
        assert_eq!(answered(bench.get("/healthz")).await.0, 200);
    });
}

#[rstest]
fn a_full_entry_refuses_with_a_retry_time() {
    run(async {
        let hang = support::Reaction::Answer(vec![support::Piece::Hang]);
        let agent = FakeAgent::start("a-1", vec![hang]).await;
        let mut document = support::document();
        document.limits.entry_in_flight_max = 1;
        let instances = vec![agent.instance("carving")];
        let bench = support::bench_with(document, instances, Default::default()).await;
        let held = bench.chat(true).await.unwrap();

        let mut refused = bench.chat(false).await.unwrap();

        assert_eq!(refused.status().unwrap() as u16, 429);
        let retry_after = refused.response_headers().get_str("retry-after").unwrap();
        assert!(retry_after.parse::<u64>().unwrap() >= 1);
        let text = refused.response_body().read_string().await.unwrap();
        assert!(text.contains("queue_full"), "{text}");
        drop(held);
    });
}

#[rstest]
fn internal_calls_need_the_peer_secret() {
    run(async {
        let (_agent, bench) = one_bench().await;
        let addr = bench.running.operator_addr.to_string();
        let stranger = rpc::PeerSecrets::new("another-secret-of-tests", None);
        let stranger = rpc::Client::new("x".into(), std::sync::Arc::new(stranger));
        let peer = rpc::Client::new("x".into(), support::secrets());
        let generation = types::Generation(1);
        let timeout = std::time::Duration::from_secs(5);

        let refused = stranger
            .call::<rpc::methods::GetStatus>(&addr, generation, (), timeout)
            .await;
        let answered = peer
            .call::<rpc::methods::GetStatus>(&addr, generation, (), timeout)
            .await;

        assert!(matches!(refused, Err(rpc::CallError::Refused { .. })));
        assert_eq!(answered.unwrap().answer.role, "entry");
    });
}
