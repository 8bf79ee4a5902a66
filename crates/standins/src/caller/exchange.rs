//! Sends requests and reads their answers.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures_lite::{AsyncReadExt, FutureExt};
use serde_json::json;
use trillium_client::{Client, Conn, Method};
use trillium_http::Upgrade;
use trillium_server_common::Transport;
use trillium_smol::ClientConfig;
use types::ErrorBody;

use super::{
    check::{check_whole, StreamCheck},
    Outcome, Reply,
};
use crate::{
    completion::{prompt_text, Completion, Message},
    service::expected_body,
};

/// Bytes read from a streamed answer at once.
const READ_BYTES: usize = 16 << 10;

/// Patience of a caller that does not set one.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(30);

/// A chat completion to ask for.
#[derive(Clone, Debug)]
pub struct ChatRequest {
    /// The user's message. `[len=250]` in it sets the answer's length.
    pub prompt: String,
    /// The model.
    pub model: String,
    /// Whether tokens are streamed.
    pub stream: bool,
    /// Bound on the answer, in tokens.
    pub max_tokens: Option<u32>,
    /// The class asked for; the team's default if absent.
    pub class: Option<String>,
    /// The request id; a unique one if absent.
    pub request_id: Option<String>,
}

impl ChatRequest {
    /// A streamed question to the model `advice`.
    pub fn streamed(prompt: impl Into<String>) -> Self {
        Self {
            prompt: prompt.into(),
            model: "advice".into(),
            stream: true,
            max_tokens: None,
            class: None,
            request_id: None,
        }
    }

    /// A question to the model `advice` whose answer comes in one piece.
    pub fn buffered(prompt: impl Into<String>) -> Self {
        Self {
            stream: false,
            ..Self::streamed(prompt)
        }
    }

    /// Asks for a class.
    pub fn with_class(mut self, class: impl Into<String>) -> Self {
        self.class = Some(class.into());
        self
    }

    /// The answer that is right.
    pub fn expected_completion(&self) -> Completion {
        let message = Message {
            role: "user".into(),
            content: self.prompt.as_str().into(),
        };
        Completion::for_prompt(&prompt_text(&[message]), self.max_tokens)
    }
}

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: String,
    /// Public route, as in `/services/<route>/`.
    pub route: String,
    /// Path below the route, from the slash on.
    pub path: String,
    /// The body.
    pub body: String,
    /// The `idempotency-key`, if any.
    pub idempotency_key: Option<String>,
    /// The class asked for; the team's default if absent.
    pub class: Option<String>,
}

impl ServiceCall {
    /// A POST that must not run twice.
    pub fn at_most_once(route: &str, path: &str, body: &str, idempotency_key: &str) -> Self {
        Self {
            method: "POST".into(),
            route: route.into(),
            path: path.into(),
            body: body.into(),
            idempotency_key: Some(idempotency_key.into()),
            class: None,
        }
    }

    /// A GET.
    pub fn read(route: &str, path: &str) -> Self {
        Self {
            method: "GET".into(),
            route: route.into(),
            path: path.into(),
            body: String::new(),
            idempotency_key: None,
            class: None,
        }
    }
}

/// A caller at one entry. Cheap to clone; clones share connections.
#[derive(Clone, Debug)]
pub struct Caller {
    http: Client,
    addr: Arc<str>,
    api_key: Arc<str>,
    patience: Duration,
}

impl Caller {
    /// A caller at `addr` (`IP:port`) with an API key.
    pub fn new(addr: &str, api_key: &str) -> Self {
        Self {
            http: Client::new(ClientConfig::default().with_nodelay(true)),
            addr: addr.into(),
            api_key: api_key.into(),
            patience: DEFAULT_PATIENCE,
        }
    }

    /// Sets how long the caller waits for a whole answer.
    pub fn with_timeout(mut self, patience: Duration) -> Self {
        self.patience = patience;
        self
    }

    /// The same caller, with its connections, at another entry.
    pub fn with_addr(&self, addr: &str) -> Self {
        Self {
            addr: addr.into(),
            ..self.clone()
        }
    }

    /// The same caller, with its connections, with another API key.
    pub fn with_key(&self, api_key: &str) -> Self {
        Self {
            api_key: api_key.into(),
            ..self.clone()
        }
    }

