//! Invalid requests, limits and missing configuration: each gives a specific
//! error, and the entry keeps serving.

mod support;

use rstest::rstest;
use serde_json::Value;
use smol::{io::AsyncReadExt, io::AsyncWriteExt, net::TcpStream};
use support::{chat_body, error_of, fetch_json, run, start_entry, FakeAgent, TestEntry, API_KEY};
use trillium_client::Conn;

async fn start_entry_with_agent() -> (FakeAgent, TestEntry) {
    let agent = FakeAgent::start("a-1", vec![]).await;
    let entry = start_entry(vec![agent.instance("carving")]).await;
    (agent, entry)
}

fn with_key(conn: Conn, key: &str) -> Conn {
    conn.without_request_header("authorization")
        .with_request_header("authorization", key.to_owned())
}

type BuildRequest = fn(&TestEntry) -> Conn;

#[rstest]
#[case::malformed_json(|entry: &TestEntry| entry.post("/v1/chat/completions", "{\"model\": "), 400, "malformed_request")]
#[case::no_messages(|entry: &TestEntry| entry.post("/v1/chat/completions", "{\"model\":\"m\",\"messages\":[]}"), 400, "malformed_request")]
#[case::invalid_utf8(|entry: &TestEntry| entry.post("/v1/chat/completions", vec![0xff, 0xfe, 0x00]), 400, "malformed_request")]
#[case::unknown_model(|entry: &TestEntry| entry.post("/v1/chat/completions", chat_body("x", false)), 404, "model_not_found")]
#[case::unknown_path(|entry: &TestEntry| entry.get("/v2/chat"), 404, "route_not_found")]
#[case::unknown_service(|entry: &TestEntry| entry.get("/services/nothing/here"), 404, "route_not_found")]
#[case::wrong_key(|entry: &TestEntry| with_key(entry.chat(false), "Bearer wrong"), 401, "invalid_api_key")]
#[case::no_bearer(|entry: &TestEntry| with_key(entry.chat(false), "Basic abc"), 401, "invalid_api_key")]
#[case::no_key(|entry: &TestEntry| entry.chat(false).without_request_header("authorization"), 401, "invalid_api_key")]
#[case::class_of_another_team(|entry: &TestEntry| entry.chat(false).with_request_header("limpetgw-class", "history"), 403, "class_not_allowed")]
#[case::oversized_body(|entry: &TestEntry| entry.post("/v1/chat/completions", "x".repeat(70_000)), 413, "body_too_large")]
#[case::large_headers(|entry: &TestEntry| entry.chat(false).with_request_header("x-big", "y".repeat(20_000)), 431, "headers_too_large")]
#[case::no_idempotency_key(
    |entry: &TestEntry| entry.post("/v1/chat/completions", chat_body("m-once", false)),
    400,
    "idempotency_key_missing"
)]
#[case::no_upstream(
    |entry: &TestEntry| entry.post("/v1/chat/completions", chat_body("m-once", false))
        .with_request_header("idempotency-key", "k-1"),
    503,
    "no_upstream"
)]
fn invalid_request_returns_error_code_and_message(
    #[case] build_request: BuildRequest,
    #[case] status: u16,
    #[case] code: &str,
) {
    run(async {
        let (agent, entry) = start_entry_with_agent().await;

        let mut conn = build_request(&entry)
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
        let has_retry_time = body["error"]["retry_after_ms"].is_u64();
        assert_eq!(
            conn.response_headers().get_str("retry-after").is_some(),
            has_retry_time
        );
        assert!(agent.dispatches().is_empty());
        assert_eq!(fetch_json(entry.chat(false)).await.0, 200);
    });
}

/// Sends raw bytes and reads the response until the connection closes.
async fn send_raw(entry: &TestEntry, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(entry.running.addr).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response).await;
    String::from_utf8_lossy(&response).into_owned()
}

