//! A fake agent whose reactions to dispatches are scripted by the test.

use std::{
    collections::VecDeque,
    future::Future,
    io,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll},
    time::Duration,
};

use futures_lite::AsyncRead;
use policy::{
    quarantine::Evidence,
    schedule::{LoadReport, Recall},
};
use rpc::{
    methods::{
        ExchangeEvidence, GetStatus, RecallRequest, RecallResponse, RpcResponse,
        Status as ProcessStatus,
    },
    DispatchMeta, DispatchReply, Methods, DISPATCH_HEADER, DISPATCH_PATH, REPLY_HEADER,
};
use serde_json::json;
use trillium::{Body, Conn, Status};
use trillium_router::Router;
use trillium_server_common::ServerHandle;
use types::{ErrorBody, ErrorCode, Generation, Verdict};

/// Reaction of the fake agent to one dispatch.
#[derive(Clone, Debug)]
pub enum Reaction {
    /// Answers with status 200 and a body in pieces.
    Respond(Vec<Piece>),
    /// Like `Respond`, but sends the head only after this many milliseconds.
    RespondAfter(u64, Vec<Piece>),
    /// Refuses with an error body.
    Refuse(ErrorCode, Verdict),
    /// Answers 502 with a body that is not an [`ErrorBody`].
    Garbage,
    /// Closes the connection before sending the announced body.
    Disconnect,
    /// Keeps the connection open and never sends a head.
    Silent,
    /// Sends the pieces and then stops responding, also to recalls and status
    /// calls.
    Freeze(Vec<Piece>),
}

/// One step in sending a response's body.
#[derive(Clone, Debug)]
pub enum Piece {
    Bytes(Vec<u8>),
    WaitMs(u64),
    /// Closes the connection before the end of the chunked body.
    Disconnect,
    /// Keeps the connection open and sends nothing more.
    Hang,
}

/// Reactions to the next dispatches, in order. After them, dispatches get a
/// complete response.
type Script = Arc<Mutex<VecDeque<Reaction>>>;

#[derive(Default)]
struct State {
    reactions: Script,
    dispatches: Vec<(DispatchMeta, Vec<u8>)>,
    recalls: Vec<String>,
    recall: Option<Recall>,
    leaving: bool,
    unresponsive: bool,
    dropped_bodies: u32,
    evidence: Vec<Evidence>,
}

pub struct FakeAgent {
    pub name: String,
    pub addr: String,
    state: Arc<Mutex<State>>,
    _server: ServerHandle,
}

impl FakeAgent {
    pub async fn start(name: &str, reactions: Vec<Reaction>) -> Self {
        Self::start_with(name, Arc::new(Mutex::new(reactions.into()))).await
    }

    /// Starts `count` agents that share one script: the first reaction applies to
    /// the first dispatch to any of them.
    pub async fn group(count: usize, reactions: Vec<Reaction>) -> Vec<Self> {
        let script: Script = Arc::new(Mutex::new(reactions.into()));
        let mut agents = Vec::new();
        for number in 1..=count {
            agents.push(Self::start_with(&format!("a-{number}"), script.clone()).await);
        }
        agents
    }

    async fn start_with(name: &str, reactions: Script) -> Self {
        let state = Arc::new(Mutex::new(State {
            reactions,
            recall: Some(Recall::Recalled),
            ..State::default()
        }));
        let agent_name = name.to_owned();
        let dispatch_state = state.clone();
        let dispatch = move |conn: Conn| {
            let state = dispatch_state.clone();
            let agent_name = agent_name.clone();
            async move { handle_dispatch(conn, state, &agent_name).await }
        };
        let router = Router::new()
            .post(DISPATCH_PATH, dispatch)
            .post(rpc::RPC_PATH, methods(state.clone(), name));
        let server = trillium_smol::config()
            .with_host("127.0.0.1")
            .with_port(0)
            .without_signals()
            .with_nodelay()
            .spawn(router);
        let addr = server.info().await.tcp_socket_addr().unwrap().to_string();
        Self {
            name: name.into(),
            addr,
            state,
            _server: server,
        }
    }

    pub fn instance(&self, upstream: &str) -> store::Instance {
        super::instance(&self.name, upstream, &self.addr)
    }

    pub fn dispatches(&self) -> Vec<(DispatchMeta, Vec<u8>)> {
        self.state.lock().unwrap().dispatches.clone()
    }

    pub fn recalls(&self) -> Vec<String> {
        self.state.lock().unwrap().recalls.clone()
    }