    /// Asks a question and checks the answer.
    pub async fn chat(&self, request: &ChatRequest) -> Reply {
        let request_id = request.request_id.clone().unwrap_or_else(unique_id);
        let mut body = json!({
            "model": request.model,
            "messages": [{"role": "user", "content": request.prompt}],
            "stream": request.stream,
        });
        if let Some(max_tokens) = request.max_tokens {
            body["max_tokens"] = max_tokens.into();
        }
        let mut conn = self
            .conn(Method::Post, "/v1/chat/completions", &request_id)
            .with_request_header("content-type", "application/json")
            .with_body(body.to_string());
        if let Some(class) = &request.class {
            conn = conn.with_request_header("limpetgw-class", class.clone());
        }
        let mut progress = Progress::new(request.expected_completion(), request_id.clone());
        let started = progress.started;
        let outcome = match request.stream {
            true => self.patiently(progress.stream(conn)).await,
            false => self.patiently(progress.whole(conn)).await,
        };
        let outcome = outcome.unwrap_or(Outcome::TimedOut {
            tokens: progress.tokens(),
        });
        Reply {
            outcome,
            request_id,
            body: progress.body,
            time_to_first_token: progress.time_to_first_token,
            total: started.elapsed(),
        }
    }

    /// Calls a plain service and checks the answer.
    pub async fn call(&self, call: &ServiceCall) -> Reply {
        let request_id = unique_id();
        let method = call.method.parse().unwrap_or(Method::Post);
        let path = format!("/services/{}{}", call.route, call.path);
        let mut conn = self.conn(method, &path, &request_id);
        if !call.body.is_empty() {
            conn = conn
                .with_request_header("content-type", "application/json")
                .with_body(call.body.clone());
        }
        if let Some(key) = &call.idempotency_key {
            conn = conn.with_request_header("idempotency-key", key.clone());
        }
        if let Some(class) = &call.class {
            conn = conn.with_request_header("limpetgw-class", class.clone());
        }
        let mut progress = Progress::new(Completion::for_prompt("", None), request_id.clone());
        let started = progress.started;
        let outcome = self.patiently(progress.call(conn, call)).await;
        Reply {
            outcome: outcome.unwrap_or(Outcome::TimedOut { tokens: 0 }),
            request_id,
            body: progress.body,
            time_to_first_token: progress.time_to_first_token,
            total: started.elapsed(),
        }
    }

    fn conn(&self, method: Method, path: &str, request_id: &str) -> Conn {
        self.http
            .build_conn(method, format!("http://{}{path}", self.addr))
            .with_request_header("authorization", format!("Bearer {}", self.api_key))
            .with_request_header("x-request-id", request_id.to_string())
    }

    async fn patiently<T>(&self, work: impl std::future::Future<Output = T>) -> Option<T> {
        let late = async {
            smol::Timer::after(self.patience).await;
            None
        };
        async { Some(work.await) }.or(late).await
    }
}

/// A connection with an answer on it. If the answer is given up, the
/// connection is closed: the client library would read the rest in the
/// background, and nobody would notice that the caller has gone.
struct Closing(Option<Conn>);

impl Closing {
    /// The connection with the answer.
    fn conn(&mut self) -> Result<&mut Conn, Outcome> {
        self.0.as_mut().ok_or_else(|| Outcome::NoResponse {
            reason: "the answer was read twice".into(),
        })
    }

    /// Keeps the connection: the answer was read to its end.
    fn keep(mut self) {
        drop(self.0.take());
    }
}

impl Drop for Closing {
    fn drop(&mut self) {
        if let Some(conn) = self.0.take() {
            drop(Upgrade::<Box<dyn Transport>>::from(conn));
        }
    }
}

/// What one exchange has come to so far.
struct Progress {
    check: Option<StreamCheck>,
    answer: Completion,
    request_id: String,
    started: Instant,
    time_to_first_token: Option<Duration>,
    body: String,
}

impl Progress {
    fn new(answer: Completion, request_id: String) -> Self {
        Self {
            check: Some(StreamCheck::new(answer, request_id.clone())),
            answer,
            request_id,
            started: Instant::now(),
            time_to_first_token: None,
            body: String::new(),
        }
    }

    fn tokens(&self) -> u32 {
        self.check.as_ref().map_or(0, StreamCheck::tokens)
    }

