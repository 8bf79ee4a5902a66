//! Calls between two processes, over loopback.

use std::{io::Read, net::TcpListener, sync::Arc, time::Duration};

use rpc::{
    methods::{Drain, GetStatus, RpcResponse, Status},
    CallError, Client, MethodError, Methods, PeerSecrets,
};
use types::{Generation, Verdict};

const SECRET: &str = "a-secret-of-many-bytes";
const PREVIOUS: &str = "the-secret-from-before";
const PATIENCE: Duration = Duration::from_secs(10);

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

/// Serves `status`, and a `drain` that always fails; returns the address.
async fn server() -> String {
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
    info.tcp_socket_addr().expect("it is bound").to_string()
}

#[test]
fn a_call_is_answered_with_sender_and_generation() {
    smol::block_on(async {
        let addr = server().await;

        let answered = client(SECRET)
            .call::<GetStatus>(&addr, Generation(1), (), PATIENCE)
            .await
            .expect("it answers");

        assert_eq!(answered.generation, Generation(7));
        assert_eq!(answered.answer.in_flight, 3);
    });
}

#[rstest::rstest]
#[case::current(SECRET, true)]
#[case::previous(PREVIOUS, true)]
#[case::other("a-secret-of-many-bytez", false)]
#[case::prefix("a-secret", false)]
#[case::empty("", false)]
fn only_callers_with_the_secret_are_served(#[case] secret: &str, #[case] served: bool) {
    smol::block_on(async {
        let addr = server().await;

        let result = client(secret)
            .call::<GetStatus>(&addr, Generation(1), (), PATIENCE)
            .await;

        assert_eq!(result.is_ok(), served);
        if let Err(error) = result {
            assert_eq!(error.verdict(), Verdict::NotRun);
            assert!(!format!("{error:?} {error}").contains(SECRET));
        }
    });
}

#[test]
fn a_method_that_fails_tells_why() {
    smol::block_on(async {
        let addr = server().await;

        let result = client(SECRET)
            .call::<Drain>(&addr, Generation(1), (), PATIENCE)
            .await;

        let Err(CallError::Refused { reason, .. }) = result else {
            panic!("expected a refusal");
        };
        assert_eq!(reason, "not now");
    });
}

#[test]
fn a_peer_that_is_not_there_has_not_run_the_call() {
    smol::block_on(async {
        let closed = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = closed.local_addr().expect("bound").to_string();
        drop(closed);

        let error = client(SECRET)
            .call::<GetStatus>(&addr, Generation(1), (), PATIENCE)
            .await
            .expect_err("nobody listens");

        assert_eq!(error.verdict(), Verdict::NotRun);
    });
}

#[rstest::rstest]
#[case::silent(false)]
#[case::hangs_up(true)]
fn a_peer_that_took_the_call_and_did_not_answer_may_have_run_it(#[case] hangs_up: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("bound").to_string();
    let peer = std::thread::spawn(move || {
        let (mut socket, _) = listener.accept().expect("a caller");
        let mut first_bytes = [0; 16];
        socket.read_exact(&mut first_bytes).expect("a request");
        (!hangs_up).then_some(socket)
    });

    let error = smol::block_on(client(SECRET).call::<GetStatus>(
        &addr,
        Generation(1),
        (),
        Duration::from_millis(300),
    ))
    .expect_err("no answer");

    assert_eq!(error.verdict(), Verdict::MayHaveRun);
    drop(peer.join());
}
