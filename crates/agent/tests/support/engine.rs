//! A fake upstream that passes each received request to the test, which
//! controls the response.

use std::{
    collections::VecDeque,
    io,
    pin::Pin,
    task::{ready, Context, Poll},
    time::Duration,
};

use futures_lite::{AsyncRead, Stream};
use serde_json::{json, Value};
use smol::channel::{unbounded, Receiver, Sender};
use trillium::{Body, Conn, Method, Status};
use trillium_server_common::ServerHandle;

use super::with_timeout;

/// Part of a response body.
pub enum Part {
    /// Bytes to send.
    Bytes(Vec<u8>),
    /// Breaks the connection instead of ending the body.
    Break,
}

/// A request received by the fake upstream, with control over its response.
pub struct ReceivedRequest {
    pub method: String,
    pub path: String,
    pub request_id: String,
    pub idempotency_key: Option<String>,
    pub body: Value,
    pub client_ip: String,
    head: Sender<Head>,
    parts: Sender<Part>,
    /// Request id to send in the response head and events.
    pub response_id: String,
    next_index: u32,
}

struct Head {
    status: u16,
    request_id: String,
    length: Option<u64>,
    parts: Receiver<Part>,
}

pub struct FakeEngine {
    pub addr: String,
    pub requests: Receiver<ReceivedRequest>,
    pub cancelled: Receiver<String>,
    server: ServerHandle,
}

impl FakeEngine {
    pub async fn start() -> Self {
        Self::start_at("127.0.0.1:0").await
    }

    pub async fn start_at(addr: &str) -> Self {
        let (request_tx, requests) = unbounded();
        let (cancelled_tx, cancelled) = unbounded();
        let listener = smol::net::TcpListener::bind(addr).await.unwrap();
        let addr = listener.local_addr().unwrap().to_string();
        let server = trillium_smol::config()
            .without_signals()
            .with_nodelay()
            .with_prebound_server(listener)
            .spawn(move |conn: Conn| {
                let (requests, cancelled) = (request_tx.clone(), cancelled_tx.clone());
                async move { serve(conn, requests, cancelled).await }
            });
        Self {
            addr,
            requests,
            cancelled,
            server,
        }
    }

    /// Returns the next received request.
    pub async fn next_request(&self) -> ReceivedRequest {
        with_timeout("a request at the upstream", self.requests.recv())
            .await
            .unwrap()
    }

    /// Returns the id of the next cancelled request.
    pub async fn next_cancel(&self) -> String {
        with_timeout("a cancel at the upstream", self.cancelled.recv())
            .await
            .unwrap()
    }

    /// Waits for 100 ms; returns whether no request has arrived.
    pub async fn is_idle(&self) -> bool {
        smol::Timer::after(Duration::from_millis(100)).await;
        self.requests.is_empty()
    }

    /// Simulates a crash: closes the listener, then breaks the connections of
    /// the given responses.
    pub async fn crash(&self, requests: &mut [&mut ReceivedRequest]) {
        let stopping = self.server.shut_down();
        with_timeout("the listener to close", async {
            while smol::net::TcpStream::connect(&self.addr).await.is_ok() {
                smol::Timer::after(Duration::from_millis(2)).await;
            }
        })
        .await;
        for request in requests {
            request.break_connection();
        }
        drop(stopping);
    }

    /// Closes the listener and all idle connections.
    pub async fn stop(&self) {
        with_timeout("the end of the fake engine", async {
            self.server.shut_down().await;
        })
        .await;
    }
}

impl ReceivedRequest {
    pub fn resume_from(&self) -> u32 {
        self.body["resume_from"].as_u64().unwrap() as u32
    }

    /// Begins a streamed response.
    pub fn begin_stream(&mut self) -> &mut Self {
        self.next_index = self.body["resume_from"].as_u64().unwrap_or(0) as u32;
        self.head(200, None);
        self
    }

    /// Sends the response head; `length` is the content-length, if any.
    pub fn head(&mut self, status: u16, length: Option<u64>) -> &mut Self {
        let (sender, parts) = unbounded();
        self.parts = sender;
        let head = Head {
            status,
            request_id: self.response_id.clone(),
            length,
            parts,
        };
        self.head.try_send(head).ok();
        self
    }

    pub fn token(&mut self) -> &mut Self {
        let event = token_event(&self.response_id, self.next_index);
        self.next_index += 1;
        self.bytes(event)
    }

    pub fn tokens(&mut self, count: u32) -> &mut Self {
        for _ in 0..count {
            self.token();
        }
        self
    }

