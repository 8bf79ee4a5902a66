//! Calls between two processes over the loopback interface.

use std::{io::Read, net::TcpListener, sync::Arc, time::Duration};

use rpc::{
    methods::{Drain, GetStatus, RpcResponse, Status},
    CallError, Client, MethodError, Methods, PeerSecrets,
};
use types::{Generation, Verdict};

const SECRET: &str = "a-secret-of-many-bytes";
const PREVIOUS: &str = "the-secret-from-before";
/// Timeout of calls that are expected to succeed or fail at once.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

fn secrets(current: &str, previous: Option<&str>) -> Arc<PeerSecrets> {
    Arc::new(PeerSecrets::new(current, previous.map(Arc::from)))
}

fn client(secret: &str) -> Client {
    Client::new("caller".into(), secrets(secret, None))
}

fn status() -> Status {
    Status {
        instance: "server".into(),
        role: "agent".into(),
        generation: Generation(7),
        draining: false,
        in_flight: 3,
        load: None,
        upstreams: Vec::new(),
        membership_age_ms: 0,
    }
}

/// Starts a server with the method `status` and a failing `drain`; returns its
/// address.
async fn start_server() -> String {
    let methods = Methods::new(status())
        .with::<GetStatus, _, _>(|call, state| async move {
            assert_eq!(call.sender.as_str(), "caller");
            Ok(RpcResponse {
                sender: state.instance.clone(),
                generation: state.generation,
                answer: Status::clone(&state),
            })
        })
        .with::<Drain, _, _>(|_call, _state| async move { Err(MethodError("not now".into())) });
    let handle = trillium_smol::config()
        .with_host("127.0.0.1")
        .with_port(0)
        .without_signals()
        .with_nodelay()
        .spawn(methods.into_handler(secrets(SECRET, Some(PREVIOUS))));
    let info = handle.info().await;
    info.tcp_socket_addr()
        .expect("the server has a TCP address")
        .to_string()
}

#[test]
fn call_returns_result_and_generation_of_server() {
    smol::block_on(async {
        let addr = start_server().await;

        let response = client(SECRET)
            .call::<GetStatus>(&addr, Generation(1), (), CALL_TIMEOUT)
            .await
            .expect("the call succeeds");

        assert_eq!(response.generation, Generation(7));
        assert_eq!(response.answer.in_flight, 3);
    });
}

#[rstest::rstest]
#[case::current(SECRET, true)]
#[case::previous(PREVIOUS, true)]
#[case::other("a-secret-of-many-bytez", false)]
#[case::prefix("a-secret", false)]
#[case::empty("", false)]
fn only_calls_with_accepted_secret_are_served(#[case] secret: &str, #[case] served: bool) {
    smol::block_on(async {
        let addr = start_server().await;

        let result = client(secret)
            .call::<GetStatus>(&addr, Generation(1), (), CALL_TIMEOUT)
            .await;

        assert_eq!(result.is_ok(), served);
        if let Err(error) = result {
            assert_eq!(error.verdict(), Verdict::NotRun);
            assert!(!format!("{error:?} {error}").contains(SECRET));
        }
    });
}

#[test]
fn error_of_failed_method_is_returned_to_caller() {
    smol::block_on(async {
        let addr = start_server().await;

        let result = client(SECRET)
            .call::<Drain>(&addr, Generation(1), (), CALL_TIMEOUT)
            .await;

        let Err(CallError::Refused { reason, .. }) = result else {
            panic!("expected CallError::Refused");
        };
        assert_eq!(reason, "not now");
    });
}

#[test]
fn refused_connection_is_reported_as_not_run() {
    smol::block_on(async {
        let closed = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = closed
            .local_addr()
            .expect("the listener is bound")
            .to_string();
        drop(closed);

        let error = client(SECRET)
            .call::<GetStatus>(&addr, Generation(1), (), CALL_TIMEOUT)
            .await
            .expect_err("the port is closed");

        assert_eq!(error.verdict(), Verdict::NotRun);
    });
}

#[rstest::rstest]
#[case::timeout(false)]
#[case::connection_closed(true)]
fn missing_response_is_reported_as_may_have_run(#[case] closes_connection: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener
        .local_addr()
        .expect("the listener is bound")
        .to_string();
    let peer = std::thread::spawn(move || {
        let (mut socket, _) = listener.accept().expect("the client connects");
        let mut first_bytes = [0; 16];
        socket
            .read_exact(&mut first_bytes)
            .expect("the client sends a request");
        (!closes_connection).then_some(socket)
    });

    let error = smol::block_on(client(SECRET).call::<GetStatus>(
        &addr,
        Generation(1),
        (),
        Duration::from_millis(300),
    ))
    .expect_err("the peer does not respond");

    assert_eq!(error.verdict(), Verdict::MayHaveRun);
    drop(peer.join());
}