    /// Sends a request; the answer's head, or what went wrong.
    async fn send(&mut self, conn: Conn) -> Result<Closing, Outcome> {
        let conn = conn.await.map_err(|error| Outcome::NoResponse {
            reason: error.to_string(),
        })?;
        let status = conn.status().map_or(0, |status| status as u16);
        let mut closing = Closing(Some(conn));
        if status == 200 {
            return Ok(closing);
        }
        self.time_to_first_token = Some(self.started.elapsed());
        let body = closing.conn()?.response_body().read_string().await;
        if let Ok(body) = body {
            self.body = body;
            closing.keep();
        }
        let detail = serde_json::from_str::<ErrorBody>(&self.body).map(|body| body.error);
        let detail = detail.ok();
        Err(Outcome::Refused {
            status,
            code: detail.as_ref().map(|detail| detail.code),
            verdict: detail.as_ref().map(|detail| detail.verdict),
            retry_after_ms: detail.as_ref().and_then(|detail| detail.retry_after_ms),
        })
    }

    async fn stream(&mut self, conn: Conn) -> Outcome {
        let clean = match self.read_stream(conn).await {
            Ok(clean) => clean,
            Err(outcome) => return outcome,
        };
        match self.check.take() {
            Some(check) => check.finish(clean),
            None => Outcome::NoResponse {
                reason: "the answer was read twice".into(),
            },
        }
    }

    /// Reads a streamed answer to its end, which is clean or not.
    async fn read_stream(&mut self, conn: Conn) -> Result<Result<(), String>, Outcome> {
        let mut closing = self.send(conn).await?;
        let mut body = closing.conn()?.response_body().with_max_len(u64::MAX);
        let mut buffer = vec![0; READ_BYTES];
        loop {
            match body.read(&mut buffer).await {
                Ok(0) => break,
                Ok(size) => self.take(&buffer[..size]),
                Err(error) => return Ok(Err(error.to_string())),
            }
        }
        drop(body);
        closing.keep();
        Ok(Ok(()))
    }

    fn take(&mut self, bytes: &[u8]) {
        if let Some(check) = &mut self.check {
            check.take(bytes);
            if self.time_to_first_token.is_none() && check.tokens() > 0 {
                self.time_to_first_token = Some(self.started.elapsed());
            }
        }
    }

    async fn whole(&mut self, conn: Conn) -> Outcome {
        match self.read_body(conn).await {
            Ok(_echoed) => check_whole(self.answer, &self.request_id, &self.body),
            Err(outcome) => outcome,
        }
    }

    async fn call(&mut self, conn: Conn, call: &ServiceCall) -> Outcome {
        let echoed = match self.read_body(conn).await {
            Ok(echoed) => echoed,
            Err(outcome) => return outcome,
        };
        // A kept answer of an earlier submission carries that one's id.
        let ran_as = serde_json::from_str::<serde_json::Value>(&self.body)
            .ok()
            .and_then(|body| body["request_id"].as_str().map(String::from));
        let Some(ran_as) = ran_as else {
            return Outcome::Corrupt {
                reason: "not a service's answer".into(),
            };
        };
        let is_own = echoed == self.request_id
            && (ran_as == self.request_id || call.idempotency_key.is_some());
        if !is_own || self.body != expected_body(&ran_as, &call.path, call.body.as_bytes()) {
            return Outcome::Crossed {
                reason: format!("the answer of {ran_as}, echoed as {echoed}"),
            };
        }
        Outcome::Complete { tokens: 0 }
    }

    /// Reads an answer that comes in one piece; returns its echoed request id.
    async fn read_body(&mut self, conn: Conn) -> Result<String, Outcome> {
        let mut closing = self.send(conn).await?;
        self.time_to_first_token = Some(self.started.elapsed());
        let conn = closing.conn()?;
        let echoed = conn.response_headers().get_str("x-request-id");
        let echoed = echoed.unwrap_or_default().to_string();
        let body = conn.response_body().with_max_len(u64::MAX);
        self.body = body.read_string().await.map_err(|error| Outcome::Broken {
            tokens: 0,
            code: None,
            reason: error.to_string(),
        })?;
        closing.keep();
        Ok(echoed)
    }
}

/// A request id that no other caller uses.
fn unique_id() -> String {
    format!("r-{:032x}", rand::random::<u128>())
}
