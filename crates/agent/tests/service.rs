//! Tests of calls to a plain service.

mod support;

use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
    time::Duration,
};

use rstest::rstest;
use support::{call, document, settings, start, FakeEngine, ReceivedRequest, TestEntry};
use types::Verdict;

async fn service_and_agent(running_max: u32) -> (FakeEngine, agent::Running) {
    let service = FakeEngine::start().await;
    let settings = settings(&service.addr);
    let document = document(config::UpstreamKind::Service, running_max);
    let agent = start(settings, document).await;
    (service, agent)
}

#[rstest]
#[case::ok(200)]
#[case::created(201)]
#[case::not_found(404)]
fn complete_response_is_forwarded_with_its_status(#[case] status: u16) {
    smol::block_on(async {
        let (service, agent) = service_and_agent(4).await;
        let dispatch = TestEntry::new(&agent).spawn_dispatch(call("r-1", "POST", "/orders?part=3"));

        let mut request = service.next_request().await;
        request.head(status, Some(5)).bytes("hello".into()).end();
        let response = dispatch.await;

        assert_eq!(
            (request.method.as_str(), request.path.as_str()),
            ("POST", "/orders")
        );
        assert_eq!(request.idempotency_key.as_deref(), Some("key-r-1"));
        assert_eq!(request.request_id, "r-1");
        assert_eq!((response.status, response.is_complete), (200, true));
        assert_eq!(response.upstream_status, Some(status.to_string()));
        assert_eq!(response.body, "hello");
    });
}

fn other_request_id(request: &mut ReceivedRequest) {
    request.response_id = "other".into();
    request.head(200, Some(5)).bytes("hello".into()).end();
}

fn truncated(request: &mut ReceivedRequest) {
    request
        .head(200, Some(9))
        .bytes("hello".into())
        .break_connection();
}

fn missing_length(request: &mut ReceivedRequest) {
    request.head(200, None).bytes("hello".into()).end();
}

fn connection_broken(request: &mut ReceivedRequest) {
    request.head(200, Some(5)).break_connection();
}

#[rstest]
#[case::other_request_id(other_request_id)]
#[case::truncated(truncated)]
#[case::missing_length(missing_length)]
#[case::connection_broken(connection_broken)]
fn mismatched_or_incomplete_response_is_refused(#[case] fault: fn(&mut ReceivedRequest)) {
    smol::block_on(async {
        let (service, agent) = service_and_agent(4).await;
        let entry = TestEntry::new(&agent);
        let dispatch = entry.spawn_dispatch(call("r-1", "POST", "/orders"));

        fault(&mut service.next_request().await);
        let response = dispatch.await;

        assert_eq!(response.status, 502);
        assert_eq!(response.error().error.verdict, Verdict::MayHaveRun);
        entry.wait_for_load(0, 0).await;
    });
}

/// Starts a service on a thread that answers its first call with `text`, in which `ID`
/// stands for the request id, and closes the connection. Returns its address.
fn start_raw_service(text: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a local port");
    let addr = listener.local_addr().expect("local address").to_string();
    thread::spawn(move || {
        for conn in listener.incoming() {
            let mut conn = conn.expect("accept");
            let mut bytes = vec![0; 64 << 10];
            let count = conn.read(&mut bytes).unwrap_or(0);
            let request = String::from_utf8_lossy(&bytes[..count]).to_ascii_lowercase();
            let id = request.split("x-request-id: ").nth(1).unwrap_or_default();
            let id = id.split("\r\n").next().unwrap_or_default();
            // The agent may have closed the connection.
            let _ = conn.write_all(text.replace("ID", id).as_bytes());
            thread::sleep(Duration::from_millis(60));
        }
    });
    addr
}

/// Guards against a failure seen on other systems: an answer whose status was 000 reached
/// a caller as an answer. Neither it nor any other status that ends no request may.
#[rstest]
fn response_with_an_impossible_status_is_refused(
    #[values("000", "099", "101", "199", "1000", "20", "2x0", "")] status: &str,
) {
    smol::block_on(async {
        let head = format!("HTTP/1.1 {status} Any\r\nx-request-id: ID\r\n");
        let addr = start_raw_service(format!("{head}content-length: 2\r\n\r\nok"));
        let document = document(config::UpstreamKind::Service, 4);
        let agent = start(settings(&addr), document).await;
        let dispatch = TestEntry::new(&agent).spawn_dispatch(call("r-1", "POST", "/orders"));

        let response = dispatch.await;

        assert_eq!(response.status, 502);
        assert_eq!(response.error().error.verdict, Verdict::MayHaveRun);
    });
}

#[test]
fn non_idempotent_call_completes_after_caller_disconnects() {
    smol::block_on(async {
        let (service, agent) = service_and_agent(4).await;
        let entry = TestEntry::new(&agent);
        let meta = rpc::DispatchMeta {
            idempotent: false,
            ..call("r-1", "POST", "/orders")
        };
        let dispatch = entry.spawn_dispatch(meta);
        let mut request = service.next_request().await;

        drop(dispatch);
        entry.wait_for_load(1, 0).await;
        smol::Timer::after(std::time::Duration::from_millis(200)).await;
        entry.wait_for_load(1, 0).await;
        request.head(200, Some(2)).bytes("ok".into()).end();

        entry.wait_for_load(0, 0).await;
    });
}

#[test]
fn idempotent_call_is_cancelled_when_caller_disconnects() {
    smol::block_on(async {
        let (service, agent) = service_and_agent(4).await;
        let entry = TestEntry::new(&agent);
        let dispatch = entry.spawn_dispatch(call("r-1", "GET", "/history"));
        let _arrived = service.next_request().await;

        drop(dispatch);

        entry.wait_for_load(0, 0).await;
    });
}