    /// Sets the result of recalls; with `None`, the agent never responds to them.
    pub fn set_recall_result(&self, recall: Option<Recall>) {
        self.state.lock().unwrap().recall = recall;
    }

    /// Sets the evidence that the agent returns in each exchange.
    pub fn set_evidence(&self, evidence: Vec<Evidence>) {
        self.state.lock().unwrap().evidence = evidence;
    }

    pub fn announce_leaving(&self) {
        self.state.lock().unwrap().leaving = true;
    }

    pub fn retract_leaving(&self) {
        self.state.lock().unwrap().leaving = false;
    }

    /// Returns the number of bodies that were dropped before their end, as after a
    /// disconnect.
    pub fn dropped_bodies(&self) -> u32 {
        self.state.lock().unwrap().dropped_bodies
    }
}

fn methods(state: Arc<Mutex<State>>, name: &str) -> impl trillium::Handler {
    let recall_name = name.to_owned();
    let status_name = name.to_owned();
    let evidence_name = name.to_owned();
    Methods::new(state)
        .with::<RecallRequest, _, _>(move |call, state| {
            let sender = recall_name.as_str().into();
            async move {
                let recall = {
                    let mut state = state.lock().unwrap();
                    state.recalls.push(call.params.request_id.to_string());
                    state.recall
                };
                let Some(recall) = recall else {
                    return wait_forever().await;
                };
                Ok(RpcResponse {
                    sender,
                    generation: Generation(1),
                    answer: RecallResponse { recall },
                })
            }
        })
        .with::<GetStatus, _, _>(move |_call, state| {
            let sender: types::InstanceId = status_name.as_str().into();
            async move {
                if state.lock().unwrap().unresponsive {
                    return wait_forever().await;
                }
                Ok(RpcResponse {
                    sender: sender.clone(),
                    generation: Generation(1),
                    answer: ProcessStatus {
                        instance: sender,
                        role: "agent".into(),
                        generation: Generation(1),
                        draining: false,
                        in_flight: 0,
                        load: None,
                        upstreams: Vec::new(),
                        membership_age_ms: 0,
                    },
                })
            }
        })
        .with::<ExchangeEvidence, _, _>(move |_call, state| {
            let sender: types::InstanceId = evidence_name.as_str().into();
            async move {
                Ok(RpcResponse {
                    sender,
                    generation: Generation(1),
                    answer: state.lock().unwrap().evidence.clone(),
                })
            }
        })
        .into_handler(super::secrets())
}

/// Never resolves. The timer keeps the task alive: the executor drops a task
/// without a waker, which would close its connection.
async fn wait_forever<T>() -> T {
    loop {
        smol::Timer::after(std::time::Duration::from_secs(3_600)).await;
    }
}

async fn handle_dispatch(mut conn: Conn, state: Arc<Mutex<State>>, name: &str) -> Conn {
    let secrets = super::secrets();
    if !rpc::is_from_peer(&conn, &secrets) {
        return rpc::reject_unauthenticated(conn);
    }
    let header = conn.request_headers().get_str(DISPATCH_HEADER).unwrap();
    let meta: DispatchMeta = serde_json::from_str(header).unwrap();
    let body = conn.request_body().read_bytes().await.unwrap();
    let resume_from = meta.resume_from;
    let request_id = meta.request_id.to_string();
    let (reaction, leaving) = {
        let mut state = state.lock().unwrap();
        state.dispatches.push((meta, body));
        let reaction = state.reactions.lock().unwrap().pop_front();
        let default_reaction = || Reaction::Respond(complete_response(&request_id, resume_from, 8));
        (reaction.unwrap_or_else(default_reaction), state.leaving)
    };
    let reply = DispatchReply {
        sender: name.into(),
        generation: Generation(1),
        load: LoadReport::default(),
        leaving,
    };
    let conn = conn.with_response_header(REPLY_HEADER, serde_json::to_string(&reply).unwrap());
    let reaction = match reaction {
        Reaction::RespondAfter(wait_ms, pieces) => {
            smol::Timer::after(Duration::from_millis(wait_ms)).await;
            Reaction::Respond(pieces)
        }
        other => other,
    };
    match reaction {
        Reaction::RespondAfter(..) => unreachable!("replaced by `Respond` above"),
        Reaction::Respond(pieces) => conn
            .with_status(Status::Ok)
            .with_response_header("content-type", "text/event-stream")
            .with_body(Body::new_streaming(Pieces::new(pieces, state), None))
            .halt(),
        Reaction::Refuse(code, verdict) => {
            let error = ErrorBody::new(code, verdict, "as scripted");
            conn.with_status(Status::try_from(code.http_status()).unwrap())
                .with_body(serde_json::to_string(&error).unwrap())
                .halt()
        }
        Reaction::Garbage => conn
            .with_status(Status::BadGateway)
            .with_body("<html>")
            .halt(),
        Reaction::Disconnect => conn
            .with_status(Status::Ok)
            .with_response_header("content-length", "1000000")
            .with_body(Body::new_streaming(
                Pieces::new(vec![Piece::Disconnect], state),
                Some(1_000_000),
            ))
            .halt(),
        Reaction::Silent => wait_forever().await,
        Reaction::Freeze(pieces) => {
            {
                let mut state = state.lock().unwrap();
                state.unresponsive = true;
                state.recall = None;
            }
            if pieces.is_empty() {
                return wait_forever().await;
            }
            let hanging = pieces.into_iter().chain([Piece::Hang]).collect();
            conn.with_status(Status::Ok)
                .with_body(Body::new_streaming(Pieces::new(hanging, state), None))
                .halt()
        }
    }
}

