//! Tests of calls to a plain service.

mod support;

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