    /// Leaves out the next token.
    pub fn skip_token(&mut self) -> &mut Self {
        self.next_index += 1;
        self
    }

    pub fn usage(&mut self) -> &mut Self {
        let event = usage_event(&self.response_id, self.next_index);
        self.bytes(event)
    }

    pub fn done(&mut self) -> &mut Self {
        self.bytes("data: [DONE]\n\n".into())
    }

    pub fn bytes(&mut self, text: String) -> &mut Self {
        self.parts.try_send(Part::Bytes(text.into_bytes())).ok();
        self
    }

    /// Ends the response and keeps the connection open.
    pub fn end(&mut self) {
        self.parts.close();
    }

    /// Breaks the connection during the response.
    pub fn break_connection(&mut self) {
        self.parts.try_send(Part::Break).ok();
    }

    /// Sends a complete response with `tokens` tokens.
    pub fn respond(&mut self, tokens: u32) {
        self.begin_stream().tokens(tokens).usage().done().end();
    }

    /// Waits until the client has closed the connection of this response.
    pub async fn wait_until_closed(&mut self) {
        with_timeout("the upstream connection to be closed", async {
            while !self.parts.is_closed() {
                self.token();
                smol::Timer::after(Duration::from_millis(2)).await;
            }
        })
        .await;
    }
}

pub fn token_event(id: &str, index: u32) -> String {
    let choices =
        json!([{"index": 0, "delta": {"content": format!("w{index} ")}, "finish_reason": null}]);
    let event = json!({"id": id, "object": "chat.completion.chunk", "model": "m", "token_index": index, "choices": choices});
    format!("data: {event}\n\n")
}

pub fn usage_event(id: &str, count: u32) -> String {
    let choices = json!([{"index": 0, "delta": {}, "finish_reason": "stop"}]);
    let usage = json!({"prompt_tokens": 3, "completion_tokens": count, "total_tokens": count + 3});
    let event = json!({"id": id, "object": "chat.completion.chunk", "model": "m", "choices": choices, "usage": usage});
    format!("data: {event}\n\n")
}

async fn serve(
    mut conn: Conn,
    requests: Sender<ReceivedRequest>,
    cancelled: Sender<String>,
) -> Conn {
    let text = conn.request_body().read_string().await.unwrap_or_default();
    let body: Value = serde_json::from_str(&text).unwrap_or(Value::Null);
    let header = |name: &'static str| conn.request_headers().get_str(name).map(str::to_string);
    let request_id = header("x-request-id").unwrap_or_default();
    let idempotency_key = header("idempotency-key");
    if conn.method() == Method::Post && conn.path() == "/cancel" {
        let id = body["request_id"].as_str().unwrap_or_default().to_string();
        cancelled.send(id).await.ok();
        return conn
            .ok("{}")
            .with_response_header("x-request-id", request_id);
    }
    let (head_tx, head) = unbounded();
    let (parts, _) = unbounded();
    let request = ReceivedRequest {
        method: conn.method().to_string(),
        path: conn.path().to_string(),
        response_id: request_id.clone(),
        client_ip: conn.peer_ip().map(|ip| ip.to_string()).unwrap_or_default(),
        request_id,
        idempotency_key,
        body,
        head: head_tx,
        parts,
        next_index: 0,
    };
    requests.send(request).await.ok();
    let received: Result<Head, _> = head.recv().await;
    let Ok(head) = received else {
        return conn.with_status(Status::ServiceUnavailable).halt();
    };
    conn.with_status(head.status)
        .with_response_header("x-request-id", head.request_id)
        .with_response_header("content-type", "text/event-stream")
        .with_body(Body::new_streaming(
            PartReader {
                parts: Box::pin(head.parts),
                buffered: VecDeque::new(),
            },
            head.length,
        ))
        .halt()
}

struct PartReader {
    parts: Pin<Box<Receiver<Part>>>,
    buffered: VecDeque<u8>,
}

impl AsyncRead for PartReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        target: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.buffered.is_empty() {
            match ready!(self.parts.as_mut().poll_next(cx)) {
                Some(Part::Bytes(bytes)) => self.buffered.extend(bytes),
                Some(Part::Break) => {
                    return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
                }
                None => return Poll::Ready(Ok(0)),
            }
        }
        let count = self.buffered.len().min(target.len());
        for (slot, byte) in target.iter_mut().zip(self.buffered.drain(..count)) {
            *slot = byte;
        }
        Poll::Ready(Ok(count))
    }
}