#[rstest]
fn incomplete_body_times_out() {
    run(async {
        let (_agent, entry) = start_entry_with_agent().await;
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {API_KEY}\r\ncontent-length: 100\r\n\r\n{{\"mod"
        );

        let response = send_raw(&entry, head.as_bytes()).await;

        assert!(response.starts_with("HTTP/1.1 408"), "{response}");
        assert!(response.contains("request_timeout"), "{response}");
        assert_eq!(fetch_json(entry.chat(false)).await.0, 200);
    });
}

#[rstest]
fn incomplete_head_times_out() {
    run(async {
        let (_agent, entry) = start_entry_with_agent().await;

        let response = send_raw(
            &entry,
            b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-sl",
        )
        .await;

        assert!(response.starts_with("HTTP/1.1 408"), "{response}");
        assert!(response.contains("request_timeout"), "{response}");
        assert_eq!(fetch_json(entry.chat(false)).await.0, 200);
    });
}

#[rstest]
fn oversized_head_returns_431() {
    run(async {
        let (_agent, entry) = start_entry_with_agent().await;
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-big: {}\r\n\r\n",
            "y".repeat(100_000)
        );

        let response = send_raw(&entry, head.as_bytes()).await;

        assert!(response.starts_with("HTTP/1.1 431"), "{response}");
        assert!(response.contains("headers_too_large"), "{response}");
        assert_eq!(fetch_json(entry.chat(false)).await.0, 200);
    });
}

#[rstest]
fn request_id_is_generated_if_absent_or_invalid() {
    run(async {
        let (_agent, entry) = start_entry_with_agent().await;
        for header in [None, Some("has space"), Some("")] {
            let mut conn = entry.chat(false);
            if let Some(header) = header {
                conn = conn.with_request_header("x-request-id", header);
            }

            let conn = conn.await.unwrap();

            let generated = conn.response_headers().get_str("x-request-id").unwrap();
            assert!(generated.starts_with("req-"), "{generated}");
        }
    });
}

#[rstest]
fn requests_are_refused_without_configuration() {
    run(async {
        let shared = shared_state::SharedState::fixed(config::Snapshot::default(), vec![]);
        let entry = support::start_entry_named("entry-1", shared, Default::default()).await;

        let (status, body) = fetch_json(entry.chat(false)).await;

        assert_eq!(status, 503);
        assert_eq!(error_of(&body).0, "not_configured");
        assert_eq!(fetch_json(entry.get("/readyz")).await.0, 503);
        assert_eq!(fetch_json(entry.get("/healthz")).await.0, 200);
    });
}

#[rstest]
fn full_entry_refuses_with_retry_after() {
    run(async {
        let hang = support::Reaction::Respond(vec![support::Piece::Hang]);
        let agent = FakeAgent::start("a-1", vec![hang]).await;
        let mut document = support::document();
        document.limits.entry_in_flight_max = 1;
        let instances = vec![agent.instance("carving")];
        let entry = support::start_entry_with(document, instances, Default::default()).await;
        let occupying = entry.chat(true).await.unwrap();

        let mut refused = entry.chat(false).await.unwrap();

        assert_eq!(refused.status().unwrap() as u16, 429);
        let retry_after = refused.response_headers().get_str("retry-after").unwrap();
        assert!(retry_after.parse::<u64>().unwrap() >= 1);
        let text = refused.response_body().read_string().await.unwrap();
        assert!(text.contains("queue_full"), "{text}");
        drop(occupying);
    });
}

#[rstest]
fn internal_calls_require_peer_secret() {
    run(async {
        let (_agent, entry) = start_entry_with_agent().await;
        let addr = entry.running.operator_addr.to_string();
        let client_without_secret = rpc::PeerSecrets::new("another-secret-of-tests", None);
        let client_without_secret =
            rpc::Client::new("x".into(), std::sync::Arc::new(client_without_secret));
        let peer = rpc::Client::new("x".into(), support::secrets());
        let generation = types::Generation(1);
        let timeout = std::time::Duration::from_secs(5);

        let refused = client_without_secret
            .call::<rpc::methods::GetStatus>(&addr, generation, (), timeout)
            .await;
        let accepted = peer
            .call::<rpc::methods::GetStatus>(&addr, generation, (), timeout)
            .await;

        assert!(matches!(refused, Err(rpc::CallError::Refused { .. })));
        assert_eq!(accepted.unwrap().answer.role, "entry");
    });
}