/// Returns the event of one token.
pub fn token(request_id: &str, index: u32) -> Vec<u8> {
    let event = json!({
        "id": request_id,
        "object": "chat.completion.chunk",
        "model": "m",
        "token_index": index,
        "choices": [{"index": 0, "delta": {"content": format!("w{index} ")}, "finish_reason": null}],
    });
    format!("data: {event}\n\n").into_bytes()
}

/// Returns the finishing event and terminator of a response of `count` tokens.
pub fn ending(request_id: &str, count: u32) -> Vec<u8> {
    let event = json!({
        "id": request_id,
        "object": "chat.completion.chunk",
        "model": "m",
        "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        "usage": {"prompt_tokens": 3, "completion_tokens": count, "total_tokens": count + 3},
    });
    format!("data: {event}\n\ndata: [DONE]\n\n").into_bytes()
}

/// Returns tokens `from..until`, one piece per token.
pub fn tokens(request_id: &str, from: u32, until: u32) -> Vec<Piece> {
    (from..until)
        .map(|index| Piece::Bytes(token(request_id, index)))
        .collect()
}

/// Returns the rest of a response of `count` tokens, from token `from` on.
pub fn complete_response(request_id: &str, from: u32, count: u32) -> Vec<Piece> {
    let mut pieces = tokens(request_id, from, count);
    pieces.push(Piece::Bytes(ending(request_id, count)));
    pieces
}

struct Pieces {
    remaining: VecDeque<Piece>,
    wait: Option<smol::Timer>,
    state: Arc<Mutex<State>>,
    ended: bool,
    flushed: bool,
}

impl Pieces {
    fn new(pieces: Vec<Piece>, state: Arc<Mutex<State>>) -> Self {
        Self {
            remaining: pieces.into(),
            wait: None,
            state,
            ended: false,
            flushed: false,
        }
    }
}

impl Drop for Pieces {
    fn drop(&mut self) {
        if !self.ended {
            self.state.lock().unwrap().dropped_bodies += 1;
        }
    }
}

impl AsyncRead for Pieces {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            if let Some(wait) = &mut self.wait {
                if Pin::new(wait).poll(cx).is_pending() {
                    return Poll::Pending;
                }
                self.wait = None;
            }
            match self.remaining.pop_front() {
                None => {
                    self.ended = true;
                    return Poll::Ready(Ok(0));
                }
                Some(Piece::Bytes(mut bytes)) => {
                    let count = bytes.len().min(buf.len());
                    buf[..count].copy_from_slice(&bytes[..count]);
                    if count < bytes.len() {
                        let rest = bytes.split_off(count);
                        self.remaining.push_front(Piece::Bytes(rest));
                    }
                    return Poll::Ready(Ok(count));
                }
                Some(Piece::WaitMs(wait_ms)) => {
                    self.wait = Some(smol::Timer::after(Duration::from_millis(wait_ms)));
                }
                Some(Piece::Disconnect) if !self.flushed => {
                    // Lets the server flush earlier pieces before the error.
                    self.flushed = true;
                    self.remaining.push_front(Piece::Disconnect);
                    cx.waker().wake_by_ref();
                    return Poll::Pending;
                }
                Some(Piece::Disconnect) => {
                    self.ended = true;
                    return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
                }
                Some(Piece::Hang) => {
                    // The timer keeps the task alive, as in `wait_forever`.
                    self.remaining.push_front(Piece::Hang);
                    self.wait = Some(smol::Timer::after(Duration::from_secs(3_600)));
                }
            }
        }
    }
}
