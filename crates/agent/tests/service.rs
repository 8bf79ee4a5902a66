//! Calls to a plain service.

mod support;

use rstest::rstest;
use support::{call, document, settings, start, Arrived, Engine, Entry};
use types::Verdict;

async fn service_and_agent(running_max: u32) -> (Engine, agent::Running) {
    let service = Engine::start().await;
    let settings = settings(&service.addr);
    let document = document(config::UpstreamKind::Service, running_max);
    let agent = start(settings, document).await;
    (service, agent)
}

#[rstest]
#[case::ok(200)]
#[case::created(201)]
#[case::not_found(404)]
fn a_whole_answer_is_passed_on_with_its_status(#[case] status: u16) {
    smol::block_on(async {
        let (service, agent) = service_and_agent(4).await;
        let dispatch = Entry::of(&agent).begin(call("r-1", "POST", "/orders?part=3"));

        let mut arrived = service.next().await;
        arrived.head(status, Some(5)).bytes("hello".into()).end();
        let answer = dispatch.await;

        assert_eq!(
            (arrived.method.as_str(), arrived.path.as_str()),
            ("POST", "/orders")
        );
        assert_eq!(arrived.idempotency_key.as_deref(), Some("key-r-1"));
        assert_eq!(arrived.request_id, "r-1");
        assert_eq!((answer.status, answer.is_whole), (200, true));
        assert_eq!(answer.upstream_status, Some(status.to_string()));
        assert_eq!(answer.body, "hello");
    });
}

fn crossed(arrived: &mut Arrived) {
    arrived.answer_id = "other".into();
    arrived.head(200, Some(5)).bytes("hello".into()).end();
}

fn truncated(arrived: &mut Arrived) {
    arrived.head(200, Some(9)).bytes("hello".into()).cut();
}

fn no_length(arrived: &mut Arrived) {
    arrived.head(200, None).bytes("hello".into()).end();
}

fn cut(arrived: &mut Arrived) {
    arrived.head(200, Some(5)).cut();
}

#[rstest]
#[case::crossed(crossed)]
#[case::truncated(truncated)]
#[case::no_length(no_length)]
#[case::cut(cut)]
fn an_answer_that_is_not_own_and_whole_is_refused(#[case] fault: fn(&mut Arrived)) {
    smol::block_on(async {
        let (service, agent) = service_and_agent(4).await;
        let entry = Entry::of(&agent);
        let dispatch = entry.begin(call("r-1", "POST", "/orders"));

        fault(&mut service.next().await);
        let answer = dispatch.await;

        assert_eq!(answer.status, 502);
        assert_eq!(answer.error().error.verdict, Verdict::MayHaveRun);
        entry.until_load(0, 0).await;
    });
}

#[test]
fn a_call_that_must_not_be_repeated_runs_to_its_end_without_its_caller() {
    smol::block_on(async {
        let (service, agent) = service_and_agent(4).await;
        let entry = Entry::of(&agent);
        let meta = rpc::DispatchMeta {
            idempotent: false,
            ..call("r-1", "POST", "/orders")
        };
        let dispatch = entry.begin(meta);
        let mut arrived = service.next().await;

        drop(dispatch);
        entry.until_load(1, 0).await;
        smol::Timer::after(std::time::Duration::from_millis(200)).await;
        entry.until_load(1, 0).await;
        arrived.head(200, Some(2)).bytes("ok".into()).end();

        entry.until_load(0, 0).await;
    });
}

#[test]
fn a_repeatable_call_is_given_up_with_its_caller() {
    smol::block_on(async {
        let (service, agent) = service_and_agent(4).await;
        let entry = Entry::of(&agent);
        let dispatch = entry.begin(call("r-1", "GET", "/history"));
        let _arrived = service.next().await;

        drop(dispatch);

        entry.until_load(0, 0).await;
    });
}
